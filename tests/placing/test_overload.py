"""Models on endpoints whose announced rate limit is below their request rate."""

from __future__ import annotations

import pytest

from chutelink.entry.demand import DemandTable
from chutelink.entry.messages import ModelUsage
from chutelink.limits.const import UNCONFIRMED_AFTER_S
from chutelink.placing.overload import mark_overloaded

from .placer_harness import ENDPOINT_ID, PlacerHarness, ScriptedEngine, run, skip_pauses
from .test_placement import make_site

ARRIVALS = 6
"""Gives an average of two requests per second over three seconds."""


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    skip_pauses(monkeypatch)


def make_demand(*models):
    demand = DemandTable()
    demand.take("d1", [ModelUsage(m, "", ARRIVALS, 0.2, 0) for m in models], 100.0)
    return demand


def make_limited(name, models, limit_per_s):
    site = make_site(name, models)
    site.endpoint.limit.note(limit_per_s, 100.0)
    return site


def overloaded(sites, demand):
    return [set(s.overloaded) for s in mark_overloaded(sites, demand, 100.0)]


def test_model_with_more_requests_than_its_endpoint_limit_is_not_held():
    sites = [make_limited("i-1", {"m0": []}, 1.0), make_site("i-2", {"m1": []})]
    assert overloaded(sites, make_demand("m0", "m1")) == [{"m0"}, set()]


def test_models_stay_where_a_limit_covers_their_requests():
    sites = [make_limited("i-1", {"m0": []}, 2.5), make_site("i-2", {"m1": []})]
    assert overloaded(sites, make_demand("m0")) == [set(), set()]


def test_rare_models_stay_at_a_limited_endpoint_and_busy_ones_move():
    sites = [make_limited("i-1", {"m0": [], "m1": []}, 1.0), make_site("i-2", {})]
    assert overloaded(sites, make_demand("m0")) == [{"m0"}, set()]


def test_overloaded_model_stays_marked_when_another_endpoint_holds_it():
    sites = [make_limited("i-1", {"m0": []}, 1.5), make_site("i-2", {"m0": []})]
    assert overloaded(sites, make_demand("m0")) == [{"m0"}, set()]


def test_limit_is_ignored_when_it_was_not_confirmed_for_long():
    """Otherwise an endpoint without requests would keep its limit forever."""
    sites = [make_limited("i-1", {"m0": []}, 1.0), make_site("i-2", {"m1": []})]
    later_s = 100.0 + UNCONFIRMED_AFTER_S + 0.1
    marked = mark_overloaded(sites, make_demand("m0"), later_s)
    assert [set(site.overloaded) for site in marked] == [set(), set()]


def test_no_model_is_marked_when_most_endpoints_are_limited():
    sites = [make_limited(f"i-{n}", {"m0": []}, 1.0) for n in range(3)]
    sites.append(make_site("i-3", {"m1": []}))
    assert overloaded(sites, make_demand("m0")) == [set()] * 4


def test_model_of_a_rate_limited_endpoint_is_loaded_elsewhere():
    async def async_test():
        harness = PlacerHarness(("m0", "m5"))
        others = [ScriptedEngine(("m7",)), ScriptedEngine(("m6",))]
        for number, engine in enumerate(others):
            harness.add(f"i-{number + 2}", engine)
        await harness.async_start()
        for _ in range(6):
            harness.table.rows[ENDPOINT_ID].limit.note(0.5, harness.core.now_s)
            uses = [ModelUsage("m5", "", 1, 0.05, 1), ModelUsage("m0", "", 20, 0.3, 0)]
            harness.demand.take("d1", uses, harness.core.now_s)
            await harness.async_tick(0.5)
        assert any("m5" in engine.models for engine in others)
        assert "m5" in harness.engine.models

    run(async_test)
