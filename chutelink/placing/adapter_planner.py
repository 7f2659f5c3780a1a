"""Plan adapter changes for the endpoints that are free, without I/O."""

from __future__ import annotations

from ..ids import AdapterName, EndpointId, ModelName, RegionName
from .capacity import used_mb
from .changes import Change, PlacementView, Site
from .residency import ModelResidency

ADAPTER_IDLE_S = 0.25
"""An adapter requested within this time may be in use.

Daemons report their demand every 0.2 s.
"""


class AdapterPlanner:
    """Plans adapter changes; endpoints that get one are removed from ``free``.

    Parameters
    ----------
    view : PlacementView
        The planner's input.
    free : dict
        Endpoints that may be changed.
    residency : ModelResidency
        What endpoints hold, including changes planned in this pass.
    """

    def __init__(
        self,
        view: PlacementView,
        free: dict[EndpointId, Site],
        residency: ModelResidency,
    ) -> None:
        self._view = view
        self._free = free
        self._residency = residency

    def ensure_resident(
        self,
        model: ModelName,
        adapter: AdapterName,
        homes: frozenset[RegionName] | None = None,
    ) -> Change | None:
        """Return a load of the adapter, or None if none is needed or possible.

        It is loaded at an endpoint that holds the model, unless some endpoint already
        has the adapter or is loading it. With ``homes``, only endpoints in these
        regions count.
        """
        if homes is None:
            sites = self._view.sites
            is_loading = self._residency.is_loading(model, adapter)
        else:
            sites = self._view.sites_in(homes)
            is_loading = any(
                self._residency.is_loading_at(site.inventory.endpoint, model, adapter)
                for site in sites
            )
        if is_loading or any(site.inventory.has(model, adapter) for site in sites):
            return None
        options = [
            option
            for site in sites
            if site.inventory.endpoint in self._free
            and model in site.inventory.models
            and model not in site.endpoint.closing
            for option in [self._change(site, model, adapter)]
            if option is not None
        ]
        best = min(options, key=self._cost, default=None)
        return None if best is None else self._commit(best)

    def add_missing(self, model: ModelName) -> list[Change]:
        """Return loads of the model's missing adapters into free adapter slots."""
        missing = self._missing(model)
        changes = []
        for site in list(self._free.values()):
            if not missing or model not in site.inventory.models:
                continue
            change = self._change(site, model, missing[0])
            if change is not None and not change.unload_adapters:
                changes.append(self._commit(change))
                missing.pop(0)
        return changes

    def _missing(self, model: ModelName) -> list[AdapterName]:
        """Return the model's adapters that no endpoint has or is loading.

        The most recently requested one comes first.
        """
        missing = [
            adapter
            for adapter in self._view.engine.models[model].adapters
            if not self._residency.is_loading(model, adapter)
            and not any(s.inventory.has(model, adapter) for s in self._view.sites)
        ]
        arrival_s = self._view.demand.adapter_arrival_s
        return sorted(missing, key=lambda name: (-arrival_s(model, name), name))

    def _change(
        self, site: Site, model: ModelName, adapter: AdapterName
    ) -> Change | None:
        inventory = site.inventory
        spec = self._view.engine.models.get(model)
        if spec is None:
            return None
        unload: tuple[tuple[ModelName, AdapterName], ...] = ()
        free_mb = self._view.engine.weights_mb - used_mb(inventory, self._view.engine)
        has_free_slot = inventory.adapters < self._view.engine.adapter_slots
        if not has_free_slot or free_mb < spec.adapter_mb:
            evictable = self._evictable(site)
            if not evictable:
                return None
            unload = (evictable[0],)
        return Change(inventory.endpoint, model, adapter, unload_adapters=unload)

    def _evictable(self, site: Site) -> list[tuple[ModelName, AdapterName]]:
        """Return the adapters that may be evicted, least recently used first.

        An adapter that requests are waiting for is kept, because it may just have been
        loaded for them.
        """
        demand, now_s = self._view.demand, self._view.now_s
        waiting = demand.waiting(now_s)
        evictable = [
            (demand.adapter_arrival_s(model, adapter), model, adapter)
            for model, adapters in site.inventory.models.items()
            for adapter in adapters
            if (model, adapter) not in waiting
            and not site.endpoint.running_adapter(model, adapter)
            and now_s - demand.adapter_arrival_s(model, adapter) > ADAPTER_IDLE_S
        ]
        return [(model, adapter) for _, model, adapter in sorted(evictable)]

    def _cost(self, change: Change) -> tuple[int, int, EndpointId]:
        site = self._free[change.endpoint]
        requests = site.endpoint.total_requests
        return len(change.unload_adapters), requests, change.endpoint

    def _commit(self, change: Change) -> Change:
        self._residency.apply(change, self._free.pop(change.endpoint))
        return change
