"""Received data of connections is parsed one request at a time."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chutelink.memory import MemoryBudget
from chutelink.serving.connection import HeadLimits
from chutelink.serving.const import MAX_PIPELINED_BYTES, RECEIVE_BYTES

from .serving_harness import (
    READ_LIMIT_S,
    async_client,
    async_read_head,
    async_serving_harness,
    async_until_closed,
)

HEAD = b"GET /a HTTP/1.1\r\nHost: a.example\r\n"
REQUEST = HEAD + b"\r\n"
NOT_RUN = "Chutelink-Outcome: not-run"

bodies = st.one_of(
    st.binary(max_size=300),
    st.sampled_from([b"\r\n\r\n", b"0\r\n\r\n", b"\r\n" * 200, b"\n" * 500]),
)


@st.composite
def requests(draw) -> tuple[bytes, tuple[str, str, bytes]]:
    """Return the bytes of a request, and what a handler should see of it."""
    path = draw(st.sampled_from(["/a", "/b?c=d", "/%0a"]))
    fields = draw(st.integers(0, 150)) * b"ab: c\r\n"
    head = b"POST %s HTTP/1.1\r\nHost: a\r\n%s" % (path.encode(), fields)
    framing = draw(st.sampled_from(["none", "length", "chunks"]))
    if framing == "none":
        return head + b"\r\n", ("POST", path, b"")
    body = draw(bodies)
    if framing == "length":
        data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        return data, ("POST", path, body)
    size = draw(st.integers(1, 50))
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    data = head + b"Transfer-Encoding: chunked\r\n\r\n"
    data += b"".join(b"%x;e=1\r\n%s\r\n" % (len(part), part) for part in parts)
    trailer = draw(st.sampled_from([b"", b"Trailer: 1\r\n"]))
    return data + b"0\r\n" + trailer + b"\r\n", ("POST", path, body)


@given(sent=st.lists(requests(), min_size=1, max_size=5), data=st.data())
@settings(max_examples=60)
def test_requests_are_the_same_however_their_bytes_are_split(sent, data):
    stream = b"".join(raw for raw, _ in sent)
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=12))
    ends = [*sorted(cuts), len(stream)]
    pieces = [stream[a:b] for a, b in zip([0, *ends], ends, strict=False)]

    async def async_test():
        async with (
            async_serving_harness() as harness,
            async_client(harness) as (_, writer),
        ):
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            await harness.async_until(lambda: len(harness.requests) == len(sent))
            assert harness.requests == [seen for _, seen in sent]

    asyncio.run(async_test())


def test_one_request_of_a_pipeline_is_parsed_at_a_time():
    """Parsed heads take many times the memory of their bytes."""

    async def async_test():
        async with (
            async_serving_harness() as harness,
            async_client(harness) as (reader, writer),
        ):
            harness.may_answer.clear()
            writer.write(REQUEST * 10_000)
            await harness.async_until(lambda: harness.requests)
            for _ in range(50):
                await asyncio.sleep(0.001)
            connection = harness.connection
            assert len(harness.requests) == 1
            assert not connection._messages
            assert len(connection._input) <= MAX_PIPELINED_BYTES + RECEIVE_BYTES
            harness.may_answer.set()
            async with asyncio.timeout(READ_LIMIT_S):
                for _ in range(10_000):
                    await reader.readuntil(b"\r\n\r\n")

    asyncio.run(async_test())


def test_client_that_reads_no_responses_is_not_served_on():
    """Its responses would pile up in the connection."""

    async def async_test():
        async with (
            async_serving_harness() as harness,
            async_client(harness) as (reader, writer),
        ):
            reader._limit = 1
            writer.write((HEAD + b"Content-Length: 500\r\n\r\n" + b"a" * 500) * 20_000)
            count = -1
            while count != len(harness.requests):
                count = len(harness.requests)
                await asyncio.sleep(0.2)
            connection = harness.connection
            assert count < 20_000
            assert connection.transport.get_write_buffer_size() < 64 * 1024

    asyncio.run(async_test())


@pytest.mark.parametrize("fields", [b"ab:\r\n" * 4000, b"ab: " + b"c" * 20_000])
def test_head_above_its_limit_is_refused_before_its_end(fields):
    async def async_test():
        async with (
            async_serving_harness() as harness,
            async_client(harness) as (reader, writer),
        ):
            writer.write(HEAD + fields)
            head = await async_read_head(reader)
            assert " 431 " in head and NOT_RUN in head
            assert harness.requests == []

    asyncio.run(async_test())


def test_head_that_is_not_sent_in_time_is_refused():
    """The configured time limit was decoded, and not applied."""

    async def async_test():
        async with (
            async_serving_harness() as harness,
            async_client(harness) as (reader, writer),
        ):
            harness.limits = HeadLimits(4096, 0.1)
            writer.write(HEAD)
            head = await async_read_head(reader)
            assert " 408 " in head and NOT_RUN in head

    asyncio.run(async_test())


def test_request_that_can_not_be_parsed_is_refused_as_not_run():
    async def async_test():
        async with (
            async_serving_harness() as harness,
            async_client(harness) as (reader, writer),
        ):
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n b\r\nc\0: d\r\n\r\n")
            head = await async_read_head(reader)
            assert " 400 " in head and NOT_RUN in head

    asyncio.run(async_test())


def test_heads_that_do_not_fit_into_the_memory_are_refused():
    """A single one fits, whatever it takes."""

    async def async_test():
        async with async_serving_harness() as harness:
            memory = MemoryBudget(1000, 1.0, admits_one=True, free_bytes=0)
            harness.bounds._head_memory = memory
            harness.may_answer.clear()
            async with (
                async_client(harness) as (_, first),
                async_client(harness) as (reader, second),
            ):
                first.write(HEAD + b"ab:\r\n" * 200 + b"\r\n")
                await harness.async_until(lambda: harness.requests)
                second.write(REQUEST)
                head = await async_read_head(reader)
                assert " 503 " in head and NOT_RUN in head
                harness.may_answer.set()
                await harness.async_until(lambda: not memory.used_bytes)

    asyncio.run(async_test())


def test_trailers_count_like_fields():
    async def async_test():
        async with async_serving_harness() as harness:
            memory = MemoryBudget(200_000, 1.0, free_bytes=0)
            harness.bounds._head_memory = memory
            async with async_client(harness) as (reader, writer):
                head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
                writer.write(head + b"ab:\r\n" * 2000)
                await async_until_closed(reader)
            assert harness.requests == []

    asyncio.run(async_test())
