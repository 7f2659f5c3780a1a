"""Which endpoint a request is sent to, by what is expected to be lost."""

from __future__ import annotations

import pytest

from chutelink.learning.durations import DurationTable
from chutelink.learning.health import HealthTable
from chutelink.learning.prefixes import PrefixTable
from chutelink.learning.speeds import SpeedTable
from chutelink.relaying.routing import Candidate, LeastLoss

from ..placing.test_placement import make_site

NOW_S = 10.0
SLOTS = 8
"""Of the endpoints that make_site makes."""


class Parts:
    """A policy and what it decides by."""

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
        request = Candidate(
            "m0", "", tokens, chain, (tokens,) * len(chain), "zone-a", 0.4
        )
        return self.policy.choose(list(self.rows.values()), request, NOW_S).record.id


def test_a_full_endpoint_is_left_for_one_whose_streams_paused():
    parts = Parts()
    parts.rows["i-1"].other_requests = 2 * SLOTS
    parts.health.note_streams("i-2", 20, 12, NOW_S)
    assert parts.choose() == "i-2"


def test_a_request_goes_where_fewer_are_under_way():
    parts = Parts()
    parts.rows["i-1"].requests = 3
    assert parts.choose() == "i-2"


def test_a_backlog_of_prompts_is_avoided():
    parts = Parts()
    parts.rows["i-1"].other_reading_s = 0.4
    parts.rows["i-2"].requests = 2
    assert parts.choose() == "i-2"


def test_a_kept_prompt_outweighs_some_requests():
    parts = Parts()
    parts.prefixes.note("i-1", (7,), NOW_S)
    parts.rows["i-1"].requests = 1
    assert parts.choose(tokens=9000, chain=(7,)) == "i-1"


def test_a_long_prompt_weighs_more_on_busy_endpoints():
    parts = Parts()
    parts.rows["i-1"].requests = 2
    parts.rows["i-2"].other_reading_s = 0.2
    for _ in range(200):
        parts.speeds.note_prompt(0.02)
    assert parts.choose(tokens=100) == "i-1"
    assert parts.choose(tokens=4000) == "i-2"


def test_an_endpoint_that_fails_is_avoided():
    parts = Parts()
    for _ in range(2):
        parts.health.note_failure("i-1", NOW_S)
    parts.rows["i-2"].requests = 3
    assert parts.choose() == "i-2"


def test_requests_beyond_the_batch_wait_for_a_place():
    parts = Parts()
    parts.durations.note("m0", 2.0)
    row = parts.rows["i-1"]
    request = Candidate("m0", "", 0, (), (), "zone-a", 0.4)
    row.requests = SLOTS - 1
    assert parts.policy.expected_s(row, request, NOW_S) == 0.0
    row.requests = SLOTS + 3
    waited_s = parts.policy.expected_s(row, request, NOW_S)
    assert waited_s == pytest.approx(4 * 2.0 / SLOTS)


def test_durations_of_models_not_seen_are_like_the_others():
    durations = DurationTable()
    assert durations.mean_s("m0") == 0.0
    for _ in range(50):
        durations.note("m0", 2.0)
        durations.note("m1", 1.0)
    assert durations.mean_s("m0") == pytest.approx(2.0)
    assert 1.0 < durations.mean_s("m2") < 2.0


def test_an_endpoint_is_told_of_as_unreachable_only_while_it_is_left_alone():
    health = HealthTable()
    health.note_unreachable("i-1", NOW_S)
    assert health.unreachable(NOW_S + 0.1) == ["i-1"]
    assert health.unreachable(NOW_S + 60.0) == []
