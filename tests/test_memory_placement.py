"""Tests of the choice of engines by their memory."""

import random
import types

import attrs
import fleet_bench
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair.fleet import endpoint_choice, instruments, state
from camphorstair_core.fleet import (
    catalogue,
    ejection,
    memory_placement,
    placement,
    roster,
    waiting,
)
from camphorstair_platform import boot, configuration
from camphorstair_platform_standins import documents
from measures import fleet_overload

CAPACITY = 10000
# Together the need of a usual request.
USUAL_TOKENS = types.MappingProxyType({'prompt': 900, 'answer': 100})
METER = metrics_api.NoOpMeter('test')


def _configuration(capacity: int = CAPACITY) -> catalogue.Catalogue:
    """Return a configuration with a ranked and an unranked service."""
    engine = {'KvCapacity': capacity, 'usual': dict(USUAL_TOKENS)}
    return configuration.decode(
        documents.configuration(
            1,
            [
                documents.route('urgent', 'streaming', 'ranked', Priority=0),
                documents.route('draft', 'streaming', 'ranked'),
                documents.route('other', 'streaming', 'even'),
            ],
            [
                documents.service(name, EngineProfile=engine)
                for name in ('ranked', 'even')
            ],
            [],
        )
    )


def _profile() -> catalogue.EngineProfile:
    profile = _configuration().services['ranked'].engine
    assert profile is not None
    return profile


def _candidate(users: int = 2, service: str = 'ranked') -> placement.Candidate:
    registration = attrs.evolve(
        fleet_overload.registration(1), service=service, address='10.0.0.1:80'
    )
    return placement.Candidate(
        roster.Endpoint(registration),
        placement.Load(),
        ejection.Health(),
        users=users,
    )


def _reported(kv_used: int, users: int = 2) -> placement.Candidate:
    """Return an engine whose memory in use was reported at 1 s."""
    candidate = _candidate(users)
    memory_placement.record_report(candidate.load, kv_used, 1)
    return candidate


def _entry(capacity: int) -> state.FleetEntry:
    told = boot.decode(fleet_bench.boot_settings('127.0.0.1:1'))
    entry = state.FleetEntry(told, random.Random(1), instruments.create(METER))
    entry.configuration = _configuration(capacity)
    return entry


@pytest.mark.parametrize(
    ('kv_used', 'users', 'kv_tokens', 'fits'),
    [
        (7000, 2, 2000, True),
        (7001, 2, 2000, False),
        (8000, 1, 2000, True),
        (8001, 1, 2000, False),
        (8000, 8, 0, True),
        (8001, 8, 0, False),
        (0, 8, CAPACITY, True),
        (1, 8, CAPACITY, False),
        (CAPACITY, 8, CAPACITY + 1, True),
    ],
)
def test_a_request_fits_beside_one_of_another_entry(
    kv_used: int, users: int, kv_tokens: int, *, fits: bool
) -> None:
    """An engine with full memory interrupts running requests.

    A request that no idle engine can hold is sent all the same: it would wait
    in vain otherwise.
    """
    candidate = _reported(kv_used, users)
    assert memory_placement.fits(candidate, _profile(), kv_tokens, 1.5) is fits


@pytest.mark.parametrize('kv_used', [0, 500, 7999, 8000, 8001, 9999])
def test_two_entries_that_send_at_once_do_not_overfill_an_engine(
    kv_used: int,
) -> None:
    """Each sees the same report, and knows only of its own requests."""
    first, second = _reported(kv_used), _reported(kv_used)
    filled = kv_used
    while memory_placement.fits(first, _profile(), 0, 1.1):
        memory_placement.record_sent(first.load, _profile(), 0, 1.1)
        filled += 1000
    if memory_placement.fits(second, _profile(), 0, 1.1):
        filled += 1000
    assert filled <= CAPACITY


@pytest.mark.parametrize(('now_s', 'fits'), [(1.9, False), (2.1, True)])
def test_an_old_report_counts_for_nothing(now_s: float, *, fits: bool) -> None:
    """Without reports the engines of a service would never get a request."""
    candidate = _reported(CAPACITY)
    assert memory_placement.fits(candidate, _profile(), 0, now_s) is fits
    assert memory_placement.fits(_candidate(), _profile(), 0, now_s)


def test_sent_and_waiting_requests_count_until_a_later_report() -> None:
    """A report does not hold what was on its way or waits at the engine."""
    candidate = _reported(7000)
    load = candidate.load
    memory_placement.record_sent(load, _profile(), 1500, 1.1)
    assert not memory_placement.fits(candidate, _profile(), 0, 1.1)
    memory_placement.record_report(load, 7000, 1.12)
    assert not memory_placement.fits(candidate, _profile(), 0, 1.12)
    memory_placement.record_report(load, 8000, 1.2)
    assert memory_placement.fits(candidate, _profile(), 0, 1.2)
    placement.record_report(load, running=4, waiting=1, now_s=1.2)
    assert not memory_placement.fits(candidate, _profile(), 0, 1.2)


@pytest.mark.parametrize(
    ('service', 'capacity', 'chosen'),
    [
        ('ranked', CAPACITY, False),
        ('ranked', 0, True),
        ('even', CAPACITY, True),
    ],
)
def test_full_engines_are_left_out_for_ranked_services_only(
    service: str, capacity: int, *, chosen: bool
) -> None:
    """A service that is not ranked must be served exactly as before."""
    choice = endpoint_choice.EndpointChoice(_entry(capacity))
    candidate = _candidate(service=service)
    waiter = waiting.Waiter('gravier', 1, 0, kv_tokens=500)
    memory_placement.record_report(candidate.load, CAPACITY, 1)
    found = choice.choose([candidate], waiter, 1.5)
    assert (found is candidate) is chosen
    choice.count_sent(candidate, waiter, 1.5)
    assert candidate.load.running == 1
    sent = [] if chosen else [(1.5, 500)]
    assert candidate.load.kv_sent == sent
