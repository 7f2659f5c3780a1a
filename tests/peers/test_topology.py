"""Broadcasts and member updates reach all daemons and cross domains rarely."""

from __future__ import annotations

from collections import Counter, deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chutelink.ids import BootId, DaemonId
from chutelink.peers.topology import FULL_MESH_MEMBERS, Topology
from chutelink.tables.members import Member, MemberState, Role

HUBS = 2


def make_members(count, domains=6):
    return [
        Member(
            DaemonId(f"d{number:03}"),
            Role.GATEWAY,
            "vm",
            f"domain-{number % domains}",
            "127.0.0.1",
            1,
            2,
            BootId("boot"),
            1,
            MemberState.ALIVE,
            capacity=2.0 if number < 3 * domains else 0.5,
        )
        for number in range(count)
    ]


class Fleet:
    """Daemons that all know each other, with the links between them.

    Those in ``dead`` have just failed: their links are gone, but the others still have
    them in their topology.
    """

    def __init__(self, members, dead=frozenset()):
        self.by_id = {member.id: member for member in members}
        self.topologies = {
            member.id: Topology(member, [m for m in members if m is not member], HUBS)
            for member in members
        }
        self.links = {name: {} for name in self.by_id}
        self.dials = Counter()
        for name, topology in self.topologies.items():
            for peer in topology.neighbours:
                if name in dead or peer.id in dead:
                    continue
                self.dials[frozenset((name, peer.id))] += topology.should_dial(peer)
                self.links[name][peer.id] = peer
                self.links[peer.id][name] = self.by_id[name]
        self.alive = set(self.by_id) - set(dead)

    def spread(self, origin, targets_of):
        """Return copies received by each daemon, cross-domain copies, and hops."""
        received, remote, hops = Counter(), 0, {origin: 0}
        queue = deque([(origin, None)])
        while queue:
            name, source = queue.popleft()
            for peer in targets_of(name) - {source, origin}:
                received[peer] += 1
                sender, receiver = self.by_id[name], self.by_id[peer]
                remote += sender.failure_domain != receiver.failure_domain
                if peer not in hops:
                    hops[peer] = hops[name] + 1
                    queue.append((peer, name))
        return received, remote, hops

    def broadcast(self, origin):
        def targets_of(name):
            topology = self.topologies[name]
            targets = topology.broadcast_targets(self.by_id[origin], self.links[name])
            # In a full mesh heartbeats list the peers that are linked to the origin.
            is_deduplicated = topology.is_full_mesh and name != origin
            return targets - self.links[origin].keys() if is_deduplicated else targets

        return self.spread(origin, targets_of)

    def send_member_update(self, origin):
        return self.spread(
            origin,
            lambda name: self.topologies[name].member_update_targets(
                self.by_id[origin], self.links[name], is_local=name == origin
            ),
        )


@pytest.mark.parametrize("count", [12, 19, 60, 195, 350])
def test_a_broadcast_reaches_all_in_three_hops_with_few_cross_domain_copies(count):
    """Most daemons receive two copies, and each failure domain two from outside."""
    fleet = Fleet(make_members(count))
    for origin in (DaemonId("d000"), DaemonId(f"d{count - 1:03}")):
        received, remote, hops = fleet.broadcast(origin)
        assert hops.keys() == fleet.alive
        assert max(hops.values()) <= 3
        assert max(received.values()) <= 3
        if count > FULL_MESH_MEMBERS + 1:
            assert remote <= HUBS * 5


@pytest.mark.parametrize("count", [19, 60, 195, 350])
def test_a_member_update_reaches_all(count):
    fleet = Fleet(make_members(count))
    _, remote, hops = fleet.send_member_update(DaemonId(f"d{count - 1:03}"))
    assert hops.keys() == fleet.alive
    assert remote <= HUBS * HUBS * 5


@settings(deadline=None)
@given(st.integers(14, 120), st.integers(1, 8), st.integers(0, 119), st.data())
def test_no_broadcast_is_lost_if_one_hub_per_domain_fails(count, domains, at, data):
    """The failed hubs are in one plane, and the others have not detected it yet."""
    members = make_members(count, domains)
    dead = set()
    if count >= 4 * domains:
        plane = data.draw(st.sampled_from([0, 1]))
        dead = {
            DaemonId(f"d{domain + plane * domains:03}") for domain in range(domains)
        }
    fleet = Fleet(members, dead)
    origin = sorted(fleet.alive)[at % len(fleet.alive)]
    assert fleet.broadcast(origin)[2].keys() == fleet.alive


@settings(deadline=None)
@given(st.integers(2, 120), st.integers(1, 8))
def test_links_connect_all_daemons_and_each_is_dialled_by_one_side(count, domains):
    """All daemons are reachable over links from the first one."""
    fleet = Fleet(make_members(count, domains))
    reached, frontier = {DaemonId("d000")}, {DaemonId("d000")}
    while frontier:
        frontier = {peer for name in frontier for peer in fleet.links[name]} - reached
        reached |= frontier
    assert reached == set(fleet.by_id)
    if count - 1 > FULL_MESH_MEMBERS:
        assert set(fleet.dials.values()) == {1}


def test_a_daemon_that_is_not_a_hub_links_only_to_its_hubs():
    fleet = Fleet(make_members(195))
    assert len(fleet.links[DaemonId("d194")]) == HUBS


def test_a_suspect_hub_is_replaced():
    """Suspects rank last, so that the next daemon by capacity becomes a hub."""
    import msgspec

    members = make_members(60)
    suspect = msgspec.structs.replace(members[0], state=MemberState.SUSPECT)
    topology = Topology(members[59], [suspect, *members[1:59]], HUBS)
    assert not topology.is_hub(suspect.id)
    assert topology.is_hub(members[6].id) and topology.is_hub(members[12].id)
