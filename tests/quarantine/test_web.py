"""Tests for the operator command that lists and releases held requests."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from chutelink.cli.held import async_held
from chutelink.cli.output import ExitCode
from chutelink.ids import EndpointId, Fingerprint
from chutelink.quarantine.const import ENDINGS_TO_HOLD
from chutelink.quarantine.messages import ClearedMessage, EndedRun, EndingsMessage
from chutelink.quarantine.model import Ending, Verdict
from chutelink.quarantine.service import Quarantine
from chutelink.quarantine.web import QuarantineHandlers
from chutelink.settings import PlatformSection

from ..fakes import make_core

BAD = Fingerprint("bad")


def test_held_request_is_listed_with_its_endings_and_released():
    async def async_test():
        core = make_core()
        quarantine = Quarantine(core)
        sent = []
        quarantine.send = sent.append
        runs = [
            EndedRun(BAD, "GET a/b", Ending(EndpointId(f"i-{n}"), 1))
            for n in range(ENDINGS_TO_HOLD)
        ]
        quarantine.apply_endings(EndingsMessage(runs), "d2")
        app = web.Application()
        QuarantineHandlers(quarantine, "key").add_routes(app)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        daemon = f"127.0.0.1:{site._server.sockets[0].getsockname()[1]}"
        async with aiohttp.ClientSession() as session:
            settings = PlatformSection(url="http://x", key="key")
            stranger = PlatformSection(url="http://x", key="other")
            refused = await async_held(session, stranger, daemon, BAD)
            assert refused.code is ExitCode.INVALID
            assert quarantine.verdict(BAD) is Verdict.HELD
            shown = await async_held(session, settings, daemon, None)
            assert (
                "GET a/b" in shown.lines[1]
                and "i-0@1+1,i-1@1+1,i-2@1+1" in shown.lines[1]
            )
            freed = await async_held(session, settings, daemon, BAD)
            assert freed.code is ExitCode.OK
            assert quarantine.verdict(BAD) is Verdict.FREE
            assert sent == [ClearedMessage(BAD)]
            again = await async_held(session, settings, daemon, BAD)
            assert again.code is ExitCode.INVALID
        await runner.cleanup()

    asyncio.run(async_test())
