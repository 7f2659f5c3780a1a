"""Rows that stay in force although a store restored from a backup lacks them."""

from __future__ import annotations

import pytest

from chutelink.watching.tablecopy import KEPT_ROW_S

from .test_watch import DaemonUnderTest, ScriptedTable

KEY = "t/kept"


def make_daemon(table):
    daemon = DaemonUnderTest(table)
    daemon.watch.outlasts_restore = lambda key: key == KEY
    daemon.refresh()
    return daemon


@pytest.fixture
def reader():
    """Return a daemon that has read the row, which the restored store lacks."""
    table = ScriptedTable()
    table.put("t/other", 1)
    table.put(KEY, 1)
    reader = make_daemon(table)
    table.rows, table.version, table.era = {}, 1, 1
    reader.table = table
    reader.refresh()
    assert reader.rows[-1] == ("t/other", None)
    return reader


@pytest.mark.parametrize("keeps_history", [True, False])
def test_lost_row_stays_until_its_removal_is_read(reader, keeps_history):
    """Guards against an evacuation that ends because its row was lost."""
    reader.table.keeps_history = keeps_history
    reader.table.put("t/other", 2)
    reader.refresh()
    assert (KEY, None) not in reader.rows
    reader.table.keeps_history = True
    reader.table.put(KEY, None)
    reader.refresh()
    assert (KEY, None) in reader.rows


@pytest.mark.parametrize("is_written_again", [True, False])
def test_lost_row_ends_in_time_unless_it_is_written_again(reader, is_written_again):
    """Its removal may be lost too; a daemon that never read the row learns of it."""
    late = make_daemon(reader.table)
    reader.table.put("t/other", 2)
    late.refresh()
    reader.watch.apply_update(late.sent[-1], "d2")
    late.watch.apply_update(reader.sent[-1], "d1")
    assert (KEY, 1) in late.rows
    if is_written_again:
        reader.table.put(KEY, 1)
    for seconds in (1.0, KEPT_ROW_S):
        reader.table.now_s += seconds
        reader.table.put("t/other", seconds)
        late.refresh()
        reader.watch.apply_update(late.sent[-1], "d2")
    for daemon in (late, reader):
        assert ((KEY, None) not in daemon.rows) is is_written_again
