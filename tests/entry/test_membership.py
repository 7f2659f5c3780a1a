"""Tests of the registration of daemons in the store."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

import msgspec
import pytest

from chutelink.const import TABLE_MEMBERS
from chutelink.entry.directory import count_candidates
from chutelink.entry.membership import FIRST_START_S, PreviousFleet, Registration
from chutelink.ids import FIRST_ERA
from chutelink.store import UNREADABLE, RowPage, Transaction, Write

from ..fakes import FakeTable, make_core


class ClockedTable(FakeTable):
    """A table whose service states its clock."""

    now_s = 100.0

    async def async_read(self, prefix: str, after_version: int = 0) -> RowPage:
        page = await super().async_read(prefix, after_version)
        return msgspec.structs.replace(page, answered_s=self.now_s)


def register(table: FakeTable, name: str, capacity: float) -> PreviousFleet:
    core = make_core(name)
    mesh = SimpleNamespace(linked_members=set, set_seeds=lambda seeds: None)
    found = []
    registration = Registration(core, table, mesh, f"{name}:1", capacity)
    registration.on_previous_fleet = found.append
    asyncio.run(registration._async_register())
    asyncio.run(registration._async_register())
    assert len(found) == 1
    return found[0]


def test_daemon_reads_when_its_previous_process_registered():
    """A daemon restarted within a quota window must not start with a full share."""
    table = FakeTable()
    assert register(table, "d1", 2.0) == PreviousFleet(None, [2.0])
    second = PreviousFleet(None, [2.0, 2.0], frozenset({"d1"}), math.inf)
    assert register(table, "d2", 2.0) == second
    again = register(table, "d1", 2.0)
    assert again.own_began_ago_s is not None
    assert sorted(again.capacities) == [2.0, 2.0]


@pytest.mark.parametrize(
    ("before", "pause_s", "is_first_start"),
    [
        ([], 0.0, True),
        (["d1"], 1.0, True),
        (["d1"], FIRST_START_S + 1.0, False),
        (["d0"], 0.5, False),
        (["d1", FIRST_START_S, "d1"], 0.5, False),
    ],
    ids=["alone", "beside", "later", "again", "beside_again"],
)
def test_daemon_of_a_new_vm_is_not_the_first_of_its_fleet(
    before, pause_s, is_first_start
):
    """Guards against a replaced VM that takes a missing row for a first start."""
    table = ClockedTable()
    for step in before:
        if isinstance(step, float):
            table.now_s += step
        else:
            register(table, step, 1.0)
    table.now_s += pause_s
    assert register(table, "d0", 1.0).is_first_start is is_first_start


@pytest.mark.parametrize(
    ("capacities", "count"),
    [([], 0), ([1.0], 1), ([1.0] * 7, 7), ([2.0] * 8 + [0.5] * 52, 8)],
)
def test_candidates_are_large_vms_filled_up_with_small_ones(capacities, count):
    assert count_candidates(capacities) == count
    assert count_candidates([2.0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5]) == 6


def test_daemon_writes_its_row_again_when_a_restored_store_lost_it():
    """Otherwise, daemons that start later would not find it."""
    table = FakeTable()
    table.era = FIRST_ERA
    copy = table.copy()
    mesh = SimpleNamespace(linked_members=set, set_seeds=lambda seeds: None)
    registration = Registration(
        make_core("d1"), table, mesh, "d1:1", era=lambda: table.era
    )
    asyncio.run(registration._async_register())
    written = set(table.table.rows)
    assert written
    table.restore(copy)
    assert not table.table.rows
    asyncio.run(registration._async_register())
    assert set(table.table.rows) == written
    version = table.table.version
    asyncio.run(registration._async_register())
    assert table.table.version == version


def test_missing_row_in_a_restored_store_is_not_taken_for_a_first_start():
    """A daemon restarted within a quota window must not start with a full share."""
    table = FakeTable()
    table.era = FIRST_ERA
    register(table, "d1", 2.0)
    copy = table.copy()
    register(table, "d2", 2.0)
    table.restore(copy)
    assert register(table, "d1", 2.0).own_began_ago_s == 0.0
    assert register(table, "d2", 2.0).own_began_ago_s == 0.0
    table.table.rows.clear()
    table.era = FIRST_ERA
    assert register(table, "d1", 2.0).own_began_ago_s is None


def test_unreadable_row_is_not_taken_for_a_first_start():
    """Guards against a fleet that served before and is taken for a new one."""
    table = FakeTable()
    register(table, "d1", 2.0)
    row = Write(f"{TABLE_MEMBERS}/d1", UNREADABLE)
    table.table.commit(Transaction("w", (), (row,)))
    assert not register(table, "d1", 2.0).is_first_start
