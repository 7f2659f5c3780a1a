"""One pass of placement by expected value. Pure.

A change is worth what its model gains from the time when it is loaded until the
horizon, less what is lost at once by the models that give way. All counts are in
requests that are answered in time.
"""

from __future__ import annotations

import heapq
import math

import msgspec

from ..ids import EndpointId, ModelName
from .adapters import AdapterRound
from .changes import Change, ChangeReason, PlacementView, Site
from .config import ModelSpec
from .holdings import Holdings
from .loss import Forecast, PlacementLoss
from .room import load_time, lost_copies, model_mb, used_mb

HORIZON_LOADS = 2.0
"""How far ahead a change is weighed, in loads from the weight store.

One to carry it out and one more: after that another change could undo it.
"""
CHANGE_COST = 1.0
"""What a change must gain, in requests: it ties its endpoint and is charged for."""
LOST_COPY_COST = 1.0
"""What it costs to lose the only copy of a model: its next request is too late."""
DRAIN_STREAMS = 2.0
"""How long an unload waits for streams under way, in mean streams: the longest."""
UNLOAD_S = 0.2
"""How long it takes to unload what nobody uses, and to hear of it."""
WAIT_MARGIN_S = 0.3
"""What a change usually takes longer than planned: reports, requests under way."""
MAX_RARE_SHARE = 0.45
"""Share of the endpoints that may load rarely used models from the weight store.

An endpoint that loads takes no other order meanwhile.
"""


class _Option(msgspec.Struct, frozen=True):
    """A change and what it is worth, in requests."""

    value: float
    change: Change


class _Entry(msgspec.Struct, frozen=True, order=True):
    """An option in a heap, the best first, and after how many changes it was weighed.

    Each is weighed once after a change: values that differ by rounding only would
    else be weighed in turn for ever.
    """

    negative_value: float
    number: int
    taken: int
    option: _Option


class _Victim(msgspec.Struct, frozen=True, order=True):
    """A model that may give way; ``harm`` is in requests lost a second."""

    harm: float
    running: int
    last_arrival_s: float
    model: ModelName


