"""Streams of a version that joins and leaves around the loss of all daemons."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from enum import Enum

import msgspec
import pytest

from chutelink.const import TABLE_MEMBERS, TABLE_ORIGINS

from .platform_in_loop import PlatformInLoop, async_platform_in_loop
from .releases import Release, async_start_releases, check_releases, share_complete

DAEMONS = 3
ALL = list(range(DAEMONS))
STREAMS = 6
SETTLED_S = 3.0
"""Time after a start in which daemons learn which versions served before."""
RESUME_PERIOD_S = 0.5
RESUMED_S = 4.0
"""Longer than daemons that have started wait for each other's history."""


class Refused(Enum):
    """When the store refuses the daemons' calls about versions and streams."""

    NEVER = "never"
    DURING_RELEASE = "during_release"
    ALWAYS = "always"


def set_refusing(fleet: PlatformInLoop, *, is_refusing: bool) -> None:
    """Let the store refuse calls of the table of origins, or answer them again."""
    store = fleet.machines.store
    tables = (TABLE_ORIGINS,) if is_refusing else ()
    store.faults = msgspec.structs.replace(store.faults, out_tables=tables)


async def async_lose_new_version(fleet: PlatformInLoop, release: Release) -> None:
    """Let a version begin streams and leave, and kill all daemons."""
    await release.async_join()
    await release.async_begin("new", STREAMS, ALL)
    await release.async_take_back(0.0)
    kill_all(fleet)


def kill_all(fleet: PlatformInLoop) -> None:
    for number in ALL:
        fleet.processes[f"vm-{number}"].kill()


async def async_restart_all(fleet: PlatformInLoop) -> None:
    """Kill all daemons, and wait until their successors serve."""
    kill_all(fleet)
    for number in ALL:
        fleet.start_daemon(number)
    await fleet.async_until_all_listed(ALL)


async def async_resume_for_a_while(release: Release) -> None:
    """Resume all streams again and again, each time at other daemons."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RESUMED_S
    turn = 0
    while loop.time() < end_s:
        await asyncio.gather(
            *(
                release.async_resume(release.all_broken[n::DAEMONS], (n + turn) % 3)
                for n in ALL
            )
        )
        turn += 1
        await asyncio.sleep(RESUME_PERIOD_S)


@asynccontextmanager
async def async_release(tmp_path, refused: Refused):
    """Run a fleet with a release of one endpoint that hasn't joined yet."""
    async with async_platform_in_loop(tmp_path, [], DAEMONS) as fleet:
        set_refusing(fleet, is_refusing=refused is Refused.ALWAYS)
        release = Release(fleet, "llm-released")
        await async_start_releases(fleet, [release], ALL)
        await asyncio.sleep(SETTLED_S)
        yield fleet, release
        check_releases([release])


@pytest.mark.parametrize("refused", list(Refused), ids=lambda refused: refused.value)
def test_stream_of_version_that_was_not_stored_is_not_mixed(tmp_path, refused):
    """Guards against a stored history that lacks the latest version."""

    async def async_test():
        async with async_release(tmp_path, refused) as (fleet, release):
            set_refusing(fleet, is_refusing=refused is not Refused.NEVER)
            await async_lose_new_version(fleet, release)
            set_refusing(fleet, is_refusing=False)
            await async_restart_all(fleet)
            await async_resume_for_a_while(release)

    asyncio.run(async_test())


def test_new_daemon_does_not_complete_the_history_of_those_that_served_before(
    tmp_path,
):
    """Guards against one daemon with a new id that takes the fleet for a first one."""

    async def async_test():
        async with async_release(tmp_path, Refused.ALWAYS) as (fleet, release):
            await async_lose_new_version(fleet, release)
            set_refusing(fleet, is_refusing=False)
            store = fleet.machines.store
            # The first daemon has no registration, as one that replaces a lost VM.
            keys = [key for table, key in store.rows if table == TABLE_MEMBERS]
            store.remove(TABLE_MEMBERS, min(keys))
            store.forget_history()
            await async_restart_all(fleet)
            await async_resume_for_a_while(release)

    asyncio.run(async_test())


def test_streams_of_the_only_version_go_on_after_the_loss_of_all_daemons(tmp_path):
    """Guards against a history that is never complete after a loss of all daemons."""

    async def async_test():
        async with async_release(tmp_path, Refused.NEVER) as (fleet, release):
            await release.async_break_some("only", ALL)
            await async_restart_all(fleet)
            await async_resume_for_a_while(release)
            assert share_complete(release.broken_old) >= 0.5

    asyncio.run(async_test())


def test_new_streams_are_served_while_the_version_cannot_be_stored(tmp_path):
    """Guards against a release that waits for the store."""

    async def async_test():
        async with async_release(tmp_path, Refused.NEVER) as (fleet, release):
            set_refusing(fleet, is_refusing=True)
            await release.async_join()
            await release.async_begin("new", STREAMS, ALL)
            await asyncio.gather(*(release.async_send(n) for n in ALL))
            release.check_others()

    asyncio.run(async_test())
