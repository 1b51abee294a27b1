"""Bounds what an entry holds in memory for peers that read slowly.

Each answer has an account of the bytes that were received for it and that its
caller, or the endpoint that its request goes to, has not taken yet.
"""

import attrs

# While a stream holds this much, no more of it is read from its endpoint. Whole
# answers and request bodies count towards the total only.
CALLER_BOUND_BYTES = 262144
TOTAL_SHARE = 0.125
# Memory that is assumed if the settings name none: that of the smallest VM.
DEFAULT_MEMORY_MB = 152.0
_BYTES_PER_MIB = 1024 * 1024


@attrs.define(eq=False)
class Account:
    """What is held for one answer.

    :ivar priority: Priority of the request; 0 is the most urgent.
    :ivar repeatable: Whether the request may be repeated.
    :ivar held_bytes: Bytes held now.
    :ivar ended: Whether the answer was ended; it holds nothing from then on.
    """

    priority: int
    repeatable: bool
    held_bytes: int = 0
    ended: bool = False


@attrs.define(eq=False)
class Totals:
    """What is held for all answers.

    :ivar bound_bytes: Bound of the total.
    :ivar total_bytes: Bytes held for all answers.
    :ivar accounts: The accounts that hold something, in the order in which
        they began to.
    """

    bound_bytes: int
    total_bytes: int = 0
    accounts: dict[Account, None] = attrs.field(factory=dict)


def total_bound_bytes(memory_mb: float) -> int:
    """Return the bound of the total.

    :param memory_mb: Memory of the VM; 0 if it is unknown.
    """
    return int((memory_mb or DEFAULT_MEMORY_MB) * _BYTES_PER_MIB * TOTAL_SHARE)


def has_room(account: Account) -> bool:
    """Return whether more may be read for an answer."""
    return account.held_bytes < CALLER_BOUND_BYTES


def hold(totals: Totals, account: Account, size_bytes: int) -> None:
    """Add bytes to an account; an ended one stays empty."""
    if account.ended or not size_bytes:
        return
    account.held_bytes += size_bytes
    totals.total_bytes += size_bytes
    totals.accounts[account] = None


def release(totals: Totals, account: Account, size_bytes: int) -> None:
    """Remove bytes that were taken from an account.

    At most what it holds is removed: bytes may still be taken after the
    account was freed.
    """
    released_bytes = min(size_bytes, account.held_bytes)
    account.held_bytes -= released_bytes
    totals.total_bytes -= released_bytes
    if not account.held_bytes:
        totals.accounts.pop(account, None)


def free(totals: Totals, account: Account) -> None:
    """Remove all bytes from an account."""
    release(totals, account, account.held_bytes)


def end_one(totals: Totals) -> Account | None:
    """End the answer that costs callers least if the total is exceeded.

    A request that may not be repeated is ended only if no other holds
    anything. Then the least urgent one is ended, and of these the one that
    holds most.

    :returns: The account, which is freed and marked as ended; None if the
        total is within its bound.
    """
    if totals.total_bytes <= totals.bound_bytes:
        return None
    account = max(totals.accounts, key=_preference)
    free(totals, account)
    account.ended = True
    return account


def _preference(account: Account) -> tuple[bool, int, int]:
    return (account.repeatable, account.priority, account.held_bytes)
