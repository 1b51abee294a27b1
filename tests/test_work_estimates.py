"""Tests of the estimated slot time and KV cache of requests."""

import math

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from camphorstair_core.fleet import catalogue, work_estimates

USUAL = work_estimates.RequestSize(1000, 200)
ENGINE = catalogue.EngineProfile(
    slots=5,
    kv_tokens=155_000,
    stride=1,
    step_s=0.01,
    per_sequence_s=0.001,
    context_per_token_s=1e-6,
    read_tokens_per_s=10_000,
    pair_s=1e-8,
    usual_prompt_tokens=1000,
    usual_answer_tokens=200,
    set_count=0,
    expert_count=0,
    place_count=0,
    spare_count=0,
    expert_mb=0,
    expert_share=0,
    link_mbps=0,
)
ROUTE = catalogue.Route(
    name='talk',
    host='host',
    prefix='/',
    kind=catalogue.RequestKind.streaming,
    timeout_s=60,
    target_s=0.4,
    gap_target_s=0,
    priority=0,
    services=(),
    max_attempts=1,
    public=True,
    resumable=False,
)
# Any size: none, negative, more than a float can hold.
TOKENS = st.integers() | st.sampled_from((0, 1, 10**400))


def _estimate(
    estimates: work_estimates.Estimates,
    size: work_estimates.RequestSize = USUAL,
    profile: catalogue.EngineProfile | None = ENGINE,
) -> work_estimates.Work:
    return work_estimates.estimate(estimates, ROUTE, size, profile)


def test_estimate_follows_the_cost_model_of_the_engine() -> None:
    """Guards against a part of the cost model that is left out."""
    work = _estimate(work_estimates.Estimates())
    # Five sequences with a mean context of 1,100 tokens in each step.
    step_s = 0.01 + 5 * (0.001 + 1e-6 * 1100)
    prefill_s = 1000 / 10_000 + 1e-8 * 1000**2 / 2
    assert work.slot_s == pytest.approx(200 * step_s + prefill_s)
    assert work.kv_tokens == 1200


@given(TOKENS, TOKENS, st.lists(st.floats(), max_size=20))
@example(10**400, 10**400, [math.inf, math.nan, -1])
def test_absurd_sizes_and_times_are_bounded(
    prompt: int, answer: int, actual_times_s: list[float]
) -> None:
    """Guards against a false size or time that raises or has no bound."""
    estimates = work_estimates.Estimates()
    largest = _estimate(estimates, work_estimates.RequestSize(4000, 800))
    size = work_estimates.RequestSize(prompt, answer)
    for now_s, actual_s in enumerate(actual_times_s):
        work = _estimate(estimates, size)
        work_estimates.record(estimates, 'talk', work, actual_s, now_s)
    work = _estimate(estimates, size)
    assert 0 < work.uncorrected_s <= largest.slot_s
    assert 0 < work.slot_s <= work_estimates.MAX_CORRECTION * largest.slot_s
    assert 0 < work.kv_tokens <= 4 * 1200
    if prompt <= 0 and answer <= 0:
        assert work.kv_tokens == 1200


@pytest.mark.parametrize(
    ('real_factor', 'learnt'), [(10, 10), (0.1, 0.1), (1000, 10), (0, 0.1)]
)
def test_estimates_off_by_ten_times_are_corrected(
    real_factor: float, learnt: float
) -> None:
    """Guards against corrections that compound, or that have no bound."""
    estimates = work_estimates.Estimates()
    model_s = _estimate(estimates).slot_s
    for tick in range(300):
        work = _estimate(estimates)
        actual_s = real_factor * model_s
        work_estimates.record(estimates, 'talk', work, actual_s, tick / 10)
    assert _estimate(estimates).slot_s == pytest.approx(
        learnt * model_s, rel=0.1
    )


def test_one_stalled_answer_hardly_changes_estimates() -> None:
    """Guards against a frozen engine that makes all requests look large."""
    estimates = work_estimates.Estimates()
    model = _estimate(estimates)
    for tick in range(30):
        actual_s = 3000 if tick == 20 else model.slot_s
        work_estimates.record(estimates, 'talk', model, actual_s, tick / 10)
    assert _estimate(estimates).slot_s < 1.5 * model.slot_s


def test_past_answers_lose_half_of_their_weight_in_ten_seconds() -> None:
    """Guards against a mean of a plain service that follows too slowly."""
    estimates = work_estimates.Estimates()
    assert not _estimate(estimates, profile=None).slot_s
    for now_s, actual_s in ((5, 2), (15, 1)):
        work = _estimate(estimates, profile=None)
        work_estimates.record(estimates, 'talk', work, actual_s, now_s)
    assert _estimate(estimates, profile=None).slot_s == pytest.approx(4 / 3)


def test_routes_are_bounded_and_forgotten() -> None:
    """Guards against evidence on routes that stays for ever."""
    estimates = work_estimates.Estimates()
    for number in range(2 * work_estimates.MAX_ROUTES):
        for work in (_estimate(estimates), work_estimates.Work(0, 0)):
            work_estimates.record(estimates, f'{number}', work, 1, 0)
    assert len(estimates.corrections) == work_estimates.MAX_ROUTES
    assert len(estimates.means) == work_estimates.MAX_ROUTES
    late_s = work_estimates.RETENTION_S
    work_estimates.record(estimates, 'talk', _estimate(estimates), 1, late_s)
    assert list(estimates.corrections) == ['talk']
