"""Endpoint selection that weighs held prefixes, where holding them misleads."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.learning.durations import DurationTable
from chutelink.learning.health import HealthTable
from chutelink.learning.held_prefixes import HeldPrefixTable
from chutelink.learning.speeds import FIRST_EVENT_S, SpeedTable
from chutelink.relaying.prefix_weighing import PrefixWeighing, make_routing_policy
from chutelink.relaying.routing import LeastLoss, RoutingRequest

from ..placing.test_placement import make_site
from .prefix_play import SHAPES, Play
from .relay_harness import async_relay_harness
from .test_routing import NOW_S, SLOTS

CAPACITY = 10_000
REQUEST = RoutingRequest("m0", "", 4000, (1, 2), (3000, 4000), "zone-a", 0.8, 100)


class WeighingFixture:
    """Two endpoints, of which ``i-2`` holds the prefix of the request."""

    def __init__(self) -> None:
        self.prefixes = HeldPrefixTable(lambda endpoint: CAPACITY)
        self.speeds, self.durations = SpeedTable(), DurationTable()
        tables = (HealthTable(), self.prefixes, self.speeds, self.durations)
        self.policy = make_routing_policy(*tables, is_weighing=True)
        self.rows = [make_site(n, {"m0": []}).endpoint for n in ("i-1", "i-2")]
        self.first, self.holder = self.rows
        self.send("i-2", REQUEST.chain)

    def send(self, endpoint: str, chain: tuple[int, ...]) -> None:
        request = RoutingRequest("m0", "", 4000, chain, (3000, 4000), "zone-a", 0.8)
        self.prefixes.note(endpoint, chain, NOW_S, self.prefixes.sizes(request))

    def choose(self) -> str:
        return self.policy.choose(self.rows, REQUEST, NOW_S).record.id


def test_setting_chooses_the_policy():
    tables = (None, None, None, None)
    assert type(make_routing_policy(*tables, is_weighing=False)) is LeastLoss
    assert type(make_routing_policy(*tables, is_weighing=True)) is PrefixWeighing


def test_holder_is_chosen_and_expected_time_agrees():
    """The choice and the refusal of late requests assumed different reading times."""
    fixture = WeighingFixture()
    assert fixture.choose() == "i-2"
    expected_s = fixture.policy.expected_s(fixture.holder, REQUEST, NOW_S)
    assert expected_s == 0.0
    expected_s = fixture.policy.expected_s(fixture.first, REQUEST, NOW_S)
    assert expected_s == pytest.approx(fixture.speeds.read_s("m0", 4000))
    choice = fixture.policy.prefix_choice(fixture.first, fixture.rows, REQUEST, NOW_S)
    assert (choice.read_tokens, choice.held_tokens) == (4000, 0)
    assert choice.read_in_vain_tokens == 4000


def test_full_batch_is_not_chosen_for_its_prefix():
    """The saved reading time outweighed a short expected wait for a slot."""
    fixture = WeighingFixture()
    fixture.holder.requests = SLOTS
    fixture.first.requests = SLOTS - 1
    assert fixture.choose() == "i-1"
    fixture.first.requests = SLOTS
    assert fixture.choose() == "i-2"


def test_evicted_prefix_saves_nothing():
    """Memory full: other prompts have displaced the prefix."""
    fixture = WeighingFixture()
    for value in range(10, 16, 2):
        fixture.send("i-2", (value, value + 1))
    assert fixture.choose() == "i-1"


def test_full_memory_with_reused_parts_is_spared():
    """New prompts evicted what others were about to request again."""
    fixture = WeighingFixture()
    for _ in range(5):
        for value in range(10, 20, 2):
            fixture.send("i-1", (value, value + 1))
    unheld = RoutingRequest("m0", "", 4000, (90, 91), (3000, 4000), "zone-a", 0.8)
    chosen = fixture.policy.choose(fixture.rows, unheld, NOW_S)
    assert chosen is fixture.holder


def test_restarted_engine_is_not_preferred():
    fixture = WeighingFixture()
    fixture.prefixes.forget("i-2")
    assert fixture.choose() == "i-1"


def test_engine_that_unloaded_the_model_is_not_preferred():
    fixture = WeighingFixture()
    fixture.holder.models = {}
    fixture.prefixes.forget_unloaded(fixture.rows)
    fixture.holder.models = {"m0": frozenset()}
    assert fixture.choose() == "i-1"


@pytest.mark.parametrize(("backlog_s", "chosen"), [(0.0, "i-2"), (0.3, "i-1")])
def test_slow_engine_with_prefix_loses_where_its_wait_is_longer(backlog_s, chosen):
    """The slow engine's queue takes longer by its learned factor."""
    fixture = WeighingFixture()
    for _ in range(60):
        fixture.speeds.note("m0", "i-2", 0.1, 0.3 + FIRST_EVENT_S)
        fixture.speeds.note("m0", "i-1", 0.1, 0.1 + FIRST_EVENT_S)
    fixture.holder.other_reading_s = backlog_s
    assert fixture.choose() == chosen


def test_stale_estimate_after_a_freeze_is_not_trusted():
    """Prompts that a frozen daemon missed have displaced the prefix."""
    fixture = WeighingFixture()
    fixture.prefixes.note_alive(NOW_S)
    fixture.prefixes.note_alive(NOW_S + 30.0)
    assert fixture.choose() == "i-1"


@pytest.mark.parametrize("name", ["small", "large"])
def test_weighing_shortens_first_event_and_reads_less_in_vain(name):
    """One engine shape may not gain at the expense of the other."""
    without, weighed = (Play(SHAPES[name], on, seed=1) for on in (False, True))
    assert weighed.mean_s < without.mean_s
    assert weighed.in_vain < without.in_vain


@pytest.mark.parametrize("is_weighing", [False, True])
def test_tokens_are_counted_logged_and_reported_only_if_weighed(is_weighing):
    """Setting off, reports and log lines of requests stay as they were."""

    async def async_test():
        async with async_relay_harness(is_weighing) as harness:
            harness.configure()
            await harness.async_add("i-1", "llm", {"m0": []})
            lines = []
            harness.core.events.record = lambda event, **fields: lines.append(fields)
            headers = {"X_Model": "m0", "X_Token_Count": "2000,8"}
            headers["X_Prompt_Prefix"] = "a:900,b:1000"
            for number in (1, 2):
                request = harness.request("/stream/x", f"q{number}", **headers)
                async with request as answer:
                    await answer.read()
            await asyncio.sleep(0)
            counted = harness.core.metrics.prompt_tokens
            values = {labels["kind"]: value for labels, value in counted.get_all()}
            report = harness.loads.take("d1", harness.state.endpoints, [])
            sizes = [(size.parts, size.others) for size in report.prompt_sizes]
            held = [line.get("held_tokens") for line in lines if "took_s" in line]
            if is_weighing:
                assert values == {"read": 2100, "read_in_vain": 0, "saved": 1900}
                assert sizes == 2 * [([900, 1000], 108)]
                assert held == [0, 1900]
            else:
                assert (values, sizes, held) == ({}, [], [None, None])

    asyncio.run(async_test())
