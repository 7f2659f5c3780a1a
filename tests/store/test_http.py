"""Tests for platform calls over connections that stop responding.

A daemon that rarely reads the store directly keeps a connection open for a long time.
If the connection stopped responding without a reset, the next read timed out. With
the pause before the following read, the daemon learned of a leaving endpoint 2.4 to
2.6 s after the store acknowledged the change; the limit is 2 s.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager

import aiohttp
import pytest

from chutelink.exceptions import PlatformUnavailable
from chutelink.settings import PlatformSection
from chutelink.store.breaker import FAILURES_TO_OPEN
from chutelink.store.http import READ_RETRY_FRACTION, PlatformServiceClient, ReadRetry

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 0.5


class UnresponsiveServer:
    """Responds to one call on each of its first connections, then stops responding."""

    def __init__(self, unresponsive_connections: int) -> None:
        self.unresponsive_connections = unresponsive_connections
        self.connections = 0
        self.calls = 0
        self.retries: list[ReadRetry] = []

    async def async_serve(self, reader, writer):
        self.connections += 1
        is_unresponsive = self.connections <= self.unresponsive_connections
        answered = 0
        while await self._async_request(reader):
            if is_unresponsive and answered:
                await asyncio.Event().wait()
            writer.write(RESPONSE)
            answered += 1

    async def _async_request(self, reader) -> bool:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        self.calls += 1
        return True


@asynccontextmanager
async def async_client(server):
    async def async_serve(reader, writer):
        try:
            await server.async_serve(reader, writer)
        finally:
            writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    url = f"http://127.0.0.1:{port}"
    settings = PlatformSection(url=url, key="none", timeout_s=TIMEOUT_S)
    async with aiohttp.ClientSession() as session:
        yield PlatformServiceClient(
            session, settings, "store", on_retry=server.retries.append
        )
    listener.close()


def run(server, test):
    async def async_run():
        async with async_client(server) as client:
            await test(client)

    asyncio.run(async_run())


def test_read_on_unresponsive_connection_is_retried_on_new_one():
    server = UnresponsiveServer(unresponsive_connections=1)

    async def async_test(client):
        await client.async_call("GET", "/x", step="x", is_read=True)
        response = await client.async_call("GET", "/x", step="x", is_read=True)
        assert response.body == b"ok"
        assert (server.connections, server.calls) == (2, 3)
        await client.async_call("GET", "/x", step="x", is_read=True)
        assert client.breaker.calls == 4

    run(server, async_test)


def test_write_is_not_retried():
    server = UnresponsiveServer(unresponsive_connections=1)

    async def async_test(client):
        await client.async_call("POST", "/x", step="x")
        with pytest.raises(PlatformUnavailable):
            await client.async_call("POST", "/x", step="x")
        assert server.calls == 2

    run(server, async_test)


def test_read_without_response_times_out():
    class NeverResponds(UnresponsiveServer):
        async def async_serve(self, reader, writer):
            await asyncio.Event().wait()

    async def async_test(client):
        with pytest.raises(PlatformUnavailable):
            await client.async_call("GET", "/x", step="x", is_read=True)

    run(NeverResponds(unresponsive_connections=9), async_test)


def test_retry_closes_all_unresponsive_connections():
    """Three pooled connections stop responding at the same time.

    Guards against each of them delaying another read until its retry or making a
    write time out, and against a daemon that has no connection left because each
    retry closes the one that it used.
    """
    server = UnresponsiveServer(unresponsive_connections=3)

    async def async_test(client):
        reads = [
            client.async_call("GET", "/x", step="x", is_read=True) for _ in range(3)
        ]
        await asyncio.gather(*reads)
        assert server.connections == 3
        await client.async_call("GET", "/x", step="x", is_read=True)
        await client.async_call("POST", "/x", step="x")
        await client.async_call("GET", "/x", step="x", is_read=True)
        assert len(server.retries) == 1
        assert server.connections == 4

    run(server, async_test)


def test_response_during_blocked_event_loop_prevents_retry():
    """On a busy machine, daemons retried reads that had already been answered."""
    retry_after_s = READ_RETRY_FRACTION * TIMEOUT_S

    class BlockedLoopServer(UnresponsiveServer):
        async def async_serve(self, reader, writer):
            self.connections += 1
            await self._async_request(reader)
            loop = asyncio.get_running_loop()
            loop.call_later(retry_after_s / 4, time.sleep, retry_after_s)
            await asyncio.sleep(retry_after_s / 2)
            writer.write(RESPONSE)

    server = BlockedLoopServer(unresponsive_connections=0)

    async def async_test(client):
        response = await client.async_call("GET", "/x", step="x", is_read=True)
        assert response.body == b"ok"
        assert (server.calls, server.retries) == (1, [])

    run(server, async_test)


def test_retry_of_long_poll_requests_immediate_response():
    """A long poll may take longer than the timeout that is left for the retry.

    Guards against a long poll on an unresponsive connection that timed out and was
    counted as a failure of the service although its retry had arrived.
    """

    class LongPollServer(UnresponsiveServer):
        async def async_serve(self, reader, writer):
            self.connections += 1
            if self.connections == 1:
                await asyncio.Event().wait()
            line = await reader.readuntil(b"\r\n\r\n")
            if b"wait_ms=0" not in line:
                await asyncio.sleep(2 * TIMEOUT_S)
            writer.write(RESPONSE)

    async def async_test(client):
        response = await client.async_call(
            "GET",
            "/x",
            step="x",
            params={"wait_ms": "1000"},
            retry_params={"wait_ms": "0"},
            is_read=True,
            wait_s=2 * TIMEOUT_S,
        )
        assert response.body == b"ok"

    run(LongPollServer(unresponsive_connections=0), async_test)


def test_reads_are_not_retried_while_service_is_failing():
    """Each attempt counts against the rate limit, and a retry adds no information."""

    class NeverResponds(UnresponsiveServer):
        async def async_serve(self, reader, writer):
            while await self._async_request(reader):
                pass

    server = NeverResponds(unresponsive_connections=9)

    async def async_test(client):
        for _ in range(FAILURES_TO_OPEN):
            with pytest.raises(PlatformUnavailable):
                await client.async_call("GET", "/x", step="x", is_read=True)
        assert server.calls == 2 * FAILURES_TO_OPEN
        while client.breaker.is_open:
            await asyncio.sleep(0.02)
        with pytest.raises(PlatformUnavailable):
            await client.async_call("GET", "/x", step="x", is_read=True)
        assert server.calls == 2 * FAILURES_TO_OPEN + 1

    run(server, async_test)
