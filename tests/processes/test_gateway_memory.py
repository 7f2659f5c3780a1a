"""Memory of a gateway whose callers send many bodies at once."""

from __future__ import annotations

import asyncio

from .deployment import GATEWAY_PORT, KEY
from .scenarios import async_run_with_service

DEFAULT_MEMORY_MB = 256
"""What an entry daemon may take unless its settings say otherwise."""
CALLERS = 400
BODY_BYTES = 1_000_000
HOLD_S = 2.0
HEAD = (
    "POST /services/permits/permits HTTP/1.1\r\nHost: gateway\r\n"
    f"Authorization: Bearer {KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
)


async def async_send_incomplete(host: str) -> asyncio.StreamWriter:
    """Send a request whose body lacks its last byte."""
    _, writer = await asyncio.open_connection(host, GATEWAY_PORT)
    writer.write(HEAD.encode() + b"a" * (BODY_BYTES - 1))
    try:
        async with asyncio.timeout(HOLD_S):
            await writer.drain()
    except (TimeoutError, ConnectionError):
        # The gateway doesn't take the whole body, which is allowed.
        pass
    return writer


def test_many_incomplete_bodies_at_once_do_not_exhaust_the_memory(tmp_path):
    """Each body is limited, but not their sum."""

    async def async_scenario(deployment):
        host = f"{deployment.subnet}.11"
        calls = [async_send_incomplete(host) for _ in range(CALLERS)]
        writers = await asyncio.gather(*calls)
        await asyncio.sleep(HOLD_S)
        peak_mb = deployment.processes["gateway-1"].peak_memory_mb
        for writer in writers:
            writer.transport.abort()
        assert peak_mb < DEFAULT_MEMORY_MB

    asyncio.run(async_run_with_service(tmp_path, async_scenario))
