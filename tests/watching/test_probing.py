"""An outage of the store: it is found again soon, and few calls are spent on it."""

from __future__ import annotations

import asyncio
import random

from chutelink.const import TABLE_CONFIG, TABLE_ENDPOINTS, TABLE_QUARANTINE
from chutelink.watching.probing import ProbePacer
from chutelink.watching.timing import MAX_RANK, RETRY_S, RETRY_SPREAD
from chutelink.watching.watch import StoreWatch

from ..fakes import make_core
from ..virtual_time import run_virtually
from .test_watch import ScriptedTable
from .watching_fleet import BOUND_S, CONTACT_S, LIMIT_S, async_fleet

OUTAGE_S = 10.0
DAEMONS = 40


def outage_calls(fleet) -> int:
    return sum(follower.path.calls for follower in fleet.followers)


def test_a_large_fleet_spends_few_calls_on_a_silent_store():
    """Ten seconds without an answer: the first in rank go on as before."""

    async def async_test():
        async with async_fleet(DAEMONS) as fleet:
            await asyncio.sleep(2.0)
            before = outage_calls(fleet)
            fleet.registry.is_out = True
            await asyncio.sleep(OUTAGE_S)
            calls = outage_calls(fleet) - before
            first = sum(f.path.calls for f in fleet.followers[: MAX_RANK + 1])
            assert first >= (MAX_RANK + 1) * (OUTAGE_S / (2 * LIMIT_S) - 1)
            # Each of the others at most once in the bound, after two that come soon.
            others = DAEMONS - MAX_RANK - 1
            assert calls < 5 * OUTAGE_S + others * (2 + OUTAGE_S / BOUND_S) / 1.5

    run_virtually(async_test())


def test_all_hear_of_a_change_in_time_once_the_store_is_back():
    async def async_test():
        for seed in range(8):
            async with async_fleet(DAEMONS, seed=seed) as fleet:
                fleet.registry.is_out = True
                await asyncio.sleep(OUTAGE_S)
                fleet.registry.is_out = False
                fleet.registry.calm_from_s = asyncio.get_running_loop().time()
                await asyncio.sleep(CONTACT_S)
                fleet.registry.remove("e1")
                await fleet.async_pass(3.0)

    run_virtually(async_test())


def test_a_daemon_that_hears_nobody_goes_on_probing():
    """It can't learn from others that the store is back."""

    async def async_test():
        async with async_fleet(DAEMONS) as fleet:
            alone = fleet.followers[-1]
            alone.is_unlinked = True
            alone.path.is_cut = True
            alone.calm_from_s = float("inf")
            await fleet.async_pass(8.0)
            before = alone.path.calls
            await fleet.async_pass(6.0)
            # A call takes its limit, pauses of the breaker follow.
            assert alone.path.calls - before >= 2
            alone.path.is_cut = False
            await fleet.async_pass(LIMIT_S + 1.0)
            fleet.registry.remove("e1")
            await fleet.async_pass(BOUND_S)
            assert "e1" not in alone.usable()

    run_virtually(async_test())


def test_tables_share_the_calls_of_an_outage():
    """One daemon that follows three tables probes with one call at a time."""

    class SilentTable(ScriptedTable):
        def __init__(self) -> None:
            super().__init__()
            self.running = self.most_running = 0

        async def async_watch(self, prefix, after_version, wait_s):
            if self.is_out:
                self.running += 1
                self.most_running = max(self.most_running, self.running)
                await asyncio.sleep(1.0)
                self.running -= 1
            return await super().async_watch(prefix, after_version, wait_s)

    async def async_test():
        table = SilentTable()
        core = make_core("d0")
        core.clock = asyncio.get_running_loop().time
        names = (TABLE_CONFIG, TABLE_ENDPOINTS, TABLE_QUARANTINE)
        for name in names:
            table.put(f"{name}/a", {"x": 1})
        bounds_s = dict.fromkeys(names, BOUND_S)
        watch = StoreWatch(core, table, bounds_s, lambda: 0, lambda news: None)
        await watch.start()
        await asyncio.sleep(2.0)
        table.is_out = True
        await asyncio.sleep(4.0)
        table.most_running = table.running
        await asyncio.sleep(6.0)
        assert table.most_running == 1
        table.is_out = False
        await asyncio.sleep(2.0)
        assert all(watch.knowledge(name).age_s < BOUND_S for name in names)
        await watch.stop()

    run_virtually(async_test())


def test_only_those_behind_in_rank_wait_longer_and_never_beyond_the_bound():
    for rank in (0, MAX_RANK, MAX_RANK + 1, 20, 350):
        pacer = ProbePacer(4.0, random.Random(1))
        pacer.note_failure(0.0, rank, is_urgent=False)
        assert pacer.pause_s(0.0) <= RETRY_S * RETRY_SPREAD
        pacer.note_failure(0.0, rank, is_urgent=False)
        if rank <= MAX_RANK:
            assert pacer.pause_s(0.0) <= RETRY_S * RETRY_SPREAD
        assert pacer.pause_s(0.0) <= 4.0
        pacer.note_failure(0.0, rank, is_urgent=True)
        assert pacer.pause_s(0.0) <= RETRY_S * RETRY_SPREAD
        pacer.note_success()
        assert pacer.pause_s(0.0) <= 0.0
