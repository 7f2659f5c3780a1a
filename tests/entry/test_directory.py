"""Tests of the selection of daemons that serve callers."""

from __future__ import annotations

from chutelink.entry.directory import MAX_SERVING, MIN_SERVING, Directory
from chutelink.regions.region_map import RegionMap
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


REGIONS = RegionMap({"a": "north", "b": "south", "c": "west"})


class FakeHomes:
    """Home regions that requests to one host have."""

    is_configured = True

    def __init__(self, **hosts):
        self.hosts = hosts

    def common_to_host(self, host):
        return self.hosts.get(host)


def make_directory(members, **hosts) -> Directory:
    table = MemberTable(members[0])
    for other in members[1:]:
        table.merge(other, 0.0)
    homes = FakeHomes(**hosts) if hosts else None
    return Directory(table, 1.0, REGIONS, homes)


def names_of(addresses) -> set[str]:
    return {f"d{int(a.partition(':')[0].rpartition('.')[2]):03}" for a in addresses}


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


def test_callers_with_home_regions_get_daemons_of_their_own_region_first():
    """Guards against bodies that callers send to a daemon in a third region."""
    large = [make_member(n, "ab"[n % 2], 2.0) for n in range(8)]
    small = [make_member(n, "c", 0.5) for n in range(8, 12)]
    directory = make_directory(large + small, host={"south"}, split=frozenset())
    ids = {domain: set() for domain in "abc"}
    for member in large + small:
        ids[member.failure_domain].add(member.id)
    for query, expected in (
        (("a", "host", "north"), ids["a"]),
        (("a", "host"), ids["a"]),
        (("c", "host", "west"), {"d008", "d009"}),
        (("x", "host", "east"), ids["b"]),
        (("x", "split", "east"), ids["a"] | ids["b"]),
        (("a", "other", "north"), ids["a"] | ids["b"]),
    ):
        assert names_of(directory.addresses(*query)) == expected
    assert directory.serving() == ids["a"] | ids["b"] | {"d008", "d009"}


def test_every_listed_daemon_of_a_region_serves():
    """Guards against callers sent to a daemon without links, budgets and permits."""
    members = [make_member(n, "ab"[n % 2]) for n in range(100)]
    directory = make_directory(members, host={"south"})
    for query in (("a", "host"), ("b", "host"), ("x", "host"), ("x", "host", "south")):
        listed = names_of(directory.addresses(*query))
        assert len(listed) == MAX_SERVING
        assert listed <= directory.serving()
