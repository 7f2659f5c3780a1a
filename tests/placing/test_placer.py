"""Carrying out placement against an engine that fails in every way."""

from __future__ import annotations

import math

import msgspec
import pytest

from chutelink.entry.news import ModelUse, PendingLoad
from chutelink.placing.changes import Change
from chutelink.placing.inventory import (
    EndpointReport,
    Inventory,
    OrderAction,
    OrderAnswer,
)

from .placing_world import NOBODY, ScriptedEngine, World, run, skip_pauses


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    skip_pauses(monkeypatch)


def test_a_wanted_model_takes_the_place_of_an_idle_one():
    async def async_test():
        world = World()
        await world.async_start()
        world.want("m1")
        await world.async_tick(0.1)
        assert set(world.engine.models) == {"m0", "m1"}
        assert world.table.rows[NOBODY].holds("m1")
        assert [o.fence for o in world.engine.orders] == [1, 1]

    run(async_test)


def test_others_hear_of_a_model_that_closes_before_it_is_unloaded():
    async def async_test():
        world = World()
        await world.async_start()
        world.want("m1")
        await world.async_tick(0.1)
        first = next(news for news in world.sent if news.loads)
        assert set(first.endpoints[0].models) == {"m0"}

    run(async_test)


def test_an_endpoint_that_is_cut_off_does_not_end_the_placer():
    async def async_test():
        world = World()
        world.engine.is_unreachable = True
        await world.async_tick()
        await world.async_tick()
        assert not world.engine.orders

    run(async_test)


def test_a_model_whose_endpoint_is_down_is_loaded_elsewhere():
    async def async_test():
        world = World(("m0",))
        other = ScriptedEngine(("m7",))
        world.add("i-2", other)
        await world.async_start()
        world.engine.is_unreachable = True
        world.want("m0")
        world.placer.doubt([NOBODY])
        await world.async_tick(0.2)
        for _ in range(3):
            world.want("m0")
            await world.async_tick(0.5)
        assert "m0" in other.models
        down = [
            p for news in world.sent for p in news.endpoints if p.endpoint == NOBODY
        ]
        assert down[-1].models == {}

    run(async_test)


def test_a_lost_answer_is_settled_by_a_report():
    async def async_test():
        world = World()
        await world.async_start()
        world.want("m1")
        world.engine.lose_answers = 1
        await world.async_tick(0.1)
        assert set(world.engine.models) == {"m0", "m1"}

    run(async_test)


def test_a_late_order_takes_no_effect_after_a_newer_one():
    async def async_test():
        world = World()
        await world.async_start()
        world.want("m1")
        world.engine.make_late = 1
        await world.async_tick(0.1)
        assert not world.engine.orders
        world.want("m1")
        await world.async_tick(1.0)
        await world.async_tick(0.1)
        assert set(world.engine.models) == {"m0", "m1"}
        late = world.engine.late[0]
        assert world.engine.take(late) is OrderAnswer.CONFLICT

    run(async_test)


def test_a_late_order_is_not_taken_for_the_one_whose_answer_was_lost():
    async def async_test():
        world = World()
        world.engine.models["m0"] = {"a2"}
        await world.async_start()
        inventory = world.placer._inventories[NOBODY]
        world.engine.make_late = 2
        first = Change(NOBODY, "m0", "a1", unload_adapters=(("m0", "a2"),))
        await world.placer._async_carry_out(first, inventory)
        # The second order is lost, and the first one takes effect meanwhile.
        world.engine.before_report = lambda: world.engine.take(world.engine.late[0])
        second = Change(NOBODY, "m1", unload_models=("m7",))
        await world.placer._async_carry_out(second, inventory)
        assert set(world.engine.models) == {"m0", "m7"}
        assert len(world.engine.orders) == 1

    run(async_test)


def test_nothing_is_ordered_without_room():
    async def async_test():
        world = World()
        await world.async_start()
        inventory = world.placer._inventories[NOBODY]
        await world.placer._async_carry_out(Change(NOBODY, "m1"), inventory)
        assert not world.engine.orders

    run(async_test)


def test_nothing_is_sent_once_the_lease_is_lost():
    async def async_test():
        world = World()
        await world.async_tick()
        inventory = world.placer._inventories[NOBODY]
        world.lease.is_held = False
        change = Change(NOBODY, "m1", unload_models=("m7",))
        await world.placer._async_carry_out(change, inventory)
        assert not world.engine.orders

    run(async_test)


def test_an_adapter_in_use_keeps_its_place_until_it_has_gone():
    async def async_test():
        world = World()
        world.engine.models["m0"] = {"a2", "a3"}
        await world.async_start()
        world.engine.in_use = True
        inventory = world.placer._inventories[NOBODY]
        change = Change(NOBODY, "m0", "a1", unload_adapters=(("m0", "a2"),))
        world.core.clock = iter(range(1000, 9000)).__next__
        await world.placer._async_carry_out(change, inventory)
        assert [o.action for o in world.engine.orders] == [OrderAction.UNLOAD]

    run(async_test)


