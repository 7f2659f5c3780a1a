"""Which versions are stored, by whom, and what a daemon that starts takes from them."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from chutelink.entry.endpoints import EndpointTable
from chutelink.exceptions import PlatformUnavailable
from chutelink.ids import FIRST_ERA, StoreEra
from chutelink.origins.const import (
    COVERAGE_PERIOD_S,
    RETENTION_S,
    SAVE_RANK_DELAY_S,
    SAVERS,
)
from chutelink.origins.manager import OriginManager
from chutelink.origins.persistence import OriginPersistence
from chutelink.origins.stored import KEY_VERSIONS
from chutelink.store import UNREADABLE, Transaction, Write

from ..fakes import FakeRegistrations, FakeTable, make_core


class Daemon:
    """A daemon's versions and their persistence, on a clock that the test sets."""

    def __init__(self, table, rank=0):
        self.core = make_core(f"d{rank}")
        self.table = table
        self.versions = EndpointTable().versions
        self.manager = OriginManager(self.core, self.versions)
        self.registrations = FakeRegistrations(table, self.versions)
        self.is_first_start = False
        self.persistence = OriginPersistence(
            self.core,
            table,
            self.manager,
            lambda: rank,
            lambda: table.era,
            self.registrations,
            lambda: self.is_first_start,
        )

    def load(self):
        asyncio.run(self.persistence.async_load())

    def save(self, after_s=0.0):
        self.core.now_s += after_s
        asyncio.run(self.persistence.async_save_if_due())


def stored(table):
    row = table.table.rows.get(KEY_VERSIONS)
    return None if row is None else row.value["services"]


def start(table, *versions, rank=0):
    daemon = Daemon(table, rank)
    daemon.load()
    for version in versions:
        daemon.versions.add("llm", version)
    return daemon


def test_versions_are_stored_once():
    table = FakeTable()
    daemon = start(table, "v1", "v2")
    daemon.save()
    assert stored(table) == {"llm": ["v1", "v2"]}
    version = table.table.version
    daemon.save(1.0)
    assert table.table.version == version


def test_daemon_that_starts_knows_versions_that_have_left():
    table = FakeTable()
    start(table, "v1", "v2").save()
    again = start(table, "v2")
    assert again.manager.has_full_history
    assert again.versions.versions("llm", 0.0) == {"v1", "v2"}


def test_version_is_removed_once_none_of_its_streams_can_be_resumed():
    table = FakeTable()
    daemon = start(table, "v1", "v2")
    daemon.save()
    daemon.versions.remove("llm", "v1")
    daemon.save(1.0)
    daemon.save(RETENTION_S - 1.0)
    assert stored(table) == {"llm": ["v1", "v2"]}
    daemon.save(2.0)
    assert stored(table) == {"llm": ["v2"]}


def test_version_that_others_have_seen_is_kept():
    table = FakeTable()
    first, second = start(table, "v1"), start(table, "v2", rank=1)
    first.save()
    second.save()
    second.save(SAVE_RANK_DELAY_S)
    assert stored(table) == {"llm": ["v1", "v2"]}
    first.core.now_s += 1.0
    first.save()
    assert stored(table) == {"llm": ["v1", "v2"]}


def test_version_that_is_seen_again_after_its_removal_is_stored_again():
    """Guards against a daemon that believes what it read long ago."""
    table = FakeTable()
    daemon = start(table, "v1", "v2")
    daemon.save()
    table.table.commit(
        Transaction(
            "w", (), (Write(KEY_VERSIONS, {"services": {"llm": ["v2"]}, "era": 0}),)
        )
    )
    daemon.versions.remove("llm", "v1")
    daemon.save(1.0)
    daemon.save(RETENTION_S + 1.0)
    daemon.versions.add("llm", "v1")
    daemon.save(1.0)
    assert stored(table) == {"llm": ["v1", "v2"]}


def test_only_the_first_daemons_store_versions():
    table = FakeTable()
    late = start(table, "v1", rank=SAVERS)
    late.save()
    late.save(60.0)
    assert stored(table) is None
    next_one = start(table, "v1", rank=1)
    next_one.save()
    assert stored(table) is None
    next_one.save(SAVE_RANK_DELAY_S)
    assert stored(table) == {"llm": ["v1"]}


@pytest.mark.parametrize("fault", ["out", "lost", "late"])
def test_write_that_fails_is_repeated(fault):
    table = FakeTable()
    daemon = start(table, "v1")
    table.is_out = fault == "out"
    table.lose_replies = fault == "lost"
    table.late_writes = fault == "late"
    daemon.save()
    table.is_out = False
    daemon.save(1.0)
    table.deliver_late()
    assert stored(table) == {"llm": ["v1"]}


def test_daemon_without_a_full_history_stores_nothing():
    table = FakeTable()
    table.era = StoreEra(FIRST_ERA + 1)
    daemon = start(table, "v2")
    daemon.save(1.0)
    assert stored(table) is None


