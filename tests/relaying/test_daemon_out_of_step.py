"""Resumptions at a daemon that has missed what the other daemons know."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.messages import EndpointPlacement, PlacementUpdate
from chutelink.origins.messages import (
    OriginAnswer,
    OriginQuery,
    OriginUpdate,
    StreamOrigin,
)
from chutelink.origins.stored import StoredHistory
from chutelink.watching.table_state import TableFreshness
from chutelink.watching.watch import StoreWatch

from ..entry.test_message_router import RouterHarness
from ..watching.test_watch import ScriptedTable
from .relay_harness import RelayHarness, async_relay_harness
from .test_software_versions import STREAM, async_add, async_events

RESUME = STREAM | {"Last_Event_Id": "3", "Resumes": "unknown"}


async def async_resume(harness: RelayHarness, name: str = "q1"):
    """Return the status and outcome of a resumption, and what it brought."""
    async with harness.request("/stream/x", name, **RESUME) as answer:
        outcome = answer.headers.get("Chutelink-Outcome")
        return answer.status, outcome, await async_events(answer)


def fall_behind(harness: RelayHarness, age_s: float) -> None:
    """Let the daemon's registrations be of some time ago."""
    harness.dispatcher.knowledge = lambda: TableFreshness(1, age_s)


@pytest.mark.parametrize("age_s", [0.9, 30.0])
@pytest.mark.parametrize("is_named_by_placer", [False, True])
def test_unknown_stream_is_refused_if_registrations_are_older_than_its_resumption(
    age_s, is_named_by_placer
):
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add(harness, "i-1", "v1")
            fall_behind(harness, age_s)
            table = harness.state.endpoints
            table.last_placer_message_s = harness.core.clock()
            if is_named_by_placer:
                table.update_models("i-9", 1, 3, {"m0": frozenset()})
            status, outcome, _ = await async_resume(harness)
            assert (status, outcome) == (503, "not-run")
            assert not endpoint.runs

    asyncio.run(async_test())


def test_own_record_counts_though_another_version_is_the_only_known_one():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1")
            origins = harness.dispatcher.versions._origins
            record = StreamOrigin("unknown", "llm", "v2")
            origins._table.put(record, harness.core.clock(), is_own=False)
            status, outcome, _ = await async_resume(harness)
            assert (status, outcome) == (503, "not-run")

    asyncio.run(async_test())


def test_version_in_a_record_of_a_peer_may_have_begun_an_unknown_stream():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1")
            origins = harness.dispatcher.versions._origins
            origins.handle_message(OriginUpdate([StreamOrigin("q7", "llm", "v2")]))
            status, outcome, _ = await async_resume(harness)
            assert (status, outcome) == (503, "not-run")

    asyncio.run(async_test())


def add_peers(harness: RelayHarness, answering: int, versions: list[str]) -> None:
    """Let some of four other daemons answer, each with a complete history."""
    origins = harness.dispatcher.versions._origins
    names = [f"d{number}" for number in range(2, 6)]

    def send(to, query):
        if to in names[:answering]:
            answer = OriginAnswer(to, query.number, None, versions, True)
            asyncio.get_running_loop().call_soon(origins.handle_message, answer)

    origins.domains = lambda: dict.fromkeys(names, "zone-b")
    origins.linked = lambda: set(names)
    origins.send = send
    origins.update()


@pytest.mark.parametrize(
    ("is_named", "versions", "status"),
    [(False, ["v1"], 200), (True, ["v1"], 503), (False, ["v1", "v2"], 503)],
)
def test_peers_confirm_the_version_unless_the_placer_names_an_unread_endpoint(
    is_named, versions, status
):
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1")
            fall_behind(harness, 0.9)
            add_peers(harness, 4, versions)
            if is_named:
                placement = EndpointPlacement("i-9", 1, {"m0": []}, 3)
                router = RouterHarness()
                router.router._known = harness.state
                router.core.clock = harness.core.clock
                router.deliver(PlacementUpdate("d2", 1, [placement], []))
            assert (await async_resume(harness))[0] == status

    asyncio.run(async_test())


class ScriptedEndpoints(ScriptedTable):
    """A store whose clock goes with the daemon's."""

    def __init__(self, harness: RelayHarness) -> None:
        self._harness = harness
        super().__init__()

    @property
    def now_s(self) -> float:
        return self._harness.core.clock() + 900.0

    @now_s.setter
    def now_s(self, value: float) -> None:
        pass


def make_watch(harness: RelayHarness) -> tuple[ScriptedTable, StoreWatch]:
    """Return a store, and the daemon's copy of its endpoints."""
    table = ScriptedEndpoints(harness)
    watch = StoreWatch(harness.core, table, {"endpoints": 2.0}, lambda: 3, print)
    origins = harness.dispatcher.versions._origins
    watch.on_row = harness.state.apply_row
    watch.on_missed = lambda table, is_restored: origins.note_missed(
        is_restored=is_restored
    )
    origins.is_alone = lambda: False
    origins.apply_stored(StoredHistory.CURRENT, {})
    harness.dispatcher.knowledge = lambda: watch.knowledge("endpoints")
    harness.dispatcher.refresh_endpoints = lambda as_of_s, limit_s: watch.async_refresh(
        "endpoints", as_of_s, limit_s
    )
    return table, watch


