"""Tests of the selection of daemons that serve callers."""

from __future__ import annotations

from chutelink.entry.directory import MAX_SERVING, MIN_SERVING, Directory
from chutelink.tables.members import Member, MemberState, MemberTable, Role


def make_member(number, domain="a", capacity=1.0, state=MemberState.ALIVE) -> Member:
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


def make_directory(members) -> Directory:
    table = MemberTable(members[0])
    for other in members[1:]:
        table.merge(other, 0.0)
    return Directory(table, 1.0)


def test_all_daemons_of_a_small_fleet_serve():
    directory = make_directory([make_member(n) for n in range(8)])
    assert len(directory.addresses("a")) == 8


def test_leaving_daemons_are_not_listed():
    members = [
        make_member(0),
        make_member(1, state=MemberState.LEAVING),
        make_member(2),
    ]
    assert len(make_directory(members).addresses("a")) == 2


def test_large_vms_serve_before_small_ones():
    large = [make_member(n, capacity=2.0) for n in range(8)]
    small = [make_member(n, capacity=0.5) for n in range(8, 40)]
    assert make_directory(large + small).serving() == {m.id for m in large}


def test_small_vms_serve_when_there_are_few_large_ones():
    large = [make_member(n, capacity=2.0) for n in range(2)]
    small = [make_member(n, capacity=0.5) for n in range(8, 40)]
    assert len(make_directory(large + small).serving()) == MIN_SERVING


def test_daemons_of_a_large_fleet_are_split_by_failure_domain():
    directory = make_directory([make_member(n, "ab"[n % 2]) for n in range(200)])
    assert len(directory.addresses("a")) == MAX_SERVING
    assert MAX_SERVING < len(directory.serving()) <= 2 * MAX_SERVING


def test_leaving_daemon_still_counts_as_serving():
    """Serving daemons continue to receive load reports and placements."""
    members = [
        make_member(0),
        make_member(1, state=MemberState.LEAVING),
        make_member(2),
    ]
    assert "d001" in make_directory(members).serving()


def test_small_vms_that_are_ready_first_do_not_all_serve_while_a_fleet_starts():
    joining = MemberState.JOINING
    large = [make_member(n, capacity=2.0, state=joining) for n in range(8)]
    small = [make_member(n, capacity=0.5) for n in range(8, 40)]
    assert len(make_directory(small + large).serving()) == len(large)


def test_partitioned_daemons_are_left_out_while_enough_others_remain():
    members = [make_member(number) for number in range(8)]
    directory = make_directory(members)
    partitioned = set()
    directory.is_partitioned = lambda daemon: daemon in partitioned
    for count, listed in ((0, 8), (1, 7), (4, 4), (5, 8), (8, 8)):
        partitioned |= {member.id for member in members[:count]}
        assert len(directory.addresses("a")) == listed
    assert len(directory.serving()) == 8
