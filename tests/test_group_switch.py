"""Switches of a map through agents, with faults between every two events."""

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
class Site:
    """A group, its agents, and a network that loses, delays and repeats."""

    generator: random.Random
    faulty: bool = True
    fencing: int = 1
    sent: list[tuple[str, object]] = attrs.field(factory=list)
    gates: dict[str, orders.OrderGate] = attrs.field(factory=dict)
    group: rank_group.Group = attrs.field(
        factory=lambda: rank_group.Group((rank_group.Rank(),) * RANKS),
    )

    def __attrs_post_init__(self) -> None:
        """Start the agents."""
        for place in range(RANKS):
            self.start_agent(place)

    def start_agent(self, place: int) -> None:
        async def exchange(method: str, body: bytes) -> http_messages.Response:
            if method == 'POST':
                self.group.obey(place, body)
            return http_messages.Response(200, [], self.group.report(place))

        async def read_fencing_number(group: str) -> int:
            return self.fencing

        self.gates[str(place)] = orders.OrderGate(exchange, read_fencing_number)

    async def ask(self, name: str, message: object) -> object:
        if not self.generator.randrange(6):
            self.group.advance()
        self.sent.append((name, message))
        self.faulty = self.faulty and len(self.sent) < FAULTY_MESSAGES
        if self.faulty:
            await self._disturb()
        if self.faulty and not self.generator.randrange(5):
            raise links.LinkError('lost')
        reply = await self.gates[name].answer(message)
        if self.faulty and not self.generator.randrange(5):
            raise links.LinkError('answer lost')
        return reply

    async def _disturb(self) -> None:
        chance = self.generator.randrange(100)
        place = self.generator.randrange(RANKS)
        if chance < 2:
            cold = rank_group.cold(self.group.ranks[place])
            self.group.replace(place, cold)
        elif chance < 4:
            self.start_agent(place)
        elif chance < 40:
            name, late = self.generator.choice(self.sent)
            await self.gates[name].answer(late)


def holder(site: Site, number: int, asks: int) -> planning.GroupSwitch:
    """Return a holder whose lease ends after some messages."""
    left = [asks]

    async def ask(name: str, message: object) -> object:
        left[0] -= 1
        return await site.ask(name, message)

    return planning.GroupSwitch(
        GROUP,
        [str(place) for place in range(RANKS)],
        ask,
        lambda: left[0] > 0,
        switch.Holder(number),
        {},
        round_interval_s=0,
    )


async def run_holders(site: Site, asks: int) -> None:
    """Let one holder end early and the next finish what it began."""
    first = holder(site, 1, asks)
    with contextlib.suppress(planning.LeaseLostError):
        await curio.timeout_after(60, first.switch_to, 1)
    site.fencing = 2
    second = holder(site, 2, 10**6)
    await curio.timeout_after(60, second.switch_to, 2)
    site.faulty = False
    await curio.timeout_after(60, second.restore_cold_ranks)


@given(seed=st.integers(0, 10**6), asks=st.integers(20, 80))
def test_no_step_has_two_maps_and_the_next_holder_finishes(
    seed: int,
    asks: int,
) -> None:
    site = Site(random.Random(seed))
    curio.run(run_holders, site, asks)
    assert {rank.current for rank in site.group.ranks} == {2}


def test_undisturbed_switch() -> None:
    site = Site(random.Random(1), faulty=False)
    curio.run(holder(site, 1, 10**6).switch_to, 1)
    assert {rank.current for rank in site.group.ranks} == {1}


def test_holder_without_lease_orders_nothing() -> None:
    site = Site(random.Random(1), faulty=False)
    late = holder(site, 1, 0)
    with pytest.raises(planning.LeaseLostError):
        curio.run(late.switch_to, 1)
    assert not site.sent
