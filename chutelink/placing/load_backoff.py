"""Back off from loading a model whose loads make endpoint processes exit."""

from __future__ import annotations

import msgspec

from ..ids import ModelName

EXITS_WITHOUT_BACKOFF = 1
"""Consecutive exits during loads of a model that cause no backoff.

A single exit is weak evidence: a load takes seconds, and endpoints also exit for other
reasons.
"""
INITIAL_BACKOFF_S = 2.0
"""Initial backoff, about the duration of a load.

An exit takes an endpoint and all of its models out of service for 5 to 10 s.
"""
MAX_BACKOFF_S = 60.0
"""Maximum backoff: a configured model is retried at least once a minute."""


class _LoadExits(msgspec.Struct):
    """Endpoint exits during loads of a model since its last successful load."""

    count: int = 0
    until_s: float = float("-inf")


class LoadBackoff:
    """Exponential backoff for loads, by model."""

    def __init__(self) -> None:
        self._rows: dict[ModelName, _LoadExits] = {}

    def record_exit(self, model: ModelName, now_s: float) -> None:
        """Count an exit of an endpoint that was loading the model."""
        row = self._rows.setdefault(model, _LoadExits())
        row.count += 1
        if row.count > EXITS_WITHOUT_BACKOFF:
            doublings = min(row.count - EXITS_WITHOUT_BACKOFF - 1, 16)
            row.until_s = now_s + min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**doublings)

    def record_success(self, model: ModelName) -> None:
        """Reset the model's backoff after a successful load."""
        self._rows.pop(model, None)

    def paused_until_s(self, now_s: float) -> dict[ModelName, float]:
        """Return the models that must not be loaded now, and until when."""
        return {m: row.until_s for m, row in self._rows.items() if now_s < row.until_s}
