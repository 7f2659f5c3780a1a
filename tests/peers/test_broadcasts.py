"""Broadcasts are taken once, and what is kept of them is bounded."""

from __future__ import annotations

from chutelink.peers.broadcasts import SEQUENCE_WINDOW, BroadcastHistory
from chutelink.peers.messages import Broadcast


def news(sequence, boot="b1", origin="d1") -> Broadcast:
    return Broadcast(origin, boot, sequence, b"")


def test_a_message_is_new_once_in_whatever_order():
    log = BroadcastHistory()
    assert [log.mark_seen(news(n)) for n in (2, 1, 2, 1, 3)] == [True] * 2 + [
        False,
        False,
        True,
    ]


def test_a_restarted_daemon_is_heard_again():
    log = BroadcastHistory()
    log.mark_seen(news(5))
    assert log.mark_seen(news(1, boot="b2"))


def test_what_is_kept_is_bounded():
    log = BroadcastHistory()
    for number in range(1, 10 * SEQUENCE_WINDOW):
        assert log.mark_seen(news(number))
    assert len(log._origins["d1"].seen) <= 2 * SEQUENCE_WINDOW + 1
    assert not log.mark_seen(news(3))
