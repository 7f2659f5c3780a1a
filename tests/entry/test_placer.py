"""Carrying out placement against an engine that fails in every way."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

import pytest

from chutelink.entry import orders as orders_module
from chutelink.entry.changes import Change
from chutelink.entry.demand import DemandTable
from chutelink.entry.endpoints import EndpointRecord, EndpointState, EndpointTable
from chutelink.entry.health import HealthTable
from chutelink.entry.inventory import (
    EndpointReport,
    EngineClient,
    Inventory,
    OrderAction,
    OrderAnswer,
)
from chutelink.entry.news import ModelUse, PendingLoad, PlacementNews
from chutelink.entry.pending import PendingTable
from chutelink.entry.placement import DemandPlacement
from chutelink.entry.placer import Placer
from chutelink.exceptions import EndpointFailed, EndpointUnreachable, LeaseNotHeld
from chutelink.ids import ConfigVersion

from ..fakes import make_core
from .test_placement import make_engine

NOBODY = "i-1"


class ScriptedEngine(EngineClient):
    """An engine whose answers can be lost, late or refused."""

    def __init__(self, models):
        self.models = {name: set() for name in models}
        self.sequence = 0
        self.is_unreachable = False
        self.lose_answers = 0
        self.late = []
        self.make_late = 0
        self.orders = []
        self.in_use = False
        self.before_report = lambda: None

    async def async_report(self, endpoint):
        self.before_report()
        if self.is_unreachable:
            raise EndpointUnreachable("cut", step="test")
        models = {name: frozenset(held) for name, held in self.models.items()}
        return EndpointReport(self.sequence, False, models)

    async def async_order(self, endpoint, order):
        if self.is_unreachable:
            raise EndpointUnreachable("cut", step="test")
        if self.make_late:
            self.make_late -= 1
            self.late.append(order)
            raise EndpointFailed("no answer", step="test")
        answer = self.take(order)
        if self.lose_answers:
            self.lose_answers -= 1
            raise EndpointFailed("no answer", step="test")
        return answer

    def take(self, order):
        if order.expected_sequence != self.sequence:
            return OrderAnswer.CONFLICT
        self.orders.append(order)
        self.sequence += 1
        if order.adapter and order.action is OrderAction.UNLOAD and self.in_use:
            return OrderAnswer.ACCEPTED
        if order.adapter:
            held = self.models[order.model]
            change = held.add if order.action is OrderAction.LOAD else held.discard
            change(order.adapter)
        elif order.action is OrderAction.LOAD:
            self.models[order.model] = set()
        else:
            self.models.pop(order.model)
        assert len(self.models) <= 2
        return OrderAnswer.ACCEPTED


class Engines(EngineClient):
    """Several engines by the endpoint's id."""

    def __init__(self):
        self.by_id = {}

    async def async_report(self, endpoint):
        return await self.by_id[endpoint.record.id].async_report(endpoint)

    async def async_order(self, endpoint, order):
        return await self.by_id[endpoint.record.id].async_order(endpoint, order)


class HeldLease:
    """A lease that the test takes away."""

    def __init__(self):
        self.is_held = True
        self.may_order = True
        self.term = 1

    def begin_order(self):
        if not self.is_held:
            raise LeaseNotHeld("lost", step="test")
        return self.term


class World:
    def __init__(self, models=("m0", "m7")):
        self.core = make_core()
        self.engine = ScriptedEngine(models)
        self.engines = Engines()
        self.table = EndpointTable()
        self.add(NOBODY, self.engine)
        self.demand = DemandTable()
        self.lease = HeldLease()
        self.sent = []
        self.placer = Placer(
            self.core,
            self.lease,
            self.engines,
            self.table,
            self.demand,
            HealthTable(),
            PendingTable(),
            DemandPlacement(),
            self._keep,
        )
        service = SimpleNamespace(engine=make_engine())
        self.placer.config = SimpleNamespace(
            version=ConfigVersion(1), services={"llm": service}
        )
        self.tasks = []
        self.placer.add_future = self._add

    def add(self, name, engine):
        self.engines.by_id[name] = engine
        held = {model: frozenset() for model in engine.models}
        ready = EndpointState.READY
        record = EndpointRecord(name, "llm", "1:1", "zone-a", ready, 8, held)
        self.table.put(record, 0.0)

    def _keep(self, news):
        if isinstance(news, PlacementNews):
            self.sent.append(news)

    def _add(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def async_tick(self, seconds=5.0):
        self.core.now_s += seconds
        await self.placer._async_tick()
        while self.tasks:
            await self.tasks.pop(0)

    async def async_start(self):
        """Read the reports, then let cold loads be earned."""
        for _ in range(3):
            await self.async_tick()

    def want(self, model, adapter=""):
        uses = [ModelUse(model, adapter, 2, 0.2, 1), ModelUse("m0", "", 9, 0.3, 0)]
        self.demand.take("d1", uses, self.core.now_s)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    async def async_sleep(seconds):
        return None

    monkeypatch.setattr(
        orders_module,
        "asyncio",
        SimpleNamespace(sleep=async_sleep),
    )


def run(test):
    asyncio.run(test())


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
        world.placer._pending_table.take([load], 1, world.core.now_s)
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
