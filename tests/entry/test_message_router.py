"""Tests of placer messages that arrive in any order."""

from __future__ import annotations

import math
from types import SimpleNamespace

import cbor2
import pytest

from chutelink.entry.demand import DemandTable
from chutelink.entry.endpoints import PLACER_TIMEOUT_S, EndpointTable
from chutelink.entry.message_router import MessageRouter
from chutelink.entry.messages import (
    PendingLoad,
    PlacementUpdate,
    PlacerHeartbeat,
    encode_entry_message,
)
from chutelink.entry.pending import PendingTable
from chutelink.peers.messages import Broadcast
from chutelink.peers.packing import pack
from chutelink.quarantine.service import Quarantine
from chutelink.relaying.retry_budget import RetryBudgetShare
from chutelink.relaying.version_gate import VersionGate
from chutelink.watching.table_state import TableFreshness

from ..fakes import make_core, make_quota_manager
from ..watching.test_watch import DaemonUnderTest, ScriptedTable

LOAD = PendingLoad("i-1", "m1", "", 4.0)


class RouterHarness:
    def __init__(self):
        self.core = make_core("d3")
        self.pending = PendingTable()
        self.mesh = SimpleNamespace(direct_peers=set())
        known = SimpleNamespace(endpoints=EndpointTable())
        directory = SimpleNamespace(serving=list)
        self.router = MessageRouter(
            self.core,
            self.mesh,
            directory,
            known,
            DemandTable(),
            self.pending,
            RetryBudgetShare(0.2, 50, 10.0),
            Quarantine(self.core),
            make_quota_manager(self.core),
        )
        self.holders = []
        self.endpoints = known.endpoints
        self.router.watch = SimpleNamespace(max_age_s=lambda sent: math.inf)
        self.router.lease = SimpleNamespace(
            note_holder=lambda daemon, term: self.holders.append((daemon, term))
        )

    def deliver(self, message):
        body = encode_entry_message(message)
        self.router.handle_broadcast(Broadcast(message.daemon, "boot", 1, body))


@pytest.fixture
def harness():
    return RouterHarness()


def test_late_messages_of_a_previous_placer_are_ignored(harness):
    """It froze after writing its last message, which arrives when it resumes."""
    harness.deliver(PlacementUpdate("d2", 2, [], [LOAD]))
    harness.core.now_s += 0.5
    harness.deliver(PlacementUpdate("d1", 1, [], []))
    harness.deliver(PlacerHeartbeat("d1", 1))
    assert harness.pending.ready_s("m1", "", harness.core.now_s) is not None
    assert harness.mesh.direct_peers == {"d2"}
    assert harness.holders == [("d2", 2)]


def test_placer_of_a_lower_term_is_accepted_after_the_placer_timeout(harness):
    """The lease row was lost, so terms started again."""
    harness.deliver(PlacerHeartbeat("d2", 7))
    harness.core.now_s += PLACER_TIMEOUT_S + 0.1
    harness.deliver(PlacerHeartbeat("d1", 1))
    assert harness.mesh.direct_peers == {"d1"}


@pytest.mark.parametrize(("waited_s", "is_informed"), [(0.1, True), (3.0, False)])
def test_message_of_the_placer_that_waited_during_a_standstill_is_no_news(
    harness, waited_s, is_informed
):
    table = ScriptedTable()
    table.put("t/a", 1)
    daemon = DaemonUnderTest(table)
    daemon.refresh()
    harness.core.clock = daemon.core.clock
    harness.router.watch = daemon.watch
    body = pack(cbor2.dumps(["placer", "d1", 1, [table.now_s, table.era]]))
    table.now_s += waited_s
    harness.router.handle_broadcast(Broadcast("d1", "boot", 1, body))
    gate = VersionGate(
        harness.core, harness.endpoints, None, lambda: TableFreshness(1, 30.0), None
    )
    assert gate._is_informed() is is_informed


def test_placer_that_does_not_say_when_its_message_was_sent_is_no_news(harness):
    harness.deliver(PlacerHeartbeat("d2", 7))
    gate = VersionGate(
        harness.core, harness.endpoints, None, lambda: TableFreshness(1, 30.0), None
    )
    assert not gate._is_informed()
