"""What a placement is expected to lose, and how changes alter that. Pure."""

from __future__ import annotations

from collections import defaultdict

import msgspec

from ..ids import EndpointId, ModelName


class Forecast(msgspec.Struct, frozen=True):
    """What is expected to be asked of a model.

    ``arrivals_per_s`` are those that a wait makes late, ``unserved_per_s`` those
    that are lost while no endpoint holds it. ``work_per_s`` is in an endpoint's time
    a second; ``reload_s`` is how long it takes to have the model elsewhere when the
    only endpoint with it is lost.
    """

    arrivals_per_s: float
    unserved_per_s: float
    work_per_s: float
    reload_s: float


class PlacementLoss:
    """Requests a second that are refused, late or cut under a placement.

    A model that no endpoint holds loses all its requests. At an endpoint with the
    work of some part of its time, the share that is late is that of calls that find
    a single line busy (Erlang's loss formula); a model's requests are split evenly
    over its endpoints. A model at one endpoint only is lost with it until it is
    loaded elsewhere.

    Parameters
    ----------
    forecasts : dict
        By model; models that are not in it are not asked for.
    endpoint_losses_per_s : float
        How often an endpoint is lost.
    """

    def __init__(
        self, forecasts: dict[ModelName, Forecast], endpoint_losses_per_s: float
    ) -> None:
        self._forecasts = forecasts
        self._endpoint_losses_per_s = endpoint_losses_per_s
        self._holders: dict[ModelName, set[EndpointId]] = defaultdict(set)
        self._arrivals: dict[EndpointId, float] = defaultdict(float)
        self._work: dict[EndpointId, float] = defaultdict(float)

    def replicas(self, model: ModelName) -> int:
        """Return how many endpoints hold a model."""
        return len(self._holders[model])

    def most_to_gain(self, model: ModelName) -> float:
        """Return what a model loses now: no further replica can gain more."""
        forecast = self._forecasts.get(model)
        if forecast is None:
            return 0.0
        holders = self._holders[model]
        if not holders:
            return forecast.unserved_per_s
        late = sum(self._late_share(endpoint) for endpoint in holders) / len(holders)
        # Others at its endpoints gain too when some of its requests go elsewhere.
        others = sum(self._loss_at(endpoint) for endpoint in holders)
        lost = self._alone(forecast) if len(holders) == 1 else 0.0
        return forecast.arrivals_per_s * late + others + lost

    def add(self, model: ModelName, endpoint: EndpointId) -> float:
        """Hold a model at one more endpoint; return how the loss changes."""
        return self._change(model, self._holders[model] | {endpoint})

    def remove(self, model: ModelName, endpoint: EndpointId) -> float:
        """Hold a model at one endpoint less; return how the loss changes."""
        return self._change(model, self._holders[model] - {endpoint})

    def _change(self, model: ModelName, holders: set[EndpointId]) -> float:
        before = self._holders[model]
        self._holders[model] = holders
        forecast = self._forecasts.get(model)
        if forecast is None or before == holders:
            return 0.0
        touched = before | holders
        loss = -sum(map(self._loss_at, touched))
        self._spread(forecast, before, -1.0)
        self._spread(forecast, holders, 1.0)
        loss += sum(map(self._loss_at, touched))
        return loss + self._own(forecast, holders) - self._own(forecast, before)

    def _spread(
        self, forecast: Forecast, holders: set[EndpointId], sign: float
    ) -> None:
        """Add or take away a model's requests at its endpoints."""
        for endpoint in holders:
            self._arrivals[endpoint] += sign * forecast.arrivals_per_s / len(holders)
            self._work[endpoint] += sign * forecast.work_per_s / len(holders)

    def _own(self, forecast: Forecast, holders: set[EndpointId]) -> float:
        """Return what a model loses for having no endpoint, or but one."""
        if not holders:
            return forecast.unserved_per_s
        return self._alone(forecast) if len(holders) == 1 else 0.0

    def _alone(self, forecast: Forecast) -> float:
        """Return what is lost a second for being at one endpoint only."""
        lost = forecast.arrivals_per_s * forecast.reload_s
        return self._endpoint_losses_per_s * lost

    def _loss_at(self, endpoint: EndpointId) -> float:
        return self._arrivals[endpoint] * self._late_share(endpoint)

    def _late_share(self, endpoint: EndpointId) -> float:
        work = max(0.0, self._work[endpoint])
        return work / (1.0 + work)


class LossRate:
    """How often endpoints are lost, learned from those that were there.

    Starts from one loss in five minutes of an endpoint, with the weight of one
    minute, so that the first losses of a bad day count at once.
    """

    PRIOR_LOSSES = 0.2
    PRIOR_ENDPOINT_S = 60.0

    def __init__(self) -> None:
        self._losses = self.PRIOR_LOSSES
        self._endpoint_s = self.PRIOR_ENDPOINT_S
        self._present: frozenset[EndpointId] = frozenset()
        self._updated_s: float | None = None

    def observe(self, present: frozenset[EndpointId], now_s: float) -> None:
        """Take in which endpoints are there and answer."""
        if self._updated_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            self._endpoint_s += len(self._present) * elapsed_s
            self._losses += len(self._present - present)
        self._present = present
        self._updated_s = now_s

    @property
    def per_s(self) -> float:
        """Losses of one endpoint a second."""
        return self._losses / self._endpoint_s
