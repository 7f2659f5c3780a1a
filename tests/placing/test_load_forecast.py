"""Forecasts of when queued models will be loaded."""

from __future__ import annotations

import math

import msgspec
import pytest

from chutelink.entry.demand import DemandTable
from chutelink.entry.messages import ModelUsage
from chutelink.placing.changes import PlacementView
from chutelink.placing.load_forecast import forecast_loads
from chutelink.placing.placement import DemandPlacement

from .placer_harness import ENDPOINT_ID, PlacerHarness, run, skip_pauses
from .test_placement import make_engine, make_site


def make_view(free_in_s, demand=None, **copies):
    sites = []
    for number, free_s in enumerate(free_in_s):
        site = make_site(f"i-{number}", {"m7": []}, **copies)
        site.inventory.is_changing = free_s > 0
        sites.append(msgspec.structs.replace(site, free_in_s=free_s))
    return PlacementView(make_engine(), sites, {}, demand or DemandTable(), 9, 100.0)


def test_queued_models_are_assigned_to_the_earliest_free_endpoints():
    view = make_view([0.0, 2.0])
    cold_s = view.engine.models["m1"].cold_load_s
    ready_s = forecast_loads(view, ["m1", "m2", "m3"])
    assert ready_s["m1"] == pytest.approx(cold_s)
    assert ready_s["m2"] == pytest.approx(min(2.0, cold_s) + cold_s)
    assert ready_s["m3"] > ready_s["m2"] - 1e-9


def test_local_copy_of_the_weights_shortens_the_forecast():
    view = make_view([1.0], on_disk=("m1",))
    disk_s = view.engine.models["m1"].disk_load_s
    assert forecast_loads(view, ["m1"])["m1"] == pytest.approx(1.0 + disk_s)


def test_no_forecast_without_an_endpoint_that_becomes_free():
    assert forecast_loads(make_view([math.inf]), ["m1"]) == {}


def test_callers_are_not_told_to_wait_for_a_load_that_the_rate_limit_does_not_allow():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        limiter = harness.placer.cold_load_limiters.get(
            "llm", make_engine().cold_loads_per_s, is_first_term=True
        )
        started_s = harness.core.now_s
        while limiter.available(started_s):
            limiter.record_start(started_s)
        harness.request_model("m1")
        await harness.async_tick(1.0)
        allowed_s = started_s + harness.placer.cold_load_limiters.window_s
        ready_s = harness.core.now_s + harness.sent[-1].queued[0].ready_in_s
        assert harness.sent[-1].queued[0].model == "m1"
        assert ready_s >= allowed_s + make_engine().models["m1"].cold_load_s

    run(async_test)


def test_load_that_waits_for_the_rate_limit_does_not_put_off_loads_from_disk():
    view = make_view([0.0], on_disk=("m2",))
    view = msgspec.structs.replace(view, cold_load_in_s=3.5)
    ready_s = forecast_loads(view, ["m1", "m2"])
    assert ready_s["m1"] == pytest.approx(7.5)
    assert ready_s["m2"] == pytest.approx(0.8)


def test_requested_models_that_no_endpoint_loads_are_queued():
    demand = DemandTable()
    demand.take("d1", [ModelUsage(f"m{n}", "", 1, 0.1, 1, 1) for n in (1, 2)], 100.0)
    policy = DemandPlacement()
    policy.plan(make_view([3.0, 4.0], demand))
    assert sorted(policy.queued) == ["m1", "m2"]
    free = make_view([0.0, 0.0], demand, on_disk=("m1", "m2"))
    assert {change.model for change in policy.plan(free)} >= {"m1", "m2"}
    assert policy.queued == []


def test_forecast_of_queued_models_is_announced(monkeypatch):
    skip_pauses(monkeypatch)

    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        harness.request_model("m1")
        harness.request_model("m2")
        await harness.async_tick(0.1)
        queued = [load for message in harness.sent for load in message.queued]
        loading = {load.model for message in harness.sent for load in message.loads}
        assert queued
        assert all(load.ready_in_s > 0 for load in queued)
        assert ENDPOINT_ID in harness.table.rows and loading

    run(async_test)
