"""Tests for the operator command that lists customers' quotas and usage."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from chutelink.cli.customers import async_customers
from chutelink.cli.output import ExitCode
from chutelink.customers.holders import HolderView
from chutelink.customers.model import Customer, Quota, QuotaUnit
from chutelink.customers.web import CustomerHandlers
from chutelink.settings import PlatformSection

from ..fakes import make_core, make_quota_manager

CUSTOMER = Customer("acme", ("h",), quota=Quota(QuotaUnit.TOKENS, 1000.0, 1000.0))


async def async_serve(name: str, manager) -> tuple[str, web.AppRunner]:
    app = web.Application()
    CustomerHandlers(manager, name, "key").add_routes(app)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return f"127.0.0.1:{site._server.sockets[0].getsockname()[1]}", runner


def test_usage_is_listed_per_daemon_and_in_total():
    async def async_test():
        names = frozenset({"d1", "d2"})
        daemons, runners = [], []
        for name in sorted(names):
            core = make_core(name)
            manager = make_quota_manager(core)
            manager.update_holder_view(HolderView(name, names))
            manager.sync({})
            manager.sync({"acme": CUSTOMER})
            await manager.async_admit(CUSTOMER, 300)
            await manager.async_admit(CUSTOMER, 5000)
            daemon, runner = await async_serve(name, manager)
            daemons.append(daemon)
            runners.append(runner)
        async with aiohttp.ClientSession() as session:
            settings = PlatformSection(url="http://x", key="key")
            stranger = PlatformSection(url="http://x", key="other")
            refused = await async_customers(session, stranger, daemons)
            assert refused.code is ExitCode.INVALID
            shown = await async_customers(session, settings, daemons)
        assert shown.code is ExitCode.OK
        rows = [line.split() for line in shown.lines[1:]]
        assert [row[1] for row in rows] == ["d1", "d2", "all"]
        assert rows[-1][2:5] == ["1000", "tokens", "1.000"]
        assert rows[-1][6:] == ["2", "(600)", "2", "(10000)"]
        for runner in runners:
            await runner.cleanup()

    asyncio.run(async_test())
