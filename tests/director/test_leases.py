"""Never two holders at once, though holders freeze and replies are lost."""

from __future__ import annotations

import asyncio
import random

import pytest

from chutelink.director.leases import LeaseKeeper
from chutelink.settings import DirectorSection
from chutelink.store import transactions

from ..fakes import FakeTable, make_core

LEASE_S = 3.0


def make_keeper(table, name, domain="a"):
    core = make_core(name, domain)
    keeper = LeaseKeeper(core, table, DirectorSection(lease_s=LEASE_S))
    keeper.sync(["a"])
    return keeper


@pytest.mark.parametrize("seed", range(20))
def test_at_most_one_director_may_act(seed, monkeypatch):
    monkeypatch.setattr(transactions, "SETTLE_PAUSE_S", 0.0)
    rng = random.Random(seed)
    table = FakeTable()
    keepers = [make_keeper(table, f"d{n}", "ab"[n % 2]) for n in range(4)]
    # Clocks differ between VMs and are never compared.
    offsets_s = [rng.uniform(0, 1e6) for _ in keepers]
    now_s, held_steps = 0.0, 0
    for _ in range(400):
        now_s += rng.uniform(0.05, 0.8)
        for keeper, offset_s in zip(keepers, offsets_s, strict=True):
            keeper._core.now_s = now_s + offset_s
        fault = rng.randrange(8)
        table.is_out = fault == 0
        table.lose_replies = int(fault == 1)
        table.late_writes = int(fault == 2)
        if fault == 3:
            table.deliver_late()
        keeper = rng.choice(keepers)
        if rng.random() < 0.05:
            asyncio.run(keeper.async_release())
            keeper.is_releasing = False
        else:
            asyncio.run(keeper._async_tick())
        holders = [k._core.daemon_id for k in keepers if k.held()]
        assert len(holders) <= 1, holders
        held_steps += len(holders)
    assert held_steps > 50


def test_the_own_director_goes_first_and_gets_the_lease_back():
    table = FakeTable()
    foreign, own = make_keeper(table, "d1", "b"), make_keeper(table, "d2", "a")
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
