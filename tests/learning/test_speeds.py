"""Prefill speeds learned from times to first event."""

from __future__ import annotations

import pytest

from chutelink.entry.state import HealthTable, PrefixTable
from chutelink.learning.durations import DurationTable
from chutelink.learning.speeds import FIRST_EVENT_S, SpeedTable
from chutelink.relaying.routing import LeastLoss, RoutingRequest

from ..placing.test_placement import make_site

TOKENS = 7600
"""Their prefill takes 0.2 s at factor 1."""


def learn(
    speeds: SpeedTable, model: str, endpoint: str, factor: float, count: int = 60
) -> None:
    """Record first events whose prefill took ``factor`` times the base time."""
    for _ in range(count):
        expected_s = speeds.read_s(model, TOKENS) * speeds.endpoint_factor(endpoint)
        speeds.note(model, endpoint, expected_s, 0.2 * factor + FIRST_EVENT_S)


def test_a_models_speed_is_learned():
    speeds = SpeedTable()
    assert speeds.read_s("m0", TOKENS) == pytest.approx(0.2)
    learn(speeds, "m0", "i-1", 0.4)
    total_s = speeds.read_s("m0", TOKENS) * speeds.endpoint_factor("i-1")
    assert total_s == pytest.approx(0.08, rel=0.1)


def test_a_model_without_observations_is_like_others_of_its_size():
    speeds = SpeedTable()
    speeds.set_sizes({"m0": 65.0, "m1": 65.0, "m2": 72.0})
    learn(speeds, "m0", "i-1", 0.4)
    assert speeds.read_s("m1", TOKENS) == speeds.read_s("m0", TOKENS)
    assert speeds.read_s("m2", TOKENS) == pytest.approx(0.2)


def test_a_slow_endpoint_is_distinguished_from_a_slow_model():
    speeds = SpeedTable()
    for _ in range(40):
        for model in ("m0", "m1"):
            learn(speeds, model, "i-1", 1.0, count=1)
            learn(speeds, model, "i-2", 1.5, count=1)
    ratio = speeds.endpoint_factor("i-2") / speeds.endpoint_factor("i-1")
    assert ratio == pytest.approx(1.5, rel=0.1)
    speeds.forget("i-2")
    assert speeds.endpoint_factor("i-2") == 1.0


def test_an_outlier_changes_little():
    speeds = SpeedTable()
    speeds.note("m0", "i-1", 0.2, 9.0)
    assert speeds.read_s("m0", TOKENS) < 0.25


def test_short_prefill_times_are_ignored():
    speeds = SpeedTable()
    speeds.note("m0", "i-1", 0.01, 2.0)
    assert speeds.read_s("m0", TOKENS) == pytest.approx(0.2)


def test_requests_go_to_the_endpoint_with_faster_prefill():
    speeds = SpeedTable()
    learn(speeds, "m0", "i-1", 2.0)
    policy = LeastLoss(HealthTable(), PrefixTable(), speeds, DurationTable())
    rows = [make_site(name, {"m0": []}).endpoint for name in ("i-1", "i-2")]
    request = RoutingRequest("m0", "", TOKENS, (), (), "zone-a")
    assert policy.choose(rows, request, 1.0).record.id == "i-2"
