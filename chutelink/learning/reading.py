"""Prompts that endpoints were lately sent, so that streams there go on. Pure.

An engine reads prompts between the tokens of the streams under way. Several prompts
at once make a pause that is too long in all of these streams; the same prompts a
little apart don't.
"""

from __future__ import annotations

from collections import deque

import msgspec

from ..ids import EndpointId

MAX_PREFILL_SHARE = 0.7
"""Share of the longest allowed pause in which an engine may read prompts.

The rest is for the tokens of the event that is waited for. More makes streams pause,
less makes prompts wait for nothing.
"""
RETENTION_S = 2.0
"""Longest pause that any route allows; what was sent before that is forgotten."""


class SentPrompt(msgspec.Struct, frozen=True):
    """A prompt that was sent, and how long it takes to read."""

    at_s: float
    read_s: float


class ReadingTable:
    """Prompts by endpoint, of all daemons as far as they tell."""

    def __init__(self) -> None:
        self._sent: dict[EndpointId, deque[SentPrompt]] = {}

    def note(self, endpoint: EndpointId, read_s: float, now_s: float) -> None:
        """Take in that a prompt was sent."""
        sent = self._sent.setdefault(endpoint, deque())
        sent.append(SentPrompt(now_s, read_s))
        while now_s - sent[0].at_s > RETENTION_S:
            sent.popleft()

    def room_in_s(
        self, endpoint: EndpointId, read_s: float, now_s: float, max_pause_s: float
    ) -> float:
        """Return after what time a prompt lets streams there go on.

        One that is longer by itself than what is allowed may go when none was sent.
        """
        if max_pause_s <= 0:
            return 0.0
        recent = [
            prompt
            for prompt in self._sent.get(endpoint, ())
            if now_s - prompt.at_s < max_pause_s
        ]
        excess_s = (
            sum(p.read_s for p in recent) + read_s - MAX_PREFILL_SHARE * max_pause_s
        )
        wait_s = 0.0
        for prompt in recent:
            if excess_s <= 0:
                break
            excess_s -= prompt.read_s
            wait_s = prompt.at_s + max_pause_s - now_s
        return wait_s

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._sent.pop(endpoint, None)
