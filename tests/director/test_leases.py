"""At most one director holds a lease at any time.

Two directors would send conflicting orders to the same endpoints. The tests cover
paused directors, unavailable tables, lost replies and late writes.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from chutelink.director.leases import LeaseManager
from chutelink.settings import DirectorSection
from chutelink.store import transactions

from ..fakes import FakeTable, make_core

LEASE_S = 3.0


def make_manager(table, name, domain="a"):
    core = make_core(name, domain)
    manager = LeaseManager(core, table, DirectorSection(lease_s=LEASE_S))
    manager.sync(["a"])
    return manager


@pytest.mark.parametrize("seed", range(20))
def test_at_most_one_director_holds_the_lease(seed, monkeypatch):
    monkeypatch.setattr(transactions, "SETTLE_PAUSE_S", 0.0)
    rng = random.Random(seed)
    table = FakeTable()
    managers = [make_manager(table, f"d{n}", "ab"[n % 2]) for n in range(4)]
    # Clocks of different VMs are not synchronized and must not be compared.
    offsets_s = [rng.uniform(0, 1e6) for _ in managers]
    now_s, held_steps = 0.0, 0
    for _ in range(400):
        now_s += rng.uniform(0.05, 0.8)
        for manager, offset_s in zip(managers, offsets_s, strict=True):
            manager._core.now_s = now_s + offset_s
        fault = rng.randrange(8)
        table.is_out = fault == 0
        table.lose_replies = int(fault == 1)
        table.late_writes = int(fault == 2)
        if fault == 3:
            table.deliver_late()
        manager = rng.choice(managers)
        if rng.random() < 0.05:
            asyncio.run(manager.async_release())
            manager.is_releasing = False
        else:
            asyncio.run(manager._async_tick())
        holders = [m._core.daemon_id for m in managers if m.held()]
        assert len(holders) <= 1, holders
        held_steps += len(holders)
    assert held_steps > 50


def test_local_director_takes_precedence_and_regains_the_lease():
    table = FakeTable()
    foreign, own = make_manager(table, "d1", "b"), make_manager(table, "d2", "a")
    asyncio.run(foreign._async_tick())
    assert foreign.held() == []
    foreign._core.now_s += LEASE_S + 1
    asyncio.run(foreign._async_tick())
    assert foreign.held() == ["a"]
    foreign.has_director = lambda name: True
    asyncio.run(foreign._async_tick())
    assert foreign.held() == []
    asyncio.run(own._async_tick())
    assert own.held() == ["a"]
