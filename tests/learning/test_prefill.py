"""Prompts are spaced so that their prefill does not stall running streams."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.messages import (
    PromptNotice,
    decode_entry_message,
    encode_entry_message,
)
from chutelink.learning.prefill import MAX_PREFILL_SHARE, PrefillTable

from ..relaying.relay_harness import SERVICES, async_relay_harness, make_config
from ..relaying.test_stream import expected, headers

PAUSE_S = 0.25
PREFILL_LIMIT_S = MAX_PREFILL_SHARE * PAUSE_S


def test_a_prompt_is_not_delayed_by_short_ones():
    table = PrefillTable()
    table.note("i-1", 0.02, 10.0)
    assert table.prefill_delay_s("i-1", 0.02, 10.0, PAUSE_S) == 0.0
    assert table.prefill_delay_s("i-2", 9.0, 10.0, PAUSE_S) == 0.0


def test_a_prompt_waits_until_earlier_ones_leave_the_window():
    table = PrefillTable()
    table.note("i-1", 0.6 * PREFILL_LIMIT_S, 10.0)
    table.note("i-1", 0.3 * PREFILL_LIMIT_S, 10.1)
    wait_s = table.prefill_delay_s("i-1", 0.5 * PREFILL_LIMIT_S, 10.1, PAUSE_S)
    assert wait_s == pytest.approx(PAUSE_S - 0.1)
    assert table.prefill_delay_s("i-1", 0.5 * PREFILL_LIMIT_S, 10.26, PAUSE_S) == 0.0
    longer_wait_s = table.prefill_delay_s("i-1", 0.9 * PREFILL_LIMIT_S, 10.1, PAUSE_S)
    assert longer_wait_s == pytest.approx(PAUSE_S)


def test_a_prompt_above_the_limit_is_sent_if_no_other_was():
    table = PrefillTable()
    assert table.prefill_delay_s("i-1", 2.0, 10.0, PAUSE_S) == 0.0
    table.note("i-1", 0.01, 10.0)
    assert table.prefill_delay_s("i-1", 2.0, 10.0, PAUSE_S) == pytest.approx(PAUSE_S)


def test_without_a_pause_limit_no_prompt_waits():
    table = PrefillTable()
    table.note("i-1", 5.0, 10.0)
    assert table.prefill_delay_s("i-1", 5.0, 10.0, 0.0) == 0.0


def test_a_prompt_message_round_trips():
    message = PromptNotice("d1", "i-1", "m0/a1", 0.25)
    assert decode_entry_message(encode_entry_message(message), "d1") == message


def make_routes(max_pause_ms: float) -> list[dict]:
    routes = make_config(1, SERVICES)["routes"]
    routes[0]["gap_target_ms"] = max_pause_ms
    return routes


def test_a_request_goes_to_an_endpoint_without_recent_prompts():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure(routes=make_routes(400))
            first = await harness.async_add("i-1", "llm", {"m0": []})
            second = await harness.async_add("i-2", "llm", {"m0": []})
            harness.state.endpoints.rows["i-2"].other_requests = 2
            harness.state.prefill_table.note("i-1", 5.0, harness.core.clock())
            async with harness.request("/stream/x", **headers()) as answer:
                assert await answer.read() == expected()
            assert (len(first.runs), len(second.runs)) == (0, 1)

    asyncio.run(async_test())


def test_a_prompt_delay_does_not_exceed_the_objective():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure(routes=make_routes(60_000))
            await harness.async_add("i-1", "llm", {"m0": []})
            harness.state.prefill_table.note("i-1", 50.0, harness.core.clock())
            async with harness.request("/stream/x", **headers()) as answer:
                assert await answer.read() == expected()

    asyncio.run(async_test())
