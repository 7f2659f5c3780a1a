"""Resumptions at a daemon that has missed what the other daemons know."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.origins.messages import OriginUpdate, StreamOrigin
from chutelink.watching.table_state import TableFreshness

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
