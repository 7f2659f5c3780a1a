"""Validity of responses, as every session reads them."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import pytest

from chutelink.responses import BoundedConnector

from .malformed_responses import MALFORMED, SOUND, with_line
from .raw_server import UNFRAMED, async_raw_server, serve_early_reset

TIMEOUT_S = 10.0
"""Far more than a local call takes."""
LOOP_BLOCK_S = 0.05
UPLOADS_BYTES = (200_000, 12_000_000)
"""Uploads of which the sockets' buffers hold the whole, and a part."""


def make_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=BoundedConnector(), auto_decompress=False)


async def async_fetch(
    response: bytes, method: str = "POST", **options
) -> tuple[int, bytes]:
    """Return the status and body of a response, as a session returns them."""
    async with (
        async_raw_server(response, **options) as server,
        make_session() as session,
        session.request(method, f"http://{server.address}/x") as received,
    ):
        return received.status, await received.read()


@pytest.mark.parametrize("response", MALFORMED.values(), ids=MALFORMED)
def test_malformed_response_fails(response):
    """Guards against bytes that count as a response, or as the body of one."""
    with pytest.raises(aiohttp.ClientError):
        asyncio.run(async_fetch(response))


@pytest.mark.parametrize("case", SOUND.values(), ids=SOUND)
def test_rare_form_of_response_is_read(case):
    assert asyncio.run(async_fetch(case.data)) == (case.status, case.body)


@pytest.mark.parametrize(
    "framing", [b"Transfer-Encoding: chunked", b"Content-Length: 5"]
)
def test_response_to_head_has_no_body(framing):
    response = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n"
    assert asyncio.run(async_fetch(response, "HEAD")) == (200, b"")
    not_modified = response.replace(b"200 OK", b"304 Not Modified")
    assert asyncio.run(async_fetch(not_modified, "GET")) == (304, b"")


@pytest.mark.parametrize(
    "beginning",
    [b"none", b"HTTP/1.1 000 Odd\r\n", b"HTTP/1.1 200 OK\r\nOdd Name: 1\r\n"],
    ids=["no_http", "status", "field"],
)
def test_malformed_head_fails_before_it_ends(beginning):
    """Guards against calls that wait for the rest of what can't be a response."""

    async def async_test():
        async def async_serve(reader, writer):
            writer.write(beginning)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with make_session() as session, asyncio.timeout(TIMEOUT_S):
            with pytest.raises(aiohttp.ClientError):
                await session.get(f"http://127.0.0.1:{port}/")
        server.close()

    asyncio.run(async_test())


def test_connection_of_a_malformed_response_is_not_used_again():
    async def async_test():
        responses = [with_line(b"Odd: \x01"), *[with_line(b"Rare: 1")] * 2]
        connections = []

        async def async_serve(reader, writer):
            connections.append(writer)
            while responses and not reader.at_eof():
                await reader.readuntil(b"\r\n\r\n")
                writer.write(responses.pop(0))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        async with make_session() as session, asyncio.timeout(TIMEOUT_S):
            with pytest.raises(aiohttp.ClientError):
                await session.get(url)
            for _ in range(2):
                async with session.get(url) as response:
                    assert await response.read() == b"hello"
        assert len(connections) == 2
        server.close()

    asyncio.run(async_test())


def test_response_whose_connection_is_reset_is_incomplete_without_length():
    """Guards against parts of a response that count as the whole."""
    assert asyncio.run(async_fetch(UNFRAMED)) == (200, b"hello ")
    with pytest.raises(aiohttp.ClientError):
        asyncio.run(async_fetch(UNFRAMED, is_reset=True))


@pytest.mark.parametrize("block_s", [0.0, LOOP_BLOCK_S], ids=["free", "blocked"])
@pytest.mark.parametrize("size_bytes", UPLOADS_BYTES)
@pytest.mark.parametrize("is_pooled", [False, True], ids=["new", "pooled"])
def test_part_of_an_early_response_to_an_upload_is_incomplete(
    is_pooled, size_bytes, block_s
):
    """Guards against parts that count as whole as the upload fails first."""

    async def async_block_loop():
        while True:
            await asyncio.sleep(0)
            time.sleep(block_s)

    async def async_test():
        url = serve_early_reset(UNFRAMED, is_pooled=is_pooled)
        async with make_session() as session, asyncio.timeout(TIMEOUT_S):
            if is_pooled:
                async with session.post(url) as response:
                    assert await response.read() == b""
            blocking = asyncio.ensure_future(async_block_loop())
            with pytest.raises(aiohttp.ClientError):
                async with session.post(url, data=b"a" * size_bytes) as response:
                    await response.read()
            blocking.cancel()

    asyncio.run(async_test())
