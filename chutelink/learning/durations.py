"""Mean durations of streams by model, learned from streams that ended."""

from __future__ import annotations

from ..ids import ModelName

SMOOTHING_FACTOR = 0.1
"""Weight of a new value in a moving average, which covers about ten streams."""


class DurationTable:
    """Moving averages of the time from a stream's first event to its end, by model.

    A model without ended streams is assumed to behave like the average of the others;
    without any ended stream the time is 0.
    """

    def __init__(self) -> None:
        self._models_s: dict[ModelName, float] = {}
        self._mean_s = 0.0

    def note(self, model: ModelName, took_s: float) -> None:
        """Record the duration of a stream that ended."""
        known_s = self._models_s.get(model, self._mean_s or took_s)
        self._models_s[model] = known_s + SMOOTHING_FACTOR * (took_s - known_s)
        before_s = self._mean_s or took_s
        self._mean_s = before_s + SMOOTHING_FACTOR * (took_s - before_s)

    def mean_s(self, model: ModelName) -> float:
        """Return the mean duration of a model's streams after their first event."""
        return self._models_s.get(model, self._mean_s)
