"""Broadcasts and news of members over hubs: all hear, few messages cross domains."""

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
    """Daemons that all know each other, with the links that they open.

    ``dead`` have just died: all still count on them, and their links are gone.
    """

    def __init__(self, members, dead=frozenset()):
        self.by_id = {member.id: member for member in members}
        self.views = {
            member.id: Topology(member, [m for m in members if m is not member], HUBS)
            for member in members
        }
        self.links = {name: {} for name in self.by_id}
        self.dials = Counter()
        for name, view in self.views.items():
            for peer in view.neighbours:
                if name in dead or peer.id in dead:
                    continue
                self.dials[frozenset((name, peer.id))] += view.should_dial(peer)
                self.links[name][peer.id] = peer
                self.links[peer.id][name] = self.by_id[name]
        self.alive = set(self.by_id) - set(dead)

    def spread(self, origin, targets_of):
        """Return copies received by each daemon, those between domains, and hops."""
        received, remote, hops = Counter(), 0, {origin: 0}
        queue = deque([(origin, None)])
        while queue:
            name, source = queue.popleft()
            for peer in targets_of(name) - {source, origin}:
                received[peer] += 1
                here, there = self.by_id[name], self.by_id[peer]
                remote += here.failure_domain != there.failure_domain
                if peer not in hops:
                    hops[peer] = hops[name] + 1
                    queue.append((peer, name))
        return received, remote, hops

    def broadcast(self, origin):
        def targets_of(name):
            view = self.views[name]
            targets = view.broadcast_targets(self.by_id[origin], self.links[name])
            # Heartbeats of a full mesh tell who hears the origin itself.
            is_told = view.is_full_mesh and name != origin
            return targets - self.links[origin].keys() if is_told else targets

        return self.spread(origin, targets_of)

    def tell_member(self, origin):
        return self.spread(
            origin,
            lambda name: self.views[name].member_update_targets(
                self.by_id[origin], self.links[name], is_local=name == origin
            ),
        )


@pytest.mark.parametrize("count", [12, 19, 60, 195, 350])
def test_a_broadcast_reaches_all_in_three_hops_and_crosses_few_times(count):
    """Each daemon gets two copies at most times, a failure domain two from outside."""
    fleet = Fleet(make_members(count))
    for origin in (DaemonId("d000"), DaemonId(f"d{count - 1:03}")):
        received, remote, hops = fleet.broadcast(origin)
        assert hops.keys() == fleet.alive
        assert max(hops.values()) <= 3
        assert max(received.values()) <= 3
        if count > FULL_MESH_MEMBERS + 1:
            assert remote <= HUBS * 5


@pytest.mark.parametrize("count", [19, 60, 195, 350])
def test_news_of_a_member_reach_all(count):
    fleet = Fleet(make_members(count))
    _, remote, hops = fleet.tell_member(DaemonId(f"d{count - 1:03}"))
    assert hops.keys() == fleet.alive
    assert remote <= HUBS * HUBS * 5


@settings(deadline=None)
@given(st.integers(14, 120), st.integers(1, 8), st.integers(0, 119), st.data())
def test_the_loss_of_a_hub_in_each_domain_loses_no_broadcast(count, domains, at, data):
    """Whichever one of the two hubs of a failure domain has died a moment ago."""
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
def test_links_join_all_and_each_is_dialled_by_one_side(count, domains):
    """Following the links from any daemon reaches all others in a few hops."""
    fleet = Fleet(make_members(count, domains))
    reached, front = {DaemonId("d000")}, {DaemonId("d000")}
    while front:
        front = {peer for name in front for peer in fleet.links[name]} - reached
        reached |= front
    assert reached == set(fleet.by_id)
    if count - 1 > FULL_MESH_MEMBERS:
        assert set(fleet.dials.values()) == {1}


def test_a_daemon_that_is_no_hub_has_links_to_its_hubs_alone():
    fleet = Fleet(make_members(195))
    assert len(fleet.links[DaemonId("d194")]) == HUBS


def test_a_silent_hub_is_replaced():
    """Suspects come last; the next in capacity takes over."""
    import msgspec

    members = make_members(60)
    silent = msgspec.structs.replace(members[0], state=MemberState.SUSPECT)
    view = Topology(members[59], [silent, *members[1:59]], HUBS)
    assert not view.is_hub(silent.id)
    assert view.is_hub(members[6].id) and view.is_hub(members[12].id)
