"""What is believed of endpoints: rows of other writers, and restarts under one id."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.news import EndpointPlacement, PlacementNews
from chutelink.entry.state import EntryState
from chutelink.platform.adapter import PreparedMachines
from chutelink.quarantine.service import Quarantine
from chutelink.watching.followed import RowChange

from ..fakes import make_core
from .test_newsdesk import Desk

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
FOREIGN = [
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


class Believer:
    """What one daemon believes."""

    def __init__(self):
        self.core = make_core()
        self.core.daemon.peer_key = "key"
        self.quarantine = Quarantine(self.core)
        self.known = EntryState(self.core, PreparedMachines(), self.quarantine)

    def show(self, name, value):
        self.known.take_row(RowChange(f"endpoints/{name}", value))

    def usable(self):
        rows = self.known.endpoints.of_service("s", self.core.clock())
        return {row.record.id for row in rows}


@pytest.mark.parametrize("value", FOREIGN)
def test_a_row_of_another_writer_names_no_endpoint_and_the_others_hold(value):
    """Requests were still sent to what the row had named before."""
    believer = Believer()
    believer.show("i-1", ROW)
    believer.show("i-2", ROW)
    believer.show("i-1", value)
    assert believer.usable() == {"i-2"}
    believer.show("i-1", ROW)
    assert believer.usable() == {"i-1", "i-2"}


def test_an_endpoint_that_starts_again_under_its_id_knows_nothing_of_before():
    believer = Believer()
    believer.show("i-1", ROW)
    row = believer.known.endpoints.rows["i-1"]
    row.take_models(57, {"m7": frozenset()})
    believer.known.health.note_unreachable("i-1", believer.core.clock())
    believer.show("i-1", ROW | {"born": 2000, "models": []})
    row = believer.known.endpoints.rows["i-1"]
    assert not row.holds("m7")
    assert believer.known.health.is_reachable("i-1", believer.core.clock())
    # Its count of orders begins anew, and is not taken for an old one.
    row.take_models(1, {"m1": frozenset()})
    assert row.holds("m1")


def test_a_row_of_the_process_before_changes_nothing():
    believer = Believer()
    believer.show("i-1", ROW | {"born": 2000, "models": []})
    believer.show("i-1", ROW)
    assert believer.known.endpoints.rows["i-1"].record.born_ms == 2000


def test_placement_of_the_process_before_is_not_taken_for_the_new_ones():
    async def async_test():
        desk = Desk()
        believer = Believer()
        believer.show("i-1", ROW | {"born": 2000, "models": []})
        desk.desk._known = believer.known
        old = EndpointPlacement("i-1", 57, {"m7": []}, 1000)
        desk.take(PlacementNews("d2", 1, [old], []))
        row = believer.known.endpoints.rows["i-1"]
        assert not row.holds("m7")
        new = EndpointPlacement("i-1", 1, {"m1": []}, 2000)
        desk.take(PlacementNews("d2", 1, [new], []))
        assert row.holds("m1")

    asyncio.run(async_test())


def test_placement_of_a_process_that_has_not_registered_yet_counts():
    async def async_test():
        desk = Desk()
        believer = Believer()
        believer.show("i-1", ROW)
        desk.desk._known = believer.known
        new = EndpointPlacement("i-1", 1, {"m1": []}, 2000)
        desk.take(PlacementNews("d2", 1, [new], []))
        row = believer.known.endpoints.rows["i-1"]
        assert row.holds("m1") and not row.holds("m")

    asyncio.run(async_test())


def test_a_restart_is_told_to_the_quarantine():
    believer = Believer()
    told = []
    believer.known.endpoints.rows.clear()
    believer.quarantine.note_restarted = told.append
    believer.show("i-1", ROW)
    believer.show("i-1", ROW | {"born": 2000})
    assert told == ["i-1@1000"]


def test_a_lapsed_registration_is_told_to_the_quarantine():
    believer = Believer()
    told = []
    believer.quarantine.note_vanished = told.append
    believer.show("i-1", ROW)
    believer.show("i-2", ROW | {"state": "draining"})
    for name in ("i-1", "i-2"):
        believer.show(name, None)
    assert told == ["i-1@1000"]


def test_a_restart_that_placement_tells_first_counts_like_one_that_registers():
    believer = Believer()
    told = []
    believer.quarantine.note_restarted = told.append
    believer.show("i-1", ROW)
    believer.known.health.note_unreachable("i-1", believer.core.clock())
    believer.known.endpoints.take_models("i-1", 2000, 1, {"m1": frozenset()})
    believer.show("i-1", ROW | {"born": 2000})
    assert told == ["i-1@1000"]
    assert believer.known.health.is_reachable("i-1", believer.core.clock())
