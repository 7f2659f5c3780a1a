"""Loads on their way, as placers announce them one after the other."""

from __future__ import annotations

from chutelink.entry.news import PendingLoad
from chutelink.entry.pending import OVERDUE_TOLERANCE_S, PendingTable


def test_a_load_is_known_until_it_is_not_announced_any_more():
    table = PendingTable()
    now_s = 100.0
    table.take([PendingLoad("i-1", "m1", "", 4.0)], 1, now_s)
    assert table.ready_s("m1", "", now_s) == 104.0
    assert table.ready_s("m1", "a1", now_s) == 104.0
    table.take([], 1, 101.0)
    assert table.ready_s("m1", "", now_s) is None


def test_a_former_placers_load_goes_on():
    table = PendingTable()
    now_s = 100.0
    table.take([PendingLoad("i-1", "m1", "", 4.0)], 1, now_s)
    table.take([], 2, 102.0)
    assert table.ready_s("m1", "", now_s) == 104.0
    now_s = 104.0 + OVERDUE_TOLERANCE_S
    table.take([], 2, now_s)
    assert table.ready_s("m1", "", now_s) is None


def test_an_overdue_load_is_not_waited_for_when_announcements_stop():
    table = PendingTable()
    table.take([PendingLoad("i-1", "m1", "", 4.0)], 1, 100.0)
    assert table.ready_s("m1", "", 104.0) == 104.0
    assert table.ready_s("m1", "", 104.0 + OVERDUE_TOLERANCE_S) is None
