"""Broadcasts are accepted once, and the history of them is bounded."""

from __future__ import annotations

from chutelink.peers.broadcasts import SEQUENCE_WINDOW, BroadcastHistory
from chutelink.peers.messages import Broadcast


def make_broadcast(sequence, boot="b1", origin="d1") -> Broadcast:
    return Broadcast(origin, boot, sequence, b"")


def test_a_message_is_new_once_in_any_order():
    history = BroadcastHistory()
    assert [history.mark_seen(make_broadcast(n)) for n in (2, 1, 2, 1, 3)] == [
        True
    ] * 2 + [
        False,
        False,
        True,
    ]


def test_messages_of_a_restarted_daemon_are_new():
    history = BroadcastHistory()
    history.mark_seen(make_broadcast(5))
    assert history.mark_seen(make_broadcast(1, boot="b2"))


def test_the_history_is_bounded():
    history = BroadcastHistory()
    for number in range(1, 10 * SEQUENCE_WINDOW):
        assert history.mark_seen(make_broadcast(number))
    assert len(history._origins["d1"].seen) <= 2 * SEQUENCE_WINDOW + 1
    assert not history.mark_seen(make_broadcast(3))
