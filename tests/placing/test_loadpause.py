"""A load that ends each engine that carries it out."""

from __future__ import annotations

import msgspec
import pytest

from chutelink.entry.endpoints import EndpointState
from chutelink.exceptions import EndpointFailed
from chutelink.placing.inventory import OrderAction
from chutelink.placing.loadpause import FREE_ENDINGS, MAX_PAUSE_S, LoadPauses

from .placing_world import NOBODY, ScriptedEngine, World, run, skip_pauses

DEADLY = "m1"
SECONDS = 30


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    skip_pauses(monkeypatch)


class MortalEngine(ScriptedEngine):
    """Ends when it is ordered to load one of the models, and starts again empty."""

    def __init__(self, world, name):
        super().__init__(("m0",))
        self.world = world
        self.name = name
        self.ends = 0

    async def async_order(self, endpoint, order):
        if order.model != DEADLY or order.action is not OrderAction.LOAD:
            return await super().async_order(endpoint, order)
        self.ends += 1
        self.born_ms += 1
        self.sequence = 0
        self.models = {}
        record = self.world.table.rows[self.name].record
        record = msgspec.structs.replace(record, born_ms=self.born_ms, models={})
        self.world.table.put(record, 0.0)
        raise EndpointFailed("reset", step="test")


def test_a_model_that_ends_its_engines_is_not_loaded_on_and_on():
    async def async_test():
        world = World()
        engines = [MortalEngine(world, f"i-{n}") for n in range(5, 9)]
        for engine in engines:
            world.add(engine.name, engine)
        world.engine.is_unreachable = True
        for _ in range(SECONDS * 10):
            world.want(DEADLY)
            await world.async_tick(0.1)
        # Twice at once, then after pauses that double.
        assert 2 <= sum(engine.ends for engine in engines) <= 6
        # Other models go on being loaded.
        world.want("m3")
        for _ in range(20):
            await world.async_tick(0.1)
        assert any("m3" in engine.models for engine in engines)

    run(async_test)


@pytest.fixture
def pauses():
    return LoadPauses()


def test_one_end_pauses_nothing(pauses):
    pauses.note_ended(DEADLY, 0.0)
    assert not pauses.paused(0.0)


def test_pauses_grow_up_to_a_limit_and_a_load_that_succeeds_ends_them(pauses):
    now_s = 0.0
    for _ in range(FREE_ENDINGS + 20):
        pauses.note_ended(DEADLY, now_s)
        now_s += MAX_PAUSE_S
    assert pauses.paused(now_s - 0.1) == {DEADLY}
    assert not pauses.paused(now_s)
    pauses.note_ended(DEADLY, now_s)
    pauses.note_loaded(DEADLY)
    assert not pauses.paused(now_s)


def test_an_engine_that_leaves_while_it_loads_is_no_end_of_it():
    async def async_test():
        world = World()
        row = world.table.rows[NOBODY]
        draining = EndpointState.DRAINING
        world.table.put(msgspec.structs.replace(row.record, state=draining), 0.0)
        assert not await world.placer._async_has_ended(row)
        world.table.remove(NOBODY)
        assert not await world.placer._async_has_ended(row)

    run(async_test)


def test_an_engine_that_is_another_process_now_has_ended():
    async def async_test():
        world = World()
        row = world.table.rows[NOBODY]
        world.table.put(msgspec.structs.replace(row.record, born_ms=5), 0.0)
        assert await world.placer._async_has_ended(row)

    run(async_test)
