"""Which version of a model a request asks for."""

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
    HeldArtifact,
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
        HeldArtifact("m", version, ArtifactState.LOADED, (0,), 20, FencingNumber(1))
        for version in versions
    )
    return EndpointReport(BootId("b"), artifacts=held)


def make_request(dispatcher: Dispatcher, fleet) -> WaitingRequest:
    return WaitingRequest(
        request_id="q",
        caller="c",
        name="m",
        artifacts=dispatcher.artifacts_for(fleet, "m"),
        request_class=next(iter(fleet.request_classes.values())),
        arrived_s=100.0,
        deadline_s=110.0,
        expected_s=0.1,
        prompt_tokens=10,
        prefixes=(),
        dispatched=asyncio.get_running_loop().create_future(),
    )


def test_a_request_that_was_not_run_asks_for_the_newer_version():
    """Its endpoint had just unloaded the older one; another has the newer."""

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
        dispatcher.renew(request)
        assert (await dispatcher.async_acquire(request)).name == "f"
        assert [a.version for a in request.artifacts] == ["2"]

    asyncio.run(async_test())


class MovedModel:
    """A model whose old version is at one endpoint, and then a new one at another.

    The gateway learns of neither change until it polls.
    """

    def __init__(self) -> None:
        self.older, self.newer = (parse_fleet(text).unwrap() for text in (FLEET, NEWER))
        self.table = EndpointTable()
        self.table.sync(self.older)
        self.table.note_report("e", report("1"), 100.0, 100.0)
        self.table.note_report("f", report(), 100.0, 100.0)
        self.dispatcher = Dispatcher(make_core(), self.table, 10, 5.0)
        self.dispatcher.async_refresh = self.async_refresh
        self.dispatcher.sync(self.newer)

    async def async_refresh(self, limit_s: float) -> None:
        await asyncio.sleep(0)
        self.table.note_report("e", report(), 101.0, 101.0)
        self.table.note_report("f", report("2"), 101.0, 101.0)


def test_a_request_for_a_model_that_has_moved_finds_it():
    """It was refused where the model was known to be unloaded, not where it was."""

    async def async_test():
        moved = MovedModel()
        moved.table.note_report("e", report(), 100.5, 100.5)
        request = make_request(moved.dispatcher, moved.newer)
        assert (await moved.dispatcher.async_acquire(request)).name == "f"

    asyncio.run(async_test())


def test_a_request_that_an_old_holder_refused_finds_the_new_one():
    async def async_test():
        moved = MovedModel()
        request = make_request(moved.dispatcher, moved.newer)
        assert (await moved.dispatcher.async_acquire(request)).name == "e"
        moved.dispatcher.release("e")
        request.excluded = frozenset({"e"})
        request.dispatched = asyncio.get_running_loop().create_future()
        await moved.dispatcher.async_renew(request)
        assert (await moved.dispatcher.async_acquire(request)).name == "f"

    asyncio.run(async_test())


def test_a_request_that_waits_for_a_slot_follows_its_model():
    async def async_test():
        moved = MovedModel()
        slots = moved.table.rows["e"].spec.slots
        for _ in range(slots):
            await moved.dispatcher.async_acquire(
                make_request(moved.dispatcher, moved.newer)
            )
        request = make_request(moved.dispatcher, moved.newer)
        waiting = asyncio.ensure_future(moved.dispatcher.async_acquire(request))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        moved.table.note_report("e", report(), 100.5, 100.5)
        moved.dispatcher.tick("e")
        assert (await waiting).name == "f"

    asyncio.run(async_test())
