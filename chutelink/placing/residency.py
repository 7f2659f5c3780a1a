"""Which endpoints hold which models, and the cost of evicting one, without I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from enum import Enum

from ..entry.config import ModelSpec
from ..entry.endpoints import NO_ADAPTER
from ..ids import AdapterName, EndpointId, ModelName, RegionName
from .changes import Change, PlacementView, Site
from .demand_forecast import DemandForecast

RARE_IDLE_S = 0.6
"""Idle time after which an unused rare model may be evicted for a requested one.

Daemons report their demand every 0.2 s. The request rate does not matter beyond this:
otherwise one request every few seconds would protect a model against eviction for
models that requests are waiting for.
"""
MAX_SPARE_WORK = 0.35
"""Work per remaining replica below which a replica may be evicted.

With a lower limit, there is no room for rare models.
"""
MAX_REDUNDANT_WORK = 0.25
"""Engine seconds per second and replica below which one replica is redundant.

Demand is an average: with a higher limit, a burst after the eviction waits too long.
"""
IDLE_WORK = 0.10
"""Work per replica below which evicting an additional replica costs nothing."""
LAST_REPLICA_WORK = 0.05
"""Cost of evicting a model's last replica, in addition to the model's demand."""
EXPECTED_MODEL_WORK = 1.0
"""Additional cost of evicting the last replica of a busy or growing model.

It is an endpoint's entire capacity, so only a waiting model with as much demand
outweighs it.
"""
RUNNING_REQUEST_WORK = 0.05
"""Cost that each running request adds to the eviction of its model."""
STARVED_COLD_LOADS = 2.0
"""Number of cold load times after which an unserved model counts as starved.

