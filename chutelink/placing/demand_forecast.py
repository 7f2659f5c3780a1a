"""Determine which models are busy and forecast which will be next, without I/O."""

from __future__ import annotations

from ..entry.demand import DemandTable, ModelDemand
from ..ids import ModelName

MIN_BUSY_SHARE = 0.03
"""Minimum share of all requests for a model to count as busy."""
MIN_BUSY_PER_S = 0.4
"""Minimum requests per second for a model to count as busy."""
MAX_RUN_GAP = 3
"""Maximum distance between busy models of one run, in configuration order."""
DEMAND_SHIFT = 3
"""Number of positions by which demand shifts at once, in configuration order.

The first busy models stop receiving requests, those after them take over their share,
and the same number of new models become busy at the end.
"""
FORECAST_SHARE = 0.6
"""Share of a busy model's demand that is forecast for the models after it."""


class DemandForecast:
    """Current demand, and demand as it would be after a shift along the model order.

    ``busy`` lists the models that are busy now, ``upcoming`` contains the demand of
    models after such a shift.

    Parameters
    ----------
    order : list of ModelName
        Models in the order of the operators' configuration.
    demand : DemandTable
        Request rates and waiting requests.
    now_s : float
        Time to which the averages are decayed.
    """

    def __init__(
        self, order: list[ModelName], demand: DemandTable, now_s: float
    ) -> None:
        self._order = order
        totals = demand.totals(now_s)
        known = {model: totals.get(model, ModelDemand()) for model in order}
        self._work = {model: total.work_per_s for model, total in known.items()}
        self._arrivals = {m: total.arrivals_per_s for m, total in known.items()}
        self._last_s = {m: total.last_arrival_s for m, total in totals.items()}
        total = sum(self._arrivals.values())
        min_per_s = max(MIN_BUSY_SHARE * total, MIN_BUSY_PER_S)
        self.busy = [m for m in order if self._arrivals[m] > min_per_s]
        self.upcoming = self._forecast_upcoming()

    def demand(self, model: ModelName) -> float:
        """Return the model's current demand, in engine seconds per second."""
        return self._work.get(model, 0.0)

    def last_arrival_s(self, model: ModelName) -> float:
        """Return when the model or one of its adapters was last requested."""
        return self._last_s.get(model, float("-inf"))

    def expected(self) -> list[ModelName]:
        """Return models that are busy or may soon be, in configuration order."""
        return [model for model in self._order if self.is_expected(model)]

    def work(self, model: ModelName) -> float:
        """Return the greater of current and forecast demand, in engine seconds/s."""
        return max(self._work.get(model, 0.0), self.upcoming.get(model, 0.0))

    def share(self, model: ModelName) -> float:
        """Return the model's share of all requests."""
        total = sum(self._arrivals.values())
        return self._arrivals.get(model, 0.0) / total if total else 0.0

    def peak_share(self, model: ModelName) -> float:
        """Return the greater of the model's share now and after a demand shift."""
        if model not in self.upcoming:
            return self.share(model)
        index = self._order.index(model) - DEMAND_SHIFT
        return max(self.share(model), self.share(self._order[index]))

    def is_expected(self, model: ModelName) -> bool:
        """Return whether the model is busy or may soon be."""
        return model in self.upcoming or model in self.busy

    def _find_busiest_run(self) -> list[ModelName]:
        """Return the run of neighboring busy models with the most requests."""
        runs: list[list[ModelName]] = []
        last = -MAX_RUN_GAP - 1
        busy = set(self.busy)
        for index, model in enumerate(self._order):
            if model not in busy:
                continue
            if index - last > MAX_RUN_GAP:
                runs.append([])
            runs[-1].append(model)
            last = index
        return max(
            runs, key=lambda run: sum(self._arrivals[m] for m in run), default=[]
        )

    def _forecast_upcoming(self) -> dict[ModelName, float]:
        """Return the demand for each model if it shifted now.

        It is derived from the models up to ``DEMAND_SHIFT`` positions before it.
        """
        upcoming: dict[ModelName, float] = {}
        count = len(self._order)
        position = {model: index for index, model in enumerate(self._order)}
        for model in self._find_busiest_run():
            work = FORECAST_SHARE * self._work[model]
            for step in range(1, min(DEMAND_SHIFT, count - 1) + 1):
                successor = self._order[(position[model] + step) % count]
                upcoming[successor] = max(work, upcoming.get(successor, 0.0))
        return upcoming
