"""Daemons that start after the loss of others, with peers that know less."""

from __future__ import annotations

import asyncio
import itertools

from chutelink.origins.const import RETENTION_S

from ..virtual_time import run_in_virtual_time
from .version_world import UPDATE_DELAY_S, Daemon, World

DAEMONS = 8
ONE_VERSION = ("v1",) * 4


async def async_serve_new_version(world, names):
    """Let a version join, begin streams and leave; return its streams."""
    world.join("i-9", "v2")
    await asyncio.sleep(2 * UPDATE_DELAY_S)
    streams = [
        await world.async_begin(name)
        for name in itertools.islice(itertools.cycle(names), 40)
    ]
    world.stop_process("i-9")
    await asyncio.sleep(2 * UPDATE_DELAY_S)
    return [stream for stream in streams if stream.versions == {"v2"}]


def test_history_of_a_peer_with_older_registrations_is_not_complete():
    """Guards against a peer that was cut off while a version came and left."""

    async def async_test():
        world = World(asyncio.get_running_loop(), DAEMONS, versions=ONE_VERSION)
        await asyncio.sleep(RETENTION_S + 1.0)
        world.cut("d7", set(), reaches_store=False)
        others = [name for name in world.daemons if name != "d7"]
        streams = await async_serve_new_version(world, others)
        world.compacted = world.note_changes()
        world.store.is_out = True
        for name in others:
            world.kill(name)
        await asyncio.sleep(0.05)
        world.cut("d7", set(others), reaches_store=False)
        for delay_s in (0.1, 0.1, 1.0, 2.0):
            await asyncio.sleep(delay_s)
            for stream, name in zip(streams, itertools.cycle(others)):
                await world.async_resume(name, stream)
        assert streams
        assert all(stream.versions == {"v2"} for stream in streams)

    run_in_virtual_time(async_test())


def test_daemon_that_was_cut_off_from_its_start_on_has_not_seen_all_versions():
    """Guards against a history that is complete by age, before the first read."""

    async def async_test():
        world = World(asyncio.get_running_loop(), DAEMONS, versions=ONE_VERSION)
        await world.async_settle()
        world.daemons["d0"] = daemon = Daemon(world, "d0")
        world.cut("d0", set(), reaches_store=False)
        daemon.start()
        await asyncio.sleep(RETENTION_S - 10.0)
        streams = await async_serve_new_version(world, ["d1", "d2"])
        await asyncio.sleep(10.0)
        world.heal("d0")
        daemon.read_endpoints()
        for stream in streams:
            await world.async_resume("d0", stream)
        assert streams
        assert all(stream.versions == {"v2"} for stream in streams)

    run_in_virtual_time(async_test())
