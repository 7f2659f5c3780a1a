"""Measures the latency that a gateway adds, compared with a bare relay."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import aiohttp
import msgspec

from .deployment import (
    KEY,
    NET,
    PLATFORM,
    Processes,
    async_apply,
    async_wait_until_ok,
    caller_section,
    daemon_settings,
)
from .load import Latency, Target, async_open_loop

RATES_PER_S = (50, 200, 500)
SLOW_STREAMS = 256
PATH = "/v1/chat/completions"
BODY = {"model": "m", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 1}
ENGINE = f"http://{NET}.21:8000"
SLOW_ENGINE = f"http://{NET}.22:8000"
SLOW_STEP_S = 0.25
GATEWAY = f"http://{NET}.11:7100"
RELAY = f"http://{NET}.61:9000"
AUTH = {"Authorization": f"Bearer {KEY}"}
FLEET = f"""\
[failure_domain a]
[endpoint e]
url = {ENGINE}
failure_domain = a
vm = v
memory_mb = 100
slots = 4096
[endpoint slow]
url = {SLOW_ENGINE}
failure_domain = a
vm = w
memory_mb = 900
slots = 4096
[model m]
memory_mb = 100
[model slow]
memory_mb = 900
"""


def _start_processes(processes: Processes) -> None:
    processes.start(
        "platform",
        *("chutelink-standin-platform", "--address", f"{NET}.1", "--port", "7000"),
        *("--load-s", "0.1"),
    )
    processes.start(
        "engine",
        *("chutelink-standin-endpoint", "--address", f"{NET}.21", "--port", "8000"),
        *("--memory-mb", "100", "--slots", "4096", "--step-s", "0"),
        *("--weights-url", PLATFORM),
    )
    processes.start(
        "slow",
        *("chutelink-standin-endpoint", "--address", f"{NET}.22", "--port", "8000"),
        *("--memory-mb", "900", "--slots", "4096", "--step-s", str(SLOW_STEP_S)),
        *("--weights-url", PLATFORM),
    )
    processes.start(
        "relay",
        *("python", "-m", "bench.relay", "--address", f"{NET}.61", "--port", "9000"),
        *("--target", ENGINE),
    )
    for name, port in (("gateway", 7100), ("director", 7200)):
        path = processes.directory / f"{name}.ini"
        seeds = [f"{NET}.11:7101"]
        path.write_text(daemon_settings(f"{name}-1", 11, port, seeds))
        processes.start(name, f"chutelink-{name}", "--settings", str(path))


def _make_targets() -> list[Target]:
    direct = {"X-Request-Id": "direct", "Content-Type": "application/json"}
    return [
        Target("direct", ENGINE + PATH, direct),
        Target("bare relay", RELAY + PATH, direct),
        Target("gateway", GATEWAY + PATH, AUTH),
    ]


async def _async_slow_stream(session: aiohttp.ClientSession) -> None:
    """Keep a stream open that returns a token every ``SLOW_STEP_S``."""
    body = {**BODY, "model": "slow", "stream": True, "max_tokens": 1_000_000}
    async with session.post(GATEWAY + PATH, json=body, headers=AUTH) as response:
        async for _ in response.content.iter_any():
            pass


async def async_measure(duration_s: float) -> dict:
    """Return the latencies at each rate, and the idle daemons' memory in MB."""
    with tempfile.TemporaryDirectory() as name:
        processes = Processes(Path(name))
        _start_processes(processes)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as s:
            try:
                await async_wait_until_ok(s, f"{PLATFORM}/standin/counts")
                await async_wait_until_ok(s, f"{GATEWAY}/healthz")
                await async_apply(processes.directory, FLEET + caller_section())
                await async_wait_until_ok(s, GATEWAY + PATH, json=BODY, headers=AUTH)
                slow = {**BODY, "model": "slow"}
                await async_wait_until_ok(s, GATEWAY + PATH, json=slow, headers=AUTH)
                await async_wait_until_ok(s, RELAY + PATH, json=BODY)
                await asyncio.sleep(3)
                memory = {
                    name: round(processes.usage(name)[1], 1)
                    for name in ("gateway", "director")
                }
                rows = await _async_measure_rates(s, duration_s)
            finally:
                processes.stop()
    return {"idle_memory_mb": memory, "rows": rows}


async def _async_measure_rates(
    session: aiohttp.ClientSession, duration_s: float
) -> list:
    rows: list[tuple[str, Latency]] = []
    for rate_per_s in RATES_PER_S:
        latencies = await async_open_loop(
            session, _make_targets(), BODY, rate_per_s, duration_s
        )
        rows += [(f"whole, {rate_per_s}/s", latency) for latency in latencies]
    body = {**BODY, "stream": True, "max_tokens": 4}
    latencies = await async_open_loop(session, _make_targets(), body, 200, duration_s)
    rows += [("first token, 200/s", latency) for latency in latencies]
    streams = [
        asyncio.ensure_future(_async_slow_stream(session)) for _ in range(SLOW_STREAMS)
    ]
    await asyncio.sleep(2)
    latencies = await async_open_loop(session, _make_targets(), BODY, 200, duration_s)
    rows += [(f"whole, 200/s, {SLOW_STREAMS} slow streams", lat) for lat in latencies]
    for stream in streams:
        stream.cancel()
    await asyncio.gather(*streams, return_exceptions=True)
    return rows


def to_table(result: dict) -> str:
    """Return the result as a Markdown table; rates are per target."""
    lines = [
        "| load | target | n | failed | p50 ms | p95 ms | p99 ms |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for load, lat in result["rows"]:
        lines.append(
            f"| {load} | {lat.name} | {lat.count} | {lat.failures} | "
            f"{lat.p50_ms} | {lat.p95_ms} | {lat.p99_ms} |"
        )
    memory = ", ".join(f"{k} {v} MB" for k, v in result["idle_memory_mb"].items())
    return "\n".join([*lines, "", f"Idle memory: {memory}."])


def run(duration_s: float, *, is_json: bool) -> None:
    """Measure latencies and print them as a table or as JSON."""
    result = asyncio.run(async_measure(duration_s))
    print(msgspec.json.encode(result).decode() if is_json else to_table(result))
