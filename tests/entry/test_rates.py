"""Rates that follow a change."""

from __future__ import annotations

import random

import pytest

from chutelink.entry.rates import Rate

STEP_S = 0.2


def feed(rate: Rate, per_s: float, seconds: float, now_s: float, rng) -> float:
    """Count random arrivals; return the time then."""
    for _ in range(round(seconds / STEP_S)):
        now_s += STEP_S
        count = sum(rng.random() < per_s * STEP_S / 20 for _ in range(20))
        rate.add(count, now_s)
    return now_s


@pytest.mark.parametrize("seed", range(5))
def test_a_steady_rate_is_known_within_a_second(seed):
    rate = Rate(0.0, 0.0)
    now_s = feed(rate, 20.0, 1.0, 0.0, random.Random(seed))
    assert rate.expected(now_s) == pytest.approx(20.0, rel=0.5)


@pytest.mark.parametrize("seed", range(5))
def test_a_rate_that_rises_is_followed_within_a_second(seed):
    rng = random.Random(seed)
    rate = Rate(0.0, 0.0)
    now_s = feed(rate, 2.0, 20.0, 0.0, rng)
    now_s = feed(rate, 25.0, 1.0, now_s, rng)
    assert rate.steady(now_s) < 12.0
    assert rate.expected(now_s) > 15.0


@pytest.mark.parametrize("seed", range(5))
def test_a_rate_that_falls_is_given_up_within_two_seconds(seed):
    rng = random.Random(seed)
    rate = Rate(0.0, 0.0)
    now_s = feed(rate, 25.0, 20.0, 0.0, rng)
    now_s = feed(rate, 0.0, 2.0, now_s, rng)
    assert rate.steady(now_s) > 10.0
    assert rate.expected(now_s) < 3.0
