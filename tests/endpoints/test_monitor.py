"""Tests that the default settings detect endpoint changes quickly enough."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from chutelink.endpoints.monitor import VM_LIST_INTERVAL_S, EndpointMonitor
from chutelink.settings import EndpointsSection, PlatformSection
from chutelink.tables.endpoints import EndpointTable

from ..fakes import make_core
from ..virtual_time import run_in_virtual_time

LEAVING_BOUND_S = 3.0
OPA_ENGINES = 9
"""Number of engines in ``examples/opa.ini``."""
OPA_REPORT_BYTES = 359 + 300
"""Size of a compressed report of 15 artifacts, plus its headers."""


def make_monitor(endpoints):
    monitor = EndpointMonitor(
        make_core(),
        SimpleNamespace(),
        SimpleNamespace(),
        EndpointTable(),
        EndpointsSection(),
    )
    monitor._pollers = dict.fromkeys(range(endpoints))
    return monitor


def test_vm_list_is_read_within_bound():
    platform = PlatformSection(url="http://x", key="k")
    assert VM_LIST_INTERVAL_S + platform.timeout_s <= LEAVING_BOUND_S


def test_opa_engines_are_polled_every_second_within_budget():
    monitor = make_monitor(OPA_ENGINES)
    monitor._mean_bytes = OPA_REPORT_BYTES
    assert monitor.interval_s() <= 1.0


@pytest.mark.parametrize("endpoints", [1, 9, 100, 670])
def test_polls_stay_within_budget(endpoints):
    monitor = make_monitor(endpoints)
    sent_bytes_s = endpoints * monitor._mean_bytes / monitor.interval_s()
    assert sent_bytes_s <= EndpointsSection().poll_budget_bytes_s * 1.0001


def test_concurrent_refreshes_share_one_round_of_polls():
    async def async_test():
        monitor = make_monitor(3)
        loop = asyncio.get_running_loop()
        monitor._core.clock = loop.time
        polled_s = []

        async def async_poll(name):
            polled_s.append(loop.time())
            await asyncio.sleep(0.01)

        monitor.async_poll = async_poll
        calls = [monitor.async_refresh(1.0) for _ in range(20)]
        await asyncio.gather(*calls)
        assert len(polled_s) == 3
        await monitor.async_refresh(0.0)
        assert len(polled_s) == 3
        await monitor.async_refresh(1.0)
        assert len(polled_s) == 6
        assert polled_s[3] - polled_s[0] >= monitor.interval_s()

    run_in_virtual_time(async_test())


def test_requested_report_is_polled_immediately():
    async def async_test():
        monitor = make_monitor(0)
        loop = asyncio.get_running_loop()
        monitor._core.clock = loop.time
        polled_s = []

        async def async_poll(name):
            polled_s.append(loop.time())

        monitor.async_poll = async_poll
        monitor._table.rows["e"] = None
        monitor.interval_s = lambda: 60.0
        monitor._table.note_departures = lambda leaving, drained: None
        monitor.sync(frozenset())
        await asyncio.sleep(61.0)
        polls_before = len(polled_s)
        monitor.request_report("e")
        await asyncio.sleep(0.01)
        assert len(polled_s) == polls_before + 1
        await monitor.on_stop()

    run_in_virtual_time(async_test())
