"""Bounds what a process keeps of the messages of all its peers together.

Each message has an account, from its first byte on until it was passed on. A
message that would exceed the budget has to wait until others were passed on,
so none is given up to make room. The oldest large message may always grow on;
otherwise several incomplete ones could wait for each other. The bound leaves
room for that one.
"""

import attrs

# Shares of the memory. A process needs the rest for itself, for what it passes
# on at the moment and for what slow peers have not read yet.
REQUESTS_SHARE = 0.25
ANSWERS_SHARE = 0.125
# Memory that is assumed if the settings name none: that of the smallest VM.
DEFAULT_MEMORY_MB = 152.0
# Up to this size a message never waits, so that large ones don't delay it.
SMALL_BYTES = 65536
_BYTES_PER_MIB = 1024 * 1024


@attrs.define(eq=False)
class Account:
    """What is kept of one message.

    :ivar kept_bytes: Bytes kept now.
    :ivar has_waited: Whether it has had to wait for room.
    """

    kept_bytes: int = 0
    has_waited: bool = False


@attrs.define(eq=False)
class Budget:
    """What is kept of all messages.

    :ivar bound_bytes: Bound of the total.
    :ivar total_bytes: Bytes kept of all messages.
    :ivar large: The accounts over ``SMALL_BYTES``, or that have asked to be, in
        the order in which they asked first.
    """

    bound_bytes: int
    total_bytes: int = 0
    large: dict[Account, None] = attrs.field(factory=dict)


def bound_bytes(memory_mb: float, share: float, largest_bytes: int) -> int:
    """Return the bound of the total, without the message that may exceed it.

    :param memory_mb: Memory of the process; 0 if it is unknown.
    :param share: The share of it.
    :param largest_bytes: Size of the largest message.
    """
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * _BYTES_PER_MIB
    share_bytes = int(memory_bytes * share)
    return max(SMALL_BYTES, share_bytes - largest_bytes)


def may_keep(budget: Budget, account: Account, size_bytes: int) -> bool:
    """Return whether more of a message may be kept now.

    :param budget: The budget.
    :param account: The account of the message.
    :param size_bytes: How much more.
    """
    if account.kept_bytes + size_bytes <= SMALL_BYTES:
        return True
    budget.large[account] = None
    if budget.total_bytes + size_bytes <= budget.bound_bytes:
        return True
    return account is next(iter(budget.large))


def keep(budget: Budget, account: Account, size_bytes: int) -> None:
    """Count bytes of a message that are kept."""
    account.kept_bytes += size_bytes
    budget.total_bytes += size_bytes


def free(budget: Budget, account: Account) -> None:
    """Count a message as passed on or given up; its account may be used anew."""
    budget.total_bytes -= account.kept_bytes
    account.kept_bytes = 0
    account.has_waited = False
    budget.large.pop(account, None)
