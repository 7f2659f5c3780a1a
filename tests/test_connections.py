"""Keep-alive connections while a daemon shuts down."""

from __future__ import annotations

import asyncio
import select
import socket
import time
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from chutelink.connections import async_close_listener, close_idle

HEAD = b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n"
RESPONSE_TIMEOUT_S = 2.0


class ServerHarness:
    """A server whose responses wait for the test, with one client connection."""

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
async def async_server_harness():
    harness = ServerHarness()
    harness.listener = listener = await asyncio.get_running_loop().create_server(
        harness.server, "127.0.0.1", 0
    )
    harness.address = listener.sockets[0].getsockname()
    harness.reader, harness.writer = await asyncio.open_connection(*harness.address)
    while not harness.server.connections:
        await asyncio.sleep(0.001)
    try:
        yield harness
    finally:
        harness.writer.close()
        listener.close()


def test_idle_connection_is_closed():
    """A request sent on it later would be lost when the process exits."""

    async def async_test():
        async with async_server_harness() as harness:
            assert harness.close_idle() == 0
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                assert await harness.reader.read() == b""

    asyncio.run(async_test())


def test_request_being_read_is_answered():
    async def async_test():
        async with async_server_harness() as harness:
            harness.writer.write(HEAD + b"bo")
            while not harness.is_reading:
                await asyncio.sleep(0.001)
            harness.close_idle()
            harness.writer.write(b"dy")
            harness.may_answer.set()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                answer = await harness.reader.read()
            assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"done body")

    asyncio.run(async_test())


def test_running_request_is_answered_before_its_connection_closes():
    async def async_test():
        async with async_server_harness() as harness:
            harness.writer.write(HEAD + b"body")
            while not harness.is_reading:
                await asyncio.sleep(0.001)
            harness.close_idle()
            await asyncio.sleep(0.01)
            harness.close_idle()
            harness.may_answer.set()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                answer = await harness.reader.read()
            assert answer.endswith(b"done body")

    asyncio.run(async_test())


@pytest.mark.parametrize("loop_iterations", range(4))
def test_request_read_but_not_yet_handled_is_answered(loop_iterations):
    """A stopping daemon used to close a connection before the handler had started."""

    async def async_test():
        async with async_server_harness() as harness:
            harness.may_answer.set()
            await asyncio.sleep(0.01)
            [connection] = harness.server.connections
            connection.data_received(HEAD + b"body")
            for _ in range(loop_iterations):
                await asyncio.sleep(0)
            harness.close_idle()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                answer = await harness.reader.read()
            assert answer.endswith(b"done body")

    asyncio.run(async_test())


def test_request_not_yet_read_is_answered():
    """A slow daemon used to close the connection up to seconds after the request."""

    async def async_test():
        async with async_server_harness() as harness:
            harness.may_answer.set()
            await asyncio.sleep(0.01)
            harness.writer.write(HEAD + b"body")
            assert harness.close_idle() == 1
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                answer = await harness.reader.read()
            assert answer.endswith(b"done body")

    asyncio.run(async_test())


def test_caller_notices_a_closed_connection_before_a_slow_event_loop_goes_on():
    """A request sent meanwhile was cut off without an answer, seconds later."""

    async def async_test():
        async with async_server_harness() as harness:
            await asyncio.sleep(0.01)
            sock = harness.writer.get_extra_info("socket")
            harness.close_idle()
            # Nothing of the server's event loop runs in between.
            readable, _, _ = select.select([sock.fileno()], [], [], RESPONSE_TIMEOUT_S)
            assert readable

    asyncio.run(async_test())


@pytest.mark.parametrize("loop_iterations", range(4))
def test_request_on_new_connection_is_answered_by_a_stopping_server(loop_iterations):
    """A slow daemon used to reset it, or to end before it had read the request."""

    async def async_test():
        async with async_server_harness() as harness:
            harness.may_answer.set()
            with socket.create_connection(harness.address) as client:
                client.sendall(HEAD + b"body")
                client.setblocking(False)
                for _ in range(loop_iterations):
                    await asyncio.sleep(0)
                asyncio.get_running_loop().call_soon(time.sleep, 0.06)
                await async_close_listener(harness.listener, harness.server)
                while harness.close_idle():
                    await asyncio.sleep(0.01)
                answer = client.recv(1000)
            assert answer.endswith(b"done body")

    asyncio.run(async_test())