class ValueRound:
    """One pass; endpoints that got a change are left out.

    Parameters
    ----------
    view : PlacementView
        All that is decided by.
    """

    def __init__(self, view: PlacementView) -> None:
        self._view = view
        self._cold_loads = view.cold_loads
        self._free = {
            site.inventory.endpoint: site for site in view.sites if _is_free(site, view)
        }
        self._holdings = Holdings(view)
        self.outlook = self._holdings.outlook
        self._adapters = AdapterRound(view, self._free, self._holdings)
        self._waiting: dict[ModelName, int] = {}
        for (model, _), count in view.demand.waiting(view.now_s).items():
            self._waiting[model] = self._waiting.get(model, 0) + count
        longest_s = max((s.cold_load_s for s in view.engine.models.values()), default=0)
        self._horizon_s = HORIZON_LOADS * longest_s
        self._loss = self._make_loss()
        self._victims: dict[EndpointId, list[_Victim]] = {}
        self.changes: list[Change] = []

    def load_adapters(self) -> None:
        """Load the adapters that requests wait for, those of most requests first."""
        waiting = self._view.demand.waiting(self._view.now_s)
        for model, adapter in sorted(waiting, key=lambda key: -waiting[key]):
            if not adapter:
                continue
            change = self._adapters.make_resident(model, adapter)
            if change is not None:
                self.changes.append(change)

    def add_adapters(self) -> None:
        """Use free places for adapters of busy models."""
        for model in self.outlook.active:
            self.changes += self._adapters.add(model)

    def improve(self) -> None:
        """Make the changes that are worth most, until none is worth its cost."""
        heap = [
            _Entry(-option.value, number, 0, option)
            for number, option in enumerate(self._options())
        ]
        heapq.heapify(heap)
        taken = 0
        while heap:
            entry = heapq.heappop(heap)
            site = self._free.get(entry.option.change.endpoint)
            if site is None:
                continue
            if entry.taken == taken:
                self._take(entry.option)
                taken += 1
                continue
            # Worth less, or more, since another change was made.
            spec = self._view.engine.models[entry.option.change.model]
            fresh = self._option(spec, site)
            if fresh is not None:
                entry = _Entry(-fresh.value, entry.number, taken, fresh)
                heapq.heappush(heap, entry)

    def _options(self) -> list[_Option]:
        """Return every change that is worth its cost by itself."""
        return [
            option
            for spec in self._candidates()
            for site in self._free.values()
            if (option := self._option(spec, site)) is not None
        ]

    def spread(self) -> None:
        """Before any demand, fetch models of whose weights no endpoint has a copy.

        Each endpoint fetches one, as its first order: what takes until requests
        come would keep it from loading what they ask for.
        """
        if self._view.demand.uses:
            return
        if not all(site.inventory.is_known for site in self._view.sites):
            return
        for spec in self._view.engine.models.values():
            is_kept = any(s.inventory.keeps(spec.name) for s in self._view.sites)
            if is_kept or self._holdings.is_loading(spec.name):
                continue
            for site in list(self._free.values()):
                change = self._spread_change(spec, site)
                if change is not None:
                    self._cold_loads -= 1
                    self._put(change, site)
                    break

    def _spread_change(self, spec: ModelSpec, site: Site) -> Change | None:
        if self._cold_loads < 1 or site.inventory.sequence > 0:
            return None
        victims = [
            victim
            for victim in self._holdings.victims(site, spec.name, is_replica=False)
            if victim not in self._holdings.expected
        ]
        unload = self._unload(spec, site, victims)
        if unload is None:
            return None
        return Change(
            site.inventory.endpoint,
            spec.name,
            unload_models=unload,
            load_s=spec.cold_load_s,
            is_cold=True,
            reason=ChangeReason.SPREAD,
        )

    def _make_loss(self) -> PlacementLoss:
        forecasts = {
            name: forecast
            for name, spec in self._view.engine.models.items()
            if (forecast := self._forecast(spec)) is not None
        }
        loss = PlacementLoss(forecasts, self._view.endpoint_losses_per_s)
        for site in self._view.sites:
            held = set(site.inventory.models) - site.endpoint.closing
            if site.loading_model is not None:
                held.add(site.loading_model)
            for model in held:
                loss.add(model, site.inventory.endpoint)
        return loss

    def _forecast(self, spec: ModelSpec) -> Forecast | None:
        work = self.outlook.likely_work(spec.name)
        arrivals = self.outlook.urgent(spec.name)
        if work <= 0 and arrivals <= 0:
            return None
        copies = sum(site.inventory.keeps(spec.name) for site in self._view.sites)
        reload_s = spec.disk_load_s if copies > 1 else spec.cold_load_s
        # Without a copy its requests don't wait: a load takes longer than they have.
        unserved = (
            arrivals if copies else max(arrivals, self.outlook.arrivals(spec.name))
        )
        return Forecast(arrivals, unserved, work, reload_s)

    def _candidates(self) -> list[ModelSpec]:
        """Return the models of which a further replica may be worth its cost."""
        return [
            spec
            for name, spec in self._view.engine.models.items()
            if self._loss.most_to_gain(name) * self._horizon_s
            + self._waiting.get(name, 0)
            > CHANGE_COST
        ]

    def _option(self, spec: ModelSpec, site: Site) -> _Option | None:
        """Return the load of a model at an endpoint if it is worth its cost."""
        inventory = site.inventory
        if spec.name in inventory.models:
            return None
        load_s, is_cold = load_time(inventory, spec)
        if is_cold and not self._may_be_cold(spec, load_s):
            return None
        unload = self._unload(spec, site, [v.model for v in self._victims_of(site)])
        if unload is None:
            return None
        change = Change(
            inventory.endpoint,
            spec.name,
            unload_models=unload,
            load_s=load_s,
            is_cold=is_cold,
            reason=self._reason(spec.name),
            drain_s=self._drain_s(unload, site),
        )
        value = self._value(change, site)
        if value <= 0:
            return None
        return _Option(value, msgspec.structs.replace(change, value=value))

    def _value(self, change: Change, site: Site) -> float:
        """Return what a change gains beyond its cost, in requests."""
        loss, endpoint = self._loss, change.endpoint
        is_held = loss.replicas(change.model) > 0
        harm = sum(loss.remove(model, endpoint) for model in change.unload_models)
        gain = -loss.add(change.model, endpoint)
        loss.remove(change.model, endpoint)
        for model in change.unload_models:
            loss.add(model, endpoint)
        ready_s = change.drain_s + change.load_s
        value = gain * max(0.0, self._horizon_s - ready_s) - harm * self._horizon_s
        if not is_held:
            value += self._served_waiting(change)
        return value - CHANGE_COST - LOST_COPY_COST * self._lost_only_copies(change)

    def _served_waiting(self, change: Change) -> int:
        """Return how many requests that wait would be answered in time."""
        if not change.is_cold:
            return self._waiting.get(change.model, 0)
        return self._view.demand.patient(change.model, self._view.now_s)

    def _drain_s(self, unload: tuple[ModelName, ...], site: Site) -> float:
        """Return how long the unloads take: each waits for requests under way."""
        if any(map(site.endpoint.running, unload)):
            return DRAIN_STREAMS * self._view.stream_s
        return UNLOAD_S * len(unload)

    def _lost_only_copies(self, change: Change) -> int:
        """Return how many models lose the only copy of their weights."""
        if not change.is_cold:
            return 0
        site = self._free[change.endpoint]
        spec = self._view.engine.models[change.model]
        others = [s.inventory for s in self._view.sites if s is not site]
        return sum(
            not any(inventory.keeps(model) for inventory in others)
            for model in lost_copies(site.inventory, spec, self._view.engine)
        )

    def _may_be_cold(self, spec: ModelSpec, load_s: float) -> bool:
        """Return whether the weight store may be asked for a model."""
        if self._cold_loads < 1 or load_s > self._wait_s(spec):
            return False
        if self.outlook.is_wanted(spec.name):
            return True
        limit = max(1.0, MAX_RARE_SHARE * len(self._view.sites))
        return self._holdings.rare_loads() < limit

    def _wait_s(self, spec: ModelSpec) -> float:
        """Return how soon an endpoint with a copy that is not free could have it."""
        waits_s = [
            site.free_in_s + load_time(site.inventory, spec)[0] + WAIT_MARGIN_S
            for site in self._view.sites
            if site.inventory.endpoint not in self._free
            and spec.name not in site.inventory.models
            and site.inventory.keeps(spec.name)
        ]
        return min(waits_s, default=math.inf)

    def _unload(
        self, spec: ModelSpec, site: Site, victims: list[ModelName]
    ) -> tuple[ModelName, ...] | None:
        """Return what must give way for a model, or None if it would not fit."""
        engine = self._view.engine
        free_mb = engine.weights_mb - used_mb(site.inventory, engine)
        unload: list[ModelName] = []
        for victim in victims:
            if free_mb >= spec.weights_mb:
                break
            unload.append(victim)
            free_mb += model_mb(site.inventory, victim, engine)
        return tuple(unload) if free_mb >= spec.weights_mb else None

    def _victims_of(self, site: Site) -> list[_Victim]:
        """Return the models that may give way at an endpoint, the least missed first.

        Models that requests wait for stay.
        """
        endpoint = site.inventory.endpoint
        if endpoint not in self._victims:
            self._victims[endpoint] = sorted(
                self._make_victim(model, site)
                for model in site.inventory.models
                if model not in self._waiting
            )
        return self._victims[endpoint]

    def _make_victim(self, model: ModelName, site: Site) -> _Victim:
        endpoint = site.inventory.endpoint
        harm = self._loss.remove(model, endpoint)
        self._loss.add(model, endpoint)
        last_s = self.outlook.last_arrival_s(model)
        return _Victim(harm, site.endpoint.running(model), last_s, model)

    def _reason(self, model: ModelName) -> ChangeReason:
        if self._loss.replicas(model):
            return ChangeReason.BUSY
        if self._waiting.get(model):
            return ChangeReason.ASKED
        return ChangeReason.NEXT

    def _take(self, option: _Option) -> None:
        change = option.change
        for model in change.unload_models:
            self._loss.remove(model, change.endpoint)
        self._loss.add(change.model, change.endpoint)
        self._victims.clear()
        self._cold_loads -= change.is_cold
        self._put(change, self._free[change.endpoint])

    def _put(self, change: Change, site: Site) -> None:
        del self._free[change.endpoint]
        self._holdings.take(change, site)
        self.changes.append(change)


def _is_free(site: Site, view: PlacementView) -> bool:
    """Return whether an endpoint may be changed now."""
    inventory = site.inventory
    if not inventory.is_known or inventory.is_changing or inventory.is_busy:
        return False
    return view.now_s >= inventory.avoid_until_s
