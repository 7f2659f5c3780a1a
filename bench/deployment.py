"""Starts and stops the processes of a measurement on loopback addresses."""

from __future__ import annotations

import asyncio
import hashlib
import subprocess
import sys
from pathlib import Path

import aiohttp
import psutil

BIN = Path(sys.executable).parent
KEY = "bench-key"
NET = "127.0.90"
PLATFORM = f"http://{NET}.1:7000"
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)


class Processes:
    """Child processes of a measurement."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *command: str) -> None:
        """Start a program that is installed in this Python environment."""
        with (self.directory / f"{name}.log").open("wb") as log:
            self._running[name] = subprocess.Popen(
                [str(BIN / command[0]), *command[1:]], stdout=log, stderr=log
            )

    def usage(self, name: str) -> tuple[float, float]:
        """Return a process's CPU time in seconds and resident memory in MB."""
        process = psutil.Process(self._running[name].pid)
        times = process.cpu_times()
        return times.user + times.system, process.memory_info().rss / 1e6

    def stop(self) -> None:
        """Kill all processes in reverse order of their start."""
        for process in reversed(self._running.values()):
            process.kill()
            process.wait()
        self._running.clear()


def daemon_settings(name: str, host: int, port: int, seeds: list[str]) -> str:
    """Return the settings of a daemon at ``NET.host``."""
    return f"""\
[daemon]
id = {name}
vm = vm-{host}
failure_domain = a
address = {NET}.{host}
port = {port}
peer_port = {port + 1}
peer_key = bench
log_level = warning

[platform]
url = {PLATFORM}
key = platform-key

[peers]
seeds = {", ".join(seeds)}

[endpoints]
order_key = order-key
"""


def caller_section() -> str:
    """Return the section of a caller with access to all models and services."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return (
        f"[caller bench]\nkey_sha256 = {digest}\nmodels = *\nservices = *\n"
        "rate_per_s = 100000\nburst = 100000\n"
    )


async def async_wait_until_ok(
    session: aiohttp.ClientSession, url: str, **options
) -> None:
    """Wait until a URL returns status 200, for at most 60 s."""
    method = "POST" if "json" in options else "GET"
    async with asyncio.timeout(60):
        while True:
            try:
                async with session.request(method, url, **options) as response:
                    if response.status == 200:
                        return
            except CONNECTION_ERRORS:
                pass
            await asyncio.sleep(0.1)


async def async_apply(directory: Path, text: str, base: int = 0) -> None:
    """Apply a fleet file with the ``chutelink`` command."""
    settings = directory / "operator.ini"
    settings.write_text(f"[platform]\nurl = {PLATFORM}\nkey = platform-key\n")
    fleet = directory / "fleet.ini"
    fleet.write_text(text)
    process = await asyncio.create_subprocess_exec(
        str(BIN / "chutelink"),
        *("--settings", str(settings), "apply", str(fleet)),
        *("--base", str(base), "--wait"),
        stdout=asyncio.subprocess.DEVNULL,
    )
    if await process.wait() != 0:
        raise RuntimeError("apply failed")
