"""What keeps the stored versions provable while daemons or the store are disturbed."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from chutelink.origins.const import COVERAGE_PERIOD_S, RETENTION_S, SAVERS

from ..fakes import FakeTable
from ..virtual_time import run_in_virtual_time
from .test_persistence import Daemon, advance, start
from .version_world import World

DAEMONS = 8
HISTORY_S = 20
"""How long the store keeps changes."""


async def async_churn(world, seconds):
    """Let endpoints of the only version come and go, and old changes be discarded."""
    versions = []
    for second in range(seconds):
        world.join(f"x-{second}", "v1")
        world.stop_process(f"x-{second - 3}")
        versions.append(world.note_changes())
        await asyncio.sleep(1.0)
    world.compacted = versions[-min(HISTORY_S, seconds)]


@pytest.mark.parametrize("cut", range(SAVERS + 1))
def test_streams_go_on_though_the_savers_do_not_reach_the_store(cut):
    """Guards against a row without confirmation, though most daemons could give it."""

    async def async_test():
        world = World(asyncio.get_running_loop(), DAEMONS, versions=("v1",) * 4)
        await world.async_settle()
        for number in range(cut):
            world.daemons[f"d{number}"].reaches_store = False
        await async_churn(world, HISTORY_S + 10)
        streams = [await world.async_begin(f"d{n % DAEMONS}") for n in range(40)]
        for name in list(world.daemons):
            world.kill(name)
        await asyncio.sleep(3.0)
        for stream, name in zip(streams, itertools.cycle(world.daemons)):
            await world.async_resume(name, stream)
        assert world.went_on >= 20

    run_in_virtual_time(async_test())


def test_streams_go_on_after_the_store_was_out_and_discarded_its_history():
    """Guards against daemons of one fleet that all take their history for partial."""

    async def async_test():
        world = World(asyncio.get_running_loop(), 30, versions=("v1",) * 4)
        await asyncio.sleep(RETENTION_S + 5.0)
        streams = [await world.async_begin(f"d{n}") for n in range(30)]
        for daemon in world.daemons.values():
            daemon.reaches_store = False
        await asyncio.sleep(3.0)
        world.join("i-9", "v1")
        world.compacted = world.note_changes()
        for daemon in world.daemons.values():
            daemon.reaches_store = True
        await asyncio.sleep(3.0)
        for number, stream in enumerate(streams):
            await world.async_resume(f"d{(number + 7) % 30}", stream)
        assert world.went_on >= 15

    run_in_virtual_time(async_test())


@pytest.mark.parametrize("has_served", [False, True])
def test_row_is_confirmed_while_no_endpoint_is_registered(has_served):
    """Guards against refusals after a restart of a fleet that had no endpoints."""
    table = FakeTable()
    daemon = start(table, *(["v1"] if has_served else []))
    daemon.is_first_start = True
    daemon.save()
    if has_served:
        daemon.versions.remove("llm", "v1")
    for _ in range(60):
        advance(table)
        daemon.save(COVERAGE_PERIOD_S)
    again = Daemon(table)
    again.registrations.lost_version = table.table.version - 4
    again.load()
    assert again.manager.has_full_history
