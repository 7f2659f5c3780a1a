"""What connections are doing, as far as it decides which of them are closed."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.serving import pooled_connection
from chutelink.serving.pool import Standing

from .serving_harness import async_client, async_serving_harness

BODY_BYTES = 1_000_000
HEAD = b"POST /a HTTP/1.1\r\nHost: a.example\r\n"
LARGE = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"a" * BODY_BYTES


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", Standing.INCOMPLETE),
        (HEAD, Standing.INCOMPLETE),
        (HEAD + b"Content-Length: 2\r\n\r\na", Standing.ACTIVE),
        (HEAD + b"\r\n", Standing.IDLE),
        (HEAD + b"\r\n" + HEAD, Standing.INCOMPLETE),
    ],
)
def test_standing_follows_from_what_was_received(data, expected):
    async def async_test():
        async with (
            async_serving_harness() as harness,
            async_client(harness) as (_, writer),
        ):
            writer.write(data)
            await asyncio.sleep(0.1)
            now_s = asyncio.get_running_loop().time()
            standing, _ = harness.connection.standing(now_s)
            assert standing is expected

    asyncio.run(async_test())


@pytest.mark.parametrize("reads", [True, False])
def test_only_a_client_that_does_not_read_counts_as_stalled(monkeypatch, reads):
    """A large response may take longer than the time that one without progress has."""
    monkeypatch.setattr(pooled_connection, "SLOW_READ_S", 0.2)

    async def async_test():
        async with (
            async_serving_harness() as harness,
            async_client(harness) as (reader, writer),
        ):
            reader._limit = 1024
            writer.write(LARGE * 20)
            await harness.async_until(lambda: harness.connection.writing_paused)
            now_s = asyncio.get_running_loop().time()
            connection = harness.connection
            await asyncio.sleep(0.1)
            assert not connection.reads_slowly(now_s + 0.1)
            connection.reads_slowly(now_s + 0.5)
            if reads:
                await reader.readexactly(BODY_BYTES // 2)
            assert connection.reads_slowly(now_s + 1.0) is not reads

    asyncio.run(async_test())
