"""A short soak with the same faults each time, and what its checks see."""

import pytest

from soak import recording, running, schedule

SEED = 1
DURATION_S = 16.0
SEED_DURATION_S = 24.0


def test_a_short_soak_breaks_no_promise() -> None:
    outcome = running.run(SEED, DURATION_S)
    assert not outcome.broken
    assert outcome.whole


@pytest.mark.parametrize('seed', [205])
def test_seeds_that_failed_before(seed: int) -> None:
    """The causes stand in soak/SEEDS.md."""
    assert not running.run(seed, SEED_DURATION_S).broken


def test_the_same_seed_draws_the_same_faults() -> None:
    first = schedule.draw(SEED, DURATION_S, 3)
    assert first == schedule.draw(SEED, DURATION_S, 3)
    assert first != schedule.draw(SEED + 1, DURATION_S, 3)


def _seen(
    call: recording.Call,
    *runs: recording.Run,
) -> recording.Recording:
    return recording.Recording(runs=list(runs), calls=[call])


def _call(route: str, status: int, body: bytes = b'') -> recording.Call:
    return recording.Call('a', route, 'k1', 0, 1, 2, status, body)


RUN = recording.Run('a', 'i-1', 1)


@pytest.mark.parametrize(
    ('seen', 'broken'),
    [
        (_seen(_call('book', 200, b'a'), RUN), ''),
        (_seen(_call('book', 200, b'a'), RUN, RUN), 'ran twice'),
        (_seen(_call('look', 200, b'a'), RUN, RUN), ''),
        (_seen(_call('book', 503), RUN), 'was refused by 503 and ran'),
        (_seen(_call('book', 502), RUN), ''),
        (_seen(_call('look', 200, b'b'), RUN), 'wrong answer'),
        (
            _seen(
                _call('draft', 200, b''.join(recording.events('a', 2))),
                RUN,
            ),
            'wrong answer',
        ),
    ],
)
def test_the_witness_sees_a_broken_promise(
    seen: recording.Recording,
    broken: str,
) -> None:
    found = seen.broken()
    assert len(found) == bool(broken)
    assert broken in ''.join(found)


def test_the_witness_sees_keys_and_leaving_endpoints() -> None:
    late = recording.Run('a', 'i-1', 9)
    call = recording.Call('a', 'look', 'k1', 0, 9, 10, 200, b'a')
    seen = _seen(call, late)
    seen.revoked_s['k1'] = 9 - recording.REVOKE_S - 1
    seen.drained_s['i-1'] = 9 - recording.DRAIN_S - 1
    assert len(seen.broken()) == 2
    seen.unplanned_fault_periods.append(recording.FaultPeriod(7, 8))
    assert len(seen.broken()) == 1


def test_the_witness_sees_what_a_planned_stop_cuts_off() -> None:
    seen = _seen(recording.Call('a', 'look', 'k1', 2, 3, 5), RUN)
    assert seen.cut_off(2, 4)
    assert not seen.cut_off(1, 4)
    seen.unplanned_fault_periods.append(recording.FaultPeriod(1, 2))
    assert not seen.cut_off(2, 4)
