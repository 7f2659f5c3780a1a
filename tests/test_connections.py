"""Connections of callers that are kept open while a daemon stops."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from chutelink.connections import close_idle

HEAD = b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n"
SOON_S = 2.0


class Served:
    """A server whose answers wait for the test, and one connection to it."""

    def __init__(self) -> None:
        self.is_reading = False
        self.may_answer = asyncio.Event()
        self.server = web.Server(self._async_handle, handler_cancellation=True)

    async def _async_handle(self, request: web.BaseRequest) -> web.Response:
        self.is_reading = True
        body = await request.read()
        await self.may_answer.wait()
        response = web.Response(body=b"done " + body)
        response.force_close()
        return response

    def close_idle(self) -> int:
        return close_idle(self.server)


@asynccontextmanager
async def async_served():
    served = Served()
    listener = await asyncio.get_running_loop().create_server(
        served.server, "127.0.0.1", 0
    )
    port = listener.sockets[0].getsockname()[1]
    served.reader, served.writer = await asyncio.open_connection("127.0.0.1", port)
    while not served.server.connections:
        await asyncio.sleep(0.001)
    try:
        yield served
    finally:
        served.writer.close()
        listener.close()


def test_an_idle_connection_is_closed_so_that_no_request_is_lost_on_it():
    async def async_test():
        async with async_served() as served:
            served.close_idle()
            async with asyncio.timeout(SOON_S):
                assert await served.reader.read() == b""

    asyncio.run(async_test())


def test_a_request_that_is_being_read_is_answered():
    async def async_test():
        async with async_served() as served:
            served.writer.write(HEAD + b"bo")
            while not served.is_reading:
                await asyncio.sleep(0.001)
            served.close_idle()
            served.writer.write(b"dy")
            served.may_answer.set()
            async with asyncio.timeout(SOON_S):
                answer = await served.reader.read()
            assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"done body")

    asyncio.run(async_test())


def test_a_request_that_runs_is_answered_and_its_connection_closed_after_it():
    async def async_test():
        async with async_served() as served:
            served.writer.write(HEAD + b"body")
            while not served.is_reading:
                await asyncio.sleep(0.001)
            served.close_idle()
            await asyncio.sleep(0.01)
            served.close_idle()
            served.may_answer.set()
            async with asyncio.timeout(SOON_S):
                answer = await served.reader.read()
            assert answer.endswith(b"done body")

    asyncio.run(async_test())


@pytest.mark.parametrize("loop_turns", range(4))
def test_a_request_that_was_read_but_not_yet_handled_is_answered(loop_turns):
    """A daemon that stops closed connections between a request and its handler."""

    async def async_test():
        async with async_served() as served:
            served.may_answer.set()
            await asyncio.sleep(0.01)
            [connection] = served.server.connections
            connection.data_received(HEAD + b"body")
            for _ in range(loop_turns):
                await asyncio.sleep(0)
            served.close_idle()
            async with asyncio.timeout(SOON_S):
                answer = await served.reader.read()
            assert answer.endswith(b"done body")

    asyncio.run(async_test())
