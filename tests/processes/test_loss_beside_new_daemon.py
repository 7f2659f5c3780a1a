"""Streams of a version that was never stored, when a new daemon joins the others."""

from __future__ import annotations

import asyncio

from chutelink.const import TABLE_MEMBERS

from .releases import check_releases
from .test_loss_of_all_daemons import (
    ALL,
    STREAMS,
    Refused,
    async_release,
    async_restart_all,
    async_resume_for_a_while,
    set_refusing,
)


def test_new_daemon_does_not_complete_the_history_of_those_that_served_before(
    tmp_path,
):
    """Guards against one daemon with a new id that takes the fleet for a first one."""

    async def async_test():
        async with async_release(tmp_path, Refused.ALWAYS) as (fleet, release):
            await release.async_join()
            await release.async_begin("new", STREAMS, ALL)
            await release.async_take_back(0.0)
            for number in ALL:
                fleet.processes[f"vm-{number}"].kill()
            set_refusing(fleet, is_refusing=False)
            store = fleet.machines.store
            # The first daemon has no registration, as one that replaces a lost VM.
            keys = [key for table, key in store.rows if table == TABLE_MEMBERS]
            store.remove(TABLE_MEMBERS, min(keys))
            store.forget_history()
            await async_restart_all(fleet)
            await async_resume_for_a_while(release)
            check_releases([release])

    asyncio.run(async_test())
