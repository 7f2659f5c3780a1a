"""Spacing of prompts, so that their prefill does not stall running streams. No I/O.

An engine prefills prompts between the decode steps of the running streams. Several
prompts at once pause all of these streams for too long; the same prompts a little
apart don't.
"""

from __future__ import annotations

from collections import deque

import msgspec

from ..ids import EndpointId

MAX_PREFILL_SHARE = 0.7
"""Share of the longest allowed pause that an engine may spend on prefill.

The rest is for decoding the tokens of the next event. A larger share pauses streams
for too long, a smaller one delays prompts without need.
"""
RETENTION_S = 2.0
"""The longest pause that any route allows; older prompts are removed."""


class SentPrompt(msgspec.Struct, frozen=True):
    """When a prompt was sent and how long its prefill takes."""

    at_s: float
    read_s: float


class PrefillTable:
    """Recently sent prompts by endpoint, including those reported by other daemons."""

    def __init__(self) -> None:
        self._sent: dict[EndpointId, deque[SentPrompt]] = {}

    def note(self, endpoint: EndpointId, read_s: float, now_s: float) -> None:
        """Record that a prompt was sent."""
        sent = self._sent.setdefault(endpoint, deque())
        sent.append(SentPrompt(now_s, read_s))
        while now_s - sent[0].at_s > RETENTION_S:
            sent.popleft()

    def prefill_delay_s(
        self, endpoint: EndpointId, read_s: float, now_s: float, max_pause_s: float
    ) -> float:
        """Return the delay after which a prompt no longer stalls an endpoint's streams.

        A prompt that exceeds the limit by itself may be sent once no recent ones count.
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
        """Remove an endpoint that no longer exists."""
        self._sent.pop(endpoint, None)
