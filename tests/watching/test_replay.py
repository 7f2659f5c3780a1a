"""Changes of registrations that a daemon replays when it starts."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from chutelink.exceptions import HistoryLost, PlatformUnavailable
from chutelink.store import StorePosition
from chutelink.watching.watch import REPLAYED_ROWS, StoreWatch

from ..fakes import make_core
from .test_watch import ScriptedTable


class HistoryTable(ScriptedTable):
    """Keeps every change, as the store does."""

    def __init__(self) -> None:
        super().__init__()
        self.history = []

    def put(self, key, value):
        super().put(key, value)
        self.history.append(self.rows[key])

    async def async_watch(self, prefix, after_version, wait_s):
        page = await super().async_watch(prefix, after_version, wait_s)
        rows = [row for row in self.history if row.version > after_version]
        return msgspec.structs.replace(page, rows=rows)


def make_watch(table):
    """Return a watch that has read the table, and the values that it replays."""
    watch = StoreWatch(make_core(), table, {"endpoints": 2.0}, lambda: 3, print)
    found = []
    watch.on_superseded = lambda change: found.append((change.key, change.value))
    asyncio.run(watch.async_refresh("endpoints", 1e9, 1.0))
    return watch, found


def replay(watch, version, era=0):
    asyncio.run(watch.async_replay("endpoints", StorePosition(version, era)))


def test_values_that_were_replaced_and_removed_are_replayed_once():
    """Guards against a version that is known only from a row that has gone."""
    table = HistoryTable()
    table.put("endpoints/i-1", {"version": "v1"})
    before = table.version
    table.put("endpoints/i-2", {"version": "v2"})
    for _ in range(REPLAYED_ROWS):
        table.put("endpoints/i-1", {"version": "v1"})
    table.put("endpoints/i-2", None)
    watch, found = make_watch(table)
    replay(watch, before)
    assert ("endpoints/i-2", {"version": "v2"}) in found
    assert len(found) == len({key for key, _ in found})


def test_replay_without_history_or_after_a_restore_fails():
    """Guards against a part of the changes that counts as all of them."""
    table = ScriptedTable()
    table.put("endpoints/i-1", {"version": "v1"})
    watch, _ = make_watch(table)
    with pytest.raises(PlatformUnavailable):
        replay(watch, 0, era=1)
    table.keeps_history = False
    with pytest.raises(HistoryLost):
        replay(watch, 0)
