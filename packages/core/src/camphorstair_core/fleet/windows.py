"""Limits that hold for all entries together, also during network partitions.

Each entry uses the limit divided by an upper bound of the number of entries.
The sum therefore stays within the limit without messages between the entries.
"""

import collections
import math

import attrs

UNSEEN_ENTRIES = 3
MEMBERS_LIFE_S = 30.0
BUDGET_USED_SHARE = 0.75
# Entries that send requests to a cold endpoint if not all can have a share.
COLD_OWNERS = 2
# Selections of these entries that may be in use at the same time.
OUTDATED_SELECTIONS = 3


@attrs.define
class EntryCount:
    """An upper bound of the number of serving entries.

    :ivar largest: The largest number of members seen recently.
    :ivar deadline_s: Until when a smaller number does not replace it.
    """

    largest: int = 1
    deadline_s: float = 0

    def note(self, members: int, now_s: float) -> None:
        """Record how many entries are members now."""
        if members >= self.largest or now_s > self.deadline_s:
            self.largest = max(1, members)
            self.deadline_s = now_s + MEMBERS_LIFE_S

    def bound(self) -> int:
        """Return the bound.

        It allows for entries that have joined but are not yet seen here.
        """
        return self.largest + UNSEEN_ENTRIES


@attrs.define
class SlidingWindow:
    """Counts events in a sliding time window.

    :ivar length_s: Length of the window.
    :ivar times_s: Times of the events, oldest first.
    """

    length_s: float
    times_s: collections.deque[float] = attrs.field(factory=collections.deque)

    def count(self, now_s: float) -> int:
        """Return the number of events in the window that ends now."""
        while self.times_s and self.times_s[0] <= now_s - self.length_s:
            self.times_s.popleft()
        return len(self.times_s)

    def add(self, now_s: float) -> None:
        """Record an event and forget those before the window."""
        self.times_s.append(now_s)
        self.count(now_s)


def cold_limit(
    per_s: float,
    factor: float,
    slack: float,
    entries: int,
    place: int | None,
) -> int:
    """Return how many requests per second an entry may send a cold endpoint.

    Each entry has the same share, unless there are more entries than requests.
    Then the shares belong to the first entries that the endpoint selected.
    Entries that have not seen the latest members may have another selection,
    so the limit is divided by the shares of several selections.

    :param per_s: Requests per second that the endpoint can handle.
    :param factor: The factor by which all entries together may exceed that.
    :param slack: Requests that all entries together may send in addition.
    :param entries: Upper bound of the number of entries.
    :param place: The place of the entry among those that use the endpoint;
        None if the endpoint did not select it.
    """
    total = per_s * factor + slack
    if total >= entries:
        return math.floor(total / entries)
    if place is None or place >= COLD_OWNERS:
        return 0
    return math.floor(total / (COLD_OWNERS * OUTDATED_SELECTIONS))


@attrs.define
class RetryBudget:
    """An entry's budget of retries for one service.

    :ivar ratio: Share of the requests that may be retried.
    :ivar slack: Retries that all entries together may make in addition.
    :ivar requests: The entry's requests in the last window.
    :ivar repeats: The entry's retries in the last window.
    """

    ratio: float
    slack: float
    requests: SlidingWindow
    repeats: SlidingWindow

    def take(self, entries: int, now_s: float) -> bool:
        """Spend one retry if the budget allows it.

        :param entries: Upper bound of the number of entries.
        :param now_s: The current time.
        :returns: Whether the retry may be made; False if the budget is spent.
        """
        allowed = self.slack / entries + self.ratio * self.requests.count(now_s)
        if self.repeats.count(now_s) + 1 > allowed * BUDGET_USED_SHARE:
            return False
        self.repeats.add(now_s)
        return True
