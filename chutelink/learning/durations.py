"""How long streams occupy an endpoint's places, learned from those that ended."""

from __future__ import annotations

from ..ids import ModelName

SMOOTHING_FACTOR = 0.1
"""Share of an error that a mean takes over: it follows some ten streams."""


class DurationTable:
    """Mean times from a stream's first event to its end, by model.

    A model of which no stream has ended yet is taken to be like the others; with
    none at all, nothing is known and the time is 0.
    """

    def __init__(self) -> None:
        self._models_s: dict[ModelName, float] = {}
        self._mean_s = 0.0

    def note(self, model: ModelName, took_s: float) -> None:
        """Learn from a stream that ended."""
        known_s = self._models_s.get(model, self._mean_s or took_s)
        self._models_s[model] = known_s + SMOOTHING_FACTOR * (took_s - known_s)
        before_s = self._mean_s or took_s
        self._mean_s = before_s + SMOOTHING_FACTOR * (took_s - before_s)

    def mean_s(self, model: ModelName) -> float:
        """Return how long a stream of a model takes after its first event."""
        return self._models_s.get(model, self._mean_s)
