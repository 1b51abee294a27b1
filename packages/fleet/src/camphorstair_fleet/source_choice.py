"""Chooses between the store and entries as the source of a copy."""

from collections import abc

import attrs

from camphorstair_fleet import sources
from camphorstair_runtime import clocks, persistent_connection

# Time for which an entry that did not reply is not asked again.
AVOID_S = 5.0


@attrs.define(eq=False)
class SourceChoice:
    """Chooses the first entry that replies, else the store.

    :ivar direct: The source that reads from the store.
    :ivar prefixes: Prefixes of the keys to read.
    :ivar list_peers: Returns the internal addresses of the entries to follow,
        the preferred one first; none to read from the store.
    :ivar followed: The address of the entry that was chosen last; empty if it
        was the store.
    :ivar avoid_deadlines_s: Until when an entry is not asked, by address;
        monotonic clock.
    :ivar connections: The connections to entries by address.
    """

    direct: sources.Source
    prefixes: tuple[str, ...]
    list_peers: abc.Callable[[], list[str]]
    followed: str = ''
    avoid_deadlines_s: dict[str, float] = attrs.field(factory=dict)
    connections: dict[str, persistent_connection.PersistentConnection] = (
        attrs.field(factory=dict)
    )

    def choose(self, failed: bool) -> sources.Source:
        """Return the source of the next update.

        :param failed: Whether the source that was chosen last has failed.
        """
        now_s = clocks.monotonic_s()
        if failed and self.followed:
            self.avoid_deadlines_s[self.followed] = now_s + AVOID_S
        self.followed = ''
        for address in self.list_peers():
            if now_s >= self.avoid_deadlines_s.get(address, 0):
                self.followed = address
                return sources.peer_source(
                    self._connection(address), self.prefixes
                )
        return self.direct

    def _connection(
        self, address: str
    ) -> persistent_connection.PersistentConnection:
        if address not in self.connections:
            self.connections[address] = (
                persistent_connection.PersistentConnection(address)
            )
        return self.connections[address]
