"""Tests for the shares that daemons derive from their view of the other daemons."""

from __future__ import annotations

import pytest

from chutelink.customers.const import (
    HOLDER_RETENTION_S,
    MAX_HOLDERS,
    MIN_HOLDERS,
    SETTLE_S,
)
from chutelink.customers.holders import HolderView, QuotaHolders
from chutelink.tables.members import Member, MemberState, MemberTable, Role


def make_member(name: str, state: MemberState = MemberState.ALIVE) -> Member:
    return Member(name, Role.GATEWAY, name, "a", "", 1, 2, f"boot-{name}", 1, state)


class Fleet:
    def __init__(self, *names: str) -> None:
        self.members = MemberTable(make_member("d0"))
        self.holders = QuotaHolders("d0", 0.0)
        self.add(*names)

    def add(self, *names: str, state: MemberState = MemberState.ALIVE) -> None:
        for name in names:
            self.members.rows[name] = make_member(name, state)

    def share(self, serving: set[str], now_s: float) -> float:
        self.holders.update(serving, self.members, now_s)
        return self.holders.view(now_s).own_share("acme")


def test_serving_daemons_share_evenly():
    fleet = Fleet("d1", "d2", "d3")
    assert fleet.share({"d0", "d1", "d2", "d3"}, SETTLE_S) == 0.25


def test_daemon_that_does_not_serve_has_no_share():
    assert Fleet("d1").share({"d1"}, SETTLE_S) == 0


def test_daemon_that_just_started_assumes_the_minimum_of_holders():
    assert Fleet().share({"d0"}, 0.0) == 1 / MIN_HOLDERS


def test_daemon_that_starts_disconnected_never_takes_the_whole_quota():
    fleet = Fleet()
    assert fleet.share({"d0"}, 100 * SETTLE_S) == 1 / MIN_HOLDERS
    fleet.holders.expected = 7
    assert fleet.share({"d0"}, 100 * SETTLE_S) == 1 / 7


def test_single_daemon_takes_the_whole_quota():
    fleet = Fleet()
    fleet.holders.expected = 1
    assert fleet.share({"d0"}, SETTLE_S) == 1


def test_halves_of_a_partitioned_fleet_keep_their_shares():
    fleet = Fleet("d1", "d2", "d3")
    for now_s in (0.0, 10.0):
        fleet.share({"d0", "d1", "d2", "d3"}, now_s)
    fleet.add("d2", "d3", state=MemberState.DOWN)
    assert fleet.share({"d0", "d1"}, 12.0) == 0.25
    assert fleet.share({"d0", "d1", "d4"}, 13.0) == 0.2
    assert fleet.share({"d0", "d1"}, 13.0 + HOLDER_RETENTION_S + 0.1) == 0.5


def test_daemons_that_serve_only_during_startup_have_no_share():
    """If such shares are reserved, 60 daemons hold shares where 8 serve.

    Then 15 % of the requests were refused.
    """
    fleet = Fleet(*(f"d{number}" for number in range(1, 60)))
    for number in range(1, 60):
        fleet.share({"d0", f"d{number}"}, number / 10)
    serving = {f"d{number}" for number in range(8)}
    assert fleet.share(serving, 7.0) == 1 / 8


def test_daemon_that_left_releases_its_share():
    fleet = Fleet("d1", "d2")
    for now_s in (0.0, 10.0):
        fleet.share({"d0", "d1", "d2"}, now_s)
    fleet.add("d2", state=MemberState.LEFT)
    assert fleet.share({"d0", "d1"}, 10.1) == pytest.approx(0.5)


def test_few_daemons_hold_each_quota_in_a_large_fleet():
    names = frozenset(f"d{number}" for number in range(300))
    for customer in ("acme", "other"):
        shares = [HolderView(name, names).own_share(customer) for name in names]
        assert sum(shares) == pytest.approx(1)
        assert max(shares) == 1 / MAX_HOLDERS
    assert HolderView("d1", names).holders("a") != HolderView("d1", names).holders("b")


def test_halves_of_a_partitioned_fleet_keep_their_shares_when_all_daemons_restart():
    """Otherwise both halves together admit twice the quota."""
    fleet = Fleet("d1", "d2", "d3")
    fleet.holders.expected = 8
    serving = {"d0", "d1", "d2", "d3"}
    assert fleet.share(serving, 0.0) == 1 / 8
    assert fleet.share(serving, SETTLE_S + 1.0) == 1 / 8
