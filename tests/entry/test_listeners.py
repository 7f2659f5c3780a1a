"""Tests of callers' connections while a daemon starts."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys

from chutelink.entry.listeners import open_listener

from ..relaying.relay_harness import HOST, async_relay_harness


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def test_early_connection_waits_until_the_daemon_accepts_it():
    async def async_main() -> bytes:
        port = free_port()
        listener = open_listener(f"{HOST}:{port}")
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"early\n")

        async def async_echo(source, target) -> None:
            target.write(await source.readline())
            target.close()

        server = await asyncio.start_server(async_echo, sock=listener)
        async with server:
            answer = await reader.readline()
        writer.close()
        return answer

    assert asyncio.run(async_main()) == b"early\n"


def test_address_in_use_returns_no_listener():
    with socket.socket() as other:
        other.bind((HOST, 0))
        other.listen()
        assert open_listener(f"{HOST}:{other.getsockname()[1]}") is None


def test_slow_imports_happen_after_callers_can_connect():
    code = (
        "import sys, chutelink.entry.main\n"
        "print([n for n in ('aiohttp', 'mode', 'websockets') if n in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_early_requests_wait_for_the_configuration():
    async def async_main() -> tuple[int, int]:
        async with async_relay_harness() as harness:
            await harness.async_add("e1", "plain")
            early = asyncio.ensure_future(async_status(harness, "q1"))
            await asyncio.sleep(0.02)
            harness.configure()
            return await early, await async_status(harness, "q2")

    async def async_status(harness, request_id: str) -> int:
        async with harness.request("/once/x", request_id) as response:
            return response.status

    assert asyncio.run(async_main()) == (200, 200)
