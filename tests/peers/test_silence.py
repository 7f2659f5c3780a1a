"""Detection that all peers are silent at once."""

from __future__ import annotations

import math

from chutelink.peers.silence import PeerSilence


def test_a_daemon_that_never_had_peers_was_never_isolated():
    assert PeerSilence(1.5).alone_until_s(100.0) == -math.inf


def test_a_silence_lasts_until_a_message_is_received():
    silence = PeerSilence(1.5)
    for now_s in (1.0, 2.0, 3.0):
        silence.note_heard(now_s)
    assert silence.alone_until_s(4.4) == -math.inf
    assert silence.alone_until_s(4.6) == 4.6
    silence.note_heard(5.0)
    assert silence.alone_until_s(5.1) == 5.0
    silence.note_heard(6.0)
    assert silence.alone_until_s(6.1) == 5.0
