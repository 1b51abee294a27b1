"""Which orders an agent passes to its engine.

Every order carries the fencing number of the lease under which it was given,
and a sequence number that its holder raises at each phase. An agent remembers
the highest that it passed and refuses lower ones, since some engines would
obey them. After its own restart it knows none: it holds every order back
until it has read the current fencing number from the platform, and refuses
orders that were meant for it before the restart.
"""

import enum

import attrs


class Decision(enum.StrEnum):
    """What becomes of an order."""

    passed = 'passed'
    refused = 'refused: old number'
    other_boot = 'refused: meant for the agent before its restart'
    not_on_base = 'refused: the rank does not work on the base'
    held_back = 'held back: current fencing number unknown'


@attrs.define(frozen=True, order=True)
class OrderNumber:
    """Number of an order; compared by fencing number, then by sequence."""

    fencing: int
    sequence: int = 0


@attrs.define(frozen=True)
class Fence:
    """What an agent knows of the orders of its group.

    :ivar boot: Identifier of this run of the agent.
    :ivar highest: The highest number known; None since a restart.
    """

    boot: str
    highest: OrderNumber | None = None


def decide(fence: Fence, number: OrderNumber, boot: str) -> Decision:
    """Decide on an order.

    :param fence: What the agent knows.
    :param number: The order's number.
    :param boot: The run of the agent that the order is meant for.
    """
    if boot != fence.boot:
        return Decision.other_boot
    if fence.highest is None:
        return Decision.held_back
    if number < fence.highest:
        return Decision.refused
    return Decision.passed


def raise_to(fence: Fence, number: OrderNumber) -> Fence:
    """Return the fence after a number was read or passed; it never falls."""
    if fence.highest is not None and number < fence.highest:
        return fence
    return attrs.evolve(fence, highest=number)
