"""Replication over HTTP from a store that is restored from an older backup."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from chutelink.const import TABLE_ENDPOINTS
from chutelink.platform.store import async_setup_store
from chutelink.settings import PlatformSection
from chutelink.watching.timing import MIN_INTERVAL_SHARE
from chutelink.watching.watch import StoreWatch
from standins.metadata_store import MetadataStore

from ..fakes import make_core

WIRE_TABLE = "servers"
STALENESS_BOUND_S = 2.0
"""Time within which every daemon must know a change."""
TIMEOUT_S = 8.0
"""Allows for slow machines; a change not propagated by then never is."""
DAEMONS = 4
LINK_DELAY_S = 0.01


class FollowingDaemon:
    """A daemon that replicates the table of endpoints, and the rows it reported."""

    def __init__(self, rank, table, send_update) -> None:
        self.core = make_core(f"d{rank}")
        self.core.clock = asyncio.get_running_loop().time
        self.rows = {}
        self.watch = StoreWatch(
            self.core,
            table,
            {TABLE_ENDPOINTS: STALENESS_BOUND_S},
            lambda: rank,
            lambda update: send_update(self, update),
        )
        self.watch.on_row = self._apply_row

    def _apply_row(self, change) -> None:
        name = change.key.partition("/")[2]
        if change.value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = change.value["state"]


class Fleet:
    """A store and the daemons that replicate it."""

    def __init__(self, store: MetadataStore) -> None:
        self.store = store
        self.daemons: list[FollowingDaemon] = []

    def send_update(self, sender, update) -> None:
        loop = asyncio.get_running_loop()
        for daemon in self.daemons:
            if daemon is not sender:
                take = daemon.watch.apply_update
                loop.call_later(LINK_DELAY_S, take, update, sender.core.daemon_id)

    def put(self, name, state) -> None:
        self.store.put(WIRE_TABLE, name, {"state": state})

    def expected(self):
        return {key: row for (_, key), row in self.store.rows.items()}

    async def async_until(self, check) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not all(check(daemon.rows) for daemon in self.daemons):
                await asyncio.sleep(0.02)


@asynccontextmanager
async def async_fleet():
    store = MetadataStore()
    app = web.Application()
    store.add_routes(app)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    settings = PlatformSection(url=f"http://127.0.0.1:{port}", key="none")
    fleet = Fleet(store)
    async with aiohttp.ClientSession() as session:
        for rank in range(DAEMONS):
            table = async_setup_store(session, settings)
            fleet.daemons.append(FollowingDaemon(rank, table, fleet.send_update))
        fleet.put("e0", "ready")
        for daemon in fleet.daemons:
            await daemon.watch.start()
        await fleet.async_until(lambda rows: rows == {"e0": "ready"})
        try:
            yield fleet
        finally:
            for daemon in fleet.daemons:
                await daemon.watch.stop()
            await runner.cleanup()


async def async_restore_older(fleet: Fleet, lost_rows: int) -> None:
    """Take a backup, write more rows, and restore the store from the backup."""
    backup = fleet.store.snapshot()
    for number in range(lost_rows):
        fleet.put(f"lost{number}", "ready")
    names = {"e0", *(f"lost{number}" for number in range(lost_rows))}
    await fleet.async_until(lambda rows: names <= rows.keys())
    fleet.store.restore(backup)


@pytest.mark.parametrize("lost_rows", [2, 20])
def test_change_after_restore_is_propagated(lost_rows):
    """Reads were dropped until the store reached the version it had before."""

    async def async_test():
        async with async_fleet() as fleet:
            await async_restore_older(fleet, lost_rows)
            await asyncio.sleep(0.3)
            fleet.put("e0", "draining")
            await fleet.async_until(lambda rows: rows == {"e0": "draining"})

    asyncio.run(async_test())


def test_changes_with_reused_versions_are_propagated():
    """Reading changes after a version of the old era missed earlier ones of the new."""

    async def async_test():
        async with async_fleet() as fleet:
            backup = fleet.store.snapshot()
            fleet.put("e1", "ready")
            fleet.put("e2", "ready")
            await fleet.async_until(lambda rows: len(rows) == 3)
            fleet.store.restore(backup)
            # Written before any daemon reads, so that the versions are in use again.
            fleet.put("e0", "draining")
            fleet.put("e1", "draining")
            fleet.put("e3", "ready")
            expected = {"e0": "draining", "e1": "draining", "e3": "ready"}
            await fleet.async_until(lambda rows: rows == expected)

    asyncio.run(async_test())


def test_restored_store_is_not_polled_without_pause():
    """A read that could not be applied was repeated at once."""

    async def async_test():
        async with async_fleet() as fleet:
            await async_restore_older(fleet, 20)
            calls = fleet.store.calls
            started_s = asyncio.get_running_loop().time()
            await asyncio.sleep(1.0)
            took_s = asyncio.get_running_loop().time() - started_s
            # A read with lost history takes two calls.
            periods = 1 + took_s / (MIN_INTERVAL_SHARE * STALENESS_BOUND_S)
            assert fleet.store.calls - calls <= 2 * DAEMONS * periods

    asyncio.run(async_test())
