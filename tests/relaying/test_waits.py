"""Waits that end when the daemon stops."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from chutelink.entry.shutdown import Drain
from chutelink.gateway.refusals import Refusal
from chutelink.relaying.waits import StoppableWaits

from ..fakes import make_core


def test_waits_that_are_ending_may_be_ended_again():
    """RuntimeError ended the drain if the clean-up of a refused wait still ran."""

    async def async_test():
        core = make_core()
        core.clock = asyncio.get_running_loop().time
        drain = Drain(core)
        waits = StoppableWaits(drain)
        deadline_s = core.clock() + 10.0
        exchange = SimpleNamespace(may_have_run=False, deadline_s=deadline_s)
        is_cleaning_up, may_end = asyncio.Event(), asyncio.Event()

        async def async_wait():
            async with waits.async_refuse_at_stop(exchange):
                try:
                    await asyncio.sleep(10.0)
                finally:
                    is_cleaning_up.set()
                    await may_end.wait()

        task = asyncio.ensure_future(async_wait())
        await asyncio.sleep(0)
        drain.deadline_s = deadline_s - 5.0
        waits.refuse_unfinishable()
        await asyncio.wait_for(is_cleaning_up.wait(), 1.0)
        waits.stop()
        may_end.set()
        with pytest.raises(Refusal):
            await task

    asyncio.run(async_test())
