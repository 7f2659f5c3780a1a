"""Soak test of daemons that are partitioned from the endpoints at random times.

``python -m tests.entry.partition_soak --first 1 --seeds 20`` runs new seeds; the same
seed selects the same faults. Partitions of all kinds begin and end at daemons in
series and overlapping, up to all daemons at once, while clients send requests over
keep-alive connections.

Checked from outside:

- A request that was refused as not run did not run, and a non-idempotent request runs
  at most once.
- A response with status 200 is complete.
- No run is taken for one that ended with its endpoint, as no endpoint crashes.
- All daemons serve all kinds of requests again after the last partition.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

import aiohttp

from soak.seeds import SeedReport, run_seeds

from ..processes.deployment import CONNECTION_ERRORS
from .partitioned_fleet import (
    PartitionedFleet,
    PartitionKind,
    async_partitioned_fleet,
    run_in_partition_loop,
)

DAEMONS = 3
FAULT_SECONDS = 8.0
MAX_PAUSE_S = 0.8
SETTLE_S = 5.0
CLIENTS = 6
PATHS = ("/again/x", "/once/x", "/stream/x")
STREAM_EVENTS = 20
ENDINGS_METRIC = b"\nchutelink_runs_ended_with_endpoint_total{"
NOT_RUN = frozenset({429, 503})


class PartitionSoak:
    """A soak run with one seed."""

    def __init__(self, fleet: PartitionedFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._statuses: dict[str, int] = {}
        self._failures: list[str] = []

    async def async_run(self) -> list[str]:
        """Run the faults and the clients, and return the violations."""
        async with aiohttp.ClientSession() as session:
            clients = [
                asyncio.ensure_future(self._async_client(session, number))
                for number in range(CLIENTS)
            ]
            await self._async_partition_at_random()
            await asyncio.sleep(SETTLE_S)
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            await self._async_check_served(session)
        self._check_runs()
        self._check_endings()
        return self._failures

    async def _async_partition_at_random(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FAULT_SECONDS
        while loop.time() < end_s:
            daemon = self._rng.randrange(DAEMONS)
            if daemon in self._fleet.loop.partitions:
                self._fleet.heal(daemon)
            else:
                kind = self._rng.choice(list(PartitionKind))
                self._fleet.partition(daemon, kind)
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
        for daemon in list(self._fleet.loop.partitions):
            self._fleet.heal(daemon)

    async def _async_client(self, session: aiohttp.ClientSession, client: int) -> None:
        while True:
            path = PATHS[client % len(PATHS)]
            await self._async_send(session, next(self._numbers) % DAEMONS, path)
            await asyncio.sleep(0.01)

    async def _async_send(
        self, session: aiohttp.ClientSession, daemon: int, path: str
    ) -> int:
        """Return the status of a request, 0 if the connection ended early."""
        name = f"q{next(self._numbers)}{path.replace('/', '-')}"
        headers = {"Host": "a.example", "X-Request-Id": name, "X-Deadline-Ms": "3000"}
        if path.startswith("/stream"):
            headers |= {"X-Model": "m0", "X-Token-Count": f"10,{STREAM_EVENTS}"}
        url = f"http://{self._fleet.address(daemon)}:7100{path}"
        try:
            async with session.post(url, data=b"body", headers=headers) as answer:
                body = await answer.read()
        except CONNECTION_ERRORS:
            self._statuses[name] = 0
            return 0
        self._statuses[name] = answer.status
        last = f"id: {STREAM_EVENTS}\n".encode()
        is_whole = last in body if path.startswith("/stream") else body == b"done body"
        if answer.status == 200 and not is_whole:
            self._failures.append(f"{name}: incomplete response {body[-40:]!r}")
        return answer.status

    async def _async_check_served(self, session: aiohttp.ClientSession) -> None:
        for daemon, path in itertools.product(range(DAEMONS), PATHS):
            status = await self._async_send(session, daemon, path)
            if status != 200:
                self._failures.append(f"daemon {daemon} {path}: {status} at the end")

    def _check_runs(self) -> None:
        endpoints = self._fleet.machines.endpoints.values()
        runs = [name for endpoint in endpoints for name in endpoint.runs]
        for name, status in self._statuses.items():
            count = runs.count(name)
            if status in NOT_RUN and count:
                self._failures.append(f"{name}: refused with {status}, but ran")
            if "once" in name and count > 1:
                self._failures.append(f"{name}: ran {count} times")

    def _check_endings(self) -> None:
        for number, app in self._fleet.apps.items():
            if ENDINGS_METRIC in app.metrics.render():
                self._failures.append(f"daemon {number} has counted endings")


def run_seed(seed: int, directory: Path) -> list[str]:
    """Run one seed and return the violations."""
    failures: list[str] = []

    async def async_run() -> None:
        async with async_partitioned_fleet(directory, DAEMONS) as fleet:
            failures.extend(await PartitionSoak(fleet, seed).async_run())

    run_in_partition_loop(async_run)
    return failures


def _report_seed(seed: int, directory: Path) -> SeedReport:
    return SeedReport(run_seed(seed, directory))


if __name__ == "__main__":
    sys.exit(run_seeds(__doc__, _report_seed))
