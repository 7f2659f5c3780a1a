"""Execution of placement changes against failing engines."""

from __future__ import annotations

import math

import msgspec
import pytest

from chutelink.entry.messages import ModelUsage, PendingLoad
from chutelink.exceptions import EndpointSilent
from chutelink.placing.changes import Change
from chutelink.placing.inventory import (
    EndpointReport,
    Inventory,
    OrderAction,
    OrderAnswer,
)

from .placer_harness import ENDPOINT_ID, PlacerHarness, ScriptedEngine, run, skip_pauses


class FakePartition:
    """A partition from all endpoints."""

    is_partitioned = True

    async def async_check(self, address):
        return True


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    skip_pauses(monkeypatch)


def test_requested_model_replaces_an_idle_one():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        harness.request_model("m1")
        await harness.async_tick(0.1)
        assert set(harness.engine.models) == {"m0", "m1"}
        assert harness.table.rows[ENDPOINT_ID].holds("m1")
        assert [o.fence for o in harness.engine.orders] == [1, 1]

    run(async_test)


def test_unload_is_announced_before_it_is_ordered():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        harness.request_model("m1")
        await harness.async_tick(0.1)
        first = next(message for message in harness.sent if message.loads)
        assert set(first.endpoints[0].models) == {"m0"}

    run(async_test)


def test_unreachable_endpoint_does_not_stop_the_placer():
    async def async_test():
        harness = PlacerHarness()
        harness.engine.is_unreachable = True
        await harness.async_tick()
        await harness.async_tick()
        assert not harness.engine.orders

    run(async_test)


def test_a_model_whose_endpoint_is_down_is_loaded_elsewhere():
    async def async_test():
        harness = PlacerHarness(("m0",))
        other = ScriptedEngine(("m7",))
        harness.add("i-2", other)
        await harness.async_start()
        harness.engine.is_unreachable = True
        harness.request_model("m0")
        harness.placer.recheck_endpoints([ENDPOINT_ID])
        await harness.async_tick(0.2)
        for _ in range(3):
            harness.request_model("m0")
            await harness.async_tick(0.5)
        assert "m0" in other.models
        down = [
            p
            for message in harness.sent
            for p in message.endpoints
            if p.endpoint == ENDPOINT_ID
        ]
        assert down[-1].models == {}

    run(async_test)


def fail_report():
    raise EndpointSilent("no response in time", step="test", peer=ENDPOINT_ID)


@pytest.mark.parametrize(("silent_s", "is_announced"), [(1.5, True), (4.5, False)])
def test_models_of_an_endpoint_stay_announced_while_it_is_briefly_silent(
    silent_s, is_announced
):
    """Guards against models that no daemon finds while their engines are stopped."""

    async def async_test():
        harness = PlacerHarness(("m0",))
        await harness.async_start()
        harness.sent.clear()
        harness.engine.before_report = fail_report
        harness.placer.recheck_endpoints([ENDPOINT_ID])
        for _ in range(round(silent_s / 0.5)):
            await harness.async_tick(0.5)
        announced = [p.models for message in harness.sent for p in message.endpoints]
        assert all(announced) is is_announced

    run(async_test)


def test_partitioned_placer_neither_plans_nor_unlists_models():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        harness.engine.is_unreachable = True
        harness.placer.partition = FakePartition()
        harness.request_model("m1")
        for _ in range(3):
            await harness.async_tick()
        announced = [p.models for message in harness.sent for p in message.endpoints]
        assert announced and all(models for models in announced)
        assert not harness.engine.orders
        assert not any(message.loads for message in harness.sent)

    run(async_test)


def test_lost_answer_is_resolved_by_a_report():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        harness.request_model("m1")
        harness.engine.answers_to_lose = 1
        await harness.async_tick(0.1)
        assert set(harness.engine.models) == {"m0", "m1"}

    run(async_test)


