"""Prefill speeds of models and endpoints, learned from times to first event."""

from __future__ import annotations

import math

from ..ids import EndpointId, ModelName

BASE_PREFILL_TOKENS_PER_S = 38_000.0
"""Prefill speed at factor 1; the factors are learned."""
FIRST_EVENT_S = 0.03
"""Time from the end of the prefill to the first event."""
MODEL_SMOOTHING = 0.25
"""Weight of an error in a model's factor; single times vary by half."""
ENDPOINT_SMOOTHING = 0.08
"""Weight of an error in an endpoint's factor, which all its models share."""
MAX_LOG_ERROR = 0.7
"""Limit of the logarithmic error of a single observation."""
MAX_FACTOR = 5.0
MIN_TYPICAL_S = 0.001
"""Lower bound of the typical prefill time: below it length makes no difference."""
TYPICAL_SMOOTHING = 0.02
"""Weight of a prompt in the moving average, which covers about fifty prompts."""
MIN_READ_S = 0.03
"""Shorter prefill times depend more on the network than on the endpoint."""


class SpeedTable:
    """Slowdown factors of the prefill by model and by endpoint.

    Factors are kept as logarithms. A model without observations is assumed to be like
    the others with weights of the same size.
    """

    def __init__(self) -> None:
        self._sizes_mb: dict[ModelName, float] = {}
        self._model_log_factors: dict[ModelName, float] = {}
        self._endpoint_log_factors: dict[EndpointId, float] = {}
        self.typical_read_s = MIN_READ_S
        """The prefill time of a typical prompt."""

    def note_prompt(self, read_s: float) -> None:
        """Update the typical prefill time with one prompt."""
        self.typical_read_s += TYPICAL_SMOOTHING * (read_s - self.typical_read_s)
        self.typical_read_s = max(self.typical_read_s, MIN_TYPICAL_S)

    def set_sizes(self, sizes_mb: dict[ModelName, float]) -> None:
        """Set the sizes of the models' weights."""
        self._sizes_mb = sizes_mb

    def read_s(self, model: ModelName, tokens: int) -> float:
        """Return the prefill time of some tokens at an endpoint with factor 1."""
        return (
            tokens / BASE_PREFILL_TOKENS_PER_S * math.exp(self._model_log_factor(model))
        )

    def endpoint_factor(self, endpoint: EndpointId) -> float:
        """Return by what factor an endpoint's prefill time exceeds that at factor 1."""
        return math.exp(self._endpoint_log_factors.get(endpoint, 0.0))

    def note(
        self, model: ModelName, endpoint: EndpointId, expected_s: float, took_s: float
    ) -> None:
        """Update the factors with the observed time to a first event.

        ``expected_s`` is the prefill time that the factors predicted, ``took_s`` the
        time from the request to its first event.
        """
        if expected_s < MIN_READ_S:
            return
        read_s = max(MIN_READ_S / 2, took_s - FIRST_EVENT_S)
        error = math.log(read_s / expected_s)
        error = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))
        self._model_log_factors[model] = _clamp_log_factor(
            self._model_log_factor(model) + MODEL_SMOOTHING * error
        )
        known = self._endpoint_log_factors.get(endpoint, 0.0)
        self._endpoint_log_factors[endpoint] = _clamp_log_factor(
            known + ENDPOINT_SMOOTHING * error
        )

    def forget(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that no longer exists."""
        self._endpoint_log_factors.pop(endpoint, None)

    def _model_log_factor(self, model: ModelName) -> float:
        known = self._model_log_factors.get(model)
        if known is not None:
            return known
        size_mb = self._sizes_mb.get(model)
        same_size = [
            factor
            for name, factor in self._model_log_factors.items()
            if self._sizes_mb.get(name) == size_mb
        ]
        return sum(same_size) / len(same_size) if same_size else 0.0


def _clamp_log_factor(log_factor: float) -> float:
    """Return the logarithm of a factor, limited to plausible values."""
    limit = math.log(MAX_FACTOR)
    return max(-limit, min(limit, log_factor))
