"""Tests of the loads announced by successive placers."""

from __future__ import annotations

from chutelink.entry.messages import PendingLoad
from chutelink.entry.pending import OVERDUE_TOLERANCE_S, PendingTable


def test_load_is_expected_until_it_is_no_longer_announced():
    table = PendingTable()
    now_s = 100.0
    table.take([PendingLoad("i-1", "m1", "", 4.0)], 1, now_s)
    assert table.ready_s("m1", "", now_s) == 104.0
    assert table.ready_s("m1", "a1", now_s) == 104.0
    table.take([], 1, 101.0)
    assert table.ready_s("m1", "", now_s) is None


def test_load_of_a_previous_placer_is_expected_until_overdue():
    table = PendingTable()
    now_s = 100.0
    table.take([PendingLoad("i-1", "m1", "", 4.0)], 1, now_s)
    table.take([], 2, 102.0)
    assert table.ready_s("m1", "", now_s) == 104.0
    now_s = 104.0 + OVERDUE_TOLERANCE_S
    table.take([], 2, now_s)
    assert table.ready_s("m1", "", now_s) is None


def test_overdue_load_is_not_expected_when_announcements_stop():
    table = PendingTable()
    table.take([PendingLoad("i-1", "m1", "", 4.0)], 1, 100.0)
    assert table.ready_s("m1", "", 104.0) == 104.0
    assert table.ready_s("m1", "", 104.0 + OVERDUE_TOLERANCE_S) is None
