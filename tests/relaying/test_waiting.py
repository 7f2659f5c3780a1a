"""How long requests wait for a model that no endpoint has."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.entry.messages import QueuedLoad
from chutelink.relaying.model_wait import (
    ANNOUNCEMENT_S,
    LOAD_MARGIN_S,
    PLANNING_S,
    ModelWait,
    model_retry_delay_s,
    wait_until_s,
)

from .relay_harness import RelayHarness, async_relay_harness

SHORT = ModelWait(
    now_s=100.0,
    started_s=100.0,
    last_s=102.0,
    read_s=0.02,
    copy_load_s=1.2,
    cold_load_s=6.0,
    ready_s=None,
)
PATIENT = msgspec.structs.replace(SHORT, last_s=120.0)
STREAM = {"X_Model": "m1", "X_Token_Count": "10,4", "X_Deadline_Ms": "3000"}


def replace(wait: ModelWait, **fields: float) -> ModelWait:
    return msgspec.structs.replace(wait, **fields)


@pytest.mark.parametrize("wait", [SHORT, PATIENT])
def test_request_waits_while_load_from_copy_would_be_in_time(wait):
    assert wait_until_s(wait) == pytest.approx(wait.last_s - 1.2 - 0.1 - 0.02)


def test_request_that_no_load_could_serve_in_time_is_refused_at_once():
    assert wait_until_s(replace(SHORT, copy_load_s=2.0)) <= 100.0


def test_request_waits_while_adapter_load_would_be_in_time():
    wait = replace(SHORT, copy_load_s=0.0)
    assert wait_until_s(wait) == pytest.approx(102.0 - 0.1 - 0.02)


@pytest.mark.parametrize("waited_s", [0.0, 0.2, 1.0])
@pytest.mark.parametrize("ready_in_s", [0.3, 0.9])
def test_load_in_time_is_waited_for_however_long_the_request_has_waited(
    waited_s, ready_in_s
):
    wait = replace(SHORT, now_s=100.0 + waited_s, last_s=103.0)
    wait = replace(wait, ready_s=wait.now_s + ready_in_s)
    assert wait_until_s(wait) == pytest.approx(103.0 - 0.02)


@pytest.mark.parametrize("waited_s", [0.0, 0.2, 1.0])
def test_load_too_late_for_caller_refuses_at_once_with_time_of_load(waited_s):
    wait = replace(SHORT, now_s=100.0 + waited_s, ready_s=102.5)
    assert wait_until_s(wait) <= wait.now_s
    assert model_retry_delay_s(wait) == pytest.approx(2.6 - waited_s)


def test_no_request_waits_beyond_time_at_which_caller_gives_up():
    late = replace(SHORT, ready_s=101.5, now_s=100.2)
    assert wait_until_s(late) == pytest.approx(102.0 - 0.02)
    assert wait_until_s(replace(late, ready_s=101.95)) <= 100.2


def test_retry_delay_without_load_covers_cold_load():
    assert model_retry_delay_s(PATIENT) == pytest.approx(6.1)


def test_request_whose_model_is_declined_is_refused_at_once():
    wait = replace(PATIENT, now_s=100.2, is_declined=True)
    assert wait_until_s(wait) <= wait.now_s
    assert wait_until_s(replace(wait, ready_s=101.0)) > wait.now_s


@given(
    last_in_s=st.floats(0.1, 30),
    waited_s=st.floats(0, 30),
    ready_in_s=st.none() | st.floats(-1, 30),
    is_held_off=st.booleans(),
)
def test_waiting_request_can_still_be_answered(
    last_in_s, waited_s, ready_in_s, is_held_off
):
    now_s = 100 + waited_s
    wait = replace(
        SHORT, now_s=now_s, last_s=now_s + last_in_s, is_held_off=is_held_off
    )
    if ready_in_s is not None:
        wait = replace(wait, ready_s=wait.now_s + ready_in_s)
    until_s = wait_until_s(wait)
    assert model_retry_delay_s(wait) > 0
    if until_s <= wait.now_s:
        return
    assert until_s + wait.read_s <= wait.last_s
    if wait.ready_s is None:
        assert until_s + wait.copy_load_s + wait.read_s <= wait.last_s
    else:
        assert wait.ready_s + LOAD_MARGIN_S <= until_s


def test_request_with_unavailable_replica_waits_for_announcement_only():
    wait = replace(PATIENT, is_held_off=True)
    assert wait_until_s(wait) == pytest.approx(100.0 + ANNOUNCEMENT_S)
    assert wait_until_s(replace(wait, ready_s=100.4)) == pytest.approx(120.0 - 0.02)


async def async_announce(harness: RelayHarness, *queued: QueuedLoad) -> float:
    """Announce no loads once a request waits; return the time of the announcement."""
    async with asyncio.timeout(5):
        while not harness.loads.waiting["m1", ""]:
            await asyncio.sleep(0.001)
    await asyncio.sleep(PLANNING_S + 0.02)
    now_s = harness.core.clock()
    harness.pending.take([], 1, now_s, queued)
    return now_s


def test_request_is_refused_as_soon_as_its_model_is_known_not_to_be_planned():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await harness.async_add("i-1", "llm", {"m0": []})
            announced = asyncio.ensure_future(async_announce(harness))
            async with harness.request("/stream/x", **STREAM) as response:
                refused_s = harness.core.clock()
                assert response.status == 503
                assert float(response.headers["Retry-After"]) > LOAD_MARGIN_S
            assert 0 <= refused_s - await announced < 0.3

    asyncio.run(async_test())


def test_request_for_a_queued_model_waits_until_it_is_loaded():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "llm", {"m0": []})

            async def async_load() -> None:
                await async_announce(harness, QueuedLoad("m1", 0.5))
                await asyncio.sleep(0.5)
                endpoint.models["m1"] = []
                endpoint.sequence += 1
                harness.register(endpoint)
                harness.pending.signal()

            loaded = asyncio.ensure_future(async_load())
            async with harness.request("/stream/x", **STREAM) as response:
                assert response.status == 200
            await loaded

    asyncio.run(async_test())
