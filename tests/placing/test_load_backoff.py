"""Backoff of loads of a model that crashes every engine."""

from __future__ import annotations

import msgspec
import pytest

from chutelink.entry.endpoints import EndpointState
from chutelink.entry.pending import PendingTable
from chutelink.exceptions import EndpointFailed
from chutelink.placing.inventory import OrderAction
from chutelink.placing.load_backoff import (
    EXITS_WITHOUT_BACKOFF,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    LoadBackoff,
)
from chutelink.placing.load_forecast import forecast_loads
from chutelink.relaying.model_wait import (
    LOAD_MARGIN_S,
    PLANNING_S,
    ModelWait,
    model_retry_delay_s,
    wait_until_s,
)

from .placer_harness import ENDPOINT_ID, PlacerHarness, ScriptedEngine, run, skip_pauses
from .test_placement import make_site, make_view

CRASHING_MODEL = "m1"
SECONDS = 30
COLD_LOAD_S = 4.0


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
    assert not backoff.paused_until_s(0.0)


def test_backoff_grows_to_a_limit_and_is_reset_by_a_successful_load(backoff):
    now_s = 0.0
    for _ in range(EXITS_WITHOUT_BACKOFF + 20):
        backoff.record_exit(CRASHING_MODEL, now_s)
        now_s += MAX_BACKOFF_S
    assert backoff.paused_until_s(now_s - 0.1) == {CRASHING_MODEL: now_s}
    assert not backoff.paused_until_s(now_s)
    backoff.record_exit(CRASHING_MODEL, now_s)
    backoff.record_success(CRASHING_MODEL)
    assert not backoff.paused_until_s(now_s)


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


def make_wait(pending, model, now_s, left_s):
    """Return the wait of a request that the last announcement covers."""
    return ModelWait(
        now_s=now_s,
        started_s=now_s - PLANNING_S,
        last_s=now_s + left_s,
        read_s=0.0,
        copy_load_s=0.8,
        cold_load_s=COLD_LOAD_S,
        ready_s=pending.ready_s(model, "", now_s),
        is_declined=True,
    )


def test_callers_are_not_held_for_a_load_that_its_backoff_puts_off_beyond_their_time():
    async def async_test():
        harness = PlacerHarness()
        await harness.async_start()
        for _ in range(EXITS_WITHOUT_BACKOFF + 3):
            harness.placer._load_backoff.record_exit(CRASHING_MODEL, harness.core.now_s)
        backoff_s = 4 * INITIAL_BACKOFF_S
        harness.request_model(CRASHING_MODEL)
        await harness.async_tick(1.0)
        update, now_s = harness.sent[-1], harness.core.now_s
        pending = PendingTable()
        pending.take(update.loads, update.term, now_s, update.queued)
        ready_in_s = backoff_s - 1.0 + COLD_LOAD_S
        wait = make_wait(pending, CRASHING_MODEL, now_s, ready_in_s - 0.1)
        assert wait_until_s(wait) <= now_s
        assert model_retry_delay_s(wait) == pytest.approx(ready_in_s + LOAD_MARGIN_S)
        # A caller with more time waits until after the load.
        wait = make_wait(pending, CRASHING_MODEL, now_s, ready_in_s + 0.2)
        assert wait_until_s(wait) >= now_s + ready_in_s

    run(async_test)


def test_model_in_backoff_does_not_put_off_the_load_forecast_of_other_models():
    view = make_view([make_site("i-1", {"m7": []})], [])
    paused = {CRASHING_MODEL: view.now_s + MAX_BACKOFF_S}
    paused_view = msgspec.structs.replace(view, paused_until_s=paused)
    forecast_s = forecast_loads(paused_view, [CRASHING_MODEL, "m2"])
    assert forecast_s["m2"] == pytest.approx(COLD_LOAD_S)
    assert forecast_s[CRASHING_MODEL] == pytest.approx(MAX_BACKOFF_S + COLD_LOAD_S)
