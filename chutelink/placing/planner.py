"""Plan placement changes for the endpoints that are free, without I/O."""

from __future__ import annotations

import math
from collections import Counter

import msgspec

from ..entry.config import ModelSpec
from ..ids import AdapterName, EndpointId, ModelName, RegionName
from .adapter_planner import AdapterPlanner
from .capacity import load_time, lost_copies, model_mb, used_mb
from .changes import Change, ChangeReason, DeclineReason, PlacementView, Site
from .residency import ModelResidency, RetainReason

REPLICA_WORK = 0.35
"""Engine seconds per second and replica above which another replica is added.

About a third of an endpoint's capacity, ignoring cache savings: two busy models often
share an endpoint, and queueing delay grows quickly above half.
"""
MAX_PRELOADED_REPLICAS = 3
"""Maximum number of replicas to load before a model's requests need them."""
RUNNING_PENALTY_S = 1.0
"""Expected wait of an unload for running requests; long responses take 1 to 3 s."""
ADAPTER_BLOCK_SHARE = 0.5
"""Cost of blocking adapter loads of a busy model, as a share of the load time."""
LOST_COPY_PENALTY_S = 3.0
"""Cost, as load time, of losing the only copy of a model's weights.

The difference between a cold load and a load from an endpoint's own disk.
"""
CHANGE_MARGIN_S = 0.3
"""Typical delay of a change beyond its plan, due to reports and running requests."""
MAX_RARE_SHARE = 0.45
"""Share of the endpoints that may load rarely requested models at once.

An endpoint that is loading accepts no adapter orders and no other model for 4 s.
"""
MAX_OVERDUE_SHARE = 0.7
"""Share of the endpoints that may load rare models at once if some are overdue.

The remaining endpoints stay free for adapters and replicas of busy models.
"""
COLD_LOAD_MIN_REQUESTS = 1.5
"""Recent requests that show that a rare model will be requested after a cold load.

The caller of a single request that cannot wait for the load gains nothing from it, and
callers of the evicted model would wait for another load.
"""
BUSY_PENALTY_S = 3.0
"""Cost, as load time, of choosing an endpoint that is busy all the time."""
SATURATED_WORK = 0.5
"""Engine seconds per second from which an endpoint's streams pause too long.

Prompts are then processed without a break between the tokens of other requests.
"""
MIN_RELIEF_WORK = 0.1
"""Models with less demand than this get no replica to relieve busy endpoints."""


