"""Determine which models are busy and project their demand, without I/O."""

from __future__ import annotations

import math

from ..entry.config import EngineSpec
from ..entry.demand import AVERAGING_S, TREND_S, DemandTable, ModelDemand
from ..ids import ModelName

MIN_BUSY_SHARE = 0.03
"""Minimum share of all requests for a model to count as busy."""
MIN_BUSY_PER_S = 0.4
"""Minimum requests per second for a model to count as busy."""


class DemandForecast:
    """Current demand, and demand as it will be when a load started now completes.

    ``busy`` lists the models that are busy now, highest demand first, and ``growing``
    contains the projected demand of models that will be busy and whose rate grows.

    Parameters
    ----------
    engine : EngineSpec
        The models and their load times.
    demand : DemandTable
        Request rates and waiting requests.
    now_s : float
        Time to which the averages are decayed.
    """

    def __init__(self, engine: EngineSpec, demand: DemandTable, now_s: float) -> None:
        totals = demand.totals(now_s)
        known = {
            model: totals.get(model, ModelDemand()) for model in sorted(engine.models)
        }
        self._work = {model: total.work_per_s for model, total in known.items()}
        self._arrivals = {m: total.arrivals_per_s for m, total in known.items()}
        self._last_s = {m: total.last_arrival_s for m, total in totals.items()}
        observed_s = demand.observed_s(now_s)
        self._projected = {
            model: _project_arrivals(
                total, engine.models[model].cold_load_s, observed_s
            )
            for model, total in known.items()
        }
        ranked = sorted(known, key=lambda model: (-self._work[model], model))
        self.busy = _find_busy(ranked, self._arrivals)
        will_be_busy = _find_busy(ranked, self._projected)
        self.growing = {
            model: self.work(model)
            for model in will_be_busy
            if self._projected[model] > self._arrivals[model]
        }
        self._expected = frozenset(self.busy) | frozenset(self.growing)

    def demand(self, model: ModelName) -> float:
        """Return the model's current demand, in engine seconds per second."""
        return self._work.get(model, 0.0)

    def last_arrival_s(self, model: ModelName) -> float:
        """Return when the model or one of its adapters was last requested."""
        return self._last_s.get(model, float("-inf"))

    def expected(self) -> list[ModelName]:
        """Return models that are busy or will be, highest demand first."""
        return sorted(self._expected, key=lambda model: (-self.work(model), model))

    def work(self, model: ModelName) -> float:
        """Return the greater of current and projected demand, in engine seconds/s."""
        arrivals_per_s = self._arrivals.get(model, 0.0)
        work = self._work.get(model, 0.0)
        if not arrivals_per_s:
            return work
        return work * self._projected[model] / arrivals_per_s

    def arrivals_per_s(self, model: ModelName) -> float:
        """Return the model's current requests per second."""
        return self._arrivals.get(model, 0.0)

    def projected_per_s(self, model: ModelName) -> float:
        """Return the model's projected requests per second."""
        return self._projected.get(model, 0.0)

    def is_expected(self, model: ModelName) -> bool:
        """Return whether the model is busy or will be."""
        return model in self._expected


def _find_busy(
    models: list[ModelName], arrivals: dict[ModelName, float]
) -> list[ModelName]:
    """Return the models that are busy at the given requests per second."""
    min_per_s = max(MIN_BUSY_SHARE * math.fsum(arrivals.values()), MIN_BUSY_PER_S)
    return [model for model in models if arrivals[model] > min_per_s]


def _project_arrivals(demand: ModelDemand, load_s: float, observed_s: float) -> float:
    """Return the requests per second at the end of a load that starts now.

    The average lags a growing rate by its time constant. Growth is projected no
    further than the time over which it is observed.
    """
    horizon_s = AVERAGING_S + min(load_s, TREND_S)
    return demand.arrivals_per_s + horizon_s * demand.growth_per_s2(observed_s)
