"""Validity of responses, as every session reads them."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from chutelink.responses import BoundedConnector

from .malformed_responses import MALFORMED, SOUND, with_line
from .raw_server import async_raw_server

TIMEOUT_S = 10.0
"""Far more than a local call takes."""


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
