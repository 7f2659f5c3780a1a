"""Tests of holding requests after a suspension of the daemon."""

from __future__ import annotations

import math

import pytest

from chutelink.evacuation.const import freshness_bound_s
from chutelink.evacuation.suspension import MAX_HOLD_S, SuspensionGate
from chutelink.watching.table_state import TableFreshness

from ..fakes import make_core


class GateHarness:
    """A gate whose copy of the table was last read 60 s ago."""

    def __init__(self):
        self.core = make_core()
        self.knowledge = TableFreshness(7, 60.0)
        self.is_failing = False
        self.gate = SuspensionGate(
            self.core, lambda: self.knowledge, lambda: self.is_failing, 4.0
        )


@pytest.fixture
def harness():
    return GateHarness()


def test_requests_are_held_until_the_store_is_read(harness):
    assert harness.gate.is_outdated()
    harness.knowledge = TableFreshness(8, 0.1)
    assert not harness.gate.is_outdated()


def test_requests_are_not_held_while_the_store_fails(harness):
    """Guards against refusals during an outage: the last known state is in force."""
    harness.is_failing = True
    assert not harness.gate.is_outdated()


def test_requests_are_not_held_for_long(harness):
    """Guards against a daemon that serves nothing because a read hangs."""
    assert harness.gate.is_outdated()
    harness.core.now_s += MAX_HOLD_S
    assert not harness.gate.is_outdated()
    harness.knowledge = TableFreshness(9, 60.0)
    assert harness.gate.is_outdated()


def test_time_to_send_is_part_of_the_bound():
    assert freshness_bound_s(5.0) == 4.0
    assert freshness_bound_s(1.0) == 0.5
    assert freshness_bound_s(0.0) == math.inf
