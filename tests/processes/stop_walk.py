"""Sends requests to a daemon at each moment of its stop."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator

import msgspec

from .deployment import Process

STEP_S = 0.03
UNREAD_CLOSE_S = 0.2
"""A request counts as unread if its connection is closed within this."""
MAX_WALK_S = 12.0
MAX_STALL_S = 0.15


class Arrival(msgspec.Struct):
    """One request of the walk and what its caller saw.

    ``sent_s`` is when its last byte was sent, from the stop on; ``closed_s`` how much
    later its connection was closed without an answer, None where it was answered.
    """

    request_id: str
    kind: str
    sent_s: float = 0.0
    status: int = 0
    closed_s: float | None = None


class Connection:
    """A caller's connection that is kept until a request is sent on it."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def async_open(cls, host: str, port: int) -> Connection:
        return cls(*await asyncio.open_connection(host, port))

    async def async_send(self, request: bytes, pause_s: float = 0.0) -> None:
        """Send a request, its last byte after a pause."""
        self._writer.write(request[:-1])
        await self._writer.drain()
        await asyncio.sleep(pause_s)
        self._writer.write(request[-1:])
        await self._writer.drain()

    async def async_status(self) -> int:
        """Return the status of a whole answer, or 0 if there is none."""
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


class StopWalk:
    """A walk of arrivals through all moments of one daemon's stop.

    Parameters
    ----------
    process : Process
        The daemon.
    host, port
        Where it takes callers.
    make_request : callable
        Returns the bytes of a request with an id.
    seed : int
        Of the moments at which the daemon's process is stalled.
    has_stalls : bool
        Whether it is stalled at all.
    """

    def __init__(
        self,
        process: Process,
        host: str,
        port: int,
        make_request: Callable[[str], bytes],
        *,
        seed: int = 1,
        has_stalls: bool = False,
    ) -> None:
        self._process = process
        self._place = (host, port)
        self._make_request = make_request
        self._rng = random.Random(seed)
        self._has_stalls = has_stalls
        self._kept: list[Connection] = []
        self.arrivals: list[Arrival] = []

    async def async_run(self, prefix: str) -> None:
        """Open connections, stop the daemon, and send until it has ended."""
        for number in range(int(MAX_WALK_S / STEP_S)):
            connection = await Connection.async_open(*self._place)
            if number % 2:
                await connection.async_send(
                    self._make_request(f"{prefix}-warm{number}")
                )
                assert await connection.async_status() == 200
            self._kept.append(connection)
        self._process.terminate()
        begun_s = asyncio.get_running_loop().time()
        stalls = asyncio.ensure_future(self._async_stall())
        sent = []
        for number, kept in enumerate(self._kept):
            if not self._process.is_running:
                break
            for arrival, connection in self._next(prefix, number, kept):
                sending = self._async_arrive(arrival, connection, begun_s)
                sent.append(asyncio.ensure_future(sending))
            await asyncio.sleep(STEP_S)
        stalls.cancel()
        self._process.wake()
        assert await self._process.async_wait() == 0
        await asyncio.gather(*sent)
        for connection in self._kept:
            connection.close()

    def _next(
        self, prefix: str, number: int, kept: Connection
    ) -> Iterator[tuple[Arrival, Connection | None]]:
        yield Arrival(f"{prefix}-kept{number}", "kept"), kept
        yield Arrival(f"{prefix}-new{number}", "new"), None

    async def _async_arrive(
        self, arrival: Arrival, connection: Connection | None, begun_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        pause_s = self._rng.choice((0.0, 0.0, STEP_S))
        arrival.sent_s = loop.time() - begun_s
        try:
            connection = connection or await Connection.async_open(*self._place)
            await connection.async_send(self._make_request(arrival.request_id), pause_s)
        except ConnectionError:
            # Refused, or closed before the whole request was there.
            return
        self.arrivals.append(arrival)
        sent_s = loop.time()
        arrival.status = await connection.async_status()
        if not arrival.status:
            arrival.closed_s = loop.time() - sent_s
        connection.close()

    async def _async_stall(self) -> None:
        """Stop the process for moments: much is read in one turn of its loop then."""
        while self._has_stalls:
            await asyncio.sleep(self._rng.uniform(0.02, 0.3))
            self._process.freeze()
            await asyncio.sleep(self._rng.uniform(0.02, MAX_STALL_S))
            self._process.wake()

    def lost(self, run_ids: set[str]) -> list[Arrival]:
        """Return the requests that were taken and got no answer.

        Run somewhere, or held for longer than a connection that is closed unread.
        """
        limit_s = UNREAD_CLOSE_S + MAX_STALL_S * self._has_stalls
        return [
            arrival
            for arrival in self.arrivals
            if arrival.closed_s is not None
            and (arrival.request_id in run_ids or arrival.closed_s > limit_s)
        ]
