"""A tick of the placer uses a single configuration.

A configuration that comes into force during a tick is planned in the next one.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from chutelink.configuration import Configuration
from chutelink.director.placer import Placer
from chutelink.fleet import parse_fleet
from chutelink.ids import BootId
from chutelink.settings import DirectorSection
from chutelink.tables.endpoints import EndpointReport, EndpointTable
from chutelink.tables.ledger import LedgerRow
from chutelink.tables.state import HealthRow, StateTable

from ..fakes import FakeTable, make_core

BASE = """\
[failure_domain a]
[endpoint e]
url = http://127.0.0.1:1
failure_domain = a
vm = v
memory_mb = 100
[model m]
memory_mb = 20
"""
WITH_P = BASE + "[model p]\nmemory_mb = 20\n"


def make_configuration(version, text):
    return Configuration(version, "", text, parse_fleet(text).unwrap())


class SwitchingTable(FakeTable):
    """Calls ``on_read`` at the start of each read."""

    def __init__(self):
        super().__init__()
        self.on_read = lambda: None

    async def async_read(self, prefix, after_version=0):
        self.on_read()
        return await super().async_read(prefix, after_version)


def make_config_manager(version, text):
    config_manager = SimpleNamespace(current=make_configuration(version, text))
    switch_configuration(config_manager, version, text)
    return config_manager


def switch_configuration(config_manager, version, text):
    config_manager.current = make_configuration(version, text)
    config_manager.version = version
    config_manager.fleet = config_manager.current.fleet


def make_placer(config_manager, table):
    core = make_core()
    endpoints = EndpointTable()
    endpoints.sync(config_manager.current.fleet)
    endpoints.note_report("e", EndpointReport(BootId("b")), 1.0, 1.0)
    leases = SimpleNamespace(
        held=lambda: ["a"], check_held=lambda name, step: 0, lose=lambda name: None
    )
    state = StateTable()
    state.put_ledger("e", LedgerRow("e", 1, 100, boot_id=BootId("b")), 1)
    state.put_health("a", HealthRow(usable=("e",)), 1)
    placer = Placer(
        core,
        config_manager,
        table,
        endpoints,
        SimpleNamespace(),
        leases,
        SimpleNamespace(),
        state,
        DirectorSection(),
        lambda domain, now_s: {},
    )
    placer._held_since["a"] = 0.0
    placer._start_action = lambda spec, action: None
    return core, placer


def test_configuration_change_during_a_tick_is_planned_in_the_next_tick():
    config_manager = make_config_manager(2, WITH_P)
    table = SwitchingTable()
    core, placer = make_placer(config_manager, table)

    table.on_read = lambda: switch_configuration(config_manager, 3, BASE)
    asyncio.run(placer._async_tick())
    core.now_s += 0.25
    asyncio.run(placer._async_tick())
    assert placer.plan.assignment == {"e": {"m"}}
