"""Which endpoints hold which models, and what giving one up costs. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from ..entry.config import ModelSpec
from ..entry.endpoints import NO_ADAPTER
from ..ids import AdapterName, ModelName
from .changes import Change, PlacementView, Site
from .outlook import Outlook

RECENT_S = 4.0
"""A model asked for within this time is in use; demand moves in about 5 s."""
RARE_IDLE_S = 0.6
"""A rare model without requests that was not asked for since gives way to one that is.

Daemons tell of theirs every 0.2 s. How often it is asked for counts no further: else
one request in some seconds keeps a model from giving way to those that requests wait
for.
"""
SPARE_WORK = 0.35
"""A replica gives way when the others would have less than this each to do.

With less, rare models find no place.
"""
REDUNDANT_WORK = 0.25
"""Engine seconds a second up to which the other replicas of a model can serve it alone.

Demand is an average: with more, a burst that comes after the eviction waits too long.
"""
IDLE_WORK = 0.10
"""Below this a replica beyond the first may give way."""
PAIR_SHARE = 0.14
"""Share of all requests from which a model is held by two endpoints.

The loss of one would refuse as many until a cold load is done, 4 s later.
"""
LAST_REPLICA_WORK = 0.05
"""What giving up the last replica of a model costs beside its own demand."""
KEPT_WORK = 1.0
"""What giving up a prepared model, or a busy one's last replica, costs besides.

More than any endpoint's whole time, so that nothing but a waiting model's own
demand of as much outweighs it.
"""
RUNNING_WORK = 0.05
"""What each request under way adds to the cost of giving its model up."""
EXPECTED_FIRST = 9
"""Models kept for the first demand: six busy ones and the three behind them."""
STARVED_LOADS = 2.0
"""Time of how many cold loads makes a model that is denied a starved one.

