"""Placement changes and the input from which they are planned."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType

import msgspec

from ..entry.config import EngineSpec
from ..entry.demand import DemandTable
from ..entry.endpoints import NO_ADAPTER, Endpoint
from ..ids import AdapterName, EndpointId, ModelName, RegionName
from ..regions.region_map import RegionMap
from .inventory import Inventory

NO_REGIONS = RegionMap()
NOT_PAUSED: Mapping[ModelName, float] = MappingProxyType({})


class ChangeReason(Enum):
    """Reason for a change."""

    ASKED = "asked"
    BUSY = "busy"
    PAIR = "pair"
    """One endpoint serves a large share of all requests: those for this model."""
    HOME = "home"
    """Requests wait for it that may be served in some regions only."""
    NEXT = "next"
    """The model's demand grows: its requests will need the replica."""
    SPREAD = "spread"
    """Before any request, no endpoint holds the model."""


class DeclineReason(Enum):
    """Reason for not loading a model that requests are waiting for."""

    NO_FREE_ENDPOINT = "no_free_endpoint"
    NO_ROOM = "no_room"
    """Everything that endpoints hold is in use."""
    NO_COPY = "no_copy"
    """A cold load would be needed, which is not justified or exceeds the rate limit."""
    COPY_SOON_FREE = "copy_soon_free"
    """An endpoint with a copy will be free before a cold load would complete."""
    ENDS_ENDPOINTS = "ends_endpoints"
    """Endpoints exited while loading it; it is retried after a backoff."""


class Change(msgspec.Struct, frozen=True):
    """A load of a model or adapter at an endpoint, preceded by the listed unloads.

    ``load_s`` is the expected duration of the load; ``is_cold`` means that the weights
    come from the weight store.
    """

    endpoint: EndpointId
    model: ModelName
    adapter: AdapterName = NO_ADAPTER
    unload_models: tuple[ModelName, ...] = ()
    unload_adapters: tuple[tuple[ModelName, AdapterName], ...] = ()
    load_s: float = 0.0
    is_cold: bool = False
    reason: ChangeReason = ChangeReason.ASKED


class Site(msgspec.Struct, frozen=True):
    """An endpoint as seen by a placement policy.

    ``paused_share`` is the share of its streams with overlong pauses, and ``free_in_s``
    the expected remaining time of its current change (infinite if unknown).
    ``overloaded`` contains resident models whose requests exceed the endpoint's limit:
    they do not count as held, and nothing is loaded here. ``is_cold`` endpoints take
    only few requests for some seconds: their models count as held, but not as serving.
    """

    endpoint: Endpoint
    inventory: Inventory
    paused_share: float = 0.0
    free_in_s: float = 0.0
    overloaded: frozenset[ModelName] = frozenset()
    is_cold: bool = False


class PlacementView(msgspec.Struct, frozen=True):
    """The input of a placement policy.

    ``cold_loads`` is the number of loads from the weight store that may start now, and
    ``cold_load_in_s`` the time until one may;
    ``sites`` contains every usable endpoint of the service, ``loading`` the number of
    loads in progress by model and adapter, and ``loading_at`` their endpoints;
    the models in ``paused_until_s`` must not be loaded before then. ``regions`` are
    those of failure domains.
    """

    engine: EngineSpec
    sites: list[Site]
    loading: dict[tuple[ModelName, AdapterName], int]
    demand: DemandTable
    cold_loads: int
    now_s: float
    cold_load_in_s: float = 0.0
    paused_until_s: Mapping[ModelName, float] = NOT_PAUSED
    loading_at: frozenset[tuple[EndpointId, ModelName, AdapterName]] = frozenset()
    regions: RegionMap = NO_REGIONS

    def sites_in(self, homes: frozenset[RegionName]) -> list[Site]:
        """Return the endpoints in home regions."""
        return [
            site
            for site in self.sites
            if self.regions.is_inside(site.endpoint.record.failure_domain, homes)
        ]
