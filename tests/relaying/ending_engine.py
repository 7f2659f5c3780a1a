"""An engine that ends the response to one stream at a given place in a given way."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable
from enum import Enum

from chutelink.watching.table_state import RowChange

from ..raw_server import RESET

EVENTS = 8
EVENTS_BEFORE_END = 2
REPORT_TIME_S = 0.05
"""How long an engine that exits responds to reports after its streams have ended."""


class Framing(Enum):
    """What states the end of the response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Position(Enum):
    """Where the response ends."""

    BEFORE_HEAD = "before_head"
    BEFORE_FIRST_EVENT = "before_first_event"
    BETWEEN_EVENTS = "between_events"
    WITHIN_EVENT = "within_event"
    AFTER_LAST_EVENT = "after_last_event"


class Ending(Enum):
    """How the engine ends; all but the last three end its process or connections."""

    KILLED = "killed"
    POWER_LOST = "power_lost"
    """Its connections are not closed, and carry nothing more."""
    RESET = "reset"
    REPLACED = "replaced"
    RESTARTED = "restarted"
    """Another process serves its address under the same id."""
    EXITING = "exiting"
    """It closes its connections, and responds to reports until it exits."""
    DRAINED = "drained"
    """The same after it has announced that it is leaving."""
    CONNECTION_LOST = "connection_lost"
    """It closes one connection and continues to run."""
    TIME_LIMIT = "time_limit"
    """It stops at the time limit that it was sent, and ends the body's framing."""


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events_after(number: int) -> bytes:
    """Return all events of a stream after one of them."""
    return b"".join(map(event, range(number + 1, EVENTS + 1)))


class EndingEngine:
    """Serves reports, and ends the first response to a stream as it is told to.

    Later requests for the stream are answered completely in chunks.
    """

    def __init__(
        self, name: str, ending: Ending, framing: Framing, position: Position
    ) -> None:
        self.name = name
        self.ending = ending
        self.framing = framing
        self.position = position
        self.requests: list[dict[str, str]] = []
        self.on_request: Callable[[], None] = lambda: None
        self.on_drain: Callable[[EndingEngine], None] = lambda engine: None
        self._instance = name
        self._state = "ready"
        self._born_ms = 1000
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._has_power = True
        self._has_exited = False

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def registration(self) -> RowChange:
        """Return the content of its registration."""
        row = {
            "service": "llm",
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": self._state,
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "seq": 0,
            "born": 1000,
        }
        return RowChange(f"endpoints/{self.name}", row)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._has_exited:
            # Accepted before the exit: no process is left to serve it.
            writer.transport.abort()
            return
        self._writers.add(writer)
        # The caller of the stream closes its connection once the response is complete.
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while self._has_power:
                await self._async_serve_request(reader, writer)

    async def _async_serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:-2])
        await reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("x-expect-instance", self._instance) != self._instance:
            writer.write(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
        elif lines[0].startswith("GET /api/report"):
            models = self.registration().value["models"]
            body = json.dumps({"models": models, "seq": 0, "born": self._born_ms})
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode())
        else:
            self.requests.append(headers)
            self.on_request()
            await self._async_stream(headers, writer)

    async def _async_stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        after = int(headers.get("last-event-id", 0))
        if len(self.requests) > 1:
            writer.write(self._head(after, headers, Framing.CHUNKS))
            if rest := events_after(after):
                writer.write(b"%x\r\n%s\r\n" % (len(rest), rest))
            writer.write(b"0\r\n\r\n")
            return
        for part in self._parts(after, headers):
            writer.write(part)
        if self.ending is Ending.TIME_LIMIT:
            await asyncio.sleep(int(headers["x-deadline-ms"]) / 1000)
            if self.framing is Framing.CHUNKS:
                writer.write(b"0\r\n\r\n")
        else:
            # Data that is received at once with a reset would be discarded.
            await asyncio.sleep(0.01)
        await self._async_end(writer)

    def _parts(self, after: int, headers: dict[str, str]) -> list[bytes]:
        """Return the bytes before the end; each event is a chunk of its own."""
        if self.position is Position.BEFORE_HEAD:
            return []
        head = self._head(after, headers, self.framing)
        last = {
            Position.BEFORE_FIRST_EVENT: after,
            Position.AFTER_LAST_EVENT: EVENTS,
        }.get(self.position, after + EVENTS_BEFORE_END)
        events = [event(number) for number in range(after + 1, last + 1)]
        if self.position is Position.WITHIN_EVENT:
            events.append(event(last + 1)[:8])
        if self.framing is Framing.CHUNKS:
            events = [b"%x\r\n%s\r\n" % (len(part), part) for part in events]
        return [head, *events]

    def _head(self, after: int, headers: dict[str, str], framing: Framing) -> bytes:
        lines = {
            Framing.LENGTH: f"Content-Length: {len(events_after(after))}",
            Framing.CHUNKS: "Transfer-Encoding: chunked",
            Framing.CONNECTION: "Connection: close",
        }
        seal = f"X-Request-Id: {headers['x-request-id']}\r\nX-Server-Seal: s"
        return f"HTTP/1.1 200 OK\r\n{seal}\r\n{lines[framing]}\r\n\r\n".encode()

    async def _async_end(self, writer: asyncio.StreamWriter) -> None:
        if self.ending is Ending.POWER_LOST:
            self._has_power = False
            self._server.close()
            return
        if self.ending in (Ending.KILLED, Ending.EXITING, Ending.DRAINED):
            await self._async_end_process(writer)
            return
        if self.ending is Ending.REPLACED:
            self._instance = "i-9"
        if self.ending in (Ending.REPLACED, Ending.RESTARTED):
            self._born_ms += 1
        if self.ending is Ending.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.close()

    async def _async_end_process(self, writer: asyncio.StreamWriter) -> None:
        if self.ending is Ending.DRAINED:
            self._state = "draining"
            self.on_drain(self)
        if self.ending is Ending.KILLED:
            self._server.close()
        writer.close()
        if self.ending is not Ending.KILLED:
            await asyncio.sleep(REPORT_TIME_S)
            self._server.close()
        self._has_exited = True
        for other in self._writers:
            other.close()
