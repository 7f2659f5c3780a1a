"""Tests of the table of evacuated failure domains."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from chutelink.eligibility.checker import EligibilityChecker
from chutelink.eligibility.model import NO_REQUIREMENTS, IneligibleReason
from chutelink.evacuation.rule import EvacuationRule
from chutelink.evacuation.table import EvacuationTable
from chutelink.platform.adapter import PreparedMachinesAdapter
from chutelink.store import UNREADABLE
from chutelink.watching.table_state import RowChange

from ..fakes import make_core

ADAPTER = PreparedMachinesAdapter()


class TableHarness:
    """The table of one daemon, fed with rows as the store watch reports them."""

    def __init__(self):
        self.table = EvacuationTable(make_core())
        self.changes = 0
        self.ended = []
        self.table.on_changed = self._count_change
        self.table.on_ended = self.ended.append
        self.checker = EligibilityChecker((EvacuationRule(self.table),))

    def _count_change(self):
        self.changes += 1

    def apply(self, name, value):
        key = f"config/evacuate/{name}"
        kept = None if value is None else ADAPTER.compact_row(key, value)
        domain = ADAPTER.decode_evacuated_domain(key)
        self.table.apply_row(domain, RowChange(key, kept))

    def reason(self, domain):
        row = SimpleNamespace(record=SimpleNamespace(failure_domain=domain))
        return self.checker.reason(row, NO_REQUIREMENTS, 0.0)


@pytest.fixture
def harness():
    return TableHarness()


def test_second_evacuation_outlasts_the_end_of_the_first(harness):
    """Guards against an end that takes all failure domains back."""
    harness.apply("a", {})
    harness.apply("b", {"why": "repair"})
    harness.apply("a", None)
    assert harness.reason("a") is None
    assert harness.reason("b") is IneligibleReason.EVACUATED
    assert harness.ended == ["a"]
    harness.apply("a", {})
    assert harness.table.domains == {"a", "b"}


@pytest.mark.parametrize("value", [UNREADABLE, [], "x", 7, False])
def test_unreadable_value_evacuates(harness, value):
    """Guards against requests to a domain whose row can't be decoded."""
    harness.apply("a", value)
    assert harness.reason("a") is IneligibleReason.EVACUATED


def test_repeated_rows_are_no_changes(harness):
    """Guards against a state of endpoints that is discarded without an end."""
    harness.apply("a", None)
    harness.apply("a", {})
    harness.apply("a", UNREADABLE)
    assert harness.changes == 1
    assert harness.ended == []


@pytest.mark.parametrize(
    "key",
    ["config/config", "config/evacuate", "config/evacuate/", "endpoints/evacuate/a"],
)
def test_other_rows_evacuate_nothing(key):
    assert ADAPTER.decode_evacuated_domain(key) is None