@pytest.mark.parametrize(
    ("pause_s", "keeps_history", "status"),
    [(0.4, False, 200), (3.0, False, 503), (3.0, True, 200)],
)
def test_version_may_have_come_and_left_unless_the_store_has_all_changes(
    pause_s, keeps_history, status
):
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add(harness, "i-1", "v1")
            table, watch = make_watch(harness)
            table.put("endpoints/i-1", endpoint.registration() | {"zone": "zone-a"})
            await watch.async_refresh("endpoints", harness.core.clock(), 1.0)
            clock = harness.core.clock
            harness.core.clock = lambda: clock() + pause_s
            table.version += 2
            table.keeps_history = keeps_history
            assert (await async_resume(harness))[0] == status

    asyncio.run(async_test())


def test_known_stream_goes_on_at_a_daemon_that_stood_still():
    """Guards against refusals until the next poll of a store that is in reach."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add(harness, "i-1", "v1")
            await async_add(harness, "i-2", "v2")
            table, watch = make_watch(harness)
            table.put("endpoints/i-1", endpoint.registration() | {"zone": "zone-a"})
            await watch.async_refresh("endpoints", harness.core.clock(), 1.0)
            origins = harness.dispatcher.versions._origins
            origins.note(StreamOrigin("unknown", "llm", "v1"))
            clock = harness.core.clock
            harness.core.clock = lambda: clock() + 6.0
            assert (await async_resume(harness))[0] == 200

    asyncio.run(async_test())


def test_stream_of_an_unverified_process_goes_on_at_the_only_version():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add(harness, "i-1", "v1")
            table, watch = make_watch(harness)
            table.put("endpoints/i-1", endpoint.registration() | {"zone": "zone-a"})
            await watch.async_refresh("endpoints", harness.core.clock(), 1.0)
            origins = harness.dispatcher.versions._origins
            origins.note(StreamOrigin("unknown", "llm", None))
            assert (await async_resume(harness))[0] == 200

    asyncio.run(async_test())


def test_version_in_an_answer_of_a_peer_may_have_begun_other_streams():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1")
            origins = harness.dispatcher.versions._origins
            lookup = origins.find_known("q7", "llm")
            origins._lookups[7] = lookup
            record = StreamOrigin("q7", "llm", "v2")
            origins.handle_message(OriginAnswer("d2", 7, record, ["v1"], True))
            status, outcome, _ = await async_resume(harness)
            assert (status, outcome) == (503, "not-run")

    asyncio.run(async_test())


@pytest.mark.parametrize("is_held", [False, True], ids=["asked", "held"])
def test_record_of_an_attempt_before_the_one_that_began_a_stream_is_not_its_version(
    is_held,
):
    """Guards against records of attempts without an event, which count as known."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1")
            await async_add(harness, "i-2", "v2")
            add_peers(harness, 0, [])
            origins = harness.dispatcher.versions._origins
            first = StreamOrigin("unknown", "llm", "v1", 1)
            second = StreamOrigin("unknown", "llm", "v2", 2)

            def send(to, query):
                if not isinstance(query, OriginQuery):
                    return
                origin, delay_s = {"d2": (first, 0.0), "d3": (second, 0.02)}.get(
                    to, (None, 0.0)
                )
                answer = OriginAnswer(to, query.number, origin, ["v1", "v2"], True)
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, origins.handle_message, answer)

            origins.send = send
            if is_held:
                origins.handle_message(OriginUpdate([first]))
            status, outcome, events = await async_resume(harness)
            assert (status, outcome) == (503, "not-run") or events[1] == {b"v2"}

    asyncio.run(async_test())


def test_version_may_have_been_lost_with_a_store_that_was_restored_at_once():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add(harness, "i-1", "v1")
            table, watch = make_watch(harness)
            table.put("endpoints/i-1", endpoint.registration() | {"zone": "zone-a"})
            await watch.async_refresh("endpoints", harness.core.clock(), 1.0)
            clock = harness.core.clock
            harness.core.clock = lambda: clock() + 0.9
            # An endpoint of v2 has joined, served, and is not in the backup.
            table.era += 1
            status, outcome, _ = await async_resume(harness)
            assert (status, outcome) == (503, "not-run")

    asyncio.run(async_test())


def test_one_answer_of_five_does_not_replace_a_history_that_is_incomplete():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1")
            add_peers(harness, 1, ["v1"])
            origins = harness.dispatcher.versions._origins
            origins.is_alone = lambda: False
            origins.note_missed(is_restored=False)
            status, outcome, _ = await async_resume(harness)
            assert (status, outcome) == (503, "not-run")

    asyncio.run(async_test())
