"""Limits that hold for the sum over all entries, whoever is cut off.

Each entry takes an equal share by an upper bound of the number of entries, so
the sum stays within the limit without a message between them.
"""

import collections
import math

import attrs

UNSEEN_ENTRIES = 3
MEMBERS_LIFE_S = 30.0
BUDGET_USED_SHARE = 0.75


@attrs.define
class EntryCount:
    """An upper bound of how many entries serve.

    :ivar largest: The largest number seen lately.
    :ivar deadline_s: Until when that number counts.
    """

    largest: int = 1
    deadline_s: float = 0

    def note(self, members: int, now_s: float) -> None:
        """Note how many entries are members now."""
        if members >= self.largest or now_s > self.deadline_s:
            self.largest = max(1, members)
            self.deadline_s = now_s + MEMBERS_LIFE_S

    def bound(self) -> int:
        """Return the bound; some may have joined and not be seen yet."""
        return self.largest + UNSEEN_ENTRIES


@attrs.define
class SlidingWindow:
    """Times of events in a window that slides.

    :ivar length_s: Length of the window.
    :ivar times_s: Times of the events in it.
    """

    length_s: float
    times_s: collections.deque[float] = attrs.field(factory=collections.deque)

    def count(self, now_s: float) -> int:
        """Return how many events lie in the window that ends now."""
        while self.times_s and self.times_s[0] <= now_s - self.length_s:
            self.times_s.popleft()
        return len(self.times_s)

    def add(self, now_s: float) -> None:
        """Note an event."""
        self.times_s.append(now_s)


def cold_limit(per_s: float, factor: float, slack: float, entries: int) -> int:
    """Return how many requests an entry may send a cold endpoint in a second.

    :param per_s: What the endpoint bears.
    :param factor: How far the sum may exceed that.
    :param slack: Requests that the sum may exceed it by, besides.
    :param entries: Upper bound of the number of entries.
    """
    return math.floor((per_s * factor + slack) / entries)


@attrs.define
class RetryBudget:
    """Repeats of requests to one service.

    :ivar ratio: Share of the requests that may be repeated.
    :ivar slack: Repeats that all entries together may make besides.
    :ivar requests: The entry's requests in the last window.
    :ivar repeats: The entry's repeats in the last window.
    """

    ratio: float
    slack: float
    requests: SlidingWindow
    repeats: SlidingWindow

    def take(self, entries: int, now_s: float) -> bool:
        """Spend one repeat.

        :param entries: Upper bound of the number of entries.
        :returns: False if the budget is used up.
        """
        own = self.slack / entries + self.ratio * self.requests.count(now_s)
        if self.repeats.count(now_s) + 1 > own * BUDGET_USED_SHARE:
            return False
        self.repeats.add(now_s)
        return True
