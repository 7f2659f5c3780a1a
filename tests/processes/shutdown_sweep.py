"""Sends requests to a daemon throughout its shutdown."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator

import msgspec

from .deployment import Process

STEP_S = 0.03
UNREAD_CLOSE_S = 0.2
"""A request counts as unread if its connection is closed within this time."""
MAX_SWEEP_S = 12.0
MAX_STALL_S = 0.15


class Stalls(msgspec.Struct, frozen=True):
    """How long a process runs, and how long it is then suspended, at random."""

    run_s: tuple[float, float]
    stall_s: tuple[float, float]


OCCASIONAL_STALLS = Stalls((0.02, 0.3), (0.02, MAX_STALL_S))
"""The process then reads many requests at once."""
TENTH_OF_CORE = Stalls((0.005, 0.012), (0.05, 0.1))


class SentRequest(msgspec.Struct):
    """A request and its outcome as seen by the client.

    ``sent_s`` is when sending began, measured from the stop signal. ``closed_s`` is
    the time from the last byte of the request until the connection was closed without
    a response; None if there was a response.
    """

    request_id: str
    kind: str
    sent_s: float = 0.0
    status: int = 0
    closed_s: float | None = None


class ClientConnection:
    """A client's keep-alive connection, for one request at a time."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def async_open(cls, host: str, port: int) -> ClientConnection:
        return cls(*await asyncio.open_connection(host, port))

    async def async_send(self, request: bytes, pause_s: float = 0.0) -> None:
        """Send a request, pausing before its last byte."""
        self._writer.write(request[:-1])
        await self._writer.drain()
        await asyncio.sleep(pause_s)
        self._writer.write(request[-1:])
        await self._writer.drain()

    async def async_status(self) -> int:
        """Return the status of a complete response, or 0 if there is none."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            lengths = [x for x in lines if x.startswith("content-length:")]
            await self._reader.readexactly(int(lengths[0].partition(":")[2]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        return int(lines[0].split()[1])

    def close(self) -> None:
        self._writer.close()


class ShutdownSweep:
    """Sends requests at short intervals from the stop signal to the daemon's exit.

    Parameters
    ----------
    process : Process
        The daemon's process.
    host, port
        Address at which it serves clients.
    make_request : callable
        Returns the encoded request for a request id.
    seed : int
        Seed of the pauses within requests and of the stalls.
    stalls : Stalls, optional
        Suspensions of the daemon's process.
    """

    def __init__(
        self,
        process: Process,
        host: str,
        port: int,
        make_request: Callable[[str], bytes],
        *,
        seed: int = 1,
        stalls: Stalls | None = None,
    ) -> None:
        self._process = process
        self._server_address = (host, port)
        self._make_request = make_request
        self._rng = random.Random(seed)
        self._stalls = stalls
        self._idle_connections: list[ClientConnection] = []
        self.requests: list[SentRequest] = []

    async def async_run(self, prefix: str) -> None:
        """Open connections, stop the daemon, and send requests until it exits."""
        for number in range(int(MAX_SWEEP_S / STEP_S)):
            connection = await ClientConnection.async_open(*self._server_address)
            if number % 2:
                await connection.async_send(
                    self._make_request(f"{prefix}-warm{number}")
                )
                assert await connection.async_status() == 200
            self._idle_connections.append(connection)
        self._process.terminate()
        signalled_s = asyncio.get_running_loop().time()
        stalls = asyncio.ensure_future(self._async_stall())
        sent = []
        for number, idle in enumerate(self._idle_connections):
            if not self._process.is_running:
                break
            for sent_request, connection in self._next_requests(prefix, number, idle):
                sending = self._async_send_request(
                    sent_request, connection, signalled_s
                )
                sent.append(asyncio.ensure_future(sending))
            await asyncio.sleep(STEP_S)
        stalls.cancel()
        self._process.resume()
        assert await self._process.async_wait() == 0
        await asyncio.gather(*sent)
        for connection in self._idle_connections:
            connection.close()

    def _next_requests(
        self, prefix: str, number: int, idle: ClientConnection
    ) -> Iterator[tuple[SentRequest, ClientConnection | None]]:
        yield SentRequest(f"{prefix}-kept{number}", "kept"), idle
        yield SentRequest(f"{prefix}-new{number}", "new"), None

    async def _async_send_request(
        self,
        sent_request: SentRequest,
        connection: ClientConnection | None,
        signalled_s: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        pause_s = self._rng.choice((0.0, 0.0, STEP_S))
        sent_request.sent_s = loop.time() - signalled_s
        try:
            connection = connection or await ClientConnection.async_open(
                *self._server_address
            )
            await connection.async_send(
                self._make_request(sent_request.request_id), pause_s
            )
        except ConnectionError:
            # Refused, or closed before the request was complete.
            return
        self.requests.append(sent_request)
        sent_s = loop.time()
        sent_request.status = await connection.async_status()
        if not sent_request.status:
            sent_request.closed_s = loop.time() - sent_s
        connection.close()

    async def _async_stall(self) -> None:
        """Suspend the process repeatedly."""
        while self._stalls is not None:
            await asyncio.sleep(self._rng.uniform(*self._stalls.run_s))
            self._process.freeze()
            await asyncio.sleep(self._rng.uniform(*self._stalls.stall_s))
            self._process.resume()

    def lost_requests(self, executed_ids: set[str]) -> list[SentRequest]:
        """Return the requests that were accepted but not answered.

        These either ran, or their connection stayed open for longer than one that is
        closed unread.
        """
        limit_s = UNREAD_CLOSE_S
        if self._stalls is not None:
            limit_s += self._stalls.stall_s[1]
        return [
            sent_request
            for sent_request in self.requests
            if sent_request.closed_s is not None
            and (
                sent_request.request_id in executed_ids
                or sent_request.closed_s > limit_s
            )
        ]
