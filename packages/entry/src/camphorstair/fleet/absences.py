"""Forgets the load, health and statements of endpoints that have left."""

import attrs

from camphorstair.fleet import state

# Time for which an endpoint without a registration is remembered: a store that
# comes back older may list an endpoint again that said that it leaves.
MEMORY_S = 600.0
CHECK_INTERVAL_S = 30.0


@attrs.define(eq=False)
class Absences:
    """When the endpoints without a registration are forgotten.

    :ivar entry: The entry's state.
    :ivar deadlines_s: When each of them is forgotten, by endpoint name.
    :ivar next_check_s: When absent endpoints are looked for next.
    """

    entry: state.FleetEntry
    deadlines_s: dict[str, float] = attrs.field(factory=dict)
    next_check_s: float = 0

    def expire(self, now_s: float) -> list[str]:
        """Forget the endpoints that have been absent for ``MEMORY_S``.

        Those with requests of this entry are kept.

        :returns: Their names.
        """
        if now_s < self.next_check_s:
            return []
        self.next_check_s = now_s + CHECK_INTERVAL_S
        candidates = self.entry.candidates
        absent = candidates.keys() - self.entry.endpoints.endpoints
        self.deadlines_s = {
            name: self.deadlines_s.get(name, now_s + MEMORY_S)
            for name in absent
        }
        forgotten = [
            name
            for name, deadline_s in self.deadlines_s.items()
            if deadline_s <= now_s and not candidates[name].load.running
        ]
        for gone in forgotten:
            self.entry.forget(gone)
        return forgotten
