"""Stand-in for a server that sends bytes until its peer closes the connection."""

from __future__ import annotations

import argparse
import asyncio
from enum import Enum

PIECE_BYTES = 16 * 1024
LARGE_EVENT_BYTES = 900_000
"""Size of a large event, below the limit of one event."""


class EndlessPart(Enum):
    """The part of a response that has no end."""

    STATUS_LINE = "status_line"
    HEADERS = "headers"
    INTERIM = "interim"
    BODY = "body"
    ERROR_BODY = "error_body"
    CHUNKS = "chunks"
    CHUNK_EXTENSION = "chunk_extension"
    TRAILERS = "trailers"
    EVENT = "event"
    EVENT_LINES = "event_lines"
    EVENTS = "events"
    COMMENTS = "comments"
    LARGE_EVENTS = "large_events"
    AFTER_RESPONSE = "after_response"
    """Answers that no request asked for, on a connection that is kept open."""


def _repeat(data: bytes) -> bytes:
    return data * max(1, PIECE_BYTES // len(data))


_HEADERS = b"X-Request-Id: %(id)s\r\nX-Server-Seal: seal\r\n"
_OK = b"HTTP/1.1 200 OK\r\n" + _HEADERS
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_STREAM = _OK + b"Content-Type: text/event-stream\r\n\r\n"
_COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_PARTS: dict[EndlessPart, tuple[bytes, bytes]] = {
    EndlessPart.STATUS_LINE: (b"HTTP/1.1 200 ", _repeat(b"a")),
    EndlessPart.HEADERS: (b"HTTP/1.1 200 OK\r\n", _repeat(b"X-A: b\r\n")),
    EndlessPart.INTERIM: (b"", _repeat(b"HTTP/1.1 100 Continue\r\n\r\n")),
    EndlessPart.BODY: (_OK + b"\r\n", _repeat(b"a")),
    EndlessPart.ERROR_BODY: (
        b"HTTP/1.1 500 Error\r\n" + _HEADERS + b"\r\n",
        _repeat(b"a"),
    ),
    EndlessPart.CHUNKS: (_CHUNKED, _repeat(b"400\r\n" + b"a" * 1024 + b"\r\n")),
    EndlessPart.CHUNK_EXTENSION: (_CHUNKED + b"4;a=", _repeat(b"b")),
    EndlessPart.TRAILERS: (_CHUNKED + b"0\r\n", _repeat(b"X-A: b\r\n")),
    EndlessPart.EVENT: (_STREAM + b"id: 1\ndata: ", _repeat(b"a")),
    EndlessPart.EVENT_LINES: (_STREAM, _repeat(b"data: a\n")),
    EndlessPart.EVENTS: (_STREAM, _repeat(b"data: a\n\n")),
    EndlessPart.COMMENTS: (_STREAM, _repeat(b": a\n\n")),
    EndlessPart.LARGE_EVENTS: (
        _STREAM,
        b"data: " + b"a" * LARGE_EVENT_BYTES + b"\n\n",
    ),
    EndlessPart.AFTER_RESPONSE: (
        _OK + b"Content-Length: 2\r\n\r\nok",
        _repeat(_COMPLETE),
    ),
}


class EndlessServer:
    """Answers each request with a response that does not end.

    Parameters
    ----------
    part : EndlessPart
        What has no end.
    max_bytes : int
        Number of bytes of a connection after which it gives up.
    byte_interval_s : float, default=0.0
        If set, it sends one byte at a time.
    """

    def __init__(
        self, part: EndlessPart, max_bytes: int, byte_interval_s: float = 0.0
    ) -> None:
        self._prefix, self._piece = _PARTS[part]
        if byte_interval_s:
            self._piece = self._piece[:1]
        self._byte_interval_s = byte_interval_s
        self._part = part
        self._max_bytes = max_bytes
        self.requests = 0
        self.sent_bytes = 0
        """Bytes that the network stack took, over all connections."""
        self.is_exhausted = False
        """Whether a peer let it send ``max_bytes``."""
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Host and port."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def async_start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, on a free one if it is 0."""
        self._server = await asyncio.start_server(self._async_serve, host, port)

    async def async_close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            await self._async_send(writer, _request_id(head))
        except (ConnectionError, asyncio.IncompleteReadError):
            # The peer has closed the connection.
            pass
        finally:
            writer.close()

    async def _async_send(
        self, writer: asyncio.StreamWriter, request_id: bytes
    ) -> None:
        sent_bytes = 0
        writer.write(self._prefix.replace(b"%(id)s", request_id))
        if self._part is EndlessPart.AFTER_RESPONSE:
            await writer.drain()
            await asyncio.sleep(0.05)
        while sent_bytes < self._max_bytes:
            writer.write(self._piece)
            await writer.drain()
            # Lets the event loop run even if the network stack takes everything.
            await asyncio.sleep(self._byte_interval_s)
            sent_bytes += len(self._piece)
            self.sent_bytes += len(self._piece)
        self.is_exhausted = True


def _request_id(head: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            return value.strip()
    return b""


async def _async_main(options: argparse.Namespace) -> None:
    server = EndlessServer(options.part, options.max_bytes)
    await server.async_start(options.host, options.port)
    print(f"event=started address={server.address}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the server as a process of its own, until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", type=EndlessPart, required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--max-bytes", type=int, required=True)
    asyncio.run(_async_main(parser.parse_args()))


if __name__ == "__main__":
    main()
