"""Tests of the endpoint state: invalid rows, and restarts under the same id."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.messages import (
    EndpointPlacement,
    PlacementUpdate,
    StoredRow,
    StoreUpdate,
)
from chutelink.entry.state import EntryState
from chutelink.platform.adapter import PreparedMachinesAdapter
from chutelink.quarantine.service import Quarantine
from chutelink.watching.table_state import RowChange
from chutelink.watching.watch import StoreWatch

from ..fakes import make_core
from .test_message_router import RouterHarness

ROW = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
    "born": 1000,
}
INVALID_VALUES = [
    {"service": "s"},
    {name: value for name, value in ROW.items() if name != "zone"},
    {name: value for name, value in ROW.items() if name != "address"},
    ROW | {"address": ""},
    ROW | {"address": "nonsense"},
    ROW | {"address": "10.0.0.1:99999"},
    ROW | {"slots": -3},
    ROW | {"slots": "64"},
    ROW | {"state": "sleeping"},
    ROW | {"service": ""},
    ROW | {"models": "m"},
    ROW | {"born": "yesterday"},
    ROW | {"born": 10.5},
    "x",
    7,
    [],
]


class StateHarness:
    """State of one daemon, with its dependencies."""

    def __init__(self):
        self.core = make_core()
        self.core.daemon.peer_key = "key"
        self.quarantine = Quarantine(self.core)
        self.known = EntryState(self.core, PreparedMachinesAdapter(), self.quarantine)

    def apply_row(self, name, value):
        self.known.apply_row(RowChange(f"endpoints/{name}", value))

    def usable(self):
        rows = self.known.endpoints.of_service("s", self.core.clock())
        return {row.record.id for row in rows}


@pytest.mark.parametrize("value", INVALID_VALUES)
def test_invalid_row_removes_its_endpoint_and_keeps_the_others(value):
    """Otherwise, requests are still sent to the endpoint of the previous row."""
    harness = StateHarness()
    harness.apply_row("i-1", ROW)
    harness.apply_row("i-2", ROW)
    harness.apply_row("i-1", value)
    assert harness.usable() == {"i-2"}
    harness.apply_row("i-1", ROW)
    assert harness.usable() == {"i-1", "i-2"}


def test_restarted_endpoint_keeps_no_state_of_its_previous_process():
    harness = StateHarness()
    harness.apply_row("i-1", ROW)
    row = harness.known.endpoints.rows["i-1"]
    row.update_models(57, {"m7": frozenset()})
    harness.known.health.note_unreachable("i-1", harness.core.clock())
    harness.apply_row("i-1", ROW | {"born": 2000, "models": []})
    row = harness.known.endpoints.rows["i-1"]
    assert not row.holds("m7")
    assert harness.known.health.is_reachable("i-1", harness.core.clock())
    # The order sequence starts again and must not be treated as outdated.
    row.update_models(1, {"m1": frozenset()})
    assert row.holds("m1")


def test_row_of_a_previous_process_is_ignored():
    harness = StateHarness()
    harness.apply_row("i-1", ROW | {"born": 2000, "models": []})
    harness.apply_row("i-1", ROW)
    assert harness.known.endpoints.rows["i-1"].record.born_ms == 2000


def test_placement_of_a_previous_process_is_ignored():
    async def async_test():
        router_harness = RouterHarness()
        harness = StateHarness()
        harness.apply_row("i-1", ROW | {"born": 2000, "models": []})
        router_harness.router._known = harness.known
        old = EndpointPlacement("i-1", 57, {"m7": []}, 1000)
        router_harness.deliver(PlacementUpdate("d2", 1, [old], []))
        row = harness.known.endpoints.rows["i-1"]
        assert not row.holds("m7")
        new = EndpointPlacement("i-1", 1, {"m1": []}, 2000)
        router_harness.deliver(PlacementUpdate("d2", 1, [new], []))
        assert row.holds("m1")

    asyncio.run(async_test())


def test_placement_of_a_process_that_has_not_registered_yet_is_applied():
    async def async_test():
        router_harness = RouterHarness()
        harness = StateHarness()
        harness.apply_row("i-1", ROW)
        router_harness.router._known = harness.known
        new = EndpointPlacement("i-1", 1, {"m1": []}, 2000)
        router_harness.deliver(PlacementUpdate("d2", 1, [new], []))
        row = harness.known.endpoints.rows["i-1"]
        assert row.holds("m1") and not row.holds("m")

    asyncio.run(async_test())


def test_restart_notifies_the_quarantine():
    harness = StateHarness()
    notified = []
    harness.known.endpoints.rows.clear()
    harness.quarantine.note_restarted = notified.append
    harness.apply_row("i-1", ROW)
    harness.apply_row("i-1", ROW | {"born": 2000})
    assert notified == ["i-1@1000"]


def test_lapsed_registration_notifies_the_quarantine():
    harness = StateHarness()
    notified = []
    harness.quarantine.note_registration_lapsed = notified.append
    harness.apply_row("i-1", ROW)
    harness.apply_row("i-2", ROW | {"state": "draining"})
    for name in ("i-1", "i-2"):
        harness.apply_row(name, None)
    assert notified == ["i-1@1000"]


def test_restart_announced_by_a_placement_resets_state_like_a_registration():
    harness = StateHarness()
    notified = []
    harness.quarantine.note_restarted = notified.append
    harness.apply_row("i-1", ROW)
    harness.known.health.note_unreachable("i-1", harness.core.clock())
    harness.known.endpoints.update_models("i-1", 2000, 1, {"m1": frozenset()})
    harness.apply_row("i-1", ROW | {"born": 2000})
    assert notified == ["i-1@1000"]
    assert harness.known.health.is_reachable("i-1", harness.core.clock())


def test_version_of_an_endpoint_that_came_and_left_between_two_reads_is_kept():
    harness = StateHarness()
    watch = StoreWatch(harness.core, None, {"endpoints": 2.0}, lambda: 1, print)
    watch.on_row = harness.known.apply_row
    watch.on_superseded = harness.known.note_superseded_row
    watch.apply_update(StoreUpdate("endpoints", 0, 1, 1.0), "d2")
    came = StoredRow("endpoints/i-9", 2, ROW | {"version": "v2"})
    left = StoredRow("endpoints/i-9", 3, None)
    watch.apply_update(StoreUpdate("endpoints", 1, 3, 1.4, [came, left]), "d2")
    assert not harness.known.endpoints.rows
    versions = harness.known.endpoints.versions
    assert versions.versions("s", harness.core.now_s) == {"v2"}


def test_version_of_a_process_that_the_placer_says_was_replaced_is_kept():
    harness = StateHarness()
    harness.apply_row("i-1", ROW)
    harness.known.endpoints.update_models("i-1", 3000, 1, {})
    harness.apply_row("i-1", ROW | {"born": 2000, "version": "v2"})
    versions = harness.known.endpoints.versions
    assert "v2" in versions.versions("s", harness.core.now_s)
