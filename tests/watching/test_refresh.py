"""Reads of a table on demand, for decisions that need the rows as of a moment."""

from __future__ import annotations

import asyncio

from .test_watch import DaemonUnderTest, ScriptedTable

LIMIT_S = 0.5


class SlowTable(ScriptedTable):
    """Takes some time to deliver each answer, on its clock and in real time."""

    async def async_watch(self, prefix, after_version, wait_s):
        page = await super().async_watch(prefix, after_version, wait_s)
        await asyncio.sleep(0.01)
        self.now_s += 0.01
        return page


def make_daemon() -> tuple[SlowTable, DaemonUnderTest]:
    table = SlowTable()
    table.put("t/a", 1)
    daemon = DaemonUnderTest(table, rank=3)
    daemon.refresh()
    return table, daemon


async def async_refresh(daemon: DaemonUnderTest, as_of_s: float) -> None:
    await daemon.watch.async_refresh("t", as_of_s, LIMIT_S)


def test_read_is_shared_and_makes_the_copy_current():
    table, daemon = make_daemon()
    table.now_s += 0.9
    table.put("t/b", 2)
    calls = table.calls
    as_of_s = daemon.core.clock()

    async def async_refresh_together():
        table.now_s += 0.001
        await asyncio.gather(*(async_refresh(daemon, as_of_s) for _ in range(20)))

    asyncio.run(async_refresh_together())
    assert ("t/b", 2) in daemon.rows
    assert daemon.watch.knowledge("t").age_s <= daemon.core.clock() - as_of_s
    assert table.calls == calls + 1
    assert len(daemon.sent) == 1


def test_read_that_was_answered_before_the_time_does_not_serve_it():
    table, daemon = make_daemon()
    table.now_s += 0.9
    calls = table.calls

    async def async_refresh_in_turn():
        first = asyncio.ensure_future(async_refresh(daemon, daemon.core.clock()))
        await asyncio.sleep(0.005)
        table.now_s += 0.001
        await async_refresh(daemon, daemon.core.clock())
        await first

    asyncio.run(async_refresh_in_turn())
    assert table.calls >= calls + 2


def test_failing_store_is_not_read_again_for_each_caller():
    table, daemon = make_daemon()
    table.now_s += 0.9
    table.is_down = True
    calls = table.calls

    async def async_refresh_together():
        as_of_s = daemon.core.clock()
        await asyncio.gather(*(async_refresh(daemon, as_of_s) for _ in range(20)))

    asyncio.run(async_refresh_together())
    assert table.calls == calls + 1
    assert not daemon.watch.is_store_failing


def test_read_without_changes_is_not_sent_and_leaves_no_gap():
    table, daemon = make_daemon()
    peer = DaemonUnderTest(table, rank=4)
    peer.refresh()
    for value in (None, None, 2):
        table.now_s += 0.9
        table.put("t/b" if value else "t/a", value or 1)
        asyncio.run(async_refresh(daemon, daemon.core.clock()))
    (update,) = daemon.sent
    peer.watch.apply_update(update, "d1")
    assert ("t/b", 2) in peer.rows
    assert not peer.state.has_gap


def test_store_that_answers_with_an_old_table_is_not_read_until_the_limit():
    table, daemon = make_daemon()
    table.now_s += 0.9
    table.version -= 1
    calls = table.calls
    asyncio.run(async_refresh(daemon, daemon.core.clock()))
    assert table.calls == calls + 2


def test_reads_on_demand_do_not_keep_the_first_daemon_from_updating_the_others():
    table = SlowTable()
    table.put("t/a", 1)
    daemon = DaemonUnderTest(table, rank=0)
    daemon.refresh()
    daemon.sent.clear()
    due = []
    for _ in range(80):
        table.now_s += 0.04
        due.append(daemon.watch._pause_s(daemon.state) <= 0)
        asyncio.run(async_refresh(daemon, daemon.core.clock()))
    assert daemon.sent or any(due)
