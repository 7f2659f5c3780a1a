"""Responses that endpoints send late, where the next one is expected."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from standins.prepared_config import make_config

from .relay_harness import SERVICES, async_relay_harness
from .test_cut_responses import register_raw
from .test_stream import expected, headers

HEAD = "HTTP/1.1 {} x\r\nX-Request-Id: {}\r\nX-Server-Seal: s\r\n"
CHUNKS = "Transfer-Encoding: chunked\r\n\r\n"
FAILED = (HEAD.format(500, "q1") + "Content-Length: 0\r\n\r\n").encode()


def stream(request_id: str, events: int) -> bytes:
    """Return a response in chunks with the first events of a stream."""
    body = expected()[: 16 * events]
    head = (HEAD.format(200, request_id) + CHUNKS).encode()
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


class LateServer:
    """Sends the given responses, one for each request on any connection.

    Before the second response on a connection, ``late`` is sent.
    """

    def __init__(self, responses: list[bytes], late: bytes) -> None:
        self.responses = responses
        self.late = late
        self.address = ""
        self.writers = []

    async def async_serve(self, reader, writer) -> None:
        self.writers.append(writer)
        requests = 0
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
                requests += 1
                if requests == 2:
                    writer.write(self.late)
                    await asyncio.sleep(0.01)
                writer.write(self.responses.pop(0))
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()


@asynccontextmanager
async def async_late_server(responses, late):
    server = LateServer(responses, late)
    listener = await asyncio.start_server(server.async_serve, "127.0.0.1", 0)
    server.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    try:
        yield server
    finally:
        listener.close()
        for writer in server.writers:
            writer.transport.abort()


async def async_stream_after(first: bytes, late: bytes, first_id: str):
    """Return a stream requested after ``first`` was sent on the same connection."""
    config = make_config(1, SERVICES)
    config["routes"][0]["attempts"] = 3
    async with (
        async_late_server([first, stream("q1", 8), stream("q1", 8)], late) as server,
        async_relay_harness() as harness,
    ):
        harness.configure(routes=config["routes"])
        register_raw(harness, server, "llm", {"m0": []})
        sent = headers()
        if first_id != "q1":
            async with harness.request("/stream/x", first_id, **sent) as answer:
                await answer.read()
        async with harness.request("/stream/x", "q1", **sent) as answer:
            return answer.status, await answer.read()


def test_late_response_of_an_attempt_before_does_not_end_the_next():
    """Guards against a second attempt that is given the first one's late response."""
    received = asyncio.run(async_stream_after(FAILED, stream("q1", 3), "q1"))
    assert received == (200, expected())


def test_late_response_to_another_request_does_not_end_a_stream():
    """Guards against responses that are taken for those of the next request."""
    first = stream("q0", 8)
    received = asyncio.run(async_stream_after(first, stream("q0", 3), "q0"))
    assert received == (200, expected())
