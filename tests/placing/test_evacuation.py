"""Orders and loads when the failure domain of endpoints is evacuated."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from chutelink.eligibility.checker import EligibilityChecker
from chutelink.entry.messages import PendingLoad
from chutelink.entry.pending import PendingTable
from chutelink.evacuation.rule import EvacuationRule
from chutelink.evacuation.table import EvacuationTable
from chutelink.placing import orders as orders_module
from chutelink.placing.inventory import OrderAction
from chutelink.watching.table_state import RowChange

from .placer_harness import PlacerHarness, ScriptedEngine, run, skip_pauses


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    skip_pauses(monkeypatch)


class EvacuationHarness(PlacerHarness):
    """Two endpoints, in the failure domains ``zone-a`` and ``zone-b``."""

    def __init__(self):
        super().__init__()
        self.other = ScriptedEngine(("m5", "m6"))
        self.add("i-2", self.other, "zone-b")
        self.evacuations = EvacuationTable(self.core)
        self.evacuations.on_changed = self.placer.wake
        self.placer.eligibility = EligibilityChecker(
            (EvacuationRule(self.evacuations),)
        )

    def evacuate(self, value):
        self.evacuations.apply_row("zone-a", RowChange("k", value))


def test_models_of_an_evacuated_domain_are_loaded_elsewhere_at_once():
    """Guards against models that nobody can serve, and against orders there.

    Taking the domain back must not load the model there again, since what its
    endpoints hold stays known.
    """

    async def async_test():
        harness = EvacuationHarness()
        await harness.async_start()
        harness.evacuate({})
        assert harness.placer._wake.is_set()
        harness.request_model("m0")
        await harness.async_tick(0.1)
        assert "m0" in harness.other.models
        assert harness.engine.orders == []
        inventory = harness.placer._inventories["i-1"]
        assert inventory.has("m0")
        assert harness.table.rows["i-1"].holds("m0")
        harness.evacuate(None)
        for _ in range(3):
            harness.request_model("m0")
            await harness.async_tick(0.1)
        assert harness.placer._inventories["i-1"] is inventory
        orders = {(o.action, o.model, o.adapter) for o in harness.engine.orders}
        assert (OrderAction.LOAD, "m0", "") not in orders

    run(async_test)


def test_change_in_progress_stops_and_its_model_is_loaded_elsewhere(monkeypatch):
    """Guards against a load order that follows an unload after the evacuation."""

    async def async_test():
        harness = EvacuationHarness()
        await harness.async_start()
        harness.other.is_unreachable = True
        await harness.async_tick()
        harness.request_model("m1")

        async def async_evacuate(seconds):
            if [o.action for o in harness.engine.orders] == [OrderAction.UNLOAD]:
                harness.evacuate({})

        fake = SimpleNamespace(sleep=async_evacuate)
        monkeypatch.setattr(orders_module, "asyncio", fake)
        await harness.async_tick(0.1)
        assert [o.action for o in harness.engine.orders] == [OrderAction.UNLOAD]
        harness.other.is_unreachable = False
        await harness.async_tick()
        for _ in range(3):
            harness.request_model("m1")
            await harness.async_tick(0.1)
        assert "m1" in harness.other.models
        assert len(harness.engine.orders) == 1

    run(async_test)


def test_load_in_progress_there_does_not_count_as_a_replica():
    """Guards against a wait for a load whose endpoint gets no requests."""

    async def async_test():
        harness = EvacuationHarness()
        await harness.async_start()
        harness.request_model("m1")
        harness.core.now_s += 0.1
        await harness.placer._async_tick()
        begun = next(iter(harness.placer._tracker._changes.values()))[0]
        domain = harness.table.rows[begun.endpoint].record.failure_domain
        harness.evacuations.apply_row(domain, RowChange("k", {}))
        loading = harness.placer._tracker.loading(
            harness.placer._inventories, harness.placer._is_eligible_endpoint
        )
        assert (begun.model, begun.adapter) not in loading
        while harness.tasks:
            await harness.tasks.pop(0)

    run(async_test)


def test_announced_load_there_is_not_waited_for():
    """Guards against requests that wait for an endpoint that gets none."""
    pending = PendingTable()
    pending.is_eligible = lambda endpoint: endpoint != "i-1"
    loads = [PendingLoad("i-1", "m1", "", 1.0, True), PendingLoad("i-2", "m1", "", 4.0)]
    pending.take(loads, 1, 100.0)
    assert pending.ready_s("m1", "", 100.0) == 104.0
    assert pending.cold_begun_s() == [100.0]
