"""Tests of map switches through agents, with faults between any two events."""

import contextlib
import random

import attrs
import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair import planning
from camphorstair_agent import orders
from camphorstair_core.experts import switch
from camphorstair_runtime import http_messages, links
from camphorstair_standins import rank_group

RANKS = 3
GROUP = 'group'
FAULTY_MESSAGES = 300


@attrs.define
class SimulatedSystem:
    """Simulate a rank group, its agents and an unreliable network.

    The network loses, delays and repeats messages; a rank or an agent can
    restart before each message.

    :ivar generator: Source of the faults.
    :ivar faulty: Whether faults occur; ends after ``FAULTY_MESSAGES``.
    :ivar fencing: Fencing number that the agents read.
    :ivar sent: Agent and content of each message that was sent.
    :ivar gates: Gates of the agents by rank.
    :ivar group: The simulated rank group.
    """

    generator: random.Random
    faulty: bool = True
    fencing: int = 1
    sent: list[tuple[str, object]] = attrs.field(factory=list)
    gates: dict[str, orders.OrderGate] = attrs.field(factory=dict)
    group: rank_group.Group = attrs.field(
        factory=lambda: rank_group.Group((rank_group.Rank(),) * RANKS),
    )

    def __attrs_post_init__(self) -> None:
        """Start an agent for each rank."""
        for rank_index in range(RANKS):
            self.start_agent(rank_index)

    def start_agent(self, rank_index: int) -> None:
        """Start an agent for a rank, without the state of an earlier one."""

        async def exchange(method: str, body: bytes) -> http_messages.Response:
            if method == 'POST':
                self.group.obey(rank_index, body)
            return http_messages.Response(
                200, [], self.group.report(rank_index)
            )

        async def read_fencing_number(group: str) -> int:
            return self.fencing

        self.gates[str(rank_index)] = orders.OrderGate(
            exchange, read_fencing_number
        )

    async def ask(self, name: str, message: object) -> object:
        """Send a message to an agent and return its reply.

        :raises links.LinkError: If the message or its reply is lost.
        """
        if not self.generator.randrange(6):
            self.group.advance()
        self.sent.append((name, message))
        self.faulty = self.faulty and len(self.sent) < FAULTY_MESSAGES
        if self.faulty:
            await self._inject_fault()
        if self.faulty and not self.generator.randrange(5):
            raise links.LinkError('message lost')
        reply = await self.gates[name].answer(message)
        if self.faulty and not self.generator.randrange(5):
            raise links.LinkError('reply lost')
        return reply

    async def _inject_fault(self) -> None:
        """Restart a rank or an agent, repeat a message, or do nothing."""
        chance = self.generator.randrange(100)
        rank_index = self.generator.randrange(RANKS)
        if chance < 2:
            cold = rank_group.cold(self.group.ranks[rank_index])
            self.group.replace(rank_index, cold)
        elif chance < 4:
            self.start_agent(rank_index)
        elif chance < 40:
            name, earlier_message = self.generator.choice(self.sent)
            await self.gates[name].answer(earlier_message)


def holder(
    system: SimulatedSystem, number: int, asks: int
) -> planning.GroupSwitch:
    """Return a lease holder that can switch the group's map.

    :param number: Fencing number of the lease.
    :param asks: Messages after which the lease ends.
    """
    left = [asks]

    async def ask(name: str, message: object) -> object:
        left[0] -= 1
        return await system.ask(name, message)

    return planning.GroupSwitch(
        GROUP,
        [str(rank_index) for rank_index in range(RANKS)],
        ask,
        lambda: left[0] > 0,
        switch.Holder(number),
        {},
        round_interval_s=0,
    )


async def run_holders(system: SimulatedSystem, asks: int) -> None:
    """Interrupt one holder's switch and let the next holder finish it."""
    first = holder(system, 1, asks)
    with contextlib.suppress(planning.LeaseLostError):
        await curio.timeout_after(60, first.switch_to, 1)
    system.fencing = 2
    second = holder(system, 2, 10**6)
    await curio.timeout_after(60, second.switch_to, 2)
    system.faulty = False
    await curio.timeout_after(60, second.restore_cold_ranks)


@given(seed=st.integers(0, 10**6), asks=st.integers(20, 80))
def test_next_lease_holder_completes_switch_without_mixed_maps(
    seed: int,
    asks: int,
) -> None:
    system = SimulatedSystem(random.Random(seed))
    curio.run(run_holders, system, asks)
    assert {rank.current for rank in system.group.ranks} == {2}


def test_switch_completes_without_faults() -> None:
    system = SimulatedSystem(random.Random(1), faulty=False)
    curio.run(holder(system, 1, 10**6).switch_to, 1)
    assert {rank.current for rank in system.group.ranks} == {1}


def test_holder_without_lease_orders_nothing() -> None:
    system = SimulatedSystem(random.Random(1), faulty=False)
    expired = holder(system, 1, 0)
    with pytest.raises(planning.LeaseLostError):
        curio.run(expired.switch_to, 1)
    assert not system.sent