def test_delayed_order_has_no_effect_after_a_newer_one():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        harness.request_model("m1")
        harness.engine.orders_to_delay = 1
        await harness.async_tick(0.1)
        assert not harness.engine.orders
        harness.request_model("m1")
        await harness.async_tick(1.0)
        await harness.async_tick(0.1)
        assert set(harness.engine.models) == {"m0", "m1"}
        delayed = harness.engine.delayed_orders[0]
        assert harness.engine.handle_order(delayed) is OrderAnswer.CONFLICT

    run(async_test)


def test_delayed_order_is_not_mistaken_for_an_unanswered_one():
    async def async_test():
        harness = PlacerHarness()
        harness.engine.models["m0"] = {"a2"}
        await harness.async_start()
        inventory = harness.placer._inventories[ENDPOINT_ID]
        harness.engine.orders_to_delay = 2
        first = Change(ENDPOINT_ID, "m0", "a1", unload_adapters=(("m0", "a2"),))
        await harness.placer._async_execute(first, inventory)
        # The second order is lost, and the first one takes effect before the report.
        harness.engine.before_report = lambda: harness.engine.handle_order(
            harness.engine.delayed_orders[0]
        )
        second = Change(ENDPOINT_ID, "m1", unload_models=("m7",))
        await harness.placer._async_execute(second, inventory)
        assert set(harness.engine.models) == {"m0", "m7"}
        assert len(harness.engine.orders) == 1

    run(async_test)


def test_no_order_exceeds_the_capacity():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        inventory = harness.placer._inventories[ENDPOINT_ID]
        await harness.placer._async_execute(Change(ENDPOINT_ID, "m1"), inventory)
        assert not harness.engine.orders

    run(async_test)


def test_no_order_is_sent_after_the_lease_is_lost():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_tick()
        inventory = harness.placer._inventories[ENDPOINT_ID]
        harness.lease.is_held = False
        change = Change(ENDPOINT_ID, "m1", unload_models=("m7",))
        await harness.placer._async_execute(change, inventory)
        assert not harness.engine.orders

    run(async_test)


def test_adapter_in_use_occupies_its_slot_until_it_is_unloaded():
    async def async_test():
        harness = PlacerHarness()
        harness.engine.models["m0"] = {"a2", "a3"}
        await harness.async_start()
        harness.engine.has_adapters_in_use = True
        inventory = harness.placer._inventories[ENDPOINT_ID]
        change = Change(ENDPOINT_ID, "m0", "a1", unload_adapters=(("m0", "a2"),))
        harness.core.clock = iter(range(1000, 9000)).__next__
        await harness.placer._async_execute(change, inventory)
        assert [o.action for o in harness.engine.orders] == [OrderAction.UNLOAD]

    run(async_test)


def test_new_term_discards_known_inventories():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_tick()
        harness.engine.models = {"m2": set()}
        harness.engine.sequence = 7
        harness.lease.term = 2
        await harness.async_tick(0.1)
        assert harness.placer._inventories[ENDPOINT_ID].sequence == 7

    run(async_test)


def test_outdated_report_is_ignored():
    inventory = Inventory(ENDPOINT_ID)
    inventory.apply_report(EndpointReport(3, False, {"m0": frozenset()}), 0.0)
    inventory.apply_report(EndpointReport(2, False, {"m1": frozenset()}), 1.0)
    assert set(inventory.models) == {"m0"}


def test_nothing_is_planned_before_all_endpoints_have_reported():
    """Models on an endpoint without a report would be loaded a second time."""

    async def async_test():
        harness = PlacerHarness(("m7",))
        other = ScriptedEngine(("m1",))
        harness.add("i-2", other)
        for _ in range(2):
            await harness.async_tick(0.1)
        harness.placer._inventories["i-2"].sequence = -1
        harness.placer._inventories["i-2"].is_changing = True
        harness.request_model("m1")
        await harness.async_tick(0.1)
        assert not any(order.model == "m1" for order in harness.engine.orders)

    run(async_test)


