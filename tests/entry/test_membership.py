"""Tests of the registration of daemons in the store."""

from __future__ import annotations

import asyncio
import contextlib
import math
from types import SimpleNamespace

import msgspec
import pytest

from chutelink.const import TABLE_MEMBERS
from chutelink.customers.buckets import QuotaBounds
from chutelink.customers.holders import HolderView
from chutelink.customers.model import Customer, Quota, QuotaUnit
from chutelink.customers.sharing import QuotaSharing
from chutelink.entry.directory import count_candidates
from chutelink.entry.membership import FIRST_START_S, PreviousFleet, Registration
from chutelink.exceptions import PlatformUnavailable
from chutelink.ids import FIRST_ERA, WriteId
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


class ReadOnlyTable(ClockedTable):
    """A store that answers reads and, while ``is_read_only``, refuses writes."""

    now_s = 1000.0
    is_read_only = False

    async def async_transact(self, transaction):
        if self.is_read_only:
            raise PlatformUnavailable("refused", step="table.transact")
        return await super().async_transact(transaction)


def start_process(table: ReadOnlyTable) -> tuple[QuotaSharing, Registration]:
    """Start a process of the only daemon, whose customer may send 10 requests a s."""
    core = make_core("d1")
    sharing = QuotaSharing(core, QuotaBounds(8.0, 0.1, 0.0), is_lending=False)
    quota = Quota(QuotaUnit.REQUESTS, 10.0, 80.0)
    sharing.update_customers({"a": Customer("a", quota=quota)})
    view = HolderView(core.daemon_id, frozenset({core.daemon_id}))
    sharing.manager.update_holder_view(view)
    mesh = SimpleNamespace(linked_members=set, set_seeds=lambda seeds: None)
    registration = Registration(core, table, mesh, "d1:1", 2.0)
    registration.on_previous_fleet = lambda previous: sharing.set_former_fleet(
        1, previous.own_began_ago_s
    )
    registration.on_registered = sharing.note_registered
    with contextlib.suppress(PlatformUnavailable):
        asyncio.run(registration._async_register())
    return sharing, registration


def test_restarts_that_are_not_stored_get_no_start_allowance():
    """Otherwise each restart admits it again, as the next one can't know of it."""
    table = ReadOnlyTable()
    start_process(table)
    registered_level = start_process(table)[0].manager.buckets["a"].level
    table.now_s += 100.0
    table.is_read_only = True
    for _ in range(3):
        sharing, registration = start_process(table)
        assert sharing.manager.buckets["a"].level == registered_level
    table.is_read_only = False
    asyncio.run(registration._async_register())
    assert sharing.manager.buckets["a"].level > registered_level


def test_registration_that_was_delayed_states_when_it_was_stored():
    table = ReadOnlyTable()
    table.is_read_only = True
    _, registration = start_process(table)
    registration._core.now_s += 100.0
    table.now_s += 100.0
    table.is_read_only = False
    asyncio.run(registration._async_register())
    assert register(table, "d1", 2.0).own_began_ago_s == 0.0


@pytest.mark.parametrize("value", [{"started_s": "x"}, {"peer_address": "d1:1"}])
def test_unreadable_previous_row_is_not_taken_for_a_first_start(value):
    """A daemon restarted within a quota window must not start with a full share."""
    table = ReadOnlyTable()
    write = Write(f"{TABLE_MEMBERS}/d1", value)
    table.table.commit(Transaction(WriteId("w"), (), (write,)))
    assert register(table, "d1", 2.0).own_began_ago_s == 0.0