One load may just have started at the endpoint when the model was first requested. A
model that is still missing after its own load could have followed may evict one whose
requests are only projected.
"""
PAUSED_STREAMS_WORK = 2.0
"""Work added to an endpoint if all of its streams pause too long."""


class RetainReason(Enum):
    """Reason for not evicting a model in favor of a requested one."""

    WAITED_FOR = "waited_for"
    """Requests are waiting for it although it is resident: its slots are taken."""
    RUNNING = "running"
    """Requests for it are running on the endpoint."""
    ASKED_FOR = "asked_for"
    """It was requested a moment ago."""
    UNSERVED = "unserved"
    """Requests for it were rejected, and it has served none since."""
    EXPECTED = "expected"
    """It is busy or will be."""


class ModelResidency:
    """What endpoints hold during one planning pass, including its planned changes.

    ``expected`` contains the models that are or will be busy. ``has_missing``
    means that requests for some model are rejected because no endpoint holds it, and
    ``has_overdue`` that at least one of these models is overdue.

    Parameters
    ----------
    view : PlacementView
        The planner's input.
    """

    def __init__(self, view: PlacementView) -> None:
        self._view = view
        self._loading = Counter(view.loading)
        self._longest_load_s = max(
            (spec.cold_load_s for spec in view.engine.models.values()), default=0.0
        )
        self.forecast = DemandForecast(view.engine, view.demand, view.now_s)
        waiting = view.demand.waiting(view.now_s)
        self._waiting = frozenset(model for model, _ in waiting)
        self.denied_s = view.demand.denied_s(view.now_s)
        self._with_weights: frozenset[ModelName] | None = None
        self._resident: Counter[ModelName] = Counter()
        self._serving_count: Counter[ModelName] = Counter()
        for site in view.sites:
            lost = site.endpoint.closing | site.overloaded
            self._resident.update(m for m in site.inventory.models if m not in lost)
            if not site.is_cold:
                serving = (m for m in site.endpoint.models if m not in lost)
                self._serving_count.update(serving)
        held = [model for model in view.engine.models if self.replicas(model)]
        endpoints = max(1, len(view.sites))
        self._average_per_s = (
            math.fsum(map(self.forecast.arrivals_per_s, held)) / endpoints,
            math.fsum(map(self.forecast.projected_per_s, held)) / endpoints,
        )
        self.expected = frozenset(self.forecast.expected())
        self._missing_s: dict[ModelName, float] = {}
        for (model, _), denied_s in self.denied_s.items():
            if model in view.engine.models and not self.replicas(model):
                longest_s = max(denied_s, self._missing_s.get(model, 0.0))
                self._missing_s[model] = longest_s
        self._loading_at = set(view.loading_at)
        self._note_missing_at_home()
        self._homes_of: dict[ModelName, list[frozenset[RegionName]]] = {}
        for model, _, homes in view.demand.used_at_home(
            view.now_s, self._longest_load_s
        ):
            self._homes_of.setdefault(model, []).append(homes)
        self.has_missing = bool(self._missing_s)
        self.has_overdue = any(map(self.is_overdue, self._missing_s))

    def _note_missing_at_home(self) -> None:
        """Count models as missing that only endpoints outside home regions hold."""
        view = self._view
        for (model, _, homes), denied_s in view.demand.denied_at_home_s(
            view.now_s
        ).items():
            if model not in view.engine.models or not view.sites_in(homes):
                continue
            if not self.is_at_home(model, homes):
                longest_s = max(denied_s, self._missing_s.get(model, 0.0))
                self._missing_s[model] = longest_s

    def is_at_home(self, model: ModelName, homes: frozenset[RegionName]) -> bool:
        """Return whether an endpoint in home regions holds or is loading the model."""
        return any(
            self._holds(site, model)
            or self.is_loading_at(site.inventory.endpoint, model)
            for site in self._view.sites_in(homes)
        )

    def _holds(self, site: Site, model: ModelName) -> bool:
        lost = site.endpoint.closing | site.overloaded
        return model in site.inventory.models and model not in lost

    def is_loading_at(
        self, endpoint: EndpointId, model: ModelName, adapter: AdapterName = NO_ADAPTER
    ) -> bool:
        """Return whether an endpoint is loading the model or adapter."""
        return (endpoint, model, adapter) in self._loading_at

    def _is_last_at_home(self, site: Site, model: ModelName) -> bool:
        """Return whether recent requests with home regions would lose the model."""
        for homes in self._homes_of.get(model, ()):
            holders = [s for s in self._view.sites_in(homes) if self._holds(s, model)]
            if len(holders) == 1 and holders[0] is site:
                return True
        return False

    def apply(self, change: Change, site: Site) -> None:
        """Apply a planned change."""
        self._loading_at.add((change.endpoint, change.model, change.adapter))
        self._loading[change.model, change.adapter] += 1
        for model in change.unload_models:
            self._resident[model] -= 1
            if not site.is_cold:
                self._serving_count[model] -= site.endpoint.holds(model)

    def is_loading(self, model: ModelName, adapter: AdapterName = NO_ADAPTER) -> bool:
        """Return whether some endpoint is loading the model or adapter."""
        return self._loading[model, adapter] > 0

    def has_weights(self, model: ModelName) -> bool:
        """Return whether some endpoint holds the model or a copy of its weights.

        Computed once for all models, because checking every endpoint for every model
        would take most of the planning time.
        """
        if self._with_weights is None:
            self._with_weights = frozenset(
                name
                for site in self._view.sites
                for name in site.inventory.models_with_weights()
            )
        return model in self._with_weights

    def rare_loads(self) -> int:
        """Return how many rarely requested models are being loaded."""
        return sum(
            count
            for (model, adapter), count in self._loading.items()
            if not adapter and not self.forecast.is_expected(model)
        )

    def replicas(self, model: ModelName) -> int:
        """Return how many endpoints hold the model or are loading it."""
        return self._resident[model] + self._loading[model, NO_ADAPTER]

    def serving_replicas(self, model: ModelName) -> int:
        """Return how many warm endpoints serve it, not counting loads in progress.

        A cold replica does not make another one dispensable, but counts in
        ``replicas``, so that no further one is loaded because of it.
        """
        return self._serving_count[model]

    def site_work(self, site: Site) -> float:
        """Return the endpoint's current or projected work, in engine seconds/s.

        An endpoint whose streams pause too long counts as busier than that.
        """
        work = sum(
            self.forecast.work(model) / max(1, self.replicas(model))
            for model in site.inventory.models
        )
        return work + PAUSED_STREAMS_WORK * site.paused_share

    def recent(self) -> list[ModelName]:
        """Return the models in use, highest demand first."""
        recent = self._view.demand.recent(self._view.now_s, self._longest_load_s)
        return [model for model in recent if self._is_in_use(model)]

    def _is_in_use(self, model: ModelName) -> bool:
        """Return whether a model was requested within its own cold load time.

        Callers that come as often would all miss a model evicted between them.
        """
        spec = self._view.engine.models.get(model)
        load_s = self._longest_load_s if spec is None else spec.cold_load_s
        return self._view.now_s - self.forecast.last_arrival_s(model) <= load_s

    def _spread_candidates(self, site: Site, wanted: ModelName) -> list[ModelName]:
        """Return the models that may yield to another one before any request.

        Most replicas first. A last replica yields only to a model without any copy of
        its weights, and only if a copy of its own remains.
        """
        min_replicas = self.replicas(wanted) + 2
        may_take_last = not self.has_weights(wanted)
        candidates = [
            model
            for model in site.inventory.models
            if model != wanted
            and not site.endpoint.running(model)
            and (
                model not in self._view.engine.models
                or self.serving_replicas(model) >= min_replicas
                or (may_take_last and self._has_other_copy(site, model))
            )
        ]
        return sorted(candidates, key=lambda m: (-self.serving_replicas(m), m))

    def _has_other_copy(self, site: Site, model: ModelName) -> bool:
        """Return whether a copy of the weights remains if the model is evicted."""
        copies = {*site.inventory.on_disk, *site.inventory.in_memory}
        return model in copies or any(
            other is not site and other.inventory.has_weights(model)
            for other in self._view.sites
        )

    def eviction_candidates(
        self, site: Site, wanted: ModelName, *, is_replica: bool
    ) -> list[ModelName]:
        """Return the models that may be evicted, cheapest first."""
        demand, now_s = self._view.demand, self._view.now_s
        if not demand.uses:
            return self._spread_candidates(site, wanted)
        requested_work = max(self.forecast.work(wanted), LAST_REPLICA_WORK)
        ranked: list[tuple[float, bool, float, ModelName]] = []
        for model in site.inventory.models:
            if model in self._waiting or model == wanted:
                continue
            if self._is_protected(model, wanted):
                continue
            is_last_at_home = self._is_last_at_home(site, model)
            eviction_cost = self._eviction_cost(model, is_last=is_last_at_home)
            eviction_cost += RUNNING_REQUEST_WORK * site.endpoint.running(model)
            last_s = self.forecast.last_arrival_s(model)
            is_rare = model not in self.expected
            is_unused = is_rare and not site.endpoint.running(model)
            is_idle = (
                now_s - last_s > RARE_IDLE_S if is_rare else not self._is_in_use(model)
            )
            is_idle &= is_unused or eviction_cost <= requested_work
            is_spare = self._is_spare(model)
            is_spare |= wanted in self._waiting and self._is_surplus(model)
            is_spare |= self.is_overdue(wanted) and self._is_redundant(model)
            is_spare &= not is_last_at_home
            is_outweighed = not is_replica and 2 * eviction_cost < requested_work
            may_evict = self._may_evict(model, wanted)
            if is_idle or is_spare or is_outweighed or may_evict:
                # Surplus replicas of rare models are evicted first, then the least
                # recently requested model.
                cost = 0.0 if is_unused and is_idle else eviction_cost
                is_last = self.serving_replicas(model) <= 1
                ranked.append((cost, is_last, last_s, model))
        return [model for *_, model in sorted(ranked)]

    def is_delayed(self, model: ModelName) -> bool:
        """Return whether a model is missing for longer than a load from disk takes."""
        return self._is_missing_for(model, lambda spec: spec.disk_load_s)

    def is_overdue(self, model: ModelName) -> bool:
        """Return whether a model is missing for longer than a cold load of it takes."""
        return self._is_missing_for(model, lambda spec: spec.cold_load_s)

    def _is_starved(self, model: ModelName) -> bool:
        """Return whether a model is missing for longer than several cold loads take."""
        return self._is_missing_for(model, lambda s: STARVED_COLD_LOADS * s.cold_load_s)

    def _is_missing_for(
        self, model: ModelName, limit_s: Callable[[ModelSpec], float]
    ) -> bool:
        """Return whether a model has been missing for longer than a limit."""
        denied_s = self._missing_s.get(model)
        return denied_s is not None and denied_s > limit_s(
            self._view.engine.models[model]
        )

    def _may_evict(self, model: ModelName, wanted: ModelName) -> bool:
        """Return whether a missing model may evict another one that is in use.

        Running requests complete first. Without such evictions, the models that came
        first would stay and some models would never be served. The evicted weights stay
        on the endpoint's disk, so that the model can be reloaded quickly.
        """
        if self._is_starved(wanted):
            return model not in self.forecast.busy
        return self.is_delayed(wanted) and model not in self.expected

    def _is_protected(self, model: ModelName, wanted: ModelName) -> bool:
        """Return whether a rare model is retained until it has served a request.

        Its callers may have given up while it was loading. Until it serves a request,
        only a model that has gone unserved for longer, or a busy model without any
        replica, may evict it.
        """
        is_busy_missing = wanted in self.forecast.busy and not self.replicas(wanted)
        if model in self.expected or is_busy_missing:
            return False
        denied_s = self.denied_s.get((model, NO_ADAPTER), 0.0)
        return denied_s > self.denied_s.get((wanted, NO_ADAPTER), 0.0)

    def retain_reason(self, site: Site, model: ModelName) -> RetainReason:
        """Return why a model is not evicted from an endpoint, for logging."""
        if model in self._waiting:
            return RetainReason.WAITED_FOR
        if model in self.expected:
            return RetainReason.EXPECTED
        if (model, NO_ADAPTER) in self.denied_s:
            return RetainReason.UNSERVED
        return (
            RetainReason.RUNNING
            if site.endpoint.running(model)
            else RetainReason.ASKED_FOR
        )

    def _is_spare(self, model: ModelName) -> bool:
        """Return whether a model's other replicas have capacity to spare."""
        others = self.serving_replicas(model) - 1
        if others < 1 or (others == 1 and self.is_high_traffic(model)):
            return False
        return self.forecast.work(model) / others < MAX_SPARE_WORK

    def _is_redundant(self, model: ModelName) -> bool:
        """Return whether the other replicas of a model can serve its current demand."""
        others = self.serving_replicas(model) - 1
        return others >= 1 and self.forecast.demand(model) / others < MAX_REDUNDANT_WORK

    def _is_surplus(self, model: ModelName) -> bool:
        """Return whether several endpoints hold a model that is not busy.

        The additional replicas leave no room for rarely requested models and have no
        benefit while there are no requests.
        """
        return model not in self.expected and self.serving_replicas(model) > 1

    def is_high_traffic(self, model: ModelName) -> bool:
        """Return whether a model has or will have a large share of the requests."""
        projected_per_s = self.forecast.projected_per_s(model)
        will_be = projected_per_s >= self._average_per_s[1] and projected_per_s > 0
        return will_be or self.has_large_share(model)

    def has_large_share(self, model: ModelName) -> bool:
        """Return whether a model has the requests of an average endpoint, or more.

        With a single replica, the loss of its endpoint would refuse more requests than
        the loss of an average one.
        """
        arrivals_per_s = self.forecast.arrivals_per_s(model)
        return arrivals_per_s >= self._average_per_s[0] and arrivals_per_s > 0

    def _eviction_cost(self, model: ModelName, *, is_last: bool = False) -> float:
        """Return the cost of evicting one replica, in engine seconds per second.

        ``is_last`` marks one that other replicas can't replace.
        """
        replicas = self.serving_replicas(model)
        work = self.forecast.work(model)
        has_one_spare = replicas == 2 and self.is_high_traffic(model)
        if is_last or replicas <= 1 or has_one_spare:
            return (
                LAST_REPLICA_WORK
                + work
                + EXPECTED_MODEL_WORK * (model in self.expected)
            )
        return max(0.0, work / (replicas - 1) - IDLE_WORK)
