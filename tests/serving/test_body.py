"""Bodies are read within the memory that they share, and in time."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.memory import MemoryBudget
from chutelink.serving.const import MIN_STALL_S

from .serving_harness import async_client, async_read_head, async_serving_harness

BODY_BYTES = 50_000
HEAD = (
    f"POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
).encode()


@pytest.mark.parametrize("is_stalled", [True, False])
def test_body_gets_the_memory_of_one_that_stalls(is_stalled):
    """Callers that stopped just before the end kept all other bodies out."""

    async def async_test():
        async with async_serving_harness() as harness:
            memory = MemoryBudget(BODY_BYTES + 1000, owner_share=1.0, free_bytes=0)
            harness.body_memory = memory
            async with (
                async_client(harness) as (_, first),
                async_client(harness) as (reader, second),
            ):
                first.write(HEAD + b"a" * (BODY_BYTES - 1))
                await harness.async_until(lambda: memory.used_bytes == BODY_BYTES - 1)
                if is_stalled:
                    await asyncio.sleep(MIN_STALL_S + 0.1)
                second.write(HEAD + b"a" * BODY_BYTES)
                head = await async_read_head(reader)
                assert head.startswith("HTTP/1.1 200" if is_stalled else "HTTP/1.1 503")

    asyncio.run(async_test())


def test_chunked_bodies_of_many_connections_do_not_delay_others():
    """The parser needs many times longer for a chunk of one byte than for a request."""

    async def async_test():
        async with async_serving_harness() as harness:
            chunks = (
                b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            chunks += b"1\r\na\r\n" * 20_000
            writers = []
            for _ in range(20):
                _, writer = await asyncio.open_connection(*harness.address)
                writer.write(chunks)
                writers.append(writer)
            async with async_client(harness) as (reader, writer):
                writer.write(b"GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
                await async_read_head(reader)
                left = sum(
                    connection._body.total_bytes < 20_000
                    for connection in harness.server.connections
                    if not connection._body.is_eof()
                )
                assert left
            for writer in writers:
                writer.transport.abort()

    asyncio.run(async_test())
