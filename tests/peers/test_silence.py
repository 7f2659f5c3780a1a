"""Silences of all peers at once."""

from __future__ import annotations

import math

from chutelink.peers.silence import PeerSilence


def test_a_daemon_without_peers_was_never_cut_off_from_any():
    assert PeerSilence(1.5).alone_until_s(100.0) == -math.inf


def test_a_silence_counts_until_a_peer_speaks_again():
    silence = PeerSilence(1.5)
    for now_s in (1.0, 2.0, 3.0):
        silence.note_heard(now_s)
    assert silence.alone_until_s(4.4) == -math.inf
    assert silence.alone_until_s(4.6) == 4.6
    silence.note_heard(5.0)
    assert silence.alone_until_s(5.1) == 5.0
    silence.note_heard(6.0)
    assert silence.alone_until_s(6.1) == 5.0
