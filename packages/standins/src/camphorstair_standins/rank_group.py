"""Stand-in for the engine side of a rank group.

What it offers, and no more:

- A rank holds the map it works on and at most one staged map, each known by
  its version. Staging a map replaces an older staged one.
- A commit order to any one rank tells a version. At the boundary between two
  steps the ranks exchange the highest version that any of them was told, so
  that none passes the boundary without knowing it.
- A rank that has that version staged works on it from then on; one that has
  not keeps its map. The step fails loudly if two ranks use different maps.
- A rank that came back cold has no map, and the group makes no step until it
  is given one.

Ranks don't count acknowledgements, and compare no fencing numbers unless
``checks`` is set.
"""

import attrs
import msgspec


class MixedMapsError(Exception):
    """Two ranks used different maps in one step."""


@attrs.define(frozen=True)
class Rank:
    """One rank.

    :ivar current: Version of the map it works on; None when cold.
    :ivar staged: Version of the staged map, or None.
    :ivar told: Highest version that it was told to commit.
    :ivar fencing: Highest fencing number that it obeyed.
    :ivar checks: Whether it refuses lower ones.
    """

    current: int | None = 0
    staged: int | None = None
    told: int = 0
    fencing: int = 0
    checks: bool = False


def obeys(rank: Rank, fencing: int) -> bool:
    """Tell whether a rank obeys an order with a fencing number."""
    return not rank.checks or fencing >= rank.fencing


def stage(rank: Rank, version: int, fencing: int) -> Rank:
    """Return the rank after an order to stage a map."""
    if not obeys(rank, fencing) or rank.current is None:
        return rank
    if rank.current == version:
        return attrs.evolve(rank, fencing=fencing)
    return attrs.evolve(rank, staged=version, fencing=fencing)


def commit(rank: Rank, version: int, fencing: int) -> Rank:
    """Return the rank after an order to commit a map at the boundary."""
    if not obeys(rank, fencing) or rank.current is None:
        return rank
    told = max(rank.told, version)
    return attrs.evolve(rank, told=told, fencing=fencing)


def restore(
    rank: Rank,
    current: int,
    staged: int | None,
    fencing: int,
) -> Rank:
    """Return a cold rank after it was given maps; a warm one ignores it."""
    if not obeys(rank, fencing) or rank.current is not None:
        return rank
    return attrs.evolve(rank, current=current, staged=staged, fencing=fencing)


def cold(rank: Rank) -> Rank:
    """Return a rank after its engine's restart."""
    return Rank(current=None, checks=rank.checks)


def can_step(ranks: tuple[Rank, ...]) -> bool:
    """Tell whether every rank can take part in a step."""
    return all(rank.current is not None for rank in ranks)


def pass_boundary(ranks: tuple[Rank, ...]) -> tuple[Rank, ...]:
    """Return the ranks after the boundary before the next step."""
    version = max(rank.told for rank in ranks)
    return tuple(_switch(rank, version) for rank in ranks)


def _switch(rank: Rank, version: int) -> Rank:
    if rank.staged == version:
        return attrs.evolve(rank, current=version, staged=None, told=version)
    return attrs.evolve(rank, told=version)


def step(ranks: tuple[Rank, ...]) -> None:
    """Make a step.

    :raises MixedMapsError: if two ranks use different maps.
    """
    used = {rank.current for rank in ranks}
    if len(used) > 1:
        raise MixedMapsError(f'one step with the maps {used}')


@attrs.define(frozen=True)
class _Details:
    version: int
    base: int


@attrs.define(frozen=True)
class _Order:
    kind: str
    fencing: int
    details: _Details


@attrs.define
class Group:
    """A group of ranks that take orders as JSON and step together.

    :ivar ranks: The ranks.
    :ivar steps: Steps made.
    """

    ranks: tuple[Rank, ...]
    steps: int = 0

    def report(self, place: int) -> bytes:
        """Return what a rank reports of itself."""
        rank = self.ranks[place]
        shown = {
            'current': rank.current,
            'staged': rank.staged,
            'told': rank.told,
        }
        return msgspec.json.encode(shown)

    def obey(self, place: int, body: bytes) -> None:
        """Have a rank obey an order."""
        order = msgspec.json.decode(body, type=_Order)
        self.replace(place, _obeyed(self.ranks[place], order))

    def replace(self, place: int, rank: Rank) -> None:
        """Replace the state of a rank."""
        ranks = list(self.ranks)
        ranks[place] = rank
        self.ranks = tuple(ranks)

    def advance(self) -> None:
        """Pass a boundary and make a step, if every rank can.

        :raises MixedMapsError: if two ranks use different maps.
        """
        if can_step(self.ranks):
            self.ranks = pass_boundary(self.ranks)
            step(self.ranks)
            self.steps += 1


def _obeyed(rank: Rank, order: _Order) -> Rank:
    details = order.details
    if order.kind == 'stage_map':
        return stage(rank, details.version, order.fencing)
    if order.kind == 'commit_map':
        return commit(rank, details.version, order.fencing)
    return restore(rank, details.base, details.version, order.fencing)
