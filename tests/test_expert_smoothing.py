"""Tests of the smoothed estimate of expert load from sampled counts."""

import random

import pytest

from camphorstair_core.experts import smoothing


def sample(weights: list[int], generator: random.Random) -> list[int]:
    """Return the counts of 2000 tokens drawn by the weights of experts."""
    chosen = generator.choices(range(len(weights)), weights, k=2000)
    return [chosen.count(expert) for expert in range(len(weights))]


def test_noise_is_averaged() -> None:
    generator = random.Random(1)
    weights = [50, 30, 15, 5]
    smoothed = smoothing.SmoothedLoad()
    raw_error: float = 0
    smooth_error: float = 0
    for _ in range(60):
        counts = sample(weights, generator)
        smoothing.update_estimate(smoothed, counts)
        raw_error += abs(counts[3] / 2000 - 0.05)
        smooth_error += abs(smoothed.shares[3] - 0.05)
    assert smooth_error < raw_error / 2


def test_jump_is_followed_at_once() -> None:
    generator = random.Random(1)
    smoothed = smoothing.SmoothedLoad()
    for _ in range(40):
        smoothing.update_estimate(smoothed, sample([50, 30, 15, 5], generator))
    smoothing.update_estimate(smoothed, sample([5, 30, 15, 50], generator))
    assert smoothed.shares == pytest.approx([0.05, 0.3, 0.15, 0.5], abs=0.05)


def test_interval_without_tokens_changes_nothing() -> None:
    smoothed = smoothing.SmoothedLoad()
    smoothing.update_estimate(smoothed, [0, 0])
    smoothing.update_estimate(smoothed, [3, 1])
    smoothing.update_estimate(smoothed, [0, 0])
    assert smoothed.shares == pytest.approx([0.75, 0.25])
