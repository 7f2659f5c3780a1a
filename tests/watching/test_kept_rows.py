"""Rows that stay in force although a store restored from a backup lacks them."""

from __future__ import annotations

import msgspec
import pytest

from chutelink.watching.tablecopy import KEPT_ROW_S

from .test_watch import DaemonUnderTest, ScriptedTable

KEY = "t/kept/a"


class RestorableTable(ScriptedTable):
    """A store that can be restored from a backup without any rows."""

    era = 1

    def restore(self):
        self.rows, self.version = {}, 0
        self.put("t/first", 1)
        self.era += 1
        self.now_s += 1.0

    async def async_read(self, prefix, after_version=0):
        page = await super().async_read(prefix, after_version)
        page = msgspec.structs.replace(page, era=self.era)
        rows = [row for row in page.rows if row.value is not None]
        return msgspec.structs.replace(page, rows=rows)

    async def async_watch(self, prefix, after_version, wait_s):
        page = await super().async_watch(prefix, after_version, wait_s)
        return msgspec.structs.replace(page, era=self.era)


def make_daemon(table, rank=0):
    daemon = DaemonUnderTest(table, rank)
    daemon.watch.outlasts_restore = lambda key: key.startswith("t/kept/")
    return daemon


@pytest.fixture
def table():
    table = RestorableTable()
    table.put("t/other", 1)
    table.put(KEY, 1)
    return table


@pytest.fixture
def reader(table):
    """Return a daemon that has read the row, which the restored store lacks."""
    reader = make_daemon(table)
    reader.refresh()
    table.restore()
    reader.refresh()
    assert ("t/other", None) in reader.rows
    assert (KEY, None) not in reader.rows
    return reader


def removals(daemon):
    return [key for key, value in daemon.rows if value is None and key == KEY]


@pytest.mark.parametrize("keeps_history", [True, False])
def test_lost_row_stays_until_its_removal_is_read(table, reader, keeps_history):
    """Guards against an evacuation that ends because its row was lost."""
    table.keeps_history = keeps_history
    table.put("t/other", 2)
    reader.refresh()
    assert not removals(reader)
    table.keeps_history = True
    table.put(KEY, None)
    reader.refresh()
    assert removals(reader) == [KEY]
    table.now_s += KEPT_ROW_S
    reader.refresh()
    assert removals(reader) == [KEY]


def test_lost_row_does_not_stay_forever(table, reader):
    """Its removal may have been lost as well."""
    table.now_s += KEPT_ROW_S - 1.0
    reader.refresh()
    assert not removals(reader)
    table.now_s += 2.0
    reader.refresh()
    assert removals(reader) == [KEY]


def test_row_that_is_written_again_stays_at_all_daemons(table, reader):
    """Its value does not change, so updates used to omit it."""
    other = make_daemon(table, rank=2)
    other.watch.apply_update(reader.sent[-1], "d2")
    assert (KEY, 1) in other.rows
    table.put(KEY, 1)
    reader.refresh()
    other.watch.apply_update(reader.sent[-1], "d2")
    table.now_s += KEPT_ROW_S + 1.0
    table.put("t/other", 3)
    reader.refresh()
    other.watch.apply_update(reader.sent[-1], "d2")
    assert not removals(reader)
    assert not removals(other)
    assert other.state.copy.version == table.version


def test_daemon_that_reads_only_the_restored_store_learns_of_the_row(table, reader):
    """Guards against a new reader of the store that never knew of an evacuation."""
    late = make_daemon(table)
    late.refresh()
    table.put("t/other", 2)
    late.refresh()
    assert (KEY, 1) not in late.rows
    reader.watch.apply_update(late.sent[-1], "d2")
    late.watch.apply_update(reader.sent[-1], "d1")
    assert (KEY, 1) in late.rows
    table.put("t/other", 3)
    late.refresh()
    assert late.sent[-1].kept == reader.state.copy.kept_until_s
    table.now_s += KEPT_ROW_S
    late.refresh()
    assert removals(late) == [KEY]
