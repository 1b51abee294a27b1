"""Random plays of two planners of a rank group, one after the other.

Orders are carried out at once, late, twice or never. A rescuer completes or
releases the holds that it finds.
"""

import random

import attrs
import rank_readers
import rank_world

from camphorstair_core.experts import group_orders

STEPS = 90
MARGINS = (1, 2, 3, group_orders.CAUTIOUS_STEP_MARGIN)


@attrs.define
class Play:
    """One random play.

    :ivar generator: Draws what happens.
    :ivar world: The group.
    :ivar readers: The planner at work and the rescuer.
    """

    generator: random.Random
    world: rank_world.World
    readers: list[rank_readers.Planner]

    def run(self) -> bool:
        """Play; return whether each pass began with one map."""
        handover = self.generator.randrange(STEPS)
        for step in range(STEPS):
            if step == handover:
                self.readers[0] = rank_readers.Planner(_version(2))
            self.generator.choice(
                (self._read, self._read, self._read, self._late, self._pass)
            )()
            for number in range(rank_readers.SIZE):
                if self._happens(0.5):
                    self.world.copy_ends(number)
            if self._happens(0.1):
                self.world.working = not self.world.working
        self._carry_out_rest()
        return not self.world.mixed_maps

    def _happens(self, share: float) -> bool:
        """Return whether something happens that does so in a share of cases."""
        return self.generator.random() < share

    def _read(self) -> None:
        """Let a reader read a rank; its orders have any fate."""
        reader = self.generator.choice(self.readers)
        orders = reader.look(self.world, self.generator.choice(MARGINS))
        for order in orders:
            is_answered = self._happens(0.5)
            if is_answered:
                self.world.carry_out(order)
            elif order.kind is group_orders.OrderKind.hold:
                reader.unanswered_step = order.step
            if not is_answered or self._happens(0.2):
                self.world.delayed_orders.append(order)

    def _late(self) -> None:
        """Carry out a delayed order."""
        delayed = self.world.delayed_orders
        if delayed:
            index = self.generator.randrange(len(delayed))
            self.world.carry_out(delayed.pop(index))

    def _pass(self) -> None:
        self.world.begin_pass()

    def _carry_out_rest(self) -> None:
        """Begin passes until nothing is held or armed any more."""
        self.world.working = True
        for _ in range(3 * max(MARGINS)):
            self.world.begin_pass()


def play(seed: int) -> bool:
    """Return whether each pass of the play with a seed began with one map."""
    world = rank_world.World(
        [rank_world.Rank() for _ in range(rank_readers.SIZE)]
    )
    readers = [rank_readers.Planner(_version(1)), rank_readers.Planner(None)]
    return Play(random.Random(seed), world, readers).run()


def _version(revision: int) -> int:
    return group_orders.version_number(0, revision, 1)
