"""Calls to the platform over connections that fall silent.

What was seen: a daemon that seldom reads the store by itself keeps a connection for
long. If that fell silent without a reset, its first own read ran into the time limit,
and with the pause before the next one the daemon knew of a leaving endpoint 2.4 to
2.6 s after the store's acknowledgement, where 2 s are allowed.
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
from chutelink.store.http import SECOND_TRY_SHARE, HttpCaller, ReadRetry

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LIMIT_S = 0.5


class SilentServer:
    """Answers one call on its first connections and then nothing there."""

    def __init__(self, silent: int) -> None:
        self.silent = silent
        self.connections = 0
        self.calls = 0
        self.retries: list[ReadRetry] = []

    async def async_serve(self, reader, writer):
        self.connections += 1
        is_silent = self.connections <= self.silent
        answered = 0
        while await self._async_request(reader):
            if is_silent and answered:
                await asyncio.Event().wait()
            writer.write(ANSWER)
            answered += 1

    async def _async_request(self, reader) -> bool:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        self.calls += 1
        return True


@asynccontextmanager
async def async_caller(server):
    listener = await asyncio.start_server(server.async_serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    url = f"http://127.0.0.1:{port}"
    settings = PlatformSection(url=url, key="none", timeout_s=LIMIT_S)
    async with aiohttp.ClientSession() as session:
        yield HttpCaller(session, settings, "store", on_retry=server.retries.append)
    listener.close()


def run(server, test):
    async def async_run():
        async with async_caller(server) as caller:
            await test(caller)

    asyncio.run(async_run())


def test_a_read_on_a_silent_connection_is_sent_anew_on_a_new_one():
    server = SilentServer(silent=1)

    async def async_test(caller):
        await caller.async_call("GET", "/x", step="x", is_read=True)
        answer = await caller.async_call("GET", "/x", step="x", is_read=True)
        assert answer.body == b"ok"
        assert (server.connections, server.calls) == (2, 3)
        await caller.async_call("GET", "/x", step="x", is_read=True)
        assert caller.breaker.calls == 4

    run(server, async_test)


def test_a_write_is_sent_once():
    server = SilentServer(silent=1)

    async def async_test(caller):
        await caller.async_call("POST", "/x", step="x")
        with pytest.raises(PlatformUnavailable):
            await caller.async_call("POST", "/x", step="x")
        assert server.calls == 2

    run(server, async_test)


def test_a_read_that_nobody_answers_ends_at_its_limit():
    class Mute(SilentServer):
        async def async_serve(self, reader, writer):
            await asyncio.Event().wait()

    async def async_test(caller):
        with pytest.raises(PlatformUnavailable):
            await caller.async_call("GET", "/x", step="x", is_read=True)

    run(Mute(silent=9), async_test)


def test_one_silent_connection_costs_no_later_call_its_time_limit():
    """Three connections are kept, and all of them fall silent at once.

    What was seen: each of them cost one more read a second try, or a write its time
    limit; and a daemon whose second tries each closed their connection held none.
    """
    server = SilentServer(silent=3)

    async def async_test(caller):
        reads = [
            caller.async_call("GET", "/x", step="x", is_read=True) for _ in range(3)
        ]
        await asyncio.gather(*reads)
        assert server.connections == 3
        await caller.async_call("GET", "/x", step="x", is_read=True)
        await caller.async_call("POST", "/x", step="x")
        await caller.async_call("GET", "/x", step="x", is_read=True)
        assert len(server.retries) == 1
        assert server.connections == 4

    run(server, async_test)


def test_an_answer_that_came_while_the_loop_was_blocked_needs_no_second_try():
    """What was seen: on a busy machine daemons sent reads twice that were answered."""
    patience_s = SECOND_TRY_SHARE * LIMIT_S

    class Slow(SilentServer):
        async def async_serve(self, reader, writer):
            self.connections += 1
            await self._async_request(reader)
            loop = asyncio.get_running_loop()
            loop.call_later(patience_s / 4, time.sleep, patience_s)
            await asyncio.sleep(patience_s / 2)
            writer.write(ANSWER)

    server = Slow(silent=0)

    async def async_test(caller):
        answer = await caller.async_call("GET", "/x", step="x", is_read=True)
        assert answer.body == b"ok"
        assert (server.calls, server.retries) == (1, [])

    run(server, async_test)


def test_a_second_try_asks_for_an_answer_at_once():
    """The first one may be held back for longer than is then left of the time limit.

    What was seen: a long poll whose connection had fallen silent ran into its time
    limit, though the second try arrived, and counted as a failure of the service.
    """

    class LongPolls(SilentServer):
        async def async_serve(self, reader, writer):
            self.connections += 1
            if self.connections == 1:
                await asyncio.Event().wait()
            line = await reader.readuntil(b"\r\n\r\n")
            if b"wait_ms=0" not in line:
                await asyncio.sleep(2 * LIMIT_S)
            writer.write(ANSWER)

    async def async_test(caller):
        answer = await caller.async_call(
            "GET",
            "/x",
            step="x",
            params={"wait_ms": "1000"},
            retry_params={"wait_ms": "0"},
            is_read=True,
            wait_s=2 * LIMIT_S,
        )
        assert answer.body == b"ok"

    run(LongPolls(silent=0), async_test)


def test_reads_are_sent_once_while_the_service_answers_nobody():
    """Each try is charged, and a new connection tells no more than another one."""

    class Mute(SilentServer):
        async def async_serve(self, reader, writer):
            while await self._async_request(reader):
                pass

    server = Mute(silent=9)

    async def async_test(caller):
        for _ in range(FAILURES_TO_OPEN):
            with pytest.raises(PlatformUnavailable):
                await caller.async_call("GET", "/x", step="x", is_read=True)
        assert server.calls == 2 * FAILURES_TO_OPEN
        while caller.breaker.is_open:
            await asyncio.sleep(0.02)
        with pytest.raises(PlatformUnavailable):
            await caller.async_call("GET", "/x", step="x", is_read=True)
        assert server.calls == 2 * FAILURES_TO_OPEN + 1

    run(server, async_test)
