"""Cooperative replication of store tables, where one daemon reads for all."""

from __future__ import annotations

import asyncio
import configparser
from pathlib import Path

import pytest

from chutelink.entry.messages import SnapshotRequest, StoredRow, StoreUpdate
from chutelink.exceptions import HistoryLost, PlatformUnavailable
from chutelink.ids import NO_ERA, WriteId
from chutelink.store import Row, RowPage, WatchableTable
from chutelink.store.http import READ_RETRY_FRACTION
from chutelink.watching.timing import (
    FIRST_BACKUP_SHARE,
    MAX_RANK_STEPS,
    MIN_RETRY_PAUSE_S,
    RANK_DELAY_SHARE,
    REREGISTRATION_S,
    RETRY_JITTER,
    max_timeout_s,
)
from chutelink.watching.watch import StoreWatch

from ..fakes import make_core

STALENESS_BOUND_S = 2.0
"""The shortest staleness bound in use."""
SLOW_ANSWER_S = 0.5
"""Response time of a slow store."""
QUICK_ANSWER_S = 0.1
"""Maximum response time of a healthy store."""
DEPLOYED_SETTINGS = Path(__file__).parents[2] / "deploy" / "entry.ini"


class ScriptedTable(WatchableTable):
    """Answers as configured by the test."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.is_down = False
        self.keeps_history = True
        self.calls = 0
        self.now_s = 1000.0
        self.era = NO_ERA

    def put(self, key, value):
        self.version += 1
        self.rows[key] = Row(key, self.version, WriteId(""), value)

    async def async_read(self, prefix, after_version=0):
        self._call()
        rows = [r for r in self.rows.values() if r.value]
        return RowPage(self.version, rows, self.now_s, self.era)

    async def async_watch(self, prefix, after_version, wait_s):
        self._call()
        if not self.keeps_history:
            raise HistoryLost("gone", step="test")
        rows = [r for r in self.rows.values() if r.version > after_version]
        return RowPage(self.version, rows, self.now_s, self.era)

    async def async_transact(self, transaction):
        raise NotImplementedError

    def _call(self):
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailable("outage", step="test")


class DaemonUnderTest:
    def __init__(self, table, rank=0):
        self.core = make_core()
        self.core.clock = lambda: table.now_s - 900.0
        self.sent = []
        self.rows = []
        self.watch = StoreWatch(
            self.core, table, {"t": STALENESS_BOUND_S}, lambda: rank, self.sent.append
        )
        self.watch.reply = lambda daemon, update: self.sent.append(update)
        self.watch.on_row = lambda change: self.rows.append((change.key, change.value))
        self.state = self.watch._tables["t"]

    def refresh(self):
        asyncio.run(self.watch._async_refresh(self.state))


@pytest.fixture
def table():
    table = ScriptedTable()
    table.put("t/a", 1)
    return table


def test_reader_updates_other_daemons(table):
    reader, other = DaemonUnderTest(table), DaemonUnderTest(table, rank=3)
    reader.refresh()
    other.refresh()
    assert reader.sent == []
    table.put("t/b", 2)
    table.now_s += 0.6
    reader.refresh()
    other.watch.apply_update(reader.sent[0], "d2")
    assert other.rows == [("t/a", 1), ("t/b", 2)]
    assert other.watch._pause_s(other.state) > 0
    assert table.calls == 3


def test_last_rank_meets_bound_when_first_call_fails():
    """Holds if the first attempt of the call gets no answer, or if the call fails."""
    parser = configparser.ConfigParser()
    parser.read(DEPLOYED_SETTINGS)
    limit_s = parser.getfloat("platform", "timeout_s")
    assert limit_s <= max_timeout_s(STALENESS_BOUND_S)
    last_rank_s = (
        FIRST_BACKUP_SHARE + MAX_RANK_STEPS * RANK_DELAY_SHARE
    ) * STALENESS_BOUND_S
    second_try_s = READ_RETRY_FRACTION * limit_s
    assert last_rank_s + second_try_s + SLOW_ANSWER_S <= STALENESS_BOUND_S
    assert (
        last_rank_s + MIN_RETRY_PAUSE_S * RETRY_JITTER + second_try_s + QUICK_ANSWER_S
        <= STALENESS_BOUND_S
    )


@pytest.mark.parametrize("staleness_bound_s", [1.5, 2.0, 3.0, 10.0])
def test_max_timeout_keeps_last_rank_within_bound(staleness_bound_s):
    limit_s = max_timeout_s(staleness_bound_s)
    last_rank_s = (
        FIRST_BACKUP_SHARE + MAX_RANK_STEPS * RANK_DELAY_SHARE
    ) * staleness_bound_s
    second_try_s = READ_RETRY_FRACTION * limit_s
    slow_s = last_rank_s + second_try_s + SLOW_ANSWER_S
    failed_s = (
        last_rank_s + MIN_RETRY_PAUSE_S * RETRY_JITTER + second_try_s + QUICK_ANSWER_S
    )
    assert max(slow_s, failed_s) <= staleness_bound_s + 1e-9


def test_daemon_without_updates_reads_within_bound(table):
    last_rank_s = (
        FIRST_BACKUP_SHARE + MAX_RANK_STEPS * RANK_DELAY_SHARE
    ) * STALENESS_BOUND_S
    assert last_rank_s + SLOW_ANSWER_S < STALENESS_BOUND_S
    other = DaemonUnderTest(table, rank=100)
    other.refresh()
    table.now_s += last_rank_s + 0.01
    assert other.watch._pause_s(other.state) <= 0


def test_update_after_gap_is_left_to_next_read(table):
    other = DaemonUnderTest(table, rank=2)
    other.refresh()
    table.now_s += 5.0
    other.watch.apply_update(
        StoreUpdate("t", 9, 10, 1005.0, [StoredRow("t/b", 10, 2)]), "d2"
    )
    assert other.rows == [("t/a", 1)]
    assert other.watch._pause_s(other.state) <= 0


def test_lost_history_causes_full_read(table):
    reader = DaemonUnderTest(table)
    reader.refresh()
    table.put("t/b", 2)
    table.put("t/a", None)
    table.keeps_history = False
    reader.refresh()
    assert sorted(reader.rows[1:], key=str) == [("t/a", None), ("t/b", 2)]
    assert reader.sent[0].after == 0


def test_outdated_rows_are_ignored(table):
    """Neither changes nor a full table of an earlier version are applied."""
    reader = DaemonUnderTest(table)
    table.put("t/a", 2)
    table.put("t/b", 1)
    reader.refresh()
    rows = list(reader.rows)
    old = [StoredRow("t/a", 1, 1)]
    for after in (0, 1):
        reader.watch.apply_update(StoreUpdate("t", after, 2, 2000.0, old), "d2")
    assert reader.rows == rows
    assert reader.state.copy.answered_s == table.now_s


def test_daemon_without_store_requests_snapshot(table):
    reader, isolated = DaemonUnderTest(table), DaemonUnderTest(table)
    reader.refresh()
    table.is_down = True
    with pytest.raises(PlatformUnavailable) as caught:
        isolated.refresh()
    isolated.watch._record_failure(isolated.state, caught.value)
    request = isolated.sent[0]
    assert request == SnapshotRequest("t", "d1")
    reader.watch.handle_snapshot_request(request)
    isolated.watch.apply_update(reader.sent[0], "d2")
    assert isolated.rows == [("t/a", 1)]
    assert isolated.watch.has_read("t")


def test_removals_shortly_after_outage_allow_reregistration(table):
    reader, other = DaemonUnderTest(table), DaemonUnderTest(table, rank=3)
    seen = []
    for daemon in (reader, other):
        daemon.watch.on_row = lambda change: seen.append(
            (change.value, change.back_until_s)
        )
        daemon.refresh()
    table.now_s += STALENESS_BOUND_S + 0.1
    seen.clear()
    table.put("t/a", None)
    reader.refresh()
    other.watch.apply_update(reader.sent[-1], "d2")
    for value, back_until_s in seen:
        assert value is None
        back_in_s = back_until_s - reader.core.clock()
        assert REREGISTRATION_S - 0.01 < back_in_s <= REREGISTRATION_S
    assert len(seen) == 2


def test_removals_after_short_gap_are_final(table):
    reader = DaemonUnderTest(table)
    reader.refresh()
    table.now_s += STALENESS_BOUND_S - 0.1
    reader.watch._record_failure(reader.state, PlatformUnavailable("x", step="test"))
    seen = []
    reader.watch.on_row = lambda change: seen.append(
        reader.core.clock() < change.back_until_s
    )
    table.put("t/a", None)
    reader.refresh()
    assert seen == [False]


def test_heartbeats_are_not_broadcast(table):
    reader, other = DaemonUnderTest(table), DaemonUnderTest(table, rank=2)
    reader.watch.compact = lambda key, value: value // 10
    reader.refresh()
    other.refresh()
    table.put("t/a", 2)
    reader.refresh()
    assert reader.sent[0].rows == []
    table.now_s += 0.6
    other.watch.apply_update(reader.sent[0], "d2")
    assert other.state.copy.version == 2
    assert other.watch._pause_s(other.state) > 0
    table.put("t/a", 20)
    reader.refresh()
    assert [row.value for row in reader.sent[1].rows] == [2]
