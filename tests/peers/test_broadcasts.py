"""Broadcasts are taken once, links stay few, and news reaches everybody."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutelink.peers.broadcasts import WINDOW, BroadcastLog
from chutelink.peers.messages import Broadcast
from chutelink.peers.ring import FULL_MESH_MEMBERS, ring_places


def news(sequence, boot="b1", origin="d1") -> Broadcast:
    return Broadcast(origin, boot, sequence, b"")


def test_a_message_is_new_once_in_whatever_order():
    log = BroadcastLog()
    assert [log.is_new(news(n)) for n in (2, 1, 2, 1, 3)] == [True] * 2 + [
        False,
        False,
        True,
    ]


def test_a_restarted_daemon_is_heard_again():
    log = BroadcastLog()
    log.is_new(news(5))
    assert log.is_new(news(1, boot="b2"))


def test_what_is_kept_is_bounded():
    log = BroadcastLog()
    for number in range(1, 10 * WINDOW):
        assert log.is_new(news(number))
    assert len(log._origins["d1"].seen) <= 2 * WINDOW + 1
    assert not log.is_new(news(3))


@given(st.integers(1, 400), st.integers(1, 8))
def test_links_stay_few_and_join_all(members, links):
    """Following the links from any daemon reaches all others in a few hops."""
    places = ring_places(members, links)
    if members < FULL_MESH_MEMBERS:
        assert places == list(range(members))
        return
    assert len(places) == min(links, members)
    assert all(0 <= place < members for place in places)
    total = members + 1
    reached = {0}
    front = {0}
    while front:
        step = {(n + place + 1) % total for n in front for place in places}
        step |= {(n - place - 1) % total for n in front for place in places}
        front = step - reached
        reached |= step
    assert len(reached) == total
