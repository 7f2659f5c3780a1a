"""Open-loop load generator; latency is measured from the intended send time."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class Target(msgspec.Struct, frozen=True):
    """A URL to send requests to, with the headers to use."""

    name: str
    url: str
    headers: dict[str, str]


class Latency(msgspec.Struct, frozen=True):
    """Latency percentiles of the answered requests in milliseconds.

    ``count`` is the number of answered requests, ``failures`` that of all others.
    """

    name: str
    count: int
    failures: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


def summarise(name: str, histogram: HdrHistogram, failures: int) -> Latency:
    """Return the percentiles of a histogram of microseconds."""

    def at(percentile: float) -> float:
        return round(histogram.get_value_at_percentile(percentile) / 1000, 3)

    count = histogram.get_total_count()
    return Latency(name, count, failures, at(50), at(95), at(99))


async def async_open_loop(
    session: aiohttp.ClientSession,
    targets: list[Target],
    body: dict,
    rate_per_s: float,
    duration_s: float,
) -> list[Latency]:
    """Send requests to the targets alternately, so that one run compares them.

    Parameters
    ----------
    session : aiohttp.ClientSession
        A session without a connection limit.
    targets : list of Target
        Each target receives the full rate.
    body : dict
        Sent as JSON; with ``stream``, the time to the first event is measured.
    rate_per_s : float
        Requests per second to each target.
    duration_s : float
        Duration of sending.
    """
    histograms = [HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS) for _ in targets]
    failures = [0] * len(targets)
    payload = msgspec.json.encode(body)
    started_s = time.perf_counter()

    async def async_send(index: int, intended_s: float) -> None:
        target = targets[index]
        try:
            async with session.post(
                target.url, data=payload, headers=target.headers
            ) as response:
                if body.get("stream"):
                    await response.content.readuntil(b"\n\n")
                    elapsed_s = time.perf_counter() - intended_s
                    await response.read()
                else:
                    await response.read()
                    elapsed_s = time.perf_counter() - intended_s
                is_answered = response.status == 200
        except (aiohttp.ClientError, asyncio.IncompleteReadError):
            is_answered = False
        if is_answered:
            histograms[index].record_value(max(MIN_US, int(elapsed_s * 1e6)))
        else:
            failures[index] += 1

    tasks = []
    total_per_s = rate_per_s * len(targets)
    for number in range(int(total_per_s * duration_s)):
        intended_s = started_s + number / total_per_s
        delay_s = intended_s - time.perf_counter()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        tasks.append(
            asyncio.ensure_future(async_send(number % len(targets), intended_s))
        )
    await asyncio.gather(*tasks)
    return [
        summarise(target.name, histogram, failed)
        for target, histogram, failed in zip(targets, histograms, failures, strict=True)
    ]
