"""An HTTP port with bounded connections on the event loop of a test."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from chutelink.gateway.refusals import Refusal
from chutelink.memory import MemoryBudget
from chutelink.serving.body import async_read_body
from chutelink.serving.connection import BoundedRequestHandler, HeadLimits
from chutelink.serving.listening import bind_socket
from chutelink.serving.pool import ConnectionPool
from chutelink.serving.port import HttpPort, ServingBounds

HOST = "127.0.0.1"
READ_LIMIT_S = 10.0


class ServingHarness:
    """A port whose handler records requests, and answers when the test allows it."""

    def __init__(self) -> None:
        self.limits = HeadLimits(4096, 5.0)
        self.requests: list[tuple[str, str, bytes]] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.body_memory: MemoryBudget | None = None
        loop = asyncio.get_running_loop()
        self.bounds = ServingBounds(loop.time, 128, 0, lambda: self.limits)
        self.pool: ConnectionPool = self.bounds.make_pool("test", 0.4)
        self.server = web.Server(self._async_handle, handler_cancellation=True)
        self.port: HttpPort | None = None
        self.address = ("", 0)

    @property
    def connection(self) -> BoundedRequestHandler:
        """The only connection."""
        (connection,) = self.server.connections
        return connection

    async def async_start(self) -> None:
        """Open the port."""
        listener = bind_socket(HOST, 0)
        self.address = listener.getsockname()
        self.port = await self.bounds.async_open_port(
            self.server, self.pool, listener, access_log=None, auto_decompress=False
        )

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        lease = None if self.body_memory is None else self.body_memory.open()
        try:
            body = await async_read_body(request, None, lease)
        except Refusal as refusal:
            return refusal.to_response()
        finally:
            if lease is not None:
                lease.close()
        self.requests.append((request.method, request.raw_path, body))
        await self.may_answer.wait()
        return web.Response(body=body)

    async def async_until(self, condition) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(READ_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.001)


@asynccontextmanager
async def async_serving_harness() -> AsyncIterator[ServingHarness]:
    """Yield a harness, and close its port on exit."""
    harness = ServingHarness()
    await harness.async_start()
    try:
        yield harness
    finally:
        harness.port.close()
        harness.port.abort_connections()
        await asyncio.sleep(0)


@asynccontextmanager
async def async_client(harness: ServingHarness):
    """Yield the streams of a connection to the port."""
    reader, writer = await asyncio.open_connection(*harness.address)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def async_read_head(reader: asyncio.StreamReader) -> str:
    """Return the head of a response."""
    async with asyncio.timeout(READ_LIMIT_S):
        return (await reader.readuntil(b"\r\n\r\n")).decode()


async def async_until_closed(reader: asyncio.StreamReader) -> None:
    """Wait until the port has closed a connection without a response."""
    async with asyncio.timeout(READ_LIMIT_S):
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read(1) == b""