class PlacementPlanner:
    """One planning pass; endpoints that got a change are excluded from then on.

    Parameters
    ----------
    view : PlacementView
        The planner's input.
    """

    def __init__(self, view: PlacementView) -> None:
        self._view = view
        self._cold_loads = view.cold_loads
        self._free = {
            site.inventory.endpoint: site
            for site in sorted(view.sites, key=lambda s: s.inventory.endpoint)
            if site.inventory.is_known
            and not site.inventory.is_changing
            and not site.inventory.is_busy
            and not site.overloaded
            and view.now_s >= site.inventory.retry_after_s
        }
        self._residency = ModelResidency(view)
        self.forecast = self._residency.forecast
        self._adapter_planner = AdapterPlanner(view, self._free, self._residency)
        self._awaited: dict[EndpointId, ModelName] = {}
        self.changes: list[Change] = []
        self.declined: dict[ModelName, DeclineReason] = {}

    @property
    def denied_s(self) -> dict[tuple[ModelName, AdapterName], float]:
        """How long requests for each model and adapter have gone unserved."""
        return self._residency.denied_s

    def recent(self) -> list[ModelName]:
        """Return the models in use, highest demand first."""
        return self._residency.recent()

    def growing_models(self) -> list[ModelName]:
        """Return the models with growing demand, highest projected demand first."""
        growing = self.forecast.growing
        return sorted(growing, key=lambda model: (-growing[model], model))

    def load_requested(self, model: ModelName, adapter: AdapterName) -> None:
        """Load the model and adapter that a request is waiting for."""
        self.ensure_resident(model)
        if adapter:
            self.ensure_adapter_resident(model, adapter)

    def load_at_home(
        self, model: ModelName, adapter: AdapterName, homes: frozenset[RegionName]
    ) -> None:
        """Load the model and adapter in a home region of requests waiting for it."""
        if not self._view.sites_in(homes):
            return
        if not self._residency.is_at_home(model, homes):
            may_be_cold = self._justifies_cold_load(model)
            self._load(model, ChangeReason.HOME, may_be_cold=may_be_cold, homes=homes)
        if adapter:
            change = self._adapter_planner.ensure_resident(model, adapter, homes)
            if change is not None:
                self.changes.append(change)

    def ensure_resident(
        self, model: ModelName, reason: ChangeReason = ChangeReason.ASKED
    ) -> None:
        """Load the model if no endpoint holds or is loading it."""
        if self._residency.replicas(model) == 0:
            self._load(model, reason, may_be_cold=self._justifies_cold_load(model))

    def _justifies_cold_load(self, model: ModelName) -> bool:
        """Return whether requests will use a load from the weight store."""
        demand, now_s = self._view.demand, self._view.now_s
        if self.forecast.is_expected(model):
            return True
        is_overdue = self._residency.is_overdue(model)
        share = MAX_OVERDUE_SHARE if is_overdue else MAX_RARE_SHARE
        if self._residency.rare_loads() >= max(1.0, share * len(self._view.sites)):
            return False
        if self._residency.is_delayed(model):
            return True
        has_requests = demand.asks(model, now_s) >= COLD_LOAD_MIN_REQUESTS
        return has_requests or demand.can_wait_for_cold_load(model, now_s)

    def add_second_replica(self, model: ModelName) -> None:
        """Load a second replica of a model that is in high demand.

        Does nothing while a rare model is overdue, which would evict the replica again.
        """
        if self._residency.has_overdue:
            return
        if self._residency.replicas(model) < 2 and self._residency.has_large_share(
            model
        ):
            self._load(model, ChangeReason.PAIR)

    def preload_second_replica(self, model: ModelName) -> None:
        """Load a second replica of a model that will be in high demand.

        Does nothing while a requested model is missing, because the replica would
        evict one that is requested.
        """
        if self._residency.has_missing:
            return
        if self._residency.replicas(model) < 2 and self._residency.is_high_traffic(
            model
        ):
            self._load(model, ChangeReason.PAIR)

    def add_replica(self, model: ModelName) -> None:
        """Add a replica if the model is busy or shares saturated endpoints."""
        replicas = self._residency.replicas(model)
        work = self.forecast.demand(model)
        if not replicas:
            return
        if work / replicas > REPLICA_WORK or self._has_saturated_endpoints(model, work):
            self._load(model, ChangeReason.BUSY)

    def _has_saturated_endpoints(self, model: ModelName, work: float) -> bool:
        """Return whether a model's endpoints are all saturated and another is not.

        Models on one endpoint share its batch, so a backlog of prompts for one model
        pauses the streams of the others.
        """
        if work < MIN_RELIEF_WORK or self._residency.is_loading(model):
            return False
        holders = [s for s in self._view.sites if model in s.inventory.models]
        if not holders or min(map(self._residency.site_work, holders)) < SATURATED_WORK:
            return False
        return any(
            self._residency.site_work(site) < SATURATED_WORK / 2
            for site in self._free.values()
            if model not in site.inventory.models
        )

    def preload(self, model: ModelName) -> None:
        """Load replicas for the demand when their load completes."""
        wanted = max(1, math.ceil(self.forecast.growing[model] / REPLICA_WORK))
        if self._residency.replicas(model) < min(wanted, MAX_PRELOADED_REPLICAS):
            self._load(model, ChangeReason.NEXT)

    def prefetch(self, model: ModelName) -> None:
        """Fetch a model before any demand if no endpoint has a copy of its weights.

        A later request then waits only for a load from an endpoint's own copy, which
        takes a fifth of the time of a cold load.
        """
        if self._residency.is_loading(model) or self._residency.has_weights(model):
            return
        self._load(model, ChangeReason.SPREAD)

    def spread(self) -> None:
        """Hold as many models as possible before any request shows which are needed.

        Models without any copy of their weights come first, because their callers
        would wait longest. Others get a replica in free memory or instead of a
        surplus one, if an endpoint has a copy.
        """
        models = sorted(self._view.engine.models)
        for model in models:
            self.prefetch(model)
        for model in models:
            if self._residency.replicas(model) == 0:
                self._load(model, ChangeReason.SPREAD, may_be_cold=False)

    def may_spread(self) -> bool:
        """Return whether there is no demand yet and all endpoints have reported."""
        if self._view.demand.uses:
            return False
        return all(site.inventory.is_known for site in self._view.sites)

    def ensure_adapter_resident(self, model: ModelName, adapter: AdapterName) -> None:
        """Load an adapter at an endpoint that holds its model, if none has it yet."""
        change = self._adapter_planner.ensure_resident(model, adapter)
        if change is not None:
            self.changes.append(change)

    def add_adapters(self, model: ModelName) -> None:
        """Load a busy model's missing adapters into free adapter slots."""
        self.changes += self._adapter_planner.add_missing(model)

    def _load(
        self,
        model: ModelName,
        reason: ChangeReason,
        *,
        may_be_cold: bool = True,
        homes: frozenset[RegionName] | None = None,
    ) -> None:
        spec = self._view.engine.models.get(model)
        if spec is None:
            return
        if model in self._view.paused_until_s:
            self.declined[model] = DeclineReason.ENDS_ENDPOINTS
            return
        options = []
        has_capacity = False
        # Replicas elsewhere are of no use to requests with home regions.
        is_replica = homes is None and self._residency.replicas(model) > 0
        sites = self._view.sites if homes is None else self._view.sites_in(homes)
        # Loads in advance leave one cold load for requested models.
        reserved = int(reason in (ChangeReason.NEXT, ChangeReason.SPREAD))
        may_be_cold = may_be_cold and self._cold_loads > reserved
        for site in sites:
            is_free = site.inventory.endpoint in self._free
            if not is_free or model in site.inventory.models:
                continue
            change = self._model_change(site, spec, is_replica=is_replica)
            has_capacity = has_capacity or change is not None
            if change is None or (change.is_cold and not may_be_cold):
                continue
            if is_replica and change.is_cold and self._blocks_adapters(site):
                continue
            if reason is ChangeReason.SPREAD and self._loses_only_copy(change):
                # The other model would be fetched next, and so on without end.
                continue
            options.append(change)
        if not options:
            self.declined[model] = self._decline_reason(has_capacity=has_capacity)
            return
        best = min(options, key=lambda c: (self._model_cost(c), c.endpoint))
        available_in_s, endpoint = self._copy_available_in_s(spec, sites)
        if best.is_cold and best.load_s > available_in_s:
            self.declined[model] = DeclineReason.COPY_SOON_FREE
            self._awaited[endpoint] = model
            return
        self._commit(msgspec.structs.replace(best, reason=reason))

    def without_replica(self, models: list[ModelName]) -> list[ModelName]:
        """Return the distinct models that no endpoint holds or is loading."""
        known = [m for m in dict.fromkeys(models) if m in self._view.engine.models]
        return [model for model in known if not self._residency.replicas(model)]

    def retained(self) -> Counter[RetainReason]:
        """Return why models stay on the free endpoints, for logging."""
        return Counter(
            self._residency.retain_reason(site, model)
            for site in self._free.values()
            for model in site.inventory.models
        )

    def _decline_reason(self, *, has_capacity: bool) -> DeclineReason:
        if not self._free:
            return DeclineReason.NO_FREE_ENDPOINT
        return DeclineReason.NO_COPY if has_capacity else DeclineReason.NO_ROOM

    def _copy_available_in_s(
        self, spec: ModelSpec, sites: list[Site]
    ) -> tuple[float, EndpointId]:
        """Return how soon a busy endpoint could load its copy of the model, and which.

        A cold load instead would keep another endpoint busy for seconds, so that the
        copies there could not be used either. An endpoint that a model before it in
        the load order waits for will not be free for this one.
        """
        available_in_s = [
            (
                site.free_in_s + load_time(site.inventory, spec)[0] + CHANGE_MARGIN_S,
                site.inventory.endpoint,
            )
            for site in sites
            if site.inventory.endpoint not in self._free
            and self._awaited.get(site.inventory.endpoint, spec.name) == spec.name
            and not site.overloaded
            and spec.name not in site.inventory.models
            and site.inventory.has_weights(spec.name)
        ]
        return min(available_in_s, default=(math.inf, EndpointId("")))

    def _model_change(
        self, site: Site, spec: ModelSpec, *, is_replica: bool
    ) -> Change | None:
        inventory = site.inventory
        load_s, is_cold = load_time(inventory, spec)
        free_mb = self._view.engine.weights_mb - used_mb(inventory, self._view.engine)
        victims: list[ModelName] = []
        for victim in self._residency.eviction_candidates(
            site, spec.name, is_replica=is_replica
        ):
            if free_mb >= spec.weights_mb:
                break
            victims.append(victim)
            free_mb += model_mb(inventory, victim, self._view.engine)
        if free_mb < spec.weights_mb:
            return None
        return Change(
            inventory.endpoint,
            spec.name,
            unload_models=tuple(victims),
            load_s=load_s,
            is_cold=is_cold,
        )

    def _model_cost(self, change: Change) -> float:
        """Return the cost of a change: load time in seconds plus penalties."""
        site = self._free[change.endpoint]
        busy_s = BUSY_PENALTY_S * self._residency.site_work(site)
        unload_s = sum(map(self.forecast.demand, change.unload_models))
        unload_s += sum(
            RUNNING_PENALTY_S
            for model in change.unload_models
            if site.endpoint.running(model)
        )
        blocked_s = ADAPTER_BLOCK_SHARE * change.load_s * self._blocks_adapters(site)
        copies_s = LOST_COPY_PENALTY_S * self._loses_only_copy(change)
        return change.load_s + busy_s + unload_s + blocked_s + copies_s

    def _loses_only_copy(self, change: Change) -> bool:
        """Return whether a cold load evicts the last copy of a model's weights."""
        if not change.is_cold:
            return False
        site = self._free[change.endpoint]
        others = [s.inventory for s in self._view.sites if s is not site]
        spec = self._view.engine.models[change.model]
        lost = lost_copies(site.inventory, spec, self._view.engine)
        return any(
            not any(inventory.has_weights(model) for inventory in others)
            for model in lost
        )

    def _blocks_adapters(self, site: Site) -> bool:
        """Return whether a load here leaves a busy model without adapter loads.

        An endpoint accepts no adapter orders while it loads a model.
        """
        others = [free for free in self._free.values() if free is not site]
        return any(
            model in site.inventory.models
            and self._has_adapters(model)
            and not any(model in other.inventory.models for other in others)
            for model in self._residency.expected
        )

    def _has_adapters(self, model: ModelName) -> bool:
        spec = self._view.engine.models.get(model)
        return spec is not None and bool(spec.adapters)

    def _commit(self, change: Change) -> None:
        self._residency.apply(change, self._free.pop(change.endpoint))
        self._cold_loads -= change.is_cold
        self.changes.append(change)
