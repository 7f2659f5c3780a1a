"""Changes of what endpoints hold, and what they are decided by."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..entry.config import EngineSpec
from ..entry.demand import DemandTable
from ..entry.endpoints import NO_ADAPTER, Endpoint
from ..ids import AdapterName, EndpointId, ModelName
from .inventory import Inventory


class ChangeReason(Enum):
    """Why a change is made."""

    ASKED = "asked"
    BUSY = "busy"
    PAIR = "pair"
    """Many ask for it, or soon may, and only one endpoint holds it."""
    NEXT = "next"
    SPREAD = "spread"
    """No endpoint keeps a copy of the weights, so that a load would be a cold one."""


class DeclineReason(Enum):
    """Why a model that requests wait for is not loaded now."""

    NO_FREE_ENDPOINT = "no_free_endpoint"
    NO_ROOM = "no_room"
    """All that endpoints hold is in use."""
    NO_COPY = "no_copy"
    """It would need the weight store, which is not earned or not left."""
    COPY_SOON_FREE = "copy_soon_free"
    """An endpoint with a copy ends its change sooner than a cold load would."""
    ENDS_ENDPOINTS = "ends_endpoints"
    """Endpoints ended that loaded it; it is tried again after a pause."""


class Change(msgspec.Struct, frozen=True):
    """Load a model or adapter at an endpoint, after unloading what is named.

    ``load_s`` is how long the load should take; ``is_cold`` says that it needs
    the weight store.
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
    """An endpoint that a policy may change.

    ``paused_share`` is the share of its streams whose pauses were too long,
    ``free_in_s`` how long the change that it carries out should take yet (infinite
    where that is not known). ``overloaded`` are resident models whose requests exceed
    its limit: they count as held nowhere, and nothing is loaded here.
    """

    endpoint: Endpoint
    inventory: Inventory
    paused_share: float = 0.0
    free_in_s: float = 0.0
    overloaded: frozenset[ModelName] = frozenset()


class PlacementView(msgspec.Struct, frozen=True):
    """All that a policy decides by.

    ``cold_loads`` is how many loads from the weight store may begin now;
    ``sites`` has every usable endpoint of the service, ``loading`` the models and
    adapters on their way; ``paused`` models are not to be loaded now.
    """

    engine: EngineSpec
    sites: list[Site]
    loading: dict[tuple[ModelName, AdapterName], int]
    demand: DemandTable
    cold_loads: int
    now_s: float
    paused: frozenset[ModelName] = frozenset()
