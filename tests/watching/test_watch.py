"""Following the store together, one reading for all."""

from __future__ import annotations

import asyncio
import configparser
from pathlib import Path

import pytest

from chutelink.entry.news import SnapshotRequest, StoredRow, StoreNews
from chutelink.exceptions import HistoryLost, PlatformUnavailable
from chutelink.ids import WriteId
from chutelink.store import Row, RowPage, WatchedTable
from chutelink.store.http import SECOND_TRY_SHARE
from chutelink.watching.timing import (
    FIRST_SHARE,
    MAX_RANK,
    RANK_SHARE,
    RETRY_S,
    RETRY_SPREAD,
    RETURN_S,
    longest_timeout_s,
)
from chutelink.watching.watch import StoreWatch

from ..fakes import make_core

SHORTEST_BOUND_S = 2.0
"""The shortest time in which a change must be in force anywhere."""
CALL_S = 0.5
"""How long a slow store takes to answer."""
QUICK_CALL_S = 0.1
"""How long one in good order takes at most."""
DEPLOYED_SETTINGS = Path(__file__).parents[2] / "deploy" / "entry.ini"


class ScriptedTable(WatchedTable):
    """Answers as the test says."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.is_out = False
        self.has_history = True
        self.calls = 0
        self.now_s = 1000.0

    def put(self, key, value):
        self.version += 1
        self.rows[key] = Row(key, self.version, WriteId(""), value)

    async def async_read(self, prefix, after_version=0):
        self._call()
        rows = [r for r in self.rows.values() if r.value]
        return RowPage(self.version, rows, self.now_s)

    async def async_watch(self, prefix, after_version, wait_s):
        self._call()
        if not self.has_history:
            raise HistoryLost("gone", step="test")
        rows = [r for r in self.rows.values() if r.version > after_version]
        return RowPage(self.version, rows, self.now_s)

    async def async_transact(self, transaction):
        raise NotImplementedError

    def _call(self):
        self.calls += 1
        if self.is_out:
            raise PlatformUnavailable("outage", step="test")


class Watcher:
    def __init__(self, table, rank=0):
        self.core = make_core()
        self.core.clock = lambda: table.now_s - 900.0
        self.sent = []
        self.rows = []
        self.watch = StoreWatch(
            self.core, table, {"t": SHORTEST_BOUND_S}, lambda: rank, self.sent.append
        )
        self.watch.reply = lambda daemon, news: self.sent.append(news)
        self.watch.on_row = lambda change: self.rows.append((change.key, change.value))
        self.state = self.watch._tables["t"]

    def pull(self):
        asyncio.run(self.watch._async_pull(self.state))


@pytest.fixture
def table():
    table = ScriptedTable()
    table.put("t/a", 1)
    return table


def test_what_one_reads_the_others_take_in(table):
    reader, other = Watcher(table), Watcher(table, rank=3)
    reader.pull()
    other.pull()
    assert reader.sent == []
    table.put("t/b", 2)
    table.now_s += 0.6
    reader.pull()
    other.watch.take_news(reader.sent[0], "d2")
    assert other.rows == [("t/a", 1), ("t/b", 2)]
    assert other.watch._pause_s(other.state) > 0
    assert table.calls == 3


def test_the_last_in_rank_knows_within_the_bound_though_its_first_call_fails():
    """Whether nobody answers the first try of the call, or the whole call fails."""
    parser = configparser.ConfigParser()
    parser.read(DEPLOYED_SETTINGS)
    limit_s = parser.getfloat("platform", "timeout_s")
    assert limit_s <= longest_timeout_s(SHORTEST_BOUND_S)
    last_rank_s = (FIRST_SHARE + MAX_RANK * RANK_SHARE) * SHORTEST_BOUND_S
    second_try_s = SECOND_TRY_SHARE * limit_s
    assert last_rank_s + second_try_s + CALL_S <= SHORTEST_BOUND_S
    assert (
        last_rank_s + RETRY_S * RETRY_SPREAD + second_try_s + QUICK_CALL_S
        <= SHORTEST_BOUND_S
    )


@pytest.mark.parametrize("bound_s", [1.5, 2.0, 3.0, 10.0])
def test_a_time_limit_that_fits_keeps_the_last_in_rank_within_any_bound(bound_s):
    limit_s = longest_timeout_s(bound_s)
    last_rank_s = (FIRST_SHARE + MAX_RANK * RANK_SHARE) * bound_s
    second_try_s = SECOND_TRY_SHARE * limit_s
    slow_s = last_rank_s + second_try_s + CALL_S
    failed_s = last_rank_s + RETRY_S * RETRY_SPREAD + second_try_s + QUICK_CALL_S
    assert max(slow_s, failed_s) <= bound_s + 1e-9


def test_a_daemon_that_hears_nothing_reads_within_the_bound(table):
    last_rank_s = (FIRST_SHARE + MAX_RANK * RANK_SHARE) * SHORTEST_BOUND_S
    assert last_rank_s + CALL_S < SHORTEST_BOUND_S
    other = Watcher(table, rank=100)
    other.pull()
    table.now_s += last_rank_s + 0.01
    assert other.watch._pause_s(other.state) <= 0


def test_news_behind_a_gap_is_left_to_an_own_read(table):
    other = Watcher(table, rank=2)
    other.pull()
    table.now_s += 5.0
    other.watch.take_news(
        StoreNews("t", 9, 10, 1005.0, [StoredRow("t/b", 10, 2)]), "d2"
    )
    assert other.rows == [("t/a", 1)]
    assert other.watch._pause_s(other.state) <= 0


def test_lost_history_is_made_good_by_a_whole_read(table):
    reader = Watcher(table)
    reader.pull()
    table.put("t/b", 2)
    table.put("t/a", None)
    table.has_history = False
    reader.pull()
    assert sorted(reader.rows[1:], key=str) == [("t/a", None), ("t/b", 2)]
    assert reader.sent[0].after == 0


def test_old_rows_never_come_back(table):
    """Neither as changes nor with a whole table of an earlier version."""
    reader = Watcher(table)
    table.put("t/a", 2)
    table.put("t/b", 1)
    reader.pull()
    rows = list(reader.rows)
    old = [StoredRow("t/a", 1, 1)]
    for after in (0, 1):
        reader.watch.take_news(StoreNews("t", after, 2, 2000.0, old), "d2")
    assert reader.rows == rows
    assert reader.state.copy.answered_s == table.now_s


def test_a_daemon_without_the_store_asks_the_others(table):
    reader, lonely = Watcher(table), Watcher(table)
    reader.pull()
    table.is_out = True
    with pytest.raises(PlatformUnavailable) as caught:
        lonely.pull()
    lonely.watch._note_failure(lonely.state, caught.value)
    request = lonely.sent[0]
    assert request == SnapshotRequest("t", "d1")
    reader.watch.take_request(request)
    lonely.watch.take_news(reader.sent[0], "d2")
    assert lonely.rows == [("t/a", 1)]
    assert lonely.watch.has_read("t")


def test_removals_within_two_seconds_of_an_outages_end_may_be_undone(table):
    reader, other = Watcher(table), Watcher(table, rank=3)
    seen = []
    for watcher in (reader, other):
        watcher.watch.on_row = lambda change: seen.append(
            (change.value, change.back_until_s)
        )
        watcher.pull()
    table.now_s += SHORTEST_BOUND_S + 0.1
    seen.clear()
    table.put("t/a", None)
    reader.pull()
    other.watch.take_news(reader.sent[-1], "d2")
    for value, back_until_s in seen:
        assert value is None
        back_in_s = back_until_s - reader.core.clock()
        assert RETURN_S - 0.01 < back_in_s <= RETURN_S
    assert len(seen) == 2


def test_after_a_shorter_gap_removals_are_final(table):
    reader = Watcher(table)
    reader.pull()
    table.now_s += SHORTEST_BOUND_S - 0.1
    reader.watch._note_failure(reader.state, PlatformUnavailable("x", step="test"))
    seen = []
    reader.watch.on_row = lambda change: seen.append(
        reader.core.clock() < change.back_until_s
    )
    table.put("t/a", None)
    reader.pull()
    assert seen == [False]


def test_signs_of_life_are_not_passed_on(table):
    reader, other = Watcher(table), Watcher(table, rank=2)
    reader.watch.compact = lambda key, value: value // 10
    reader.pull()
    other.pull()
    table.put("t/a", 2)
    reader.pull()
    assert reader.sent[0].rows == []
    table.now_s += 0.6
    other.watch.take_news(reader.sent[0], "d2")
    assert other.state.copy.version == 2
    assert other.watch._pause_s(other.state) > 0
    table.put("t/a", 20)
    reader.pull()
    assert [row.value for row in reader.sent[1].rows] == [2]
