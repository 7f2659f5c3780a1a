"""How fast endpoints read the prompts of each model, learned from first events."""

from __future__ import annotations

import math

from ..ids import EndpointId, ModelName

READ_TOKENS_PER_S = 38_000.0
"""How fast prompts are read at factor 1; the factors are learned."""
FIRST_EVENT_S = 0.03
"""From the end of reading to the first event."""
MODEL_STEP = 0.25
"""Share of an error that a model's factor takes over; single times vary by half."""
ENDPOINT_STEP = 0.08
"""The same for an endpoint's, which all its models have in common."""
MAX_ERROR = 0.7
"""Largest error, as a logarithm, that one observation counts for."""
MAX_FACTOR = 5.0
MIN_TYPICAL_S = 0.001
"""Where prompts are hardly read at all, their length makes no difference."""
TYPICAL_STEP = 0.02
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
        self._models: dict[ModelName, float] = {}
        self._endpoints: dict[EndpointId, float] = {}
        self.typical_read_s = MIN_READ_S
        """How long an ordinary prompt takes to read."""

    def note_prompt(self, read_s: float) -> None:
        """Learn how long prompts take to read."""
        self.typical_read_s += TYPICAL_STEP * (read_s - self.typical_read_s)
        self.typical_read_s = max(self.typical_read_s, MIN_TYPICAL_S)

    def set_sizes(self, sizes_mb: dict[ModelName, float]) -> None:
        """Take in how large the weights of the models are."""
        self._sizes_mb = sizes_mb

    def read_s(self, model: ModelName, tokens: int) -> float:
        """Return how long an ordinary endpoint reads tokens of a prompt."""
        return tokens / READ_TOKENS_PER_S * math.exp(self._model(model))

    def endpoint_factor(self, endpoint: EndpointId) -> float:
        """Return how many times longer an endpoint takes than an ordinary one."""
        return math.exp(self._endpoints.get(endpoint, 0.0))

    def note(
        self, model: ModelName, endpoint: EndpointId, expected_s: float, took_s: float
    ) -> None:
        """Learn from a first event that was expected after some reading."""
        if expected_s < MIN_READ_S:
            return
        read_s = max(MIN_READ_S / 2, took_s - FIRST_EVENT_S)
        error = math.log(read_s / expected_s)
        error = max(-MAX_ERROR, min(MAX_ERROR, error))
        self._models[model] = _bound(self._model(model) + MODEL_STEP * error)
        known = self._endpoints.get(endpoint, 0.0)
        self._endpoints[endpoint] = _bound(known + ENDPOINT_STEP * error)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._endpoints.pop(endpoint, None)

    def _model(self, model: ModelName) -> float:
        known = self._models.get(model)
        if known is not None:
            return known
        size_mb = self._sizes_mb.get(model)
        alike = [
            factor
            for name, factor in self._models.items()
            if self._sizes_mb.get(name) == size_mb
        ]
        return sum(alike) / len(alike) if alike else 0.0


def _bound(factor: float) -> float:
    """Return the logarithm of a factor, kept within what is plausible."""
    limit = math.log(MAX_FACTOR)
    return max(-limit, min(limit, factor))
