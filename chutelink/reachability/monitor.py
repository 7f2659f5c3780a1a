"""Detects that this daemon, rather than a single endpoint, has lost connectivity."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..core import Application
from ..entry.endpoints import Endpoint, EndpointTable
from ..learning.health import HealthTable
from ..quarantine.probe import EndingProbe, ProbeResult
from ..steps import contain_errors
from .const import MAX_PROBED_ENDPOINTS, PROBE_BATCH_SIZE, RECOVERY_PROBE_PERIOD_S


class PartitionMonitor:
    """Tells a partition of this daemon from the failure of an endpoint.

    After a failed connection to one endpoint, others are probed. If none accepts a
    connection, this daemon is partitioned from the endpoints until one does. New
    connections decide, since established ones may outlive the path. The paths to single
    endpoints that peers reach are lost until these accept a connection.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : EndpointTable
        The endpoints.
    health : HealthTable
        Recent failures; endpoints that are likely to respond are probed first.
    probe : EndingProbe
        Opens connections to endpoints.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        health: HealthTable,
        probe: EndingProbe,
    ) -> None:
        self._core = core
        self._table = table
        self._health = health
        self._probe = probe
        self._check: asyncio.Task[bool] | None = None
        self._recovery: asyncio.Task[None] | None = None
        self._lost_paths: set[str] = set()
        self.is_partitioned = False
        self.on_changed: Callable[[], None] = lambda: None
        """Called when a partition begins or ends."""

    def note_failure(self, address: str) -> None:
        """Start a check after a failed connection, unless one is in progress."""
        if not self.is_partitioned and self._check is None:
            self._start_check(address)

    async def async_check(self, address: str) -> bool:
        """Return whether a failure at ``address`` is due to a lost path.

        Concurrent callers share a check.
        """
        if self.is_lost(address):
            return True
        return await asyncio.shield(self._check or self._start_check(address))

    def is_lost(self, address: str) -> bool:
        """Return whether this daemon can't reach an address."""
        return self.is_partitioned or address in self._lost_paths

    def note_lost_path(self, address: str) -> None:
        """Record that a peer reaches an endpoint that this daemon can't reach."""
        self._lost_paths.add(address)
        self._start_recovery()

    async def async_close(self) -> None:
        """Cancel the running probes."""
        tasks = [task for task in (self._check, self._recovery) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_check(self, address: str) -> asyncio.Task[bool]:
        self._check = asyncio.ensure_future(self._async_check(address))
        self._check.add_done_callback(self._clear_check)
        return self._check

    def _clear_check(self, task: asyncio.Task[bool]) -> None:
        self._check = None

    async def _async_check(self, address: str) -> bool:
        addresses = self._addresses_to_probe(address)
        if not addresses or await self._async_any_accepts(addresses):
            return False
        self._begin_partition(len(addresses))
        return True

    def _addresses_to_probe(self, failed: str = "") -> list[str]:
        """Return the addresses of some endpoints, those with no failed connect first.

        The failed endpoint is left out.
        """
        now_s = self._core.clock()
        rows = [
            row
            for row in self._table.rows.values()
            if row.is_usable(now_s) and row.record.address != failed
        ]
        self._core.rng.shuffle(rows)
        rows.sort(key=lambda row: not self._is_reachable(row, now_s))
        return [row.record.address for row in rows[:MAX_PROBED_ENDPOINTS]]

    def _is_reachable(self, row: Endpoint, now_s: float) -> bool:
        return self._health.is_reachable(row.record.id, now_s)

    async def _async_any_accepts(self, addresses: list[str]) -> bool:
        """Probe addresses in batches, until one accepts a connection."""
        for start in range(0, len(addresses), PROBE_BATCH_SIZE):
            batch = addresses[start : start + PROBE_BATCH_SIZE]
            results = await asyncio.gather(*map(self._probe.async_probe, batch))
            if ProbeResult.ACCEPTED in results:
                return True
        return False

    def _begin_partition(self, probed: int) -> None:
        self.is_partitioned = True
        self._core.events.warning("endpoints_partitioned", probed=probed)
        self._core.metrics.partitioned.set({}, 1)
        self._start_recovery()
        self.on_changed()

    def _start_recovery(self) -> None:
        if self._recovery is None or self._recovery.done():
            self._recovery = asyncio.ensure_future(self._async_recover())

    async def _async_recover(self) -> None:
        """Probe endpoints until all lost paths work again."""
        while self.is_partitioned or self._lost_paths:
            await asyncio.sleep(RECOVERY_PROBE_PERIOD_S)
            with contain_errors(self._core.events, "partition.recover", ""):
                if self.is_partitioned:
                    await self._async_recheck_partition()
                else:
                    await self._async_recheck_lost_paths()

    async def _async_recheck_partition(self) -> None:
        """End the partition if an endpoint accepts a connection, or if none is left."""
        addresses = self._addresses_to_probe()[:PROBE_BATCH_SIZE]
        if addresses and not await self._async_any_accepts(addresses):
            return
        self.is_partitioned = False
        self._lost_paths.clear()
        self._core.events.info("endpoints_reachable")
        self._core.metrics.partitioned.set({}, 0)
        self.on_changed()

    async def _async_recheck_lost_paths(self) -> None:
        """Probe some of the lost paths, and forget those of removed endpoints."""
        known = {row.record.address for row in self._table.rows.values()}
        self._lost_paths &= known
        count = min(PROBE_BATCH_SIZE, len(self._lost_paths))
        batch = self._core.rng.sample(sorted(self._lost_paths), count)
        results = await asyncio.gather(*map(self._probe.async_probe, batch))
        for address, result in zip(batch, results, strict=True):
            if result is ProbeResult.ACCEPTED:
                self._lost_paths.discard(address)
