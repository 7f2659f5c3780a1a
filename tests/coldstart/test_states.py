"""The cold state as learned from registrations, responses and failures."""

from __future__ import annotations

import pytest

from chutelink.coldstart.messages import ColdEndpoint
from chutelink.coldstart.model import ColdState
from chutelink.entry.state import EntryState
from chutelink.platform.adapter import PreparedMachinesAdapter
from chutelink.quarantine.service import Quarantine
from chutelink.watching.table_state import RowChange
from standins.prepared_config import make_config

from ..fakes import make_core

ROW = {
    "service": "plain",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "born": 1,
}
WARM, COLD, UNKNOWN = ColdState.WARM, ColdState.COLD, ColdState.UNKNOWN


class StatesFixture:
    """The state of one daemon, for which a service with a limit is configured."""

    def __init__(self, cold_per_s=13.0, registration=None):
        self.core = make_core()
        adapter = PreparedMachinesAdapter()
        self.known = EntryState(self.core, adapter, Quarantine(self.core))
        if registration is not None:
            self.register(**registration)
        config = make_config(1, {"llm": "llm", "plain": "plain"})
        for service in config["services"]:
            service |= {"cold_s": 3.0, "cold_per_s": cold_per_s}
        self.known.apply_row(RowChange("config/config", config))

    def register(self, is_restored=False, **changes):
        change = RowChange("endpoints/i-1", ROW | changes, is_restored=is_restored)
        self.known.apply_row(change)

    def respond(self, left_s, sent_ago_s=0.0, is_success=True):
        sent_s = self.core.now_s - sent_ago_s
        return self.known.cold.note_response(
            self.row, left_s, sent_s, is_success=is_success
        )

    @property
    def row(self):
        return self.known.endpoints.rows["i-1"]

    @property
    def state(self):
        state = self.known.cold.state(self.row)
        assert self.known.cold.is_cold(self.row) is (state is not WARM)
        return state


@pytest.fixture
def states():
    return StatesFixture()


def test_registration_makes_warm_process_cold_again_and_ends_by_itself(states):
    states.register()
    assert states.state is WARM
    states.register(cold_left_ms=2000)
    assert states.state is COLD
    states.core.now_s += 1.9
    states.known.cold.update()
    assert states.state is COLD
    states.core.now_s += 0.2
    states.known.cold.update()
    assert states.state is WARM
    states.register(cold_left_ms=2000)
    states.register()
    assert states.state is WARM


def test_endpoint_that_is_read_before_the_configuration_is_cold():
    assert StatesFixture(registration={"cold_left_ms": 2000}).state is COLD


def test_row_that_is_read_again_makes_cold_for_at_most_cold_s(states):
    states.register(cold_left_ms=60_000)
    states.core.now_s += 3.01
    assert states.state is WARM


def test_older_registration_or_response_does_not_end_cold_state(states):
    """They may have been written before the endpoint became cold."""
    states.register()
    states.respond(2.5)
    states.register(models=[])
    assert states.state is COLD
    states.core.now_s += 1.0
    states.respond(0.0, sent_ago_s=1.5)
    assert states.state is COLD
    states.respond(0.0, sent_ago_s=0.5, is_success=False)
    assert states.state is COLD
    states.respond(0.0, sent_ago_s=0.5)
    assert states.state is WARM


def test_cold_endpoint_is_announced_to_other_daemons(states):
    """They would send requests without grants until the next registration."""
    states.register()
    assert states.respond(2.5)
    assert not states.respond(2.4)
    other = StatesFixture()
    other.register()
    other.known.cold.note_peer(ColdEndpoint("i-1", 0, 2.5))
    assert other.state is WARM
    other.known.cold.note_peer(ColdEndpoint("i-1", 1, 2.5))
    assert other.state is COLD


def test_unreachable_endpoint_is_unknown_until_it_is_heard_of(states):
    """So is one whose failure domain is taken back after an evacuation."""
    states.register()
    states.known.cold.mark_unknown("zone-b")
    assert states.state is WARM
    for hear in (states.register, lambda: states.respond(0.0)):
        states.known.cold.mark_unknown("zone-a")
        assert states.state is UNKNOWN
        states.core.now_s += 0.1
        hear()
        assert states.state is WARM
        states.known.health.note_unreachable("i-1", states.core.now_s)
        assert states.state is UNKNOWN
        states.core.now_s += 0.1
        hear()
        assert states.state is WARM
    # An unchanged registration is not applied again.
    states.known.health.note_unreachable("i-1", states.core.now_s)
    states.core.now_s += 3.01
    assert states.state is WARM


def test_restart_told_by_the_placer_is_unknown_until_registered(states):
    states.register()
    states.known.endpoints.update_models("i-1", 2, 0, {})
    assert states.state is UNKNOWN
    states.register(born=2)
    assert states.state is WARM


def test_row_of_a_restored_store_does_not_show_that_a_process_is_warm(states):
    states.register(is_restored=True)
    assert states.state is UNKNOWN


def test_services_without_a_limit_are_never_cold():
    states = StatesFixture(cold_per_s=0.0)
    states.register(cold_left_ms=3000)
    states.known.cold.mark_unknown("zone-a")
    assert states.state is WARM
    assert not states.known.cold.is_cold(states.row)
