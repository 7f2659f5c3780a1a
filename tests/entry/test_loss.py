"""What a placement is expected to lose."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.entry.loss import Forecast, LossRate, PlacementLoss

MODELS = ("m0", "m1", "m2")
ENDPOINTS = ("i-1", "i-2", "i-3")
FORECASTS = {
    "m0": Forecast(10.0, 10.0, 1.0, 4.0),
    "m1": Forecast(4.0, 4.0, 0.2, 1.0),
}


def make_loss(losses_per_s: float = 0.01) -> PlacementLoss:
    return PlacementLoss(FORECASTS, losses_per_s)


def test_a_model_without_an_endpoint_loses_all_its_requests():
    loss = make_loss()
    assert loss.most_to_gain("m0") == 10.0
    assert loss.most_to_gain("m2") == 0.0
    # Half of its requests find its endpoint busy, and some are lost with it.
    assert loss.add("m0", "i-1") == pytest.approx(-10 + 5 + 0.01 * 10 * 4)


def test_a_second_endpoint_gains_less_than_the_first():
    loss = make_loss()
    first = loss.add("m0", "i-1")
    second = loss.add("m0", "i-2")
    assert first < second < 0


def test_models_that_share_an_endpoint_make_one_another_late():
    alone, shared = make_loss(), make_loss()
    shared.add("m0", "i-1")
    assert shared.add("m1", "i-1") > alone.add("m1", "i-1")


def test_what_is_never_asked_for_changes_nothing():
    loss = make_loss()
    assert loss.add("m2", "i-1") == 0.0
    assert loss.remove("m2", "i-1") == 0.0


@given(st.lists(st.tuples(st.sampled_from(MODELS), st.sampled_from(ENDPOINTS))))
def test_changes_add_up_whatever_their_order(steps):
    loss = make_loss()
    held = set()
    total = 0.0
    for step in steps:
        total += loss.remove(*step) if step in held else loss.add(*step)
        held ^= {step}
    direct = make_loss()
    assert total == pytest.approx(sum(direct.add(*step) for step in sorted(held)))


def test_losses_of_endpoints_are_learned():
    rate = LossRate()
    before = rate.per_s
    rate.observe(frozenset(ENDPOINTS), 0.0)
    rate.observe(frozenset(ENDPOINTS), 100.0)
    assert rate.per_s < before
    rate.observe(frozenset(ENDPOINTS[:1]), 110.0)
    assert rate.per_s == pytest.approx((0.2 + 2) / (60 + 330))
