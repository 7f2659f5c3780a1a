"""Tests of the model version that the dispatcher selects for a request."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.fleet import parse_fleet
from chutelink.gateway.dispatcher import Dispatcher
from chutelink.gateway.refusals import Refusal
from chutelink.ids import BootId, FencingNumber
from chutelink.tables.endpoints import (
    ArtifactState,
    EndpointReport,
    EndpointTable,
    ReportedArtifact,
)
from chutelink.tables.requests import WaitingRequest

from ..fakes import make_core

FLEET = """\
[failure_domain a]
[endpoint e]
url = http://127.0.0.1:1
failure_domain = a
vm = v
memory_mb = 100
[endpoint f]
url = http://127.0.0.1:2
failure_domain = a
vm = w
memory_mb = 100
[model m]
memory_mb = 20
"""
NEWER = FLEET + "version = 2\n"


def report(*versions: str) -> EndpointReport:
    held = tuple(
        ReportedArtifact("m", version, ArtifactState.LOADED, (0,), 20, FencingNumber(1))
        for version in versions
    )
    return EndpointReport(BootId("b"), artifacts=held)


def make_request(
    dispatcher: Dispatcher, fleet, name: str = "m", deadline_s: float = 110.0
) -> WaitingRequest:
    return WaitingRequest(
        request_id="q",
        caller="c",
        name=name,
        artifacts=dispatcher.artifacts_for(fleet, name),
        request_class=next(iter(fleet.request_classes.values())),
        arrived_s=100.0,
        deadline_s=deadline_s,
        expected_s=0.1,
        prompt_tokens=10,
        prefixes=(),
        dispatched=asyncio.get_running_loop().create_future(),
    )


def test_request_not_run_is_updated_to_newer_version():
    """Guard against refusing a request whose endpoint has just unloaded its version.

    A newer version is loaded at another endpoint, which must get the request.
    """

    async def async_test():
        older, newer = (parse_fleet(text).unwrap() for text in (FLEET, NEWER))
        table = EndpointTable()
        table.sync(older)
        table.note_report("e", report("1"), 100.0, 100.0)
        table.note_report("f", report(), 100.0, 100.0)
        dispatcher = Dispatcher(make_core(), table, 10, 5.0)
        dispatcher.sync(older)
        request = make_request(dispatcher, older)
        assert (await dispatcher.async_acquire(request)).name == "e"
        dispatcher.release("e")
        dispatcher.sync(newer)
        table.note_report("f", report("2"), 101.0, 101.0)
        request.excluded = frozenset({"e"})
        request.dispatched = asyncio.get_running_loop().create_future()
        with pytest.raises(Refusal):
            await dispatcher.async_acquire(request)
        dispatcher.refresh_artifacts(request)
        assert (await dispatcher.async_acquire(request)).name == "f"
        assert [a.version for a in request.artifacts] == ["2"]

    asyncio.run(async_test())


class RelocatedModel:
    """Model whose new version is loaded at another endpoint than the old one.

    The gateway learns of both changes only when it polls the endpoints.
    """

    def __init__(self) -> None:
        self.older, self.newer = (parse_fleet(text).unwrap() for text in (FLEET, NEWER))
        self.table = EndpointTable()
        self.table.sync(self.older)
        self.table.note_report("e", report("1"), 100.0, 100.0)
        self.table.note_report("f", report(), 100.0, 100.0)
        self.dispatcher = Dispatcher(make_core(), self.table, 10, 5.0)
        self.dispatcher.async_refresh_reports = self.async_refresh
        self.dispatcher.sync(self.newer)

    async def async_refresh(self, limit_s: float) -> None:
        await asyncio.sleep(0)
        self.table.note_report("e", report(), 101.0, 101.0)
        self.table.note_report("f", report("2"), 101.0, 101.0)


def test_request_finds_relocated_model():
    """Guard against refusing a request before its model's new endpoint reports.

    The last reports say that the model was unloaded, but not where it is loaded now.
    """

    async def async_test():
        relocated = RelocatedModel()
        relocated.table.note_report("e", report(), 100.5, 100.5)
        request = make_request(relocated.dispatcher, relocated.newer)
        assert (await relocated.dispatcher.async_acquire(request)).name == "f"

    asyncio.run(async_test())


def test_request_refused_by_former_holder_finds_new_holder():
    async def async_test():
        relocated = RelocatedModel()
        request = make_request(relocated.dispatcher, relocated.newer)
        assert (await relocated.dispatcher.async_acquire(request)).name == "e"
        relocated.dispatcher.release("e")
        request.excluded = frozenset({"e"})
        request.dispatched = asyncio.get_running_loop().create_future()
        await relocated.dispatcher.async_refresh_artifacts(request)
        assert (await relocated.dispatcher.async_acquire(request)).name == "f"

    asyncio.run(async_test())


def test_request_waiting_for_slot_follows_relocated_model():
    async def async_test():
        relocated = RelocatedModel()
        slots = relocated.table.rows["e"].spec.slots
        for _ in range(slots):
            await relocated.dispatcher.async_acquire(
                make_request(relocated.dispatcher, relocated.newer)
            )
        request = make_request(relocated.dispatcher, relocated.newer)
        waiting = asyncio.ensure_future(relocated.dispatcher.async_acquire(request))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        relocated.table.note_report("e", report(), 100.5, 100.5)
        relocated.dispatcher.dispatch_waiting("e")
        assert (await waiting).name == "f"

    asyncio.run(async_test())


@pytest.mark.parametrize("urgent", ["m", "n"])
def test_free_slot_goes_to_most_urgent_request_whichever_model_was_queued_first(urgent):
    """A model with a standing queue took every slot of an endpoint with two models."""

    async def async_test():
        fleet = parse_fleet(FLEET + "[model n]\nmemory_mb = 20\n").unwrap()
        table = EndpointTable()
        table.sync(fleet)
        held = tuple(
            ReportedArtifact(
                name, "1", ArtifactState.LOADED, (0,), 20, FencingNumber(1)
            )
            for name in ("m", "n")
        )
        loaded = EndpointReport(BootId("b"), artifacts=held)
        table.note_report("e", loaded, 100.0, 100.0)
        dispatcher = Dispatcher(make_core(), table, 10, 500.0)
        dispatcher.sync(fleet)
        row = table.rows["e"]
        row.inflight = row.spec.slots
        requests = {
            name: make_request(
                dispatcher, fleet, name, 300.0 if name == urgent else 400.0
            )
            for name in ("m", "n")
        }
        tasks = [
            asyncio.ensure_future(dispatcher.async_acquire(request))
            for request in requests.values()
        ]
        while dispatcher.queue_length < len(tasks):
            await asyncio.sleep(0)
        dispatcher.release("e")
        dispatched = [name for name, r in requests.items() if r.dispatched.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert dispatched == [urgent]

    asyncio.run(async_test())


def test_slot_is_released_just_after_a_queued_request_is_cancelled():
    """Guard against an error at the request that releases the slot.

    A request that is cancelled, or times out, stays queued until its task runs.
    """

    async def async_test():
        fleet = parse_fleet(FLEET).unwrap()
        table = EndpointTable()
        table.sync(fleet)
        table.note_report("e", report("1"), 100.0, 100.0)
        dispatcher = Dispatcher(make_core(), table, 10, 5.0)
        dispatcher.sync(fleet)
        slots = table.rows["e"].spec.slots
        for _ in range(slots):
            await dispatcher.async_acquire(make_request(dispatcher, fleet))
        first, second = (
            asyncio.ensure_future(
                dispatcher.async_acquire(make_request(dispatcher, fleet))
            )
            for _ in range(2)
        )
        await asyncio.sleep(0)
        assert dispatcher.queue_length == 2
        first.cancel()
        dispatcher.release("e")
        assert (await second).name == "e"
        assert first.cancelled()
        assert table.rows["e"].inflight == slots

    asyncio.run(async_test())
