"""Tests of what an agent takes from its list of registered engines."""

import itertools

import fleet_bench
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair_agent.fleet import instruments, state
from camphorstair_core.fleet import roster
from camphorstair_platform import boot

GROUP = 'g'
RANK = 3


def _registration(name: str, born_ms: int, address: str) -> roster.Registration:
    return roster.Registration(
        name,
        'engine',
        address,
        'levis-nord',
        roster.EndpointState.ready,
        4,
        0,
        born_ms,
        roster.GroupMembership(GROUP, born_ms, RANK, 12, is_open=True),
    )


@pytest.mark.parametrize('order', list(itertools.permutations(range(3))))
def test_the_engine_that_started_last_counts_while_earlier_ones_are_listed(
    order: tuple[int, ...],
) -> None:
    told = boot.decode(fleet_bench.boot_settings('127.0.0.1:1'))
    meter = metrics_api.NoOpMeter('test')
    agent = state.FleetAgent(told, instruments.create(meter))
    address = told.engine_address
    started = [
        _registration('i-1', 30, address),
        _registration('i-2', 20, address),
        _registration('i-3', 10, '127.0.0.1:2'),
    ]
    for index in order:
        row = started[index]
        agent.endpoints[row.endpoint] = row
    assert agent.own_registration() is started[0]
    assert agent.group_members(GROUP) == {RANK: started[0]}
