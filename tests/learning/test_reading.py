"""Prompts are spaced so that their prefill does not stall running streams."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.news import PromptNews, decode_news, encode_news
from chutelink.learning.reading import MAX_PREFILL_SHARE, ReadingTable

from ..relaying.test_stream import expected, headers
from ..relaying.world import SERVICES, async_world, make_config

PAUSE_S = 0.25
PREFILL_LIMIT_S = MAX_PREFILL_SHARE * PAUSE_S


def test_a_prompt_is_not_delayed_by_short_ones():
    table = ReadingTable()
    table.note("i-1", 0.02, 10.0)
    assert table.room_in_s("i-1", 0.02, 10.0, PAUSE_S) == 0.0
    assert table.room_in_s("i-2", 9.0, 10.0, PAUSE_S) == 0.0


def test_a_prompt_waits_until_earlier_ones_leave_the_window():
    table = ReadingTable()
    table.note("i-1", 0.6 * PREFILL_LIMIT_S, 10.0)
    table.note("i-1", 0.3 * PREFILL_LIMIT_S, 10.1)
    wait_s = table.room_in_s("i-1", 0.5 * PREFILL_LIMIT_S, 10.1, PAUSE_S)
    assert wait_s == pytest.approx(PAUSE_S - 0.1)
    assert table.room_in_s("i-1", 0.5 * PREFILL_LIMIT_S, 10.26, PAUSE_S) == 0.0
    longer_wait_s = table.room_in_s("i-1", 0.9 * PREFILL_LIMIT_S, 10.1, PAUSE_S)
    assert longer_wait_s == pytest.approx(PAUSE_S)


def test_a_prompt_above_the_limit_is_sent_if_no_other_was():
    table = ReadingTable()
    assert table.room_in_s("i-1", 2.0, 10.0, PAUSE_S) == 0.0
    table.note("i-1", 0.01, 10.0)
    assert table.room_in_s("i-1", 2.0, 10.0, PAUSE_S) == pytest.approx(PAUSE_S)


def test_without_a_pause_limit_no_prompt_waits():
    table = ReadingTable()
    table.note("i-1", 5.0, 10.0)
    assert table.room_in_s("i-1", 5.0, 10.0, 0.0) == 0.0


def test_a_prompt_message_round_trips():
    news = PromptNews("d1", "i-1", "m0/a1", 0.25)
    assert decode_news(encode_news(news), "d1") == news


def make_routes(max_pause_ms: float) -> list[dict]:
    routes = make_config(1, SERVICES)["routes"]
    routes[0]["gap_target_ms"] = max_pause_ms
    return routes


def test_a_request_goes_to_an_endpoint_without_recent_prompts():
    async def async_test():
        async with async_world() as world:
            world.configure(routes=make_routes(400))
            first = await world.async_add("i-1", "llm", {"m0": []})
            second = await world.async_add("i-2", "llm", {"m0": []})
            world.known.endpoints.rows["i-2"].other_requests = 2
            world.known.reading.note("i-1", 5.0, world.core.clock())
            async with world.request("/stream/x", **headers()) as answer:
                assert await answer.read() == expected()
            assert (len(first.runs), len(second.runs)) == (0, 1)

    asyncio.run(async_test())


def test_a_prompt_delay_does_not_exceed_the_objective():
    async def async_test():
        async with async_world() as world:
            world.configure(routes=make_routes(60_000))
            await world.async_add("i-1", "llm", {"m0": []})
            world.known.reading.note("i-1", 50.0, world.core.clock())
            async with world.request("/stream/x", **headers()) as answer:
                assert await answer.read() == expected()

    asyncio.run(async_test())
