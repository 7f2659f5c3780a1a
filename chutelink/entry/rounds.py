"""One pass of placement over the endpoints that may be changed now. Pure."""

from __future__ import annotations

import math

import msgspec

from ..ids import AdapterName, EndpointId, ModelName
from .changes import Change, ChangeReason, PlacementView, Site
from .config import ModelSpec
from .endpoints import NO_ADAPTER
from .outlook import Outlook
from .room import load_time, lost_copies, model_mb, used_mb

RECENT_S = 4.0
"""A model asked for within this time is in use; demand moves in about 5 s."""
RARE_IDLE_S = 0.6
"""A rare model that was not asked for since gives way to one that is.

A request takes half a second, and daemons tell of theirs every 0.2 s.
"""
ADAPTER_IDLE_S = 0.25
"""An adapter asked for since may be in use: daemons tell theirs every 0.2 s."""
REPLICA_WORK = 0.35
"""Engine seconds a second above which another replica is wanted.

A third of an endpoint's time, not counting what caches save: two busy models
often share an endpoint, and waiting grows quickly above half.
"""
SPARE_WORK = 0.35
"""A replica gives way when the others would have no more than this each to do.

Well below ``REPLICA_WORK``, or the same model would soon be loaded again.
"""
IDLE_WORK = 0.10
"""Below this a replica beyond the first may give way."""
PAIR_SHARE = 0.14
"""Share of all requests from which a model is held by two endpoints.

The loss of one would refuse as many until a cold load is done, 4 s later.
"""
MAX_PREPARED_REPLICAS = 3
"""Replicas that are worth loading before they are asked for."""
LAST_REPLICA_WORK = 0.05
"""What giving up the last replica of a model costs beside its own demand."""
KEPT_WORK = 1.0
"""What giving up a prepared model, or a busy one's last replica, costs besides.

More than any endpoint's whole time, so that nothing but a waiting model's own
demand of as much outweighs it.
"""
RUNNING_WORK = 0.05
"""What each request under way adds to the cost of giving its model up."""
RUNNING_DELAY_S = 1.0
"""How long an unload waits for requests under way; long answers take 1 to 3 s."""
BLOCKED_SHARE = 0.5
"""What loading where a busy model then gets no adapters costs, of the load's time."""
LOST_COPY_S = 3.0
"""What it costs, as load time, to lose the only copy of a model's weights.

The difference between a cold load and one from an endpoint's own disk.
"""
WAIT_MARGIN_S = 0.3
"""What a change usually takes longer than planned: reports, requests under way."""
EXPECTED_FIRST = 9
"""Models kept for the first demand: six busy ones and the three behind them."""
MAX_RARE_SHARE = 0.45
"""Share of the endpoints that may load rare models at once.

An endpoint that loads takes no orders for adapters and no other model for 4 s.
"""
COLD_LOAD_ASKS = 1.5
"""How often a rare model must lately have been asked for to be fetched.

A cold load costs about as much as one request is worth, and takes the place of
another model that is as likely to be asked for.
"""
BUSY_PENALTY_S = 3.0
"""What an endpoint that is busy all the time costs, as load time."""
CROWDED_WORK = 0.5
"""Engine seconds a second from which an endpoint's streams pause too long.

Measured: with prompts read without a break, events of 5 tokens come 0.45 s apart.
"""
PAUSED_WORK = 2.0
"""What it adds when all streams of an endpoint pause too long."""
CROWDED_MODEL_WORK = 0.1
"""A model asked for less than this is not moved away from busy endpoints."""


