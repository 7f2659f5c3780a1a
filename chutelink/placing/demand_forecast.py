"""Which models are busy, and which may be soon. Pure."""

from __future__ import annotations

from ..entry.demand import DemandTable, ModelDemand
from ..ids import ModelName

MIN_ACTIVE_SHARE = 0.03
"""Share of all requests from which a model counts as one of the busy ones."""
MIN_ACTIVE_PER_S = 0.4
"""Requests a second below which no model counts as busy."""
MAX_RUN_GAP = 3
"""Busy models so near in the operators' order belong to one run."""
DEMAND_SHIFT = 3
"""By how many places, in the operators' order, demand moves on at once.

The first of the busy models fall silent, those behind them take over their share, and
as many new ones come in behind.
"""
FORECAST_SHARE = 0.6
"""How much of a busy model's demand is prepared for at the one behind it."""


class DemandForecast:
    """Demand as it is, and as it would be if it moved on along an order of models.

    Parameters
    ----------
    order : list of ModelName
        The operators' order.
    demand : DemandTable
        What is asked for.
    now_s : float
        The time that averages are brought to.
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
        least = max(MIN_ACTIVE_SHARE * total, MIN_ACTIVE_PER_S)
        self.active = [m for m in order if self._arrivals[m] > least]
        self.upcoming = self._forecast_upcoming()

    def demand(self, model: ModelName) -> float:
        """Return the demand that a model has now, in engine time a second."""
        return self._work.get(model, 0.0)

    def last_arrival_s(self, model: ModelName) -> float:
        """Return when a model or an adapter of it was last asked for."""
        return self._last_s.get(model, float("-inf"))

    def expected(self) -> list[ModelName]:
        """Return the models that are busy or may soon be, in the operators' order."""
        return [model for model in self._order if self.is_expected(model)]

    def work(self, model: ModelName) -> float:
        """Return the demand that a model has or may soon have, in engine time."""
        return max(self._work.get(model, 0.0), self.upcoming.get(model, 0.0))

    def share(self, model: ModelName) -> float:
        """Return which part of all requests is for a model."""
        total = sum(self._arrivals.values())
        return self._arrivals.get(model, 0.0) / total if total else 0.0

    def peak_share(self, model: ModelName) -> float:
        """Return a model's share of requests now, or once demand has moved on."""
        if model not in self.upcoming:
            return self.share(model)
        place = self._order.index(model) - DEMAND_SHIFT
        return max(self.share(model), self.share(self._order[place]))

    def is_expected(self, model: ModelName) -> bool:
        """Return whether a model is busy or may soon be."""
        return model in self.upcoming or model in self.active

    def _find_busiest_run(self) -> list[ModelName]:
        """Return the busiest run of busy models that are near one another."""
        runs: list[list[ModelName]] = []
        last = -MAX_RUN_GAP - 1
        active = set(self.active)
        for index, model in enumerate(self._order):
            if model not in active:
                continue
            if index - last > MAX_RUN_GAP:
                runs.append([])
            runs[-1].append(model)
            last = index
        return max(
            runs, key=lambda run: sum(self._arrivals[m] for m in run), default=[]
        )

    def _forecast_upcoming(self) -> dict[ModelName, float]:
        """Return what each model would be asked for if demand moved on now.

        That is the demand of the models some places before it.
        """
        expected: dict[ModelName, float] = {}
        places = len(self._order)
        position = {model: index for index, model in enumerate(self._order)}
        for model in self._find_busiest_run():
            work = FORECAST_SHARE * self._work[model]
            for step in range(1, min(DEMAND_SHIFT, places - 1) + 1):
                after = self._order[(position[model] + step) % places]
                expected[after] = max(work, expected.get(after, 0.0))
        return expected