def test_a_new_term_forgets_what_the_former_one_knew():
    async def async_test():
        world = World()
        await world.async_tick()
        world.engine.models = {"m2": set()}
        world.engine.sequence = 7
        world.lease.term = 2
        await world.async_tick(0.1)
        assert world.placer._inventories[NOBODY].sequence == 7

    run(async_test)


def test_a_report_from_before_an_order_is_ignored():
    inventory = Inventory(NOBODY)
    inventory.take_report(EndpointReport(3, False, {"m0": frozenset()}), 0.0)
    inventory.take_report(EndpointReport(2, False, {"m1": frozenset()}), 1.0)
    assert set(inventory.models) == {"m0"}


def test_nothing_is_planned_before_all_endpoints_have_reported():
    """What one holds that has not reported yet would be loaded a second time."""

    async def async_test():
        world = World(("m7",))
        other = ScriptedEngine(("m1",))
        world.add("i-2", other)
        for _ in range(2):
            await world.async_tick(0.1)
        world.placer._inventories["i-2"].sequence = -1
        world.placer._inventories["i-2"].is_changing = True
        world.want("m1")
        await world.async_tick(0.1)
        assert not any(order.model == "m1" for order in world.engine.orders)

    run(async_test)


def test_the_end_of_a_load_that_a_former_holder_began_is_known():
    async def async_test():
        world = World(("m0",))
        await world.async_start()
        load = PendingLoad(NOBODY, "m1", "", 4.0)
        world.placer._board._announced.take([load], 1, world.core.now_s)
        assert world.placer._sites("llm")[0].free_in_s == 0.0
        world.placer._inventories[NOBODY].is_busy = True
        assert world.placer._sites("llm")[0].free_in_s == 4.0
        world.core.now_s += 5.0
        assert world.placer._sites("llm")[0].free_in_s == math.inf

    run(async_test)


def test_an_endpoint_that_is_busy_with_a_former_holders_order_is_asked_soon():
    async def async_test():
        world = World(("m0",))
        await world.async_start()
        inventory = world.placer._inventories[NOBODY]
        inventory.is_busy = True
        read_s = inventory.read_s
        await world.async_tick(0.2)
        assert inventory.read_s == read_s
        await world.async_tick(0.2)
        assert inventory.read_s > read_s
        assert not inventory.is_busy

    run(async_test)


def test_an_order_that_the_endpoint_did_not_count_bars_it_only_for_a_moment():
    """It answered that an adapter on its way was gone; no further order fitted."""

    async def async_test():
        world = World(("m0",))
        await world.async_start()
        inventory = world.placer._inventories[NOBODY]
        inventory.sequence += 1
        world.want("m1")
        await world.async_tick(0.1)
        assert set(world.engine.models) == {"m0"}
        for _ in range(6):
            world.want("m1")
            await world.async_tick(0.4)
        assert set(world.engine.models) == {"m0", "m1"}

    run(async_test)


def test_an_endpoint_whose_reports_lag_is_not_asked_without_a_pause():
    async def async_test():
        world = World(("m0",))
        await world.async_start()
        inventory = world.placer._inventories[NOBODY]
        inventory.sequence += 1
        inventory.read_s = float("-inf")
        # Something is asked for, so that nothing is fetched in advance.
        world.demand.take("d1", [ModelUse("m0", "", 1, 0.1, 0)], world.core.now_s)
        await world.async_tick(0.01)
        read_s = inventory.read_s
        assert read_s == world.core.now_s
        await world.async_tick(0.01)
        assert inventory.read_s == read_s

    run(async_test)


def test_an_endpoint_that_restarts_under_its_id_is_planned_for_anew():
    """Its reports count fewer orders than before and were held for late ones."""

    async def async_test():
        world = World()
        await world.async_start()
        world.engine.sequence = 57
        await world.async_tick()
        record = world.table.rows[NOBODY].record
        world.table.put(msgspec.structs.replace(record, born_ms=2000, models={}), 0.0)
        world.engine.models = {"m1": set()}
        world.engine.sequence = 0
        world.engine.born_ms = 2000
        await world.async_tick(0.1)
        assert set(world.placer._inventories[NOBODY].models) == {"m1"}
        assert world.table.rows[NOBODY].holds("m1")

    run(async_test)


def make_report(sequence, models, born_ms):
    return EndpointReport(sequence, False, models, born_ms=born_ms)


def test_a_report_of_another_process_replaces_what_is_known_at_once():
    inventory = Inventory(NOBODY, 1000)
    inventory.take_report(make_report(57, {"m0": frozenset()}, 1000), 0.0)
    inventory.take_report(make_report(1, {"m1": frozenset()}, 2000), 0.1)
    assert inventory.sequence == 1 and set(inventory.models) == {"m1"}
    inventory.take_report(make_report(58, {"m0": frozenset()}, 1000), 0.2)
    assert inventory.sequence == 1 and set(inventory.models) == {"m1"}
