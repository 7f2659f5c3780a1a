"""Passive health tracking of endpoints: no health checks are sent."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from ..ids import EndpointId

FAILURE_DECAY_S = 3.0
"""Time constant of the exponential decay of successes and failures."""
FAILURES_BEFORE_BACKOFF = 3
INITIAL_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
INITIAL_UNREACHABLE_BACKOFF_S = 0.3
"""Initial backoff after a failed connect; it grows, as crashed endpoints stay away."""
MAX_UNREACHABLE_BACKOFF_S = 2.0
STREAM_DECAY_S = 12.0
"""Time constant of the share of streams with long pauses.

It is longer than for failures, as the speed of an endpoint does not change.
"""
PRIOR_STREAMS = 3.0
"""Prior count of streams without long pauses, credited to every endpoint."""
TYPICAL_SMOOTHING = 0.1
DEFAULT_TYPICAL_S = 0.05
"""Assumed until an endpoint has responded; typical of a service without models."""


class _Health(msgspec.Struct):
    """Recent results of one endpoint.

    The weights of successes, failures and streams decay over time; ``in_a_row`` and
    ``unreachable`` count consecutive failures and failed connects. Until
    ``closed_until_s`` other endpoints are preferred, and until ``away_until_s`` the
    endpoint gets no requests.
    """

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
        """Decay the weights of earlier results."""
        factor = math.exp(-max(0.0, now_s - self.updated_s) / FAILURE_DECAY_S)
        self.good = max(1.0, self.good * factor)
        self.bad *= factor
        self.updated_s = now_s


class HealthTable:
    """Failure rates by endpoint, with a backoff after consecutive failures."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, _Health] = {}
        self.on_unreachable: Callable[[EndpointId], None] = lambda endpoint: None
        """Called after a failed connect."""

    def note_success(self, endpoint: EndpointId, now_s: float, took_s: float) -> None:
        """Record a success: a complete response, or the first event of a stream.

        ``took_s`` is the time since the request was sent.
        """
        row = self._row(endpoint, now_s)
        row.good += 1.0
        row.in_a_row = 0
        row.closed_until_s = float("-inf")
        row.unreachable = 0
        row.away_until_s = float("-inf")
        row.typical_s += TYPICAL_SMOOTHING * (took_s - row.typical_s)

    def note_failure(self, endpoint: EndpointId, now_s: float) -> None:
        """Record a failure; several in a row start a backoff that grows with each."""
        row = self._row(endpoint, now_s)
        row.bad += 1.0
        row.in_a_row += 1
        if row.in_a_row >= FAILURES_BEFORE_BACKOFF:
            doublings = min(row.in_a_row - FAILURES_BEFORE_BACKOFF, 4)
            backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**doublings)
            row.closed_until_s = now_s + backoff_s

    def note_streams(
        self, endpoint: EndpointId, streams: int, paused: int, now_s: float
    ) -> None:
        """Record ended streams, and how many of them had a pause that was too long."""
        row = self._row(endpoint, now_s)
        elapsed_s = max(0.0, now_s - row.streams_s)
        factor = math.exp(-elapsed_s / STREAM_DECAY_S)
        row.streams = row.streams * factor + streams
        row.paused = row.paused * factor + paused
        row.streams_s = now_s

    def paused_share(self, endpoint: EndpointId) -> float:
        """Return the share of recent streams that had a pause that was too long."""
        row = self._rows.get(endpoint)
        return 0.0 if row is None else row.paused / (row.streams + PRIOR_STREAMS)

    def note_unreachable(self, endpoint: EndpointId, now_s: float) -> None:
        """Record a failed connect and start a backoff without requests."""
        self.note_failure(endpoint, now_s)
        row = self._row(endpoint, now_s)
        backoff_s = INITIAL_UNREACHABLE_BACKOFF_S * 2 ** min(row.unreachable, 4)
        row.unreachable += 1
        row.away_until_s = now_s + min(MAX_UNREACHABLE_BACKOFF_S, backoff_s)
        self.on_unreachable(endpoint)

    def is_reachable(self, endpoint: EndpointId, now_s: float) -> bool:
        """Return whether an endpoint is outside its backoff after failed connects."""
        row = self._rows.get(endpoint)
        return row is None or now_s >= row.away_until_s

    def unreachable(self, now_s: float) -> list[EndpointId]:
        """Return the endpoints in a backoff after a failed connect.

        The placer requests a report from each of them, one more call to an endpoint
        that may be overloaded. One that is no longer tried is not listed again.
        """
        return [
            name
            for name, row in self._rows.items()
            if row.unreachable and now_s < row.away_until_s
        ]

    def is_available(self, endpoint: EndpointId, now_s: float) -> bool:
        """Return whether an endpoint is outside its backoff after failures."""
        row = self._rows.get(endpoint)
        return row is None or now_s >= row.closed_until_s

    def failure_share(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the share of recent requests that failed, weighted by age."""
        row = self._rows.get(endpoint)
        if row is None:
            return 0.0
        row.decay(now_s)
        return row.bad / (row.good + row.bad)

    def typical_s(self, endpoint: EndpointId) -> float:
        """Return how long an endpoint typically takes to respond."""
        row = self._rows.get(endpoint)
        return DEFAULT_TYPICAL_S if row is None else row.typical_s

    def forget(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that no longer exists."""
        self._rows.pop(endpoint, None)

    def _row(self, endpoint: EndpointId, now_s: float) -> _Health:
        row = self._rows.setdefault(endpoint, _Health(updated_s=now_s))
        row.decay(now_s)
        return row
