"""Endpoint selection by expected loss."""

from __future__ import annotations

import pytest

from chutelink.learning.durations import DurationTable
from chutelink.learning.health import HealthTable
from chutelink.learning.prefixes import PrefixTable
from chutelink.learning.speeds import SpeedTable
from chutelink.relaying.routing import LeastLoss, RoutingRequest

from ..placing.test_placement import make_site

NOW_S = 10.0
SLOTS = 8
"""Batch slots of the endpoints that make_site creates."""


class RoutingFixture:
    """A routing policy with its tables and two endpoints."""

    def __init__(self) -> None:
        self.health = HealthTable()
        self.prefixes = PrefixTable()
        self.speeds = SpeedTable()
        self.durations = DurationTable()
        self.policy = LeastLoss(self.health, self.prefixes, self.speeds, self.durations)
        self.rows = {}
        for name in ("i-1", "i-2"):
            self.rows[name] = make_site(name, {"m0": []}).endpoint

    def choose(self, tokens: int = 800, chain: tuple[int, ...] = ()) -> str:
        request = RoutingRequest(
            "m0", "", tokens, chain, (tokens,) * len(chain), "zone-a", 0.4
        )
        return self.policy.choose(list(self.rows.values()), request, NOW_S).record.id


def test_endpoint_with_pauses_is_preferred_over_overloaded_one():
    fixture = RoutingFixture()
    fixture.rows["i-1"].other_requests = 2 * SLOTS
    fixture.health.note_streams("i-2", 20, 12, NOW_S)
    assert fixture.choose() == "i-2"


def test_endpoint_with_fewer_requests_in_flight_is_preferred():
    fixture = RoutingFixture()
    fixture.rows["i-1"].requests = 3
    assert fixture.choose() == "i-2"


def test_endpoint_with_prompt_backlog_is_avoided():
    fixture = RoutingFixture()
    fixture.rows["i-1"].other_reading_s = 0.4
    fixture.rows["i-2"].requests = 2
    assert fixture.choose() == "i-2"


def test_cached_prompt_outweighs_request_in_flight():
    fixture = RoutingFixture()
    fixture.prefixes.note("i-1", (7,), NOW_S)
    fixture.rows["i-1"].requests = 1
    assert fixture.choose(tokens=9000, chain=(7,)) == "i-1"


def test_long_prompt_avoids_endpoint_with_active_streams():
    fixture = RoutingFixture()
    fixture.rows["i-1"].requests = 2
    fixture.rows["i-2"].other_reading_s = 0.2
    for _ in range(200):
        fixture.speeds.note_prompt(0.02)
    assert fixture.choose(tokens=100) == "i-1"
    assert fixture.choose(tokens=4000) == "i-2"


def test_failing_endpoint_is_avoided():
    fixture = RoutingFixture()
    for _ in range(2):
        fixture.health.note_failure("i-1", NOW_S)
    fixture.rows["i-2"].requests = 3
    assert fixture.choose() == "i-2"


def test_requests_beyond_batch_wait_for_free_slot():
    fixture = RoutingFixture()
    fixture.durations.note("m0", 2.0)
    row = fixture.rows["i-1"]
    request = RoutingRequest("m0", "", 0, (), (), "zone-a", 0.4)
    row.requests = SLOTS - 1
    assert fixture.policy.expected_s(row, request, NOW_S) == 0.0
    row.requests = SLOTS + 3
    waited_s = fixture.policy.expected_s(row, request, NOW_S)
    assert waited_s == pytest.approx(4 * 2.0 / SLOTS)


def test_duration_of_unseen_model_is_estimated_from_other_models():
    durations = DurationTable()
    assert durations.mean_s("m0") == 0.0
    for _ in range(50):
        durations.note("m0", 2.0)
        durations.note("m1", 1.0)
    assert durations.mean_s("m0") == pytest.approx(2.0)
    assert 1.0 < durations.mean_s("m2") < 2.0


def test_endpoint_is_reported_unreachable_only_during_backoff():
    health = HealthTable()
    health.note_unreachable("i-1", NOW_S)
    assert health.unreachable(NOW_S + 0.1) == ["i-1"]
    assert health.unreachable(NOW_S + 60.0) == []