Only then does it evict a model that is prepared for: demand that moves on asks for that
one at once and by many.
"""
PAUSED_WORK = 2.0
"""What it adds when all streams of an endpoint pause too long."""


class Kept(Enum):
    """Why a model keeps its place where another is wanted."""

    WAITED_FOR = "waited_for"
    """Requests wait for it too, though it is here: its places are taken."""
    RUNNING = "running"
    """Requests for it run here."""
    ASKED_FOR = "asked_for"
    """It was asked for a moment ago."""
    UNSERVED = "unserved"
    """Requests were denied it, and it has served none since."""
    EXPECTED = "expected"
    """It is busy, or may soon be."""


class Holdings:
    """What endpoints hold in one round, with the changes that it has decided.

    ``expected`` are the models that are asked for, or soon may be; ``has_missing`` says
    that requests for some model are rejected because no endpoint holds it, and
    ``has_overdue`` that one of them is overdue.

    Parameters
    ----------
    view : PlacementView
        All that is decided by.
    """

    def __init__(self, view: PlacementView) -> None:
        self._view = view
        self._loading = Counter(view.loading)
        order = list(view.engine.models)
        self.outlook = Outlook(order, view.demand, view.now_s)
        waiting = view.demand.waiting(view.now_s)
        self._waiting = frozenset(model for model, _ in waiting)
        self.denied_s = view.demand.denied_s(view.now_s)
        self._kept: frozenset[ModelName] | None = None
        self._present: Counter[ModelName] = Counter()
        self._serving: Counter[ModelName] = Counter()
        for site in view.sites:
            lost = site.endpoint.closing | site.overloaded
            self._present.update(m for m in site.inventory.models if m not in lost)
            self._serving.update(m for m in site.endpoint.models if m not in lost)
        self.expected = frozenset(self.outlook.expected() or self._expected_first())
        self._missing_s: dict[ModelName, float] = {}
        for (model, _), denied_s in self.denied_s.items():
            if model in view.engine.models and not self.replicas(model):
                longest_s = max(denied_s, self._missing_s.get(model, 0.0))
                self._missing_s[model] = longest_s
        self.has_missing = bool(self._missing_s)
        self.has_overdue = any(map(self.is_overdue, self._missing_s))

    def take(self, change: Change, site: Site) -> None:
        """Take in a change that was decided."""
        self._loading[change.model, change.adapter] += 1
        for model in change.unload_models:
            self._present[model] -= 1
            self._serving[model] -= site.endpoint.holds(model)

    def is_loading(self, model: ModelName, adapter: AdapterName = NO_ADAPTER) -> bool:
        """Return whether a model or adapter is on its way somewhere."""
        return self._loading[model, adapter] > 0

    def is_kept(self, model: ModelName) -> bool:
        """Return whether some endpoint holds a model or keeps a copy of its weights.

        Gathered once for all models: asking each endpoint for each model takes most of
        the time of a plan.
        """
        if self._kept is None:
            self._kept = frozenset(
                kept for site in self._view.sites for kept in site.inventory.kept()
            )
        return model in self._kept

    def rare_loads(self) -> int:
        """Return how many models are on their way that few ask for."""
        return sum(
            count
            for (model, adapter), count in self._loading.items()
            if not adapter and not self.outlook.is_wanted(model)
        )

    def replicas(self, model: ModelName) -> int:
        """Return how many endpoints hold a model or are loading it."""
        return self._present[model] + self._loading[model, NO_ADAPTER]

    def held(self, model: ModelName) -> int:
        """Return how many endpoints serve a model; one still loading it does not."""
        return self._serving[model]

    def site_work(self, site: Site) -> float:
        """Return the engine time a second that its models ask or may ask of it.

        One whose streams pause too long counts as busier than its work says.
        """
        work = sum(
            self.outlook.work(model) / max(1, self.replicas(model))
            for model in site.inventory.models
        )
        return work + PAUSED_WORK * site.paused_share

    def _expected_first(self) -> list[ModelName]:
        """Return the models that will be asked for first, before any demand.

        The busiest one is held by most endpoints, and the busy ones follow one
        another in the operators' order.
        """
        order = list(self._view.engine.models)
        busiest = max(order, key=self.replicas)
        start = order.index(busiest)
        return [order[(start + n) % len(order)] for n in range(EXPECTED_FIRST)]

    def victims(
        self, site: Site, wanted: ModelName, *, is_replica: bool
    ) -> list[ModelName]:
        """Return the models that may give way, those least missed first."""
        demand, now_s = self._view.demand, self._view.now_s
        wanted_worth = max(self.outlook.work(wanted), LAST_REPLICA_WORK)
        ranked: list[tuple[float, float, ModelName]] = []
        for model in site.inventory.models:
            if model in self._waiting or model == wanted:
                continue
            if self._keeps_place(model, wanted):
                continue
            missed = self._missed(model)
            missed += RUNNING_WORK * site.endpoint.running(model)
            last_s = self.outlook.last_arrival_s(model)
            is_rare = model not in self.expected
            idle_s = RARE_IDLE_S if is_rare else RECENT_S
            is_unused = is_rare and not site.endpoint.running(model)
            is_idle = now_s - last_s > idle_s
            is_idle &= is_unused or missed <= wanted_worth
            is_spare = bool(demand.uses) and self._is_spare(model)
            is_spare |= wanted in self._waiting and self._is_prepared_twice(model)
            is_spare |= self.is_overdue(wanted) and self._is_redundant(model)
            is_outweighed = not is_replica and 2 * missed < wanted_worth
            is_due = self._may_evict(model, wanted)
            if is_idle or is_spare or is_outweighed or is_due:
                # Of rare ones the one that was not asked for the longest goes first.
                cost = 0.0 if is_unused and is_idle else missed
                ranked.append((cost, last_s, model))
        return [model for _, _, model in sorted(ranked)]

    def is_delayed(self, model: ModelName) -> bool:
        """Return whether a model is missing that a copy could have brought by now."""
        return self._is_missing_for(model, lambda spec: spec.disk_load_s)

    def is_overdue(self, model: ModelName) -> bool:
        """Return whether a model is missing for longer than a cold load of it takes."""
        return self._is_missing_for(model, lambda spec: spec.cold_load_s)

    def _is_starved(self, model: ModelName) -> bool:
        """Return whether a model is missing for the time of several cold loads."""
        return self._is_missing_for(model, lambda s: STARVED_LOADS * s.cold_load_s)

    def _is_missing_for(
        self, model: ModelName, limit_s: Callable[[ModelSpec], float]
    ) -> bool:
        """Return whether requests were denied a model for longer than a limit."""
        denied_s = self._missing_s.get(model)
        return denied_s is not None and denied_s > limit_s(
            self._view.engine.models[model]
        )

    def _may_evict(self, model: ModelName, wanted: ModelName) -> bool:
        """Return whether a missing model may take the place of another.

        Also while requests run, which end first: else those that came first keep the
        places, and some models are never served. Its weights stay on the endpoint's
        disk, so that it is back soon.
        """
        if self._is_starved(wanted):
            return model not in self.outlook.active
        return self.is_delayed(wanted) and model not in self.expected

    def _keeps_place(self, model: ModelName, wanted: ModelName) -> bool:
        """Return whether a rare model stays for the next request after denied ones.

        Its callers may have given up while it was loading. Only a model that was denied
        for longer, or a busy one without any replica, evicts it before it serves one.
        """
        is_busy_missing = wanted in self.outlook.active and not self.replicas(wanted)
        if model in self.expected or is_busy_missing:
            return False
        denied_s = self.denied_s.get((model, NO_ADAPTER), 0.0)
        return denied_s > self.denied_s.get((wanted, NO_ADAPTER), 0.0)

    def why_kept(self, site: Site, model: ModelName) -> Kept:
        """Return why a model of an endpoint does not give way, for logs."""
        if model in self._waiting:
            return Kept.WAITED_FOR
        if model in self.expected:
            return Kept.EXPECTED
        if (model, NO_ADAPTER) in self.denied_s:
            return Kept.UNSERVED
        return Kept.RUNNING if site.endpoint.running(model) else Kept.ASKED_FOR

    def _is_spare(self, model: ModelName) -> bool:
        """Return whether the other endpoints of a model can do without one."""
        others = self.held(model) - 1
        if others < 1 or (others == 1 and self.is_top(model)):
            return False
        return self.outlook.work(model) / others < SPARE_WORK

    def _is_redundant(self, model: ModelName) -> bool:
        """Return whether the other replicas of a model can serve its present demand."""
        others = self.held(model) - 1
        return others >= 1 and self.outlook.demand(model) / others < REDUNDANT_WORK

    def _is_prepared_twice(self, model: ModelName) -> bool:
        """Return whether two endpoints hold a model that is not asked for yet.

        Such pairs leave rarely used models no room, and gain nothing while nobody asks.
        """
        return model not in self.outlook.active and self.held(model) > 1

    def is_top(self, model: ModelName) -> bool:
        """Return whether so many ask for a model, or soon may, that two hold it."""
        return self.outlook.top_share(model) >= PAIR_SHARE

    def _missed(self, model: ModelName) -> float:
        """Return what giving up one replica of a model costs, in engine time."""
        replicas = self.held(model)
        work = self.outlook.work(model)
        is_first = not self._view.demand.uses and model in self.expected
        is_paired = replicas == 2 and self.is_top(model)
        if replicas <= 1 or is_first or is_paired:
            return LAST_REPLICA_WORK + work + KEPT_WORK * (model in self.expected)
        return max(0.0, work / (replicas - 1) - IDLE_WORK)
