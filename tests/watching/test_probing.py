"""Probes in an outage of the store: few calls, and recovery is detected soon."""

from __future__ import annotations

import asyncio
import random

from chutelink.const import TABLE_CONFIG, TABLE_ENDPOINTS, TABLE_QUARANTINE
from chutelink.watching.probing import ProbeBackoff
from chutelink.watching.timing import MAX_RANK_STEPS, MIN_RETRY_PAUSE_S, RETRY_JITTER
from chutelink.watching.watch import StoreWatch

from ..fakes import make_core
from ..virtual_time import run_in_virtual_time
from .test_watch import ScriptedTable
from .watching_fleet import (
    CALL_TIMEOUT_S,
    RECOVERY_GRACE_S,
    STALENESS_BOUND_S,
    async_fleet,
)

OUTAGE_S = 10.0
DAEMONS = 40


def total_calls(fleet) -> int:
    return sum(daemon.connection.calls for daemon in fleet.daemons)


def test_large_fleet_limits_calls_to_unresponsive_store():
    """In an outage of ten seconds, low ranks keep probing and the others back off."""

    async def async_test():
        async with async_fleet(DAEMONS) as fleet:
            await asyncio.sleep(2.0)
            before = total_calls(fleet)
            fleet.store.is_down = True
            await asyncio.sleep(OUTAGE_S)
            calls = total_calls(fleet) - before
            first = sum(
                daemon.connection.calls
                for daemon in fleet.daemons[: MAX_RANK_STEPS + 1]
            )
            assert first >= (MAX_RANK_STEPS + 1) * (OUTAGE_S / (2 * CALL_TIMEOUT_S) - 1)
            # The others make two early calls, then at most one per staleness bound.
            others = DAEMONS - MAX_RANK_STEPS - 1
            assert (
                calls < 5 * OUTAGE_S + others * (2 + OUTAGE_S / STALENESS_BOUND_S) / 1.5
            )

    run_in_virtual_time(async_test())


def test_changes_propagate_within_bound_after_store_recovers():
    async def async_test():
        for seed in range(8):
            async with async_fleet(DAEMONS, seed=seed) as fleet:
                fleet.store.is_down = True
                await asyncio.sleep(OUTAGE_S)
                fleet.store.is_down = False
                fleet.store.healthy_since_s = asyncio.get_running_loop().time()
                await asyncio.sleep(RECOVERY_GRACE_S)
                fleet.store.remove("e1")
                await fleet.async_advance(3.0)

    run_in_virtual_time(async_test())


def test_isolated_daemon_keeps_probing():
    """It can't learn from its peers that the store has recovered."""

    async def async_test():
        async with async_fleet(DAEMONS) as fleet:
            isolated = fleet.daemons[-1]
            isolated.is_isolated = True
            isolated.connection.is_disconnected = True
            isolated.healthy_since_s = float("inf")
            await fleet.async_advance(8.0)
            before = isolated.connection.calls
            await fleet.async_advance(6.0)
            # Each call lasts until its timeout, and pauses of the breaker follow.
            assert isolated.connection.calls - before >= 2
            isolated.connection.is_disconnected = False
            await fleet.async_advance(CALL_TIMEOUT_S + 1.0)
            fleet.store.remove("e1")
            await fleet.async_advance(STALENESS_BOUND_S)
            assert "e1" not in isolated.usable()

    run_in_virtual_time(async_test())


def test_tables_share_probes_in_outage():
    """A daemon that replicates three tables probes with one call at a time."""

    class HangingTable(ScriptedTable):
        def __init__(self) -> None:
            super().__init__()
            self.running = self.max_running = 0

        async def async_watch(self, prefix, after_version, wait_s):
            if self.is_down:
                self.running += 1
                self.max_running = max(self.max_running, self.running)
                await asyncio.sleep(1.0)
                self.running -= 1
            return await super().async_watch(prefix, after_version, wait_s)

    async def async_test():
        table = HangingTable()
        core = make_core("d0")
        core.clock = asyncio.get_running_loop().time
        names = (TABLE_CONFIG, TABLE_ENDPOINTS, TABLE_QUARANTINE)
        for name in names:
            table.put(f"{name}/a", {"x": 1})
        staleness_bounds_s = dict.fromkeys(names, STALENESS_BOUND_S)
        watch = StoreWatch(
            core, table, staleness_bounds_s, lambda: 0, lambda message: None
        )
        await watch.start()
        await asyncio.sleep(2.0)
        table.is_down = True
        await asyncio.sleep(4.0)
        table.max_running = table.running
        await asyncio.sleep(6.0)
        assert table.max_running == 1
        table.is_down = False
        await asyncio.sleep(2.0)
        assert all(watch.knowledge(name).age_s < STALENESS_BOUND_S for name in names)
        await watch.stop()

    run_in_virtual_time(async_test())


def test_only_higher_ranks_back_off_up_to_bound():
    for rank in (0, MAX_RANK_STEPS, MAX_RANK_STEPS + 1, 20, 350):
        backoff = ProbeBackoff(4.0, random.Random(1))
        backoff.record_failure(0.0, rank, is_urgent=False)
        assert backoff.pause_s(0.0) <= MIN_RETRY_PAUSE_S * RETRY_JITTER
        backoff.record_failure(0.0, rank, is_urgent=False)
        if rank <= MAX_RANK_STEPS:
            assert backoff.pause_s(0.0) <= MIN_RETRY_PAUSE_S * RETRY_JITTER
        assert backoff.pause_s(0.0) <= 4.0
        backoff.record_failure(0.0, rank, is_urgent=True)
        assert backoff.pause_s(0.0) <= MIN_RETRY_PAUSE_S * RETRY_JITTER
        backoff.record_success()
        assert backoff.pause_s(0.0) <= 0.0
