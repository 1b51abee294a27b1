"""Model of the engine side of a rank group: how ranks switch expert maps.

The model guarantees only the following:

- A rank has one current map and at most one staged map, each identified by
  its version. Staging a map replaces the map that was staged before.
- A commit order names a version and may be sent to any rank. At the boundary
  between two steps the ranks exchange the highest version that any of them
  was ordered to commit, so every rank knows it before the next step.
- A rank that has this version staged makes it its current map; a rank that
  has not keeps its current map. The step raises :class:`MixedMapsError` if
  two ranks use different maps.
- A rank whose engine restarted is cold: it has no map, and the group makes no
  step until the rank's maps are restored.

Ranks don't count acknowledgements. An order carries the fencing number of the
lease under which it was issued; ranks compare it only if ``checks`` is set.
"""

import attrs
import msgspec


class MixedMapsError(Exception):
    """Two ranks used different maps in the same step."""


@attrs.define(frozen=True)
class Rank:
    """State of one rank.

    :ivar current: Version of the current map; None while the rank is cold.
    :ivar staged: Version of the staged map, or None.
    :ivar told: Highest version that the rank was ordered to commit, directly
        or by the exchange at a boundary.
    :ivar fencing: Fencing number of the last order that the rank obeyed.
    :ivar checks: Whether the rank ignores orders with a lower fencing number.
    """

    current: int | None = 0
    staged: int | None = None
    told: int = 0
    fencing: int = 0
    checks: bool = False


def accepts_order(rank: Rank, fencing: int) -> bool:
    """Return whether a rank obeys an order with this fencing number."""
    return not rank.checks or fencing >= rank.fencing


def stage(rank: Rank, version: int, fencing: int) -> Rank:
    """Return the rank after an order to stage a map.

    A cold rank ignores the order. A rank whose current map has this version
    keeps what it has staged.
    """
    if not accepts_order(rank, fencing) or rank.current is None:
        return rank
    if rank.current == version:
        return attrs.evolve(rank, fencing=fencing)
    return attrs.evolve(rank, staged=version, fencing=fencing)


def commit(rank: Rank, version: int, fencing: int) -> Rank:
    """Return the rank after an order to commit a map at the next boundary.

    A cold rank ignores the order.
    """
    if not accepts_order(rank, fencing) or rank.current is None:
        return rank
    told = max(rank.told, version)
    return attrs.evolve(rank, told=told, fencing=fencing)


def restore(
    rank: Rank,
    current: int,
    staged: int | None,
    fencing: int,
) -> Rank:
    """Return the rank after an order to restore its maps.

    Only a cold rank obeys; a rank that has a map ignores the order.
    """
    if not accepts_order(rank, fencing) or rank.current is not None:
        return rank
    return attrs.evolve(rank, current=current, staged=staged, fencing=fencing)


def cold(rank: Rank) -> Rank:
    """Return the cold rank that remains when its engine restarts."""
    return Rank(current=None, checks=rank.checks)


def can_step(ranks: tuple[Rank, ...]) -> bool:
    """Return whether every rank has a map, so that the group can step."""
    return all(rank.current is not None for rank in ranks)


def pass_boundary(ranks: tuple[Rank, ...]) -> tuple[Rank, ...]:
    """Return the ranks after the boundary before the next step.

    All ranks learn the highest version ordered; those that have it staged
    switch to it.
    """
    version = max(rank.told for rank in ranks)
    return tuple(_apply_commit(rank, version) for rank in ranks)


def _apply_commit(rank: Rank, version: int) -> Rank:
    if rank.staged == version:
        return attrs.evolve(rank, current=version, staged=None, told=version)
    return attrs.evolve(rank, told=version)


def step(ranks: tuple[Rank, ...]) -> None:
    """Check that all ranks use the same map, as a step requires.

    :raises MixedMapsError: if two ranks use different maps.
    """
    versions = {rank.current for rank in ranks}
    if len(versions) > 1:
        raise MixedMapsError(
            f'ranks used several map versions in one step: {versions}'
        )


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
    """A group of ranks that step together and receive orders as JSON.

    :ivar ranks: State of each rank, by its index.
    :ivar steps: Number of steps made.
    """

    ranks: tuple[Rank, ...]
    steps: int = 0

    def report(self, rank_index: int) -> bytes:
        """Return the status report of a rank, as JSON.

        :param rank_index: Index of the rank.
        """
        rank = self.ranks[rank_index]
        document = {
            'current': rank.current,
            'staged': rank.staged,
            'told': rank.told,
        }
        return msgspec.json.encode(document)

    def obey(self, rank_index: int, body: bytes) -> None:
        """Apply an order to a rank.

        :param rank_index: Index of the rank.
        :param body: The order as JSON.
        """
        order = msgspec.json.decode(body, type=_Order)
        self.replace(
            rank_index, _rank_after_order(self.ranks[rank_index], order)
        )

    def replace(self, rank_index: int, rank: Rank) -> None:
        """Set the state of a rank.

        :param rank_index: Index of the rank.
        :param rank: Its new state.
        """
        ranks = list(self.ranks)
        ranks[rank_index] = rank
        self.ranks = tuple(ranks)

    def advance(self) -> None:
        """Pass a boundary and make a step; do nothing if a rank is cold.

        :raises MixedMapsError: if two ranks use different maps.
        """
        if can_step(self.ranks):
            self.ranks = pass_boundary(self.ranks)
            step(self.ranks)
            self.steps += 1


def _rank_after_order(rank: Rank, order: _Order) -> Rank:
    details = order.details
    if order.kind == 'stage_map':
        return stage(rank, details.version, order.fencing)
    if order.kind == 'commit_map':
        return commit(rank, details.version, order.fencing)
    return restore(rank, details.base, details.version, order.fencing)
