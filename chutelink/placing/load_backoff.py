"""Pause loads of a model under which endpoints keep ending. Pure."""

from __future__ import annotations

import msgspec

from ..ids import ModelName

FAILURES_BEFORE_BACKOFF = 1
"""Ends under loads of a model, one after the other, before the next is put off.

One says little: endpoints end for other reasons, and a load takes seconds.
"""
INITIAL_BACKOFF_S = 2.0
"""About a load's time: an end costs an endpoint and all it holds some 5 to 10 s."""
MAX_BACKOFF_S = 60.0
"""A declared model stays reachable: it is tried again once a minute at least."""


class _LoadExits(msgspec.Struct):
    """Loads of a model that ended their endpoints, since the last that succeeded."""

    count: int = 0
    until_s: float = float("-inf")


class LoadBackoff:
    """How long to wait with loads, by model."""

    def __init__(self) -> None:
        self._rows: dict[ModelName, _LoadExits] = {}

    def record_exit(self, model: ModelName, now_s: float) -> None:
        """Count an endpoint that ended while it was ordered to load a model."""
        row = self._rows.setdefault(model, _LoadExits())
        row.count += 1
        if row.count > FAILURES_BEFORE_BACKOFF:
            doublings = min(row.count - FAILURES_BEFORE_BACKOFF - 1, 16)
            row.until_s = now_s + min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**doublings)

    def record_success(self, model: ModelName) -> None:
        """Forget what is held against a model: it was loaded."""
        self._rows.pop(model, None)

    def paused_models(self, now_s: float) -> frozenset[ModelName]:
        """Return the models that are not to be loaded now."""
        return frozenset(m for m, row in self._rows.items() if now_s < row.until_s)
