"""Lets tasks wait until what they receive may be kept in memory.

Messages that come late or without end must not exhaust the memory of a process
that serves others.
"""

import logging

import attrs
import curio

from camphorstair_core import byte_budget

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class KeptMessages:
    """The messages that are kept, of which there are none yet.

    :ivar budget: Bounds them together.
    """

    budget: byte_budget.Budget
    _changed: curio.Event = attrs.field(factory=curio.Event)

    async def keep(self, account: byte_budget.Account, size_bytes: int) -> None:
        """Count more of a message, after waiting until it may be kept.

        :param account: The account of the message.
        :param size_bytes: How much more.
        """
        while not self.try_keep(account, size_bytes):
            self._note_waiting(account)
            await self._changed.wait()

    def try_keep(self, account: byte_budget.Account, size_bytes: int) -> bool:
        """Count more of a message if it may be kept now.

        :param account: The account of the message.
        :param size_bytes: How much more.
        :returns: Whether it may be kept.
        """
        may_keep = byte_budget.may_keep(self.budget, account, size_bytes)
        if may_keep:
            byte_budget.keep(self.budget, account, size_bytes)
        return may_keep

    async def free(self, account: byte_budget.Account) -> None:
        """Free an account, and let those that wait for room go on."""
        byte_budget.free(self.budget, account)
        if not self.budget.large:
            return
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()

    def _note_waiting(self, account: byte_budget.Account) -> None:
        """Log the first time that a message has to wait."""
        if account.has_waited:
            return
        account.has_waited = True
        _LOG.warning(
            'a message waits: too much memory is used for others',
            extra={
                'kept_bytes': account.kept_bytes,
                'total_kept_bytes': self.budget.total_bytes,
                'kept_bound_bytes': self.budget.bound_bytes,
                'large_messages': len(self.budget.large),
            },
        )


def within(memory_mb: float, share: float, largest_bytes: int) -> KeptMessages:
    """Return the kept messages of a process.

    :param memory_mb: Memory of the process; 0 if it is unknown.
    :param share: The share of it that they may take.
    :param largest_bytes: Size of the largest message.
    """
    bound_bytes = byte_budget.bound_bytes(memory_mb, share, largest_bytes)
    return KeptMessages(byte_budget.Budget(bound_bytes))
