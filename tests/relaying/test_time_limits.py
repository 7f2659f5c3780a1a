"""Streams whose endpoint stops at the time limit that it was sent."""

from __future__ import annotations

import asyncio
import time

import pytest

from .ending_engine import Ending, EndingEngine, Framing, Position
from .relay_harness import async_relay_harness
from .test_early_ends import TIME_LIMIT_MS, async_request

PAUSE_S = 0.05


@pytest.mark.parametrize("framing", [Framing.CHUNKS, Framing.CONNECTION])
def test_stream_that_stops_at_its_time_limit_is_not_complete(framing):
    """Guards against ends at the limit if the daemon lost time before it sent it."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            position = Position.BETWEEN_EVENTS
            engine = EndingEngine("i-1", Ending.TIME_LIMIT, framing, position)
            await engine.async_start()
            harness.state.apply_row(engine.registration())
            make_call = harness.dispatcher.make_call

            def pause_and_make_call(exchange, row):
                time.sleep(PAUSE_S)
                return make_call(exchange, row)

            harness.dispatcher.make_call = pause_and_make_call
            received = await async_request(harness, X_Deadline_Ms=TIME_LIMIT_MS)
            engine.close()
            assert received.body and not received.is_complete

    asyncio.run(async_test())
