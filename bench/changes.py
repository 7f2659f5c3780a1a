"""Measures how long a configuration change takes to reach every daemon."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from .deployment import (
    BIN,
    NET,
    PLATFORM,
    Processes,
    async_wait_until_ok,
    daemon_settings,
)
from .load import MAX_US, MIN_US, SIGNIFICANT_DIGITS, summarise

SIZES = (2, 4, 8, 16)
CHANGES_PER_SIZE = 15


def _start_daemons(processes: Processes, count: int) -> list[str]:
    """Start gateways and directors alternately, and return their URLs."""
    urls = []
    for number in range(count):
        kind, port = (("gateway", 7100), ("director", 7200))[number % 2]
        name = f"{kind}-{number}"
        path = processes.directory / f"{name}.ini"
        host = 11 + number
        path.write_text(daemon_settings(name, host, port, [f"{NET}.11:7101"]))
        processes.start(name, f"chutelink-{kind}", "--settings", str(path))
        urls.append(f"http://{NET}.{host}:{port}")
    return urls


async def _async_apply_change(directory: Path, base: int) -> float:
    """Apply a new file; return the seconds from its commit until all daemons use it."""
    settings = directory / "operator.ini"
    settings.write_text(f"[platform]\nurl = {PLATFORM}\nkey = platform-key\n")
    fleet = directory / "fleet.ini"
    fleet.write_text(f"[fleet]\nmoves_weight = 0.{base + 1}\n[failure_domain a]\n")
    process = await asyncio.create_subprocess_exec(
        str(BIN / "chutelink"),
        *("--settings", str(settings), "--json", "apply", str(fleet)),
        *("--base", str(base), "--wait"),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return msgspec.json.decode(output)["elapsed_s"]


async def _async_measure(count: int) -> HdrHistogram:
    histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
    with tempfile.TemporaryDirectory() as name:
        processes = Processes(Path(name))
        processes.start(
            "platform",
            *("chutelink-standin-platform", "--address", f"{NET}.1", "--port", "7000"),
        )
        async with aiohttp.ClientSession() as session:
            try:
                await async_wait_until_ok(session, f"{PLATFORM}/standin/counts")
                for url in _start_daemons(processes, count):
                    await async_wait_until_ok(session, f"{url}/healthz")
                for base in range(CHANGES_PER_SIZE):
                    elapsed_s = await _async_apply_change(processes.directory, base)
                    histogram.record_value(max(MIN_US, int(elapsed_s * 1e6)))
            finally:
                processes.stop()
    return histogram


def run_changes() -> None:
    """Measure each number of daemons and print a table."""
    print("| daemons | changes | p50 ms | p95 ms | p99 ms |")
    print("| --- | --- | --- | --- | --- |")
    for count in SIZES:
        latency = summarise(str(count), asyncio.run(_async_measure(count)), 0)
        row = (
            latency.name,
            latency.count,
            latency.p50_ms,
            latency.p95_ms,
            latency.p99_ms,
        )
        print("| " + " | ".join(str(cell) for cell in row) + " |")
