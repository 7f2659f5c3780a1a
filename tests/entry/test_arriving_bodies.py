"""Requests whose bodies still arrive when the drain ends."""

from __future__ import annotations

import asyncio

from ..relaying.relay_harness import async_relay_harness

PART_OF_REQUEST = (
    b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q0\r\n"
    b"X-Deadline-Ms: 3000\r\nContent-Length: 10\r\n\r\nbody"
)


def test_request_whose_body_still_arrives_is_refused_as_the_drain_ends():
    """Its connection was closed without a response."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            host, _, port = harness.url.removeprefix("http://").partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(PART_OF_REQUEST)
            async with asyncio.timeout(5.0):
                while not harness.http.in_flight:
                    await asyncio.sleep(0.01)
            harness.http.end_requests()
            async with asyncio.timeout(2.0):
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Chutelink-Outcome: not-run" in head
            writer.close()

    asyncio.run(async_test())
