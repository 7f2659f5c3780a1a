"""How endpoints have answered lately; nothing is asked only to find that out."""

from __future__ import annotations

import math

import msgspec

from ..ids import EndpointId

FAILURE_DECAY_S = 3.0
"""Time constant of the share of failures."""
FAILURES_BEFORE_BACKOFF = 3
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
FIRST_UNREACHABLE_BACKOFF_S = 0.3
"""First pause after an endpoint took no connection; a crashed one stays away."""
MAX_UNREACHABLE_BACKOFF_S = 2.0
STREAM_DECAY_S = 12.0
"""Time constant of the share of streams with long pauses; speeds do not change."""
PRIOR_STREAMS = 3.0
"""Streams without long pauses that every endpoint is credited with."""
TYPICAL_SMOOTHING = 0.1
DEFAULT_TYPICAL_S = 0.05
"""Before an endpoint has answered: the usual time of a plain service."""


class _Health(msgspec.Struct):
    """One endpoint's recent answers, with weights that fade."""

    good: float = 1.0
    bad: float = 0.0
    updated_s: float = 0.0
    in_a_row: int = 0
    closed_until_s: float = float("-inf")
    unreachable: int = 0
    away_until_s: float = float("-inf")
    typical_s: float = DEFAULT_TYPICAL_S
    streams: float = 0.0
    paused: float = 0.0
    streams_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Fade what was seen earlier."""
        factor = math.exp(-max(0.0, now_s - self.updated_s) / FAILURE_DECAY_S)
        self.good = max(1.0, self.good * factor)
        self.bad *= factor
        self.updated_s = now_s


class HealthTable:
    """Shares of failures by endpoint; several in a row close one for a while."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, _Health] = {}

    def note_success(self, endpoint: EndpointId, now_s: float, took_s: float) -> None:
        """Count an answer that came whole; ``took_s`` from sending it."""
        row = self._row(endpoint, now_s)
        row.good += 1.0
        row.in_a_row = 0
        row.closed_until_s = float("-inf")
        row.unreachable = 0
        row.away_until_s = float("-inf")
        row.typical_s += TYPICAL_SMOOTHING * (took_s - row.typical_s)

    def note_failure(self, endpoint: EndpointId, now_s: float) -> None:
        """Count a failure; after a pause one request at a time tries again."""
        row = self._row(endpoint, now_s)
        row.bad += 1.0
        row.in_a_row += 1
        if row.in_a_row >= FAILURES_BEFORE_BACKOFF:
            doublings = min(row.in_a_row - FAILURES_BEFORE_BACKOFF, 4)
            backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**doublings)
            row.closed_until_s = now_s + backoff_s

    def note_streams(
        self, endpoint: EndpointId, streams: int, paused: int, now_s: float
    ) -> None:
        """Count streams that ended, and those of them with a pause that is too long."""
        row = self._row(endpoint, now_s)
        elapsed_s = max(0.0, now_s - row.streams_s)
        factor = math.exp(-elapsed_s / STREAM_DECAY_S)
        row.streams = row.streams * factor + streams
        row.paused = row.paused * factor + paused
        row.streams_s = now_s

    def paused_share(self, endpoint: EndpointId) -> float:
        """Return the share of recent streams whose pauses were too long."""
        row = self._rows.get(endpoint)
        return 0.0 if row is None else row.paused / (row.streams + PRIOR_STREAMS)

    def note_unreachable(self, endpoint: EndpointId, now_s: float) -> None:
        """Count that an endpoint took no connection; it gets nothing for a while."""
        self.note_failure(endpoint, now_s)
        row = self._row(endpoint, now_s)
        backoff_s = FIRST_UNREACHABLE_BACKOFF_S * 2 ** min(row.unreachable, 4)
        row.unreachable += 1
        row.away_until_s = now_s + min(MAX_UNREACHABLE_BACKOFF_S, backoff_s)

    def is_reachable(self, endpoint: EndpointId, now_s: float) -> bool:
        """Return whether it is worth trying to connect."""
        row = self._rows.get(endpoint)
        return row is None or now_s >= row.away_until_s

    def unreachable(self, now_s: float) -> list[EndpointId]:
        """Return the endpoints that took no connection when tried just now.

        Who hears of one asks it for a report, which is charged for: so one that is
        not tried any more is not told of again and again.
        """
        return [
            name
            for name, row in self._rows.items()
            if row.unreachable and now_s < row.away_until_s
        ]

    def is_open(self, endpoint: EndpointId, now_s: float) -> bool:
        """Return whether requests may be sent."""
        row = self._rows.get(endpoint)
        return row is None or now_s >= row.closed_until_s

    def failure_share(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the share of recent requests that failed."""
        row = self._rows.get(endpoint)
        if row is None:
            return 0.0
        row.decay(now_s)
        return row.bad / (row.good + row.bad)

    def typical_s(self, endpoint: EndpointId) -> float:
        """Return how long answers take."""
        row = self._rows.get(endpoint)
        return DEFAULT_TYPICAL_S if row is None else row.typical_s

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._rows.pop(endpoint, None)

    def _row(self, endpoint: EndpointId, now_s: float) -> _Health:
        row = self._rows.setdefault(endpoint, _Health(updated_s=now_s))
        row.decay(now_s)
        return row
