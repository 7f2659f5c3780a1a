"""Which daemons callers are sent to."""

from __future__ import annotations

from chutelink.entry.directory import MAX_SERVING, MIN_SERVING, Directory
from chutelink.tables.members import Member, MemberState, MemberTable, Role


def member(number, domain="a", capacity=1.0, state=MemberState.ALIVE) -> Member:
    return Member(
        f"d{number:03}",
        Role.GATEWAY,
        "vm",
        domain,
        f"10.0.0.{number}",
        80,
        81,
        "boot",
        1,
        state,
        capacity,
    )


def make(members) -> Directory:
    table = MemberTable(members[0])
    for other in members[1:]:
        table.merge(other, 0.0)
    return Directory(table, 1.0)


def test_all_of_a_few_equal_daemons_serve():
    directory = make([member(n) for n in range(8)])
    assert len(directory.addresses("a")) == 8


def test_daemons_that_leave_are_not_named():
    members = [member(0), member(1, state=MemberState.LEAVING), member(2)]
    assert len(make(members).addresses("a")) == 2


def test_large_vms_serve_before_small_ones():
    large = [member(n, capacity=2.0) for n in range(8)]
    small = [member(n, capacity=0.5) for n in range(8, 40)]
    assert make(large + small).serving() == {m.id for m in large}


def test_small_vms_fill_up_when_large_ones_are_few():
    large = [member(n, capacity=2.0) for n in range(2)]
    small = [member(n, capacity=0.5) for n in range(8, 40)]
    assert len(make(large + small).serving()) == MIN_SERVING


def test_many_equal_daemons_are_split_by_failure_domain():
    directory = make([member(n, "ab"[n % 2]) for n in range(200)])
    assert len(directory.addresses("a")) == MAX_SERVING
    assert MAX_SERVING < len(directory.serving()) <= 2 * MAX_SERVING


def test_a_daemon_that_leaves_is_still_told_of_loads_and_placements():
    members = [member(0), member(1, state=MemberState.LEAVING), member(2)]
    assert "d001" in make(members).serving()


def test_small_vms_that_are_ready_first_don_t_all_serve_while_a_fleet_starts():
    joining = MemberState.JOINING
    large = [member(n, capacity=2.0, state=joining) for n in range(8)]
    small = [member(n, capacity=0.5) for n in range(8, 40)]
    assert len(make(small + large).serving()) == len(large)
