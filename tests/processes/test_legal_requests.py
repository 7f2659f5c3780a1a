"""Single requests inside the configured limits, in shapes that few callers use."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable

import pytest

from .test_unruly_callers import HTTP_TARGETS, async_one_daemon
from .test_unruly_gateway_callers import TARGETS, async_run_gateway
from .unruly_callers import (
    BODY_LIMIT_BYTES,
    CHUNKED_BYTES,
    HEADER_LIMIT_BYTES,
    PIECE_BYTES,
    Target,
    make_short_fields,
)

READ_LIMIT_S = 30.0
MARGIN_BYTES = 512
"""Room for the fields of each request besides the ones of its shape."""
GATEWAY_HEADER_BYTES = 16 * 1024


def chunk(size: int, count: int) -> bytes:
    """Return a body in chunks of equal size."""
    return (f"{size:x}\r\n".encode() + b"a" * size + b"\r\n") * count + b"0\r\n\r\n"


def send_full_body(target: Target, header_bytes: int) -> Iterable[bytes]:
    head = target.head("POST", f"Content-Length: {BODY_LIMIT_BYTES}\r\n") + b"\r\n"
    return [head + b"a" * BODY_LIMIT_BYTES]


def send_body_in_pieces(target: Target, header_bytes: int) -> Iterable[bytes]:
    head = target.head("POST", f"Content-Length: {CHUNKED_BYTES}\r\n") + b"\r\n"
    return [head, *[b"a" * PIECE_BYTES] * (CHUNKED_BYTES // PIECE_BYTES)]


def send_chunks_of_one_byte(target: Target, header_bytes: int) -> Iterable[bytes]:
    head = target.head("POST", "Transfer-Encoding: chunked\r\n") + b"\r\n"
    return [head + chunk(1, CHUNKED_BYTES)]


def send_chunks_with_line_ends(target: Target, header_bytes: int) -> Iterable[bytes]:
    """Send a body that looks like the end of heads and of chunks."""
    head = target.head("POST", "Transfer-Encoding: chunked\r\n") + b"\r\n"
    part = b"0\r\n\r\n"
    body = (f"{len(part):x}\r\n".encode() + part + b"\r\n") * 1000 + b"0\r\n\r\n"
    return [head + body]


def send_chunks_with_extensions(target: Target, header_bytes: int) -> Iterable[bytes]:
    head = target.head("POST", "Transfer-Encoding: chunked\r\n") + b"\r\n"
    part = b"1;name=" + b"v" * 100 + b"\r\na\r\n"
    return [head + part * 1000 + b"0\r\nTrailer-Field: 1\r\n\r\n"]


def send_short_fields(target: Target, header_bytes: int) -> Iterable[bytes]:
    fields = make_short_fields(header_bytes - MARGIN_BYTES)
    return [target.head("POST", f"Content-Length: 1\r\n{fields}") + b"\r\na"]


def send_large_field(target: Target, header_bytes: int) -> Iterable[bytes]:
    field = f"Padding: {'a' * (header_bytes - MARGIN_BYTES)}\r\n"
    return [target.head("POST", f"Content-Length: 1\r\n{field}") + b"\r\na"]


def send_long_query(target: Target, header_bytes: int) -> Iterable[bytes]:
    long = target._replace(path=f"{target.path}?{'a&' * 3000}")
    return [long.head("POST", "Content-Length: 1\r\n") + b"\r\na"]


def send_head_in_pieces(target: Target, header_bytes: int) -> Iterable[bytes]:
    data = target.head("POST", "Content-Length: 1\r\n") + b"\r\na"
    return [data[i : i + 1] for i in range(len(data))]


def send_leading_line_ends(target: Target, header_bytes: int) -> Iterable[bytes]:
    return [b"\r\n\r\n", target.head("POST", "Content-Length: 1\r\n") + b"\r\na"]


def send_without_body(target: Target, header_bytes: int) -> Iterable[bytes]:
    return [target.head("POST") + b"\r\n"]


SHAPES = [
    send_full_body,
    send_body_in_pieces,
    send_chunks_of_one_byte,
    send_chunks_with_line_ends,
    send_chunks_with_extensions,
    send_short_fields,
    send_large_field,
    send_long_query,
    send_head_in_pieces,
    send_leading_line_ends,
    send_without_body,
]


async def async_read_statuses(reader: asyncio.StreamReader, count: int) -> list[int]:
    """Read responses that have a length, and return their statuses."""
    statuses = []
    for _ in range(count):
        head = await reader.readuntil(b"\r\n\r\n")
        statuses.append(int(head.split()[1]))
        length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
        await reader.readexactly(int(length[1]) if length else 0)
    return statuses


async def async_exchange(
    host: str, port: int, pieces: Iterable[bytes], count: int = 1
) -> list[int]:
    """Send pieces one after the other, and return the statuses of the responses."""
    reader, writer = await asyncio.open_connection(host, port, limit=2**24)
    try:
        async with asyncio.timeout(READ_LIMIT_S):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            return await async_read_statuses(reader, count)
    finally:
        writer.transport.abort()


def name_shape(shape) -> str:
    return shape.__name__.removeprefix("send_")


@pytest.mark.parametrize("shape", SHAPES, ids=name_shape)
def test_entry_serves_a_single_legal_request(tmp_path, shape):
    async def async_test():
        async with async_one_daemon(tmp_path) as deployment:
            target = HTTP_TARGETS["route"]
            pieces = shape(target, HEADER_LIMIT_BYTES)
            host = deployment.address(0)
            assert await async_exchange(host, target.port, pieces) == [200]

    asyncio.run(async_test())


@pytest.mark.parametrize("shape", SHAPES, ids=name_shape)
def test_gateway_serves_a_single_legal_request(tmp_path, shape):
    async def async_scenario(deployment):
        target = TARGETS["service"]
        pieces = shape(target, GATEWAY_HEADER_BYTES)
        host = f"{deployment.subnet}.11"
        assert await async_exchange(host, target.port, pieces) == [200]

    asyncio.run(async_run_gateway(tmp_path, async_scenario))


def test_entry_answers_pipelined_requests_in_order(tmp_path):
    async def async_test():
        async with async_one_daemon(tmp_path) as deployment:
            found, missing = HTTP_TARGETS["route"], HTTP_TARGETS["no-route"]
            one = found.head("POST", "Content-Length: 1\r\n") + b"\r\na"
            two = missing.head("POST", "Transfer-Encoding: chunked\r\n") + b"\r\n"
            data = (one + two + chunk(10, 10)) * 20
            pieces = [data[i : i + 701] for i in range(0, len(data), 701)]
            host = deployment.address(0)
            statuses = await async_exchange(host, found.port, pieces, 40)
            assert statuses == [200, 404] * 20

    asyncio.run(async_test())
