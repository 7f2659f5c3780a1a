"""Detection that all peers are silent at once."""

from __future__ import annotations

import math

from chutelink.peers.isolation import IsolationDetector


def test_a_daemon_that_never_had_peers_was_never_isolated():
    assert IsolationDetector(1.5).isolated_until_s(100.0) == -math.inf


def test_a_silence_lasts_until_a_message_is_received():
    isolation = IsolationDetector(1.5)
    for now_s in (1.0, 2.0, 3.0):
        isolation.note_message(now_s)
    assert isolation.isolated_until_s(4.4) == -math.inf
    assert isolation.isolated_until_s(4.6) == 4.6
    isolation.note_message(5.0)
    assert isolation.isolated_until_s(5.1) == 5.0
    isolation.note_message(6.0)
    assert isolation.isolated_until_s(6.1) == 5.0
