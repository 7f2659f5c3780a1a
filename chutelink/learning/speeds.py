"""How fast endpoints read the prompts of each model, learned from first events."""

from __future__ import annotations

import math

from ..ids import EndpointId, ModelName

BASE_PREFILL_TOKENS_PER_S = 38_000.0
"""How fast prompts are read at factor 1; the factors are learned."""
FIRST_EVENT_S = 0.03
"""From the end of reading to the first event."""
MODEL_SMOOTHING = 0.25
"""Share of an error that a model's factor takes over; single times vary by half."""
ENDPOINT_SMOOTHING = 0.08
"""The same for an endpoint's, which all its models have in common."""
MAX_LOG_ERROR = 0.7
"""Largest error, as a logarithm, that one observation counts for."""
MAX_FACTOR = 5.0
MIN_TYPICAL_S = 0.001
"""Where prompts are hardly read at all, their length makes no difference."""
TYPICAL_SMOOTHING = 0.02
"""Share by which the typical prompt follows each one: some fifty of them."""
MIN_READ_S = 0.03
"""Shorter reads say more about the network than about the endpoint."""


class SpeedTable:
    """Factors by which models and endpoints take longer than factor 1 says.

    A model that was not seen yet is taken to be like others with weights of the
    same size.
    """

    def __init__(self) -> None:
        self._sizes_mb: dict[ModelName, float] = {}
        self._model_log_factors: dict[ModelName, float] = {}
        self._endpoint_log_factors: dict[EndpointId, float] = {}
        self.typical_read_s = MIN_READ_S
        """How long an ordinary prompt takes to read."""

    def note_prompt(self, read_s: float) -> None:
        """Learn how long prompts take to read."""
        self.typical_read_s += TYPICAL_SMOOTHING * (read_s - self.typical_read_s)
        self.typical_read_s = max(self.typical_read_s, MIN_TYPICAL_S)

    def set_sizes(self, sizes_mb: dict[ModelName, float]) -> None:
        """Take in how large the weights of the models are."""
        self._sizes_mb = sizes_mb

    def read_s(self, model: ModelName, tokens: int) -> float:
        """Return how long an ordinary endpoint reads tokens of a prompt."""
        return (
            tokens / BASE_PREFILL_TOKENS_PER_S * math.exp(self._model_log_factor(model))
        )

    def endpoint_factor(self, endpoint: EndpointId) -> float:
        """Return how many times longer an endpoint takes than an ordinary one."""
        return math.exp(self._endpoint_log_factors.get(endpoint, 0.0))

    def note(
        self, model: ModelName, endpoint: EndpointId, expected_s: float, took_s: float
    ) -> None:
        """Learn from a first event that was expected after some reading."""
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
        """Drop an endpoint that is gone."""
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


def _clamp_log_factor(factor: float) -> float:
    """Return the logarithm of a factor, kept within what is plausible."""
    limit = math.log(MAX_FACTOR)
    return max(-limit, min(limit, factor))