def test_row_from_before_a_store_restore_is_no_full_history():
    """Guards against a backup that lacks a version that has served since."""
    table = FakeTable()
    table.era = FIRST_ERA
    running = start(table, "v1")
    running.save()
    copy = table.copy()
    running.versions.add("llm", "v2")
    running.save(1.0)
    table.restore(copy)
    again = start(table, "v1")
    assert not again.manager.has_full_history
    running.save(1.0)
    assert stored(table) == {"llm": ["v1", "v2"]}
    assert start(table, "v1").manager.has_full_history


def test_absent_row_in_a_restored_store_is_no_full_history():
    table = FakeTable()
    table.era = StoreEra(FIRST_ERA + 1)
    assert not start(table, "v1").manager.has_full_history


def test_unreadable_row_is_no_full_history_and_is_replaced_in_time():
    table = FakeTable()
    table.table.commit(Transaction("w", (), (Write(KEY_VERSIONS, UNREADABLE),)))
    daemon = start(table, "v1")
    assert not daemon.manager.has_full_history
    daemon.save(RETENTION_S + 1.0)
    assert stored(table) == {"llm": ["v1"]}


def test_stored_row_has_the_era_in_which_it_was_read():
    table = FakeTable()
    table.era = FIRST_ERA
    start(table, "v1").save()
    assert msgspec.to_builtins(table.table.rows[KEY_VERSIONS].value)["era"] == FIRST_ERA


def test_version_that_came_and_left_after_the_row_was_written_is_known():
    """Guards against a version that was lost with all daemons before it was stored."""
    table = FakeTable()
    start(table, "v1").save()
    again = Daemon(table)
    again.registrations.changes = [(table.table.version + 1, "v2")]
    again.load()
    again.versions.add("llm", "v1")
    assert again.manager.has_full_history
    assert again.versions.versions("llm", 0.0) == {"v1", "v2"}


def test_row_is_no_full_history_if_later_registrations_are_lost():
    table = FakeTable()
    start(table, "v1").save()
    again = Daemon(table)
    again.registrations.lost_version = table.table.version
    again.load()
    assert not again.manager.has_full_history


@pytest.mark.parametrize("is_first", [False, True])
def test_absent_row_is_a_first_start_only_if_no_process_served_before(is_first):
    """Guards against a fleet that failed to store versions from its start on."""
    daemon = Daemon(FakeTable())
    daemon.is_first_start = is_first
    daemon.registrations.lost_version = 0
    daemon.load()
    assert daemon.manager.has_full_history is is_first


def test_absent_row_says_nothing_before_the_daemon_has_registered():
    daemon = Daemon(FakeTable())
    daemon.is_first_start = None
    daemon.registrations.lost_version = 0
    with pytest.raises(PlatformUnavailable):
        daemon.load()


def covered_version(table):
    return table.table.rows[KEY_VERSIONS].value["covered_version"]


def advance(table):
    """Let the store's version increase by a write to another table."""
    table.table.commit(Transaction("w", (), (Write("other/row", 1),)))


def test_row_is_confirmed_before_later_registrations_are_lost():
    table = FakeTable()
    daemon = start(table, "v1")
    daemon.save()
    before = covered_version(table)
    advance(table)
    daemon.save(COVERAGE_PERIOD_S / 2)
    assert covered_version(table) == before
    daemon.save(COVERAGE_PERIOD_S / 2)
    assert covered_version(table) > before


@pytest.mark.parametrize("is_first_lost", [False, True])
def test_row_is_confirmed_by_another_daemon_only_if_the_first_is_lost(is_first_lost):
    table = FakeTable()
    first, second = start(table, "v1"), start(table, "v1", rank=1)
    first.save()
    second.save()
    second.save(SAVE_RANK_DELAY_S)
    advance(table)
    if not is_first_lost:
        first.save(COVERAGE_PERIOD_S)
    version = table.table.version
    advance(table)
    second.save(2 * COVERAGE_PERIOD_S)
    second.save(SAVE_RANK_DELAY_S)
    assert (covered_version(table) > version) is is_first_lost


def test_fleet_does_not_flood_a_store_that_fails_with_confirmations():
    """Guards against each daemon of a large fleet that tries again within a second."""
    table = FakeTable()
    start(table, "v1").save()
    late = start(table, "v1", rank=40)
    table.is_out = True
    attempts = []
    late.persistence._async_save = lambda: attempts.append(1) or failing_call()
    for _ in range(4 * 600):
        late.save(0.25)
    assert 1 <= len(attempts) <= 20


async def failing_call():
    raise PlatformUnavailable("outage", step="test")


def test_row_with_later_registrations_keeps_its_versions():
    """Guards against a daemon with an old copy that removes a new version."""
    table = FakeTable()
    old = start(table, "v1")
    old.core.now_s += RETENTION_S + 1.0
    position = old.registrations.position()
    old.registrations.position = lambda: position
    advance(table)
    start(table, "v2").save()
    covered = covered_version(table)
    old.save()
    assert stored(table) == {"llm": ["v1", "v2"]}
    assert covered_version(table) == covered
