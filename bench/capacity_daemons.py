"""Measures the resource usage of a gateway process, idle and serving."""

from __future__ import annotations

import asyncio
import tempfile
import zlib
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from chutelink.ids import BootId, FencingNumber
from chutelink.tables.endpoints import ArtifactState, EndpointReport, ReportedArtifact

from .capacity_plans import fleet_text
from .deployment import (
    NET,
    PLATFORM,
    Processes,
    async_apply,
    async_wait_until_ok,
    caller_section,
    daemon_settings,
)
from .slopes import Point

ENDPOINT_SIZES = (20, 80, 320, 670)
STREAM_SIZES = (0, 100, 200, 400)
REQUEST_RATES_PER_S = (25, 50, 100, 200)
SETTLE_S = 4.0
WINDOW_S = 6.0
ENDPOINT_PORT = 8100


def _report_body() -> bytes:
    artifacts = tuple(
        ReportedArtifact(
            f"m{n}", "1", ArtifactState.LOADED, (n,), 30000, FencingNumber(n)
        )
        for n in range(3)
    )
    return msgspec.json.encode(EndpointReport(BootId("b" * 32), artifacts=artifacts))


class _ReportServer:
    """Serves reports on behalf of many endpoints, and counts the requests."""

    def __init__(self) -> None:
        self.polls = 0
        self.body = _report_body()
        self._runner: web.AppRunner | None = None

    async def async_start(self, hosts: list[str]) -> None:
        app = web.Application()
        app.router.add_get("/v1/report", self.async_report)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        for host in hosts:
            site = web.TCPSite(self._runner, host, ENDPOINT_PORT, reuse_address=True)
            await site.start()

    async def async_report(self, request: web.Request) -> web.Response:
        self.polls += 1
        response = web.Response(body=self.body, content_type="application/json")
        response.enable_compression()
        return response

    async def async_stop(self) -> None:
        await self._runner.cleanup()


async def _async_measure_idle_gateway(size: int) -> list[Point]:
    """Return the resource usage of an idle gateway that polls ``size`` endpoints."""
    report_server = _ReportServer()
    hosts = [f"127.0.{91 + n // 250}.{1 + n % 250}" for n in range(size)]
    await report_server.async_start(hosts)
    points = []
    with tempfile.TemporaryDirectory() as name:
        processes = Processes(Path(name))
        processes.start(
            "platform",
            *("chutelink-standin-platform", "--address", f"{NET}.1", "--port", "7000"),
        )
        async with aiohttp.ClientSession() as session:
            try:
                await async_wait_until_ok(session, f"{PLATFORM}/standin/counts")
                await _async_start_gateway(processes, session)
                text = fleet_text(size, lambda n: hosts[n])
                await async_apply(processes.directory, text + caller_section())
                await asyncio.sleep(SETTLE_S + size / 100)
                cpu_before, _ = processes.usage("gateway")
                polls_before, reads_before = (
                    report_server.polls,
                    await _async_table_reads(session),
                )
                await asyncio.sleep(WINDOW_S)
                cpu, memory_mb = processes.usage("gateway")
                polls_per_s = (report_server.polls - polls_before) / WINDOW_S
                reads = (await _async_table_reads(session) - reads_before) / WINDOW_S
                share = 100 * (cpu - cpu_before) / WINDOW_S
                poll_bytes = polls_per_s * (
                    len(zlib.compress(report_server.body)) + 330
                )
                points = [
                    Point("idle gateway, % of a core by endpoints", size, share),
                    Point("idle gateway, MB by endpoints", size, memory_mb),
                    Point("gateway polls, bytes/s by endpoints", size, poll_bytes),
                    Point("gateway, table reads/s by endpoints", size, reads),
                ]
            finally:
                processes.stop()
                await report_server.async_stop()
    return points


async def _async_start_gateway(processes: Processes, session) -> None:
    path = processes.directory / "gateway.ini"
    path.write_text(daemon_settings("gateway-1", 11, 7100, [f"{NET}.11:7101"]))
    processes.start("gateway", "chutelink-gateway", "--settings", str(path))
    await async_wait_until_ok(session, f"http://{NET}.11:7100/healthz")


async def _async_table_reads(session: aiohttp.ClientSession) -> int:
    async with session.get(f"{PLATFORM}/standin/counts") as response:
        return (await response.json())["reads"]


def measure_daemons() -> list[Point]:
    """Measure an idle gateway at each number of endpoints."""
    points = []
    for size in ENDPOINT_SIZES:
        points += asyncio.run(_async_measure_idle_gateway(size))
    return points


async def async_measure_serving() -> list[Point]:
    """Return the resource usage of a gateway by request rate and open streams."""
    from .latency import AUTH, BODY, FLEET, GATEWAY, PATH
    from .load import Target, async_open_loop

    points = []
    with tempfile.TemporaryDirectory() as name:
        processes = Processes(Path(name))
        _start_serving_processes(processes)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                await async_wait_until_ok(session, f"{PLATFORM}/standin/counts")
                await _async_start_gateway(processes, session)
                await async_apply(processes.directory, FLEET + caller_section())
                await async_wait_until_ok(
                    session, GATEWAY + PATH, json=BODY, headers=AUTH
                )
                target = [Target("gateway", GATEWAY + PATH, AUTH)]
                for rate in REQUEST_RATES_PER_S:
                    before, _ = processes.usage("gateway")
                    await async_open_loop(session, target, BODY, rate, 6.0)
                    after, _ = processes.usage("gateway")
                    share = 100 * (after - before) / 6.0
                    points.append(
                        Point("serving, % of a core by requests/s", rate, share)
                    )
                points += await _async_measure_streams(processes, session)
            finally:
                processes.stop()
    return points


def _start_serving_processes(processes: Processes) -> None:
    processes.start(
        "platform",
        *("chutelink-standin-platform", "--address", f"{NET}.1", "--port", "7000"),
        *("--load-s", "0.1"),
    )
    processes.start(
        "engine",
        *("chutelink-standin-endpoint", "--address", f"{NET}.21", "--port", "8000"),
        *("--memory-mb", "100", "--slots", "4096", "--step-s", "0.1"),
        *("--weights-url", PLATFORM),
    )
    path = processes.directory / "director.ini"
    path.write_text(daemon_settings("director-1", 11, 7200, [f"{NET}.11:7101"]))
    processes.start("director", "chutelink-director", "--settings", str(path))


async def _async_measure_streams(processes: Processes, session) -> list[Point]:
    """Return CPU and memory usage by open streams of ten tokens per second each."""
    from .latency import AUTH, BODY, GATEWAY, PATH

    points = []
    body = {**BODY, "stream": True, "max_tokens": 100_000}
    streams: list[asyncio.Task] = []

    async def async_read() -> None:
        async with session.post(GATEWAY + PATH, json=body, headers=AUTH) as response:
            async for _ in response.content.iter_any():
                pass

    for size in STREAM_SIZES:
        while len(streams) < size:
            streams.append(asyncio.ensure_future(async_read()))
        await asyncio.sleep(3)
        before, _ = processes.usage("gateway")
        await asyncio.sleep(5)
        after, memory_mb = processes.usage("gateway")
        share = 100 * (after - before) / 5
        points.append(Point("streams, % of a core by tokens/s", size * 10, share))
        points.append(Point("streams, MB by open streams", size, memory_mb))
    for stream in streams:
        stream.cancel()
    await asyncio.gather(*streams, return_exceptions=True)
    return points
