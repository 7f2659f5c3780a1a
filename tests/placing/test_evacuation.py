"""Orders and loads when the failure domain of an endpoint is evacuated."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from chutelink.eligibility.checker import EligibilityChecker
from chutelink.evacuation.rule import EvacuationRule
from chutelink.evacuation.table import EvacuationTable
from chutelink.placing import orders as orders_module
from chutelink.placing.inventory import OrderAction
from chutelink.watching.table_state import RowChange

from .placer_harness import PlacerHarness, ScriptedEngine, run


@pytest.mark.parametrize("is_changing", [False, True])
def test_models_of_an_evacuated_domain_are_loaded_elsewhere(monkeypatch, is_changing):
    """Guards against models that nobody can serve, and against orders there.

    If the endpoint is changing, the evacuation begins between an unload and the load
    that follows. What it holds must stay known, so that it isn't loaded again later.
    """
    model, done = ("m1", [OrderAction.UNLOAD]) if is_changing else ("m0", [])

    async def async_test():
        harness = PlacerHarness()
        evacuations = EvacuationTable(harness.core)
        evacuations.on_changed = harness.placer.wake
        harness.placer.eligibility = EligibilityChecker((EvacuationRule(evacuations),))

        async def async_sleep(seconds):
            if is_changing and harness.engine.orders:
                evacuations.apply_row("zone-a", RowChange("k", {}))

        fake = SimpleNamespace(sleep=async_sleep)
        monkeypatch.setattr(orders_module, "asyncio", fake)
        await harness.async_start()
        if is_changing:
            harness.request_model(model)
            await harness.async_tick(0.1)
        else:
            evacuations.apply_row("zone-a", RowChange("k", {}))
        assert harness.placer._wake.is_set()
        other = ScriptedEngine(("m5", "m6"))
        harness.add("i-2", other, "zone-b")
        await harness.async_tick()
        for _ in range(3):
            harness.request_model(model)
            await harness.async_tick(0.1)
        assert model in other.models
        assert [order.action for order in harness.engine.orders] == done
        assert harness.placer._inventories["i-1"].has("m0")
        assert harness.table.rows["i-1"].holds("m0")

    run(async_test)