def test_remaining_time_of_a_previous_holders_load_is_known():
    async def async_test():
        harness = PlacerHarness(("m0",))
        await harness.async_start()
        load = PendingLoad(ENDPOINT_ID, "m1", "", 4.0)
        harness.placer._tracker._announced.take([load], 1, harness.core.now_s)
        assert harness.placer._sites("llm")[0].free_in_s == 0.0
        harness.placer._inventories[ENDPOINT_ID].is_busy = True
        assert harness.placer._sites("llm")[0].free_in_s == 4.0
        harness.core.now_s += 5.0
        assert harness.placer._sites("llm")[0].free_in_s == math.inf

    run(async_test)


def test_endpoint_busy_with_a_previous_holders_order_is_polled_soon():
    async def async_test():
        harness = PlacerHarness(("m0",))
        await harness.async_start()
        inventory = harness.placer._inventories[ENDPOINT_ID]
        inventory.is_busy = True
        read_s = inventory.read_s
        await harness.async_tick(0.2)
        assert inventory.read_s == read_s
        await harness.async_tick(0.2)
        assert inventory.read_s > read_s
        assert not inventory.is_busy

    run(async_test)


def test_uncounted_order_blocks_an_endpoint_only_briefly():
    """Later orders conflicted after an endpoint did not count an adapter's unload.

    It had answered that the adapter, which it was still loading, was not there.
    """

    async def async_test():
        harness = PlacerHarness(("m0",))
        await harness.async_start()
        inventory = harness.placer._inventories[ENDPOINT_ID]
        inventory.sequence += 1
        harness.request_model("m1")
        await harness.async_tick(0.1)
        assert set(harness.engine.models) == {"m0"}
        for _ in range(6):
            harness.request_model("m1")
            await harness.async_tick(0.4)
        assert set(harness.engine.models) == {"m0", "m1"}

    run(async_test)


def test_endpoint_with_outdated_reports_is_not_polled_continuously():
    async def async_test():
        harness = PlacerHarness(("m0",))
        await harness.async_start()
        inventory = harness.placer._inventories[ENDPOINT_ID]
        inventory.sequence += 1
        inventory.read_s = float("-inf")
        # Any demand disables prefetching.
        harness.demand.take("d1", [ModelUsage("m0", "", 1, 0.1, 0)], harness.core.now_s)
        await harness.async_tick(0.01)
        read_s = inventory.read_s
        assert read_s == harness.core.now_s
        await harness.async_tick(0.01)
        assert inventory.read_s == read_s

    run(async_test)


def test_endpoint_restarted_under_its_id_gets_a_new_inventory():
    """The new process counts from zero; its reports were ignored as outdated."""

    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        harness.engine.sequence = 57
        await harness.async_tick()
        record = harness.table.rows[ENDPOINT_ID].record
        harness.table.put(msgspec.structs.replace(record, born_ms=2000, models={}), 0.0)
        harness.engine.models = {"m1": set()}
        harness.engine.sequence = 0
        harness.engine.born_ms = 2000
        await harness.async_tick(0.1)
        assert set(harness.placer._inventories[ENDPOINT_ID].models) == {"m1"}
        assert harness.table.rows[ENDPOINT_ID].holds("m1")

    run(async_test)


def make_report(sequence, models, born_ms):
    return EndpointReport(sequence, False, models, born_ms=born_ms)


def test_report_of_a_new_process_replaces_the_inventory():
    inventory = Inventory(ENDPOINT_ID, 1000)
    inventory.apply_report(make_report(57, {"m0": frozenset()}, 1000), 0.0)
    inventory.apply_report(make_report(1, {"m1": frozenset()}, 2000), 0.1)
    assert inventory.sequence == 1 and set(inventory.models) == {"m1"}
    inventory.apply_report(make_report(58, {"m0": frozenset()}, 1000), 0.2)
    assert inventory.sequence == 1 and set(inventory.models) == {"m1"}
