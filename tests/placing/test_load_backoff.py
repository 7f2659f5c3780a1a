"""Backoff of loads of a model that crashes every engine."""

from __future__ import annotations

import msgspec
import pytest

from chutelink.entry.endpoints import EndpointState
from chutelink.exceptions import EndpointFailed
from chutelink.placing.inventory import OrderAction
from chutelink.placing.load_backoff import (
    EXITS_WITHOUT_BACKOFF,
    MAX_BACKOFF_S,
    LoadBackoff,
)

from .placer_harness import ENDPOINT_ID, PlacerHarness, ScriptedEngine, run, skip_pauses

CRASHING_MODEL = "m1"
SECONDS = 30


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    skip_pauses(monkeypatch)


class CrashingEngine(ScriptedEngine):
    """Exits when it is ordered to load the crashing model, and restarts empty."""

    def __init__(self, harness, name):
        super().__init__(("m0",))
        self.harness = harness
        self.name = name
        self.exits = 0

    async def async_order(self, endpoint, order):
        if order.model != CRASHING_MODEL or order.action is not OrderAction.LOAD:
            return await super().async_order(endpoint, order)
        self.exits += 1
        self.born_ms += 1
        self.sequence = 0
        self.models = {}
        record = self.harness.table.rows[self.name].record
        record = msgspec.structs.replace(record, born_ms=self.born_ms, models={})
        self.harness.table.put(record, 0.0)
        raise EndpointFailed("reset", step="test")


def test_model_that_crashes_its_engines_is_loaded_with_backoff():
    async def async_test():
        harness = PlacerHarness()
        engines = [CrashingEngine(harness, f"i-{n}") for n in range(5, 9)]
        for engine in engines:
            harness.add(engine.name, engine)
        harness.engine.is_unreachable = True
        for _ in range(SECONDS * 10):
            harness.request_model(CRASHING_MODEL)
            await harness.async_tick(0.1)
        # Two loads immediately, then with exponential backoff.
        assert 2 <= sum(engine.exits for engine in engines) <= 6
        # Other models are still loaded.
        harness.request_model("m3")
        for _ in range(20):
            await harness.async_tick(0.1)
        assert any("m3" in engine.models for engine in engines)

    run(async_test)


@pytest.fixture
def backoff():
    return LoadBackoff()


def test_single_exit_causes_no_backoff(backoff):
    backoff.record_exit(CRASHING_MODEL, 0.0)
    assert not backoff.paused_models(0.0)


def test_backoff_grows_to_a_limit_and_is_reset_by_a_successful_load(backoff):
    now_s = 0.0
    for _ in range(EXITS_WITHOUT_BACKOFF + 20):
        backoff.record_exit(CRASHING_MODEL, now_s)
        now_s += MAX_BACKOFF_S
    assert backoff.paused_models(now_s - 0.1) == {CRASHING_MODEL}
    assert not backoff.paused_models(now_s)
    backoff.record_exit(CRASHING_MODEL, now_s)
    backoff.record_success(CRASHING_MODEL)
    assert not backoff.paused_models(now_s)


def test_engine_that_leaves_during_a_load_has_not_exited():
    async def async_test():
        harness = PlacerHarness()
        row = harness.table.rows[ENDPOINT_ID]
        draining = EndpointState.DRAINING
        harness.table.put(msgspec.structs.replace(row.record, state=draining), 0.0)
        assert not await harness.placer._async_has_exited(row)
        harness.table.remove(ENDPOINT_ID)
        assert not await harness.placer._async_has_exited(row)

    run(async_test)


def test_engine_with_a_new_process_has_exited():
    async def async_test():
        harness = PlacerHarness()
        row = harness.table.rows[ENDPOINT_ID]
        harness.table.put(msgspec.structs.replace(row.record, born_ms=5), 0.0)
        assert await harness.placer._async_has_exited(row)

    run(async_test)
