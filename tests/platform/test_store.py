"""Client of the metadata store, against the stand-in store."""

from __future__ import annotations

import asyncio
import base64
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from chutelink.exceptions import (
    HistoryLost,
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from chutelink.platform.store import async_setup_store
from chutelink.settings import PlatformSection
from chutelink.store import (
    UNREADABLE,
    Check,
    Transaction,
    Write,
    async_commit,
    decode_value,
)
from standins.metadata_store import MetadataStore, StoreFaults

KEY = "own/key"


@asynccontextmanager
async def async_store():
    store = MetadataStore()
    app = web.Application()
    store.add_routes(app)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    settings = PlatformSection(url=f"http://127.0.0.1:{port}", key="none")
    async with aiohttp.ClientSession() as session:
        yield store, async_setup_store(session, settings)
    await runner.cleanup()


def run(test):
    async def async_run():
        async with async_store() as (store, table):
            await test(store, table)

    asyncio.run(async_run())


def write(value, version=0, write_id="w1"):
    return Transaction(write_id, (Check(KEY, version),), (Write(KEY, value),))


def test_read_returns_the_value_and_write_id():
    async def async_test(store, table):
        version = (await table.async_transact(write({"a": 1}))).version
        row = (await table.async_read(KEY)).get(KEY)
        assert (row.version, row.write_id, row.value) == (version, "w1", {"a": 1})

    run(async_test)


def test_failed_condition_changes_nothing():
    async def async_test(store, table):
        await table.async_transact(write(1))
        with pytest.raises(TransactionConflict):
            await table.async_transact(write(2, write_id="w2"))
        assert (await table.async_read(KEY)).get(KEY).value == 1

    run(async_test)


def test_lost_reply_is_resolved():
    async def async_test(store, table):
        store.faults = StoreFaults(lose_replies=1)
        version = await async_commit(table, [Check(KEY, 0)], [Write(KEY, 5)])
        assert (await table.async_read(KEY)).get(KEY).version == version
        store.faults = StoreFaults(lose_replies=1)
        with pytest.raises(WriteOutcomeUnknown):
            await table.async_transact(write(6, version, "w9"))

    run(async_test)


def test_watch_reports_changes_and_removals():
    async def async_test(store, table):
        after = store.put("servers", "i-1", {"x": 1})
        page = await table.async_watch("endpoints/", 0, 0.0)
        assert [(r.key, r.value) for r in page.rows] == [("endpoints/i-1", {"x": 1})]
        waiting = asyncio.ensure_future(table.async_watch("endpoints/", after, 2.0))
        await asyncio.sleep(0.05)
        store.remove("servers", "i-1")
        page = await waiting
        assert [(r.key, r.value) for r in page.rows] == [("endpoints/i-1", None)]

    run(async_test)


def test_paged_read_has_the_version_of_its_first_page():
    """A change to a row of an earlier page must be reported by the next watch."""

    async def async_test(store, table):
        for name in ("i-1", "i-2", "i-3"):
            store.put("servers", name, {"x": 1})
        store.max_page_rows = 1
        writes = iter([{"x": 2}])
        store.on_page_read = lambda: [store.put("servers", "i-1", v) for v in writes]
        page = await table.async_read("endpoints/")
        assert [row.value["x"] for row in page.rows] == [1, 1, 1]
        changes = await table.async_watch("endpoints/", page.version, 0.0)
        assert changes.get("endpoints/i-1").value == {"x": 2}

    run(async_test)


def test_pages_carry_the_store_time():
    async def async_test(store, table):
        store.put("servers", "i-1", {"x": 1})
        read = await table.async_read("endpoints/")
        watch = await table.async_watch("endpoints/", 0, 0.0)
        assert 0 < read.answered_s <= watch.answered_s

    run(async_test)


def test_read_fails_if_the_store_is_restored_between_pages():
    """The pages would come from two eras whose versions can't be compared."""

    async def async_test(store, table):
        for name in ("i-1", "i-2"):
            store.put("servers", name, {"x": 1})
        store.max_page_rows = 1
        store.on_page_read = lambda: store.restore(store.snapshot())
        with pytest.raises(PlatformUnavailable):
            await table.async_read("endpoints/")

    run(async_test)


def test_pages_and_commits_carry_the_store_era():
    async def async_test(store, table):
        snapshot = store.snapshot()
        first = await table.async_transact(write(1))
        store.restore(snapshot)
        second = await table.async_transact(write(1, write_id="w2"))
        assert (first.version, first.era + 1) == (second.version, second.era)
        page = await table.async_watch("own/", 0, 0.0)
        assert page.era == (await table.async_read("own/")).era == second.era

    run(async_test)


def test_watch_after_a_version_lost_by_a_restore_is_rejected():
    async def async_test(store, table):
        snapshot = store.snapshot()
        after = store.put("servers", "i-1", {"x": 1})
        store.restore(snapshot)
        with pytest.raises(HistoryLost):
            await table.async_watch("endpoints/", after, 0.0)

    run(async_test)


def test_watch_after_discarded_history_is_rejected():
    async def async_test(store, table):
        store.put("op", "config", {})
        store.put("op", "config", {})
        store.forget_history()
        with pytest.raises(HistoryLost):
            await table.async_watch("config/", 1, 0.0)

    run(async_test)


def test_outage_raises_platform_unavailable():
    async def async_test(store, table):
        store.faults = StoreFaults(is_out=True)
        with pytest.raises(PlatformUnavailable):
            await table.async_read(KEY)

    run(async_test)


def test_row_with_an_unexpected_format_is_unreadable():
    async def async_test(store, table):
        store.put("own", "key", "not an own value")
        row = (await table.async_read(KEY)).get(KEY)
        assert row.value == UNREADABLE
        with pytest.raises(PlatformUnavailable):
            decode_value(row, str)
        assert decode_value(None, int) is None

    run(async_test)


UNREADABLE_VALUES = ["", "!!!", base64.b64encode(b"\xff{").decode(), "e30", "bnVsbA=="]
"""Empty, not base64, not JSON, truncated base64, and null."""


@pytest.mark.parametrize("text", UNREADABLE_VALUES)
@pytest.mark.parametrize("prefix", ["endpoints/", "own/"])
def test_unreadable_row_does_not_hide_other_rows(text, prefix):
    """One such row used to make every read of its table fail, at all daemons."""

    async def async_test(store, table):
        readable = {"write_id": "w", "value": {"a": 1}}
        wire = "servers" if prefix == "endpoints/" else "own"
        after = store.put(wire, "a", readable)
        store.put_raw(wire, "b", text)
        store.put(wire, "c", readable)
        page = await table.async_read(prefix)
        changes = await table.async_watch(prefix, after, 0.0)
        assert [row.key for row in page.rows] == [f"{prefix}{key}" for key in "abc"]
        assert [row.key for row in changes.rows] == [f"{prefix}{key}" for key in "bc"]
        assert page.rows[1].value == UNREADABLE
        assert page.rows[0].value == page.rows[2].value != UNREADABLE

    run(async_test)
