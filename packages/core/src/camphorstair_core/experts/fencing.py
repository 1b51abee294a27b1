"""Decides which orders an agent forwards to its engine.

Every order carries the fencing number of the lease under which it was issued,
and a sequence number that the lease holder increases at each phase. An agent
remembers the highest number that it forwarded and refuses lower ones, because
some engines would execute them. After its own restart an agent knows no number:
it holds every order back until it has read the current fencing number from the
platform, and refuses orders that were addressed to its earlier run.
"""

import enum

import attrs


class Decision(enum.StrEnum):
    """The result of checking an order."""

    passed = 'passed'
    refused = 'refused: old number'
    other_boot = 'refused: meant for the agent before its restart'
    not_on_base = 'refused: the rank does not work on the base'
    held_back = 'held back: current fencing number unknown'


@attrs.define(frozen=True, order=True)
class OrderNumber:
    """The number of an order, compared by fencing number, then by sequence.

    :ivar fencing: The fencing number of the lease.
    :ivar sequence: The sequence number within that lease.
    """

    fencing: int
    sequence: int = 0


@attrs.define(frozen=True)
class Fence:
    """The orders that an agent accepts for a group.

    :ivar boot: Identifier of this run of the agent.
    :ivar highest: The highest known number; None after a restart, until the
        current number has been read.
    """

    boot: str
    highest: OrderNumber | None = None


def decide(fence: Fence, number: OrderNumber, boot: str) -> Decision:
    """Return whether an order is forwarded, refused or held back.

    :param fence: The agent's fence for the group.
    :param number: The number of the order.
    :param boot: The run of the agent that the order is addressed to.
    """
    if boot != fence.boot:
        return Decision.other_boot
    if fence.highest is None:
        return Decision.held_back
    if number < fence.highest:
        return Decision.refused
    return Decision.passed


def raise_to(fence: Fence, number: OrderNumber) -> Fence:
    """Return the fence after a number was read or an order was forwarded.

    A number below the highest known one leaves the fence unchanged.
    """
    if fence.highest is not None and number < fence.highest:
        return fence
    return attrs.evolve(fence, highest=number)
