"""Soak test of stops: SIGTERM while callers keep using their connections.

``python -m soak.stops --first 1 --seeds 50 --seconds 20`` runs new seeds; the same seed
selects the same faults. Daemons are terminated and started again in series, two at once
on every third seed and suspended while they stop on every second one. Around the stops
endpoints slow down, one of another service sends responses without end, and the
configuration changes.

Checked from outside:

- A request whose last byte was sent after SIGTERM and that was accepted gets its whole
  response or a refusal as not run; one sent before may also be ended, but only at the
  end of the grace period.
- No non-idempotent request runs twice, and none that was refused as not run has run.
- Daemons exit within the grace period and stay below the memory of their settings.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections import Counter
from pathlib import Path

import msgspec

from standins.endless import EndlessPart, EndlessServer
from standins.prepared_config import make_config
from standins.prepared_endpoint import EndpointFaults, EndpointStandin
from tests.processes.deployment import CONNECTION_ERRORS
from tests.processes.entry_deployment import SERVICES
from tests.processes.platform_in_loop import (
    LOAD_S,
    PlatformInLoop,
    async_platform_in_loop,
    make_engine,
)

from .callers import RequestKind
from .seeds import SeedReport, run_seeds
from .stop_caller import StopCaller, StopOutcome, StopSweep
from .stop_checks import (
    GRACE_S,
    Stop,
    check_memory,
    check_runs,
    check_stops,
    find_stop,
)

DAEMONS = 3
ENGINES = 3
PLAIN_ENDPOINTS = 2
CALLER_COUNTS = {RequestKind.STREAM: 14, RequestKind.ONCE: 6, RequestKind.AGAIN: 6}
EVENT_INTERVAL_S = 0.02
"""Time between events while nothing is slow: 1.2 s for a stream of mean length."""
WORK_S = 0.6
SLOWDOWN = (2.0, 10.0)
SLOW_S = (4.0, 9.0)
SLOW_DELAY_S = (0.0, 4.0)
"""Time from the beginning of a cycle until endpoints slow down."""
SIGNAL_DELAY_S = (0.5, 2.0)
"""Time from the beginning of a cycle until SIGTERM."""
MIN_SLOW_ENDPOINTS = 3
DOWN_S = (0.0, 1.0)
SUSPEND_S = (0.05, 0.5)
SUSPEND_START_S = (0.0, 1.5)
SUSPENSIONS = 3
ENDLESS_CALLS = 30
ENDLESS_MAX_BYTES = 64 * 1024 * 1024
ENDLESS_PARTS = (EndlessPart.BODY, EndlessPart.CHUNKS, EndlessPart.ERROR_BODY)
OBJECTIVES_MS = (800, 1500, 3000)
CONFIG_APPLY_S = 2.0
WARM_UP_S = 1.5
ADDRESS_INTERVAL_S = 0.5
MEMORY_INTERVAL_S = 0.05


class StopResult(msgspec.Struct):
    """Result of a run; ``late`` counts requests sent after SIGTERM by their end."""

    violations: list[str]
    stops: int
    requests: int
    late: Counter[str]
    endless: int
    """Number of responses without end that were begun."""
    peak_mb: float


class StopSoak:
    """A soak run with one seed."""

    def __init__(self, fleet: PlatformInLoop, seed: int, seconds: float) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._stops_two = seed % 3 == 0
        self._suspends = seed % 2 == 0
        self._config_version = 2
        part = self._rng.choice(ENDLESS_PARTS)
        self._endless = EndlessServer(part, ENDLESS_MAX_BYTES)
        self._listed = list(range(DAEMONS))
        self._stops: list[Stop] = []
        self._sweeps: list[StopSweep] = []
        self._violations: list[str] = []
        self._peaks_mb: dict[str, float] = {}
        self._endpoints = list(fleet.machines.endpoints.values())
        kinds = [kind for kind, count in CALLER_COUNTS.items() for _ in range(count)]
        self._callers = [
            StopCaller(fleet, kind, 100 * seed + n, DAEMONS, lambda: self._listed)
            for n, kind in enumerate(kinds)
        ]

    async def async_run(self) -> StopResult:
        """Stop daemons for the given time, and check the requests."""
        await self._async_add_endless()
        self._set_speed(self._endpoints, 1.0)
        self._configure()
        await asyncio.sleep(CONFIG_APPLY_S)
        watchers = [
            asyncio.ensure_future(self._async_follow_addresses()),
            asyncio.ensure_future(self._async_watch_memory()),
        ]
        callers = [asyncio.ensure_future(c.async_run()) for c in self._callers]
        await asyncio.sleep(WARM_UP_S)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._seconds
        while loop.time() < end_s:
            await self._async_cycle()
        for caller in self._callers:
            caller.is_stopping = True
        await asyncio.gather(*callers)
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
        return self._make_result()

    async def _async_add_endless(self) -> None:
        await self._endless.async_start(f"{self._fleet.subnet}.1")
        endpoint = EndpointStandin("i-endless", "endless", {}, LOAD_S)
        endpoint.address = self._endless.address
        self._fleet.machines.endpoints[endpoint.name] = endpoint
        self._fleet.machines.register(endpoint.name)

    def _configure(self) -> None:
        """Write a configuration whose routes have no time limit."""
        config = make_config(self._config_version, SERVICES)
        self._config_version += 1
        again = next(r for r in config["routes"] if r["name"] == "r-again")
        endless = {"name": "r-endless", "prefix": "/endless/", "service": "endless"}
        config["routes"].append(again | endless)
        config["services"].append({"name": "endless", "max_conns": 100})
        for route in config["routes"]:
            route["timeout_ms"] = 0
            route["slo_ms"] = self._rng.choice(OBJECTIVES_MS)
        self._fleet.machines.configure(config)

    async def _async_cycle(self) -> None:
        """Stop one daemon, or two, with the other faults around it."""
        rng = self._rng
        numbers = rng.sample(range(DAEMONS), 2 if self._stops_two else 1)
        tasks = [self._async_slow_down()]
        tasks += [self._async_stop(n, rng.uniform(*SIGNAL_DELAY_S)) for n in numbers]
        tasks += [self._async_call_endless(n, rng.uniform(0.0, 4.0)) for n in numbers]
        if rng.random() < 0.5:
            tasks.append(self._async_reconfigure(rng.uniform(0.0, 4.0)))
        await asyncio.gather(*tasks)

    def _set_speed(self, endpoints: list[EndpointStandin], factor: float) -> None:
        for endpoint in endpoints:
            endpoint.faults = EndpointFaults(
                event_interval_s=factor * EVENT_INTERVAL_S,
                work_s=0.0 if endpoint.models else factor * WORK_S,
            )

    async def _async_slow_down(self) -> None:
        rng = self._rng
        count = rng.randint(MIN_SLOW_ENDPOINTS, len(self._endpoints))
        endpoints = rng.sample(self._endpoints, count)
        factor, slow_s = rng.uniform(*SLOWDOWN), rng.uniform(*SLOW_S)
        await asyncio.sleep(rng.uniform(*SLOW_DELAY_S))
        self._set_speed(endpoints, factor)
        await asyncio.sleep(slow_s)
        self._set_speed(endpoints, 1.0)

    async def _async_reconfigure(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._configure()

    async def _async_stop(self, number: int, delay_s: float) -> None:
        down_s = self._rng.uniform(*DOWN_S)
        await asyncio.sleep(delay_s)
        process = self._fleet.processes[f"vm-{number}"]
        sweep = StopSweep(self._fleet, number, self._rng.randrange(2**32))
        self._sweeps.append(sweep)
        await sweep.async_open()
        stop = Stop(number, asyncio.get_running_loop().time())
        if self._suspends:
            stop.suspended_s = SUSPEND_S[1]
        self._stops.append(stop)
        process.terminate()
        sweeping = asyncio.ensure_future(sweep.async_run(lambda: process.is_running))
        suspensions = asyncio.ensure_future(self._async_suspend(process))
        try:
            if await process.async_wait(GRACE_S):
                self._violations.append(f"vm-{number} exited with an error")
        except TimeoutError:
            self._violations.append(f"vm-{number} ran beyond its grace period")
            process.kill()
        stop.gone_s = asyncio.get_running_loop().time()
        await asyncio.gather(suspensions, sweeping)
        await asyncio.sleep(down_s)
        self._fleet.start_daemon(number)
        await self._fleet.async_until(lambda: self._fleet.async_is_ready(number))

    async def _async_suspend(self, process) -> None:
        if not self._suspends:
            return
        for _ in range(SUSPENSIONS):
            await asyncio.sleep(self._rng.uniform(*SUSPEND_START_S))
            process.freeze()
            await asyncio.sleep(self._rng.uniform(*SUSPEND_S))
            process.resume()

    async def _async_call_endless(self, number: int, delay_s: float) -> None:
        """Send many requests whose responses have no end to one daemon."""
        await asyncio.sleep(delay_s)

        async def async_call(name: str) -> None:
            with contextlib.suppress(*CONNECTION_ERRORS):
                async with self._fleet.request(number, "/endless/x", name) as answer:
                    await answer.read()

        names = [f"endless{len(self._stops)}-{n}" for n in range(ENDLESS_CALLS)]
        await asyncio.gather(*map(async_call, names))

    async def _async_follow_addresses(self) -> None:
        """Read the addresses that callers know from any daemon."""
        by_address = {self._fleet.address(n): n for n in range(DAEMONS)}
        while True:
            for number in range(DAEMONS):
                with contextlib.suppress(*CONNECTION_ERRORS):
                    async with asyncio.timeout(ADDRESS_INTERVAL_S):
                        addresses = await self._fleet.async_addresses(number)
                    hosts = [address.partition(":")[0] for address in addresses]
                    self._listed = [by_address[h] for h in hosts if h in by_address]
                    break
            await asyncio.sleep(ADDRESS_INTERVAL_S)

    async def _async_watch_memory(self) -> None:
        while True:
            for name, process in list(self._fleet.processes.items()):
                # A process that has just exited has no memory to read.
                with contextlib.suppress(OSError, TypeError):
                    if process.is_running:
                        peak_mb = process.peak_memory_mb
                        known_mb = self._peaks_mb.get(name, 0.0)
                        self._peaks_mb[name] = max(known_mb, peak_mb)
            await asyncio.sleep(MEMORY_INTERVAL_S)

    def _make_result(self) -> StopResult:
        callers = [*self._callers, *self._sweeps]
        outcomes = [outcome for caller in callers for outcome in caller.outcomes]
        runs = Counter(run for e in self._endpoints for run in e.runs)
        violations = self._violations + check_stops(outcomes, self._stops, runs)
        violations += check_runs(outcomes, runs) + check_memory(self._peaks_mb)
        return StopResult(
            violations,
            len(self._stops),
            len(outcomes),
            self._count_late(outcomes),
            self._endless.requests,
            max(self._peaks_mb.values()),
        )

    def _count_late(self, outcomes: list[StopOutcome]) -> Counter[str]:
        late = Counter()
        for outcome in outcomes:
            stop = find_stop(outcome, self._stops)
            if stop is not None and outcome.last_byte_s >= stop.signaled_s:
                late[outcome.end] += 1
        return late


def run_seed(seed: int, directory: Path, seconds: float) -> StopResult:
    """Run one seed for about this time, and until the last stop has ended."""

    async def async_run() -> StopResult:
        endpoints = [make_engine(f"i-{n}") for n in range(ENGINES)]
        endpoints += [
            EndpointStandin(f"i-plain-{n}", "plain", {}, LOAD_S)
            for n in range(PLAIN_ENDPOINTS)
        ]
        async with async_platform_in_loop(directory, endpoints, DAEMONS) as fleet:
            return await StopSoak(fleet, seed, seconds).async_run()

    return asyncio.run(async_run())


def _report_seed(seed: int, directory: Path, seconds: float) -> SeedReport:
    result = run_seed(seed, directory, seconds)
    summary = (
        f"{result.stops} stops, {result.requests} requests, sent after SIGTERM "
        f"{dict(sorted(result.late.items()))}, "
        f"{result.endless} endless responses, peak {result.peak_mb:.0f} MB; "
    )
    return SeedReport(result.violations, summary)


if __name__ == "__main__":
    sys.exit(run_seeds(__doc__, _report_seed, default_seconds=20.0))