class PlacementRound:
    """One pass of a policy; endpoints that got a change are left out.

    Parameters
    ----------
    view : PlacementView
        All that is decided by.
    """

    def __init__(self, view: PlacementView) -> None:
        self._view = view
        self._cold_loads = view.cold_loads
        self._free = {
            site.inventory.endpoint: site
            for site in view.sites
            if site.inventory.is_known
            and not site.inventory.is_changing
            and not site.inventory.is_busy
            and view.now_s >= site.inventory.avoid_until_s
        }
        self._loading = dict(view.loading)
        order = list(view.engine.models)
        self.outlook = Outlook(order, view.demand, view.now_s)
        self._given_up: set[tuple[EndpointId, ModelName]] = set()
        self._expected = frozenset(self.outlook.expected() or self._expected_first())
        self.changes: list[Change] = []

    def next_models(self) -> list[ModelName]:
        """Return the models that may be asked for more, the busiest first."""
        expected = self.outlook.next
        return sorted(expected, key=lambda model: -expected[model])

    def make_wanted(self, model: ModelName, adapter: AdapterName) -> None:
        """Load what a request waits for."""
        self.make_resident(model)
        if adapter:
            self.make_adapter_resident(model, adapter)

    def make_resident(
        self, model: ModelName, reason: ChangeReason = ChangeReason.ASKED
    ) -> None:
        """Load a model that no endpoint holds."""
        if self._replicas(model) == 0:
            self._load(model, reason, may_be_cold=self._earns_cold(model))

    def _earns_cold(self, model: ModelName) -> bool:
        """Return whether a load from the weight store is worth its price."""
        demand, now_s = self._view.demand, self._view.now_s
        if self.outlook.is_wanted(model):
            return True
        rare = sum(
            count
            for (name, adapter), count in self._loading.items()
            if not adapter and not self.outlook.is_wanted(name)
        )
        if rare >= max(1.0, MAX_RARE_SHARE * len(self._view.sites)):
            return False
        is_asked = demand.asks(model, now_s) >= COLD_LOAD_ASKS
        return is_asked or demand.has_patient(model, now_s)

    def pair(self, model: ModelName) -> None:
        """Load a model a second time that many ask for, or soon may."""
        if self._replicas(model) < 2 and self._is_top(model):
            self._load(model, ChangeReason.PAIR)

    def add_replica(self, model: ModelName) -> None:
        """Load a busy model once more, or one whose endpoints others keep busy."""
        replicas = self._replicas(model)
        work = self._view.demand.work_per_s(model, self._view.now_s)
        if not replicas:
            return
        if work / replicas > REPLICA_WORK or self._is_crowded(model, work):
            self._load(model, ChangeReason.BUSY)

    def _is_crowded(self, model: ModelName, work: float) -> bool:
        """Return whether all endpoints of a busy model are busy, and another is not.

        Models of one endpoint share its batch: a backlog of prompts of one makes the
        others' streams pause.
        """
        if work < CROWDED_MODEL_WORK or self._loading.get((model, NO_ADAPTER)):
            return False
        holders = [s for s in self._view.sites if model in s.inventory.models]
        if not holders or min(map(self._site_work, holders)) < CROWDED_WORK:
            return False
        return any(
            self._site_work(site) < CROWDED_WORK / 2
            for site in self._free.values()
            if model not in site.inventory.models
        )

    def _site_work(self, site: Site) -> float:
        """Return the engine time a second that its models ask or may ask of it.

        One whose streams pause too long counts as busier than its work says.
        """
        work = sum(
            self.outlook.work(model) / max(1, self._replicas(model))
            for model in site.inventory.models
        )
        return work + PAUSED_WORK * site.paused_share

    def prepare(self, model: ModelName) -> None:
        """Load a model that may soon be asked for more, in advance."""
        wanted = max(1, math.ceil(self.outlook.next[model] / REPLICA_WORK))
        if self._replicas(model) < min(wanted, MAX_PREPARED_REPLICAS):
            self._load(model, ChangeReason.NEXT)

    def spread(self, model: ModelName) -> None:
        """Fetch a model of whose weights no endpoint keeps a copy, before any demand.

        Whoever asks for it later waits for a load from an endpoint's own copy, a
        fifth of the time of a cold one.
        """
        if any(site.inventory.keeps(model) for site in self._view.sites):
            return
        if not all(site.inventory.is_known for site in self._view.sites):
            return
        if self._loading.get((model, NO_ADAPTER)):
            return
        if not self._view.demand.uses:
            self._load(model, ChangeReason.SPREAD)

    def make_adapter_resident(self, model: ModelName, adapter: AdapterName) -> None:
        """Load an adapter where its model is, if none is there yet."""
        key = (model, adapter)
        if self._loading.get(key):
            return
        if any(site.inventory.has(model, adapter) for site in self._view.sites):
            return
        options = [
            option
            for site in self._free.values()
            if model in site.inventory.models and model not in site.endpoint.closing
            for option in [self._adapter_change(site, model, adapter)]
            if option is not None
        ]
        if not options:
            return
        best = min(options, key=self._adapter_cost)
        self._take(best)

    def add_adapters(self, model: ModelName) -> None:
        """Use free places for adapters of a busy model that are nowhere yet."""
        spec = self._view.engine.models[model]
        missing = [
            adapter
            for adapter in spec.adapters
            if not self._loading.get((model, adapter))
            and not any(s.inventory.has(model, adapter) for s in self._view.sites)
        ]
        for site in list(self._free.values()):
            if not missing or model not in site.inventory.models:
                continue
            change = self._adapter_change(site, model, missing[0])
            if change is not None and not change.unload_adapters:
                self._take(change)
                missing.pop(0)

    def _replicas(self, model: ModelName) -> int:
        """Return how many endpoints hold a model or are loading it."""
        present = sum(
            model in site.inventory.models
            and model not in site.endpoint.closing
            and (site.inventory.endpoint, model) not in self._given_up
            for site in self._view.sites
        )
        return present + self._loading.get((model, NO_ADAPTER), 0)

    def _held(self, model: ModelName) -> int:
        """Return how many endpoints serve a model and keep it in this round.

        One that is still loading it does not.
        """
        return sum(
            site.endpoint.holds(model)
            and (site.inventory.endpoint, model) not in self._given_up
            for site in self._view.sites
        )

    def _load(
        self, model: ModelName, reason: ChangeReason, *, may_be_cold: bool = True
    ) -> None:
        spec = self._view.engine.models.get(model)
        if spec is None:
            return
        options = []
        is_replica = self._replicas(model) > 0
        # What is only prepared leaves one cold load to what is asked for.
        is_spared = reason in (ChangeReason.NEXT, ChangeReason.SPREAD)
        spared = 1 if is_spared else 0
        may_be_cold = may_be_cold and self._cold_loads > spared
        for site in self._free.values():
            if model in site.inventory.models:
                continue
            change = self._model_change(site, spec, is_replica=is_replica)
            if change is None or (change.is_cold and not may_be_cold):
                continue
            if is_replica and change.is_cold and self._blocks_adapters(site):
                continue
            options.append(change)
        if not options:
            return
        best = min(options, key=self._model_cost)
        if not best.is_cold or best.load_s <= self._wait_s(spec):
            self._take(msgspec.structs.replace(best, reason=reason))

    def _wait_s(self, spec: ModelSpec) -> float:
        """Return how soon an endpoint with a copy that is not free could have it.

        A cold load in its place would keep another endpoint busy for seconds, so
        that copies there can't be used either.
        """
        waits_s = [
            site.free_in_s + load_time(site.inventory, spec)[0] + WAIT_MARGIN_S
            for site in self._view.sites
            if site.inventory.endpoint not in self._free
            and spec.name not in site.inventory.models
            and site.inventory.keeps(spec.name)
        ]
        return min(waits_s, default=math.inf)

    def _model_change(
        self, site: Site, spec: ModelSpec, *, is_replica: bool
    ) -> Change | None:
        inventory = site.inventory
        load_s, is_cold = load_time(inventory, spec)
        free_mb = self._view.engine.weights_mb - used_mb(inventory, self._view.engine)
        victims: list[ModelName] = []
        for victim in self._victims(site, spec.name, is_replica=is_replica):
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

    def _expected_first(self) -> list[ModelName]:
        """Return the models that will be asked for first, before any demand.

        The busiest one is held by most endpoints, and the busy ones follow one
        another in the operators' order.
        """
        order = list(self._view.engine.models)
        busiest = max(order, key=self._replicas)
        start = order.index(busiest)
        return [order[(start + n) % len(order)] for n in range(EXPECTED_FIRST)]

    def _victims(
        self, site: Site, wanted: ModelName, *, is_replica: bool
    ) -> list[ModelName]:
        """Return the models that may give way, those least missed first."""
        demand, now_s = self._view.demand, self._view.now_s
        waiting = {model for model, _ in demand.waiting(now_s)}
        wanted_worth = max(self.outlook.work(wanted), LAST_REPLICA_WORK)
        ranked: list[tuple[float, float, ModelName]] = []
        for model in site.inventory.models:
            if model in waiting or model == wanted:
                continue
            missed = self._missed(model)
            missed += RUNNING_WORK * site.endpoint.running(model)
            last_s = demand.last_arrival_s(model)
            idle_s = RECENT_S if model in self._expected else RARE_IDLE_S
            is_idle = now_s - last_s > idle_s and missed <= wanted_worth
            is_spare = bool(demand.uses) and self._is_spare(model)
            is_outweighed = not is_replica and 2 * missed < wanted_worth
            if is_idle or is_spare or is_outweighed:
                ranked.append((missed, last_s, model))
        return [model for _, _, model in sorted(ranked)]

    def _is_spare(self, model: ModelName) -> bool:
        """Return whether the other endpoints of a model can do without one."""
        others = self._held(model) - 1
        if others < 1 or (others == 1 and self._is_top(model)):
            return False
        return self.outlook.work(model) / others < SPARE_WORK

    def _is_top(self, model: ModelName) -> bool:
        return self.outlook.top_share(model) >= PAIR_SHARE

    def _missed(self, model: ModelName) -> float:
        """Return what giving up one replica of a model costs, in engine time."""
        replicas = self._held(model)
        work = self.outlook.work(model)
        is_first = not self._view.demand.uses and model in self._expected
        is_paired = replicas == 2 and self._is_top(model)
        if replicas <= 1 or is_first or is_paired:
            return LAST_REPLICA_WORK + work + KEPT_WORK * (model in self._expected)
        return max(0.0, work / (replicas - 1) - IDLE_WORK)

    def _model_cost(self, change: Change) -> float:
        """Return the time until the model can be used, in seconds."""
        site = self._free[change.endpoint]
        busy_s = BUSY_PENALTY_S * self._site_work(site)
        demand, now_s = self._view.demand, self._view.now_s
        lost = sum(demand.work_per_s(m, now_s) for m in change.unload_models)
        lost += sum(
            RUNNING_DELAY_S
            for model in change.unload_models
            if site.endpoint.running(model)
        )
        blocked_s = BLOCKED_SHARE * change.load_s * self._blocks_adapters(site)
        copies_s = LOST_COPY_S * self._loses_only_copy(change)
        return change.load_s + busy_s + lost + blocked_s + copies_s

    def _loses_only_copy(self, change: Change) -> bool:
        """Return whether a cold load drives out the last copy of a model."""
        if not change.is_cold:
            return False
        site = self._free[change.endpoint]
        others = [s.inventory for s in self._view.sites if s is not site]
        spec = self._view.engine.models[change.model]
        lost = lost_copies(site.inventory, spec, self._view.engine)
        return any(
            not any(inventory.keeps(model) for inventory in others) for model in lost
        )

    def _blocks_adapters(self, site: Site) -> bool:
        """Return whether a load here leaves a busy model no place for adapters.

        An endpoint takes no orders for adapters while it loads a model.
        """
        others = [free for free in self._free.values() if free is not site]
        return any(
            model in site.inventory.models
            and self._has_adapters(model)
            and not any(model in other.inventory.models for other in others)
            for model in self._expected
        )

    def _has_adapters(self, model: ModelName) -> bool:
        spec = self._view.engine.models.get(model)
        return spec is not None and bool(spec.adapters)

    def _adapter_change(
        self, site: Site, model: ModelName, adapter: AdapterName
    ) -> Change | None:
        inventory = site.inventory
        spec = self._view.engine.models.get(model)
        if spec is None:
            return None
        unload: tuple[tuple[ModelName, AdapterName], ...] = ()
        free_mb = self._view.engine.weights_mb - used_mb(inventory, self._view.engine)
        has_place = inventory.adapters < self._view.engine.adapter_slots
        if not has_place or free_mb < spec.adapter_mb:
            idle = self._idle_adapters(site)
            if not idle:
                return None
            unload = (idle[0],)
        return Change(inventory.endpoint, model, adapter, unload_adapters=unload)

    def _idle_adapters(self, site: Site) -> list[tuple[ModelName, AdapterName]]:
        demand, now_s = self._view.demand, self._view.now_s
        idle = [
            (demand.adapter_arrival_s(model, adapter), model, adapter)
            for model, adapters in site.inventory.models.items()
            for adapter in adapters
            if not site.endpoint.running_adapter(model, adapter)
            and now_s - demand.adapter_arrival_s(model, adapter) > ADAPTER_IDLE_S
        ]
        return [(model, adapter) for _, model, adapter in sorted(idle)]

    def _adapter_cost(self, change: Change) -> tuple[int, int]:
        site = self._free[change.endpoint]
        return len(change.unload_adapters), site.endpoint.total_requests

    def _take(self, change: Change) -> None:
        self._free.pop(change.endpoint)
        key = (change.model, change.adapter)
        self._loading[key] = self._loading.get(key, 0) + 1
        self._cold_loads -= change.is_cold
        self._given_up |= {(change.endpoint, name) for name in change.unload_models}
        self.changes.append(change)
