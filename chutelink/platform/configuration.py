"""Decoding of the routing configuration in the operators' store."""

from __future__ import annotations

from typing import Any

import msgspec

from ..decoding import Amount, Count, Integer, Name
from ..entry.config import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceSpec,
    WeightedService,
)
from ..exceptions import ConfigInvalid
from ..ids import AdapterName, ConfigVersion, ModelName, RouteName, ServiceName
from .customers import (
    WireCustomer,
    decode_customers,
    decode_home_regions,
    hash_keys,
)

MS_PER_S = 1000.0
MAX_ADAPTERS = 100_000
"""Maximum number of adapters of an engine's models; each takes memory."""

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}

MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
"""Callers abandon a stream that has no event for the longest of these three times.

They are a fixed minimum, a multiple of the route's latency objective and a multiple
of its target for the gap between events.
"""


class _WireBackend(msgspec.Struct):
    """A weighted backend service of a route."""

    service: Name
    weight: Amount


class _WireRoute(msgspec.Struct):
    """A route.

    ``attempts`` is the maximum number of endpoints tried, including the first.
    ``sticky`` marks routes whose requests share prompt prefixes; ``anonymous`` marks
    routes that require no key.
    """

    name: Name
    host: str
    prefix: str
    kind: str
    timeout_ms: Amount
    slo_ms: Amount = 0.0
    priority: Integer = 0
    service: Name = ""
    backends: list[_WireBackend] = []
    attempts: Integer = 1
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: Amount = 0.0
    anonymous: bool = False
    home_regions: list[str] | None = None


class _WireModel(msgspec.Struct):
    """A model.

    ``adapters`` is the number of adapters, which are named a1, a2 and so on.
    ``load_s`` is the load time from the weight store, ``disk_s`` from a copy on disk
    and ``warm_s`` from a copy in memory.
    """

    name: Name
    weights_mb: Amount
    load_s: Amount
    warm_s: Amount = 0.0
    disk_s: Amount = 0.0
    adapters: Count = 0
    adapter_mb: Amount = 0.0


class _WireEngine(msgspec.Struct):
    """Capacity of each endpoint of an engine service.

    ``disk_mb`` is the space for copies of weights on the endpoint's local disk.
    """

    weights_mb: Amount
    slots: Count = 1
    kv_capacity: Count = 0
    adapter_slots: Count = 0
    loads_per_s: Amount = 1.0
    disk_mb: Amount = 0.0
    models: list[_WireModel] = []


class _WireService(msgspec.Struct):
    """A service; ``engine`` is None unless its endpoints are engines.

    Endpoints are cold for ``cold_s`` after a start, and take ``cold_per_s`` requests
    per second meanwhile; both are 0 without such a limit.
    """

    name: Name
    health_path: str = "/health"
    max_conns: Count = 100
    engine: _WireEngine | None = None
    cold_s: Amount = 0.0
    cold_per_s: Amount = 0.0


class _WireLimits(msgspec.Struct):
    """Limits and timeouts for requests of callers."""

    header_bytes: Count = CallerLimits().max_header_bytes
    body_bytes: Count = CallerLimits().max_body_bytes
    header_timeout_ms: Amount = CallerLimits().header_timeout_s * MS_PER_S
    idle_timeout_ms: Amount = CallerLimits().idle_timeout_s * MS_PER_S


class _WireConfig(msgspec.Struct):
    """The complete configuration; if ``tenants`` is absent, callers need no keys."""

    version: Count
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[WireCustomer] | msgspec.UnsetType = msgspec.UNSET


def decode_config(value: Any) -> RoutingConfig:
    """Decode and validate the routing configuration.

    Raises
    ------
    ConfigInvalid
        A field is missing or malformed, or refers to an undefined name.
    """
    try:
        wire = msgspec.convert(hash_keys(value), _WireConfig)
    except msgspec.ValidationError as error:
        raise ConfigInvalid(str(error), step="config.decode") from error
    services = {ServiceName(s.name): _decode_service(s) for s in wire.services}
    return RoutingConfig(
        version=ConfigVersion(wire.version),
        routes=tuple(_decode_route(route, services) for route in wire.routes),
        services=services,
        limits=CallerLimits(
            wire.limits.header_bytes,
            wire.limits.body_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
        customers=(
            None if wire.tenants is msgspec.UNSET else decode_customers(wire.tenants)
        ),
    )


def _decode_route(wire: _WireRoute, services: dict[ServiceName, ServiceSpec]) -> Route:
    kind = ROUTE_KINDS.get(wire.kind)
    if kind is None:
        raise ConfigInvalid(
            f"unknown route kind {wire.kind!r}", step="config.route", peer=wire.name
        )
    backends = wire.backends or [_WireBackend(wire.service, 1.0)]
    for backend in backends:
        if backend.service not in services:
            raise ConfigInvalid(
                f"unknown service {backend.service!r}",
                step="config.route",
                peer=wire.name,
            )
    objective_s = wire.slo_ms / MS_PER_S
    max_pause_s = wire.gap_target_ms / MS_PER_S
    is_stream = kind is RouteKind.STREAMING
    return Route(
        name=RouteName(wire.name),
        host=wire.host,
        prefix=wire.prefix,
        kind=kind,
        timeout_s=wire.timeout_ms / MS_PER_S,
        objective_s=objective_s,
        priority=wire.priority,
        max_endpoints=max(1, wire.attempts),
        services=tuple(
            WeightedService(ServiceName(b.service), b.weight) for b in backends
        ),
        is_resumable=wire.resumable,
        has_shared_prompts=wire.sticky,
        max_pause_s=max_pause_s,
        patience_s=_patience_s(objective_s, max_pause_s) if is_stream else 0.0,
        is_anonymous=wire.anonymous,
        home_regions=decode_home_regions(wire.home_regions),
    )


def _patience_s(objective_s: float, max_pause_s: float) -> float:
    """Return how long callers wait for the next event of a stream."""
    return max(
        MIN_PATIENCE_S,
        PATIENCE_OBJECTIVES * objective_s,
        PATIENCE_PAUSES * max_pause_s,
    )


def _decode_service(wire: _WireService) -> ServiceSpec:
    name = ServiceName(wire.name)
    engine = None if wire.engine is None else _decode_engine(wire.engine)
    return ServiceSpec(
        name,
        wire.health_path,
        wire.max_conns,
        engine,
        wire.cold_s,
        wire.cold_per_s,
    )


def _decode_engine(wire: _WireEngine) -> EngineSpec:
    if sum(model.adapters for model in wire.models) > MAX_ADAPTERS:
        message = f"engine has more than {MAX_ADAPTERS} adapters"
        raise ConfigInvalid(message, step="config.engine")
    models = {
        ModelName(model.name): ModelSpec(
            name=ModelName(model.name),
            weights_mb=model.weights_mb,
            cold_load_s=model.load_s,
            memory_load_s=model.warm_s or model.load_s,
            disk_load_s=model.disk_s or model.load_s,
            adapters=tuple(
                AdapterName(f"a{number}") for number in range(1, model.adapters + 1)
            ),
            adapter_mb=model.adapter_mb,
        )
        for model in wire.models
    }
    return EngineSpec(
        batch_slots=wire.slots,
        kv_capacity_tokens=wire.kv_capacity,
        weights_mb=wire.weights_mb,
        adapter_slots=wire.adapter_slots,
        cold_loads_per_s=wire.loads_per_s,
        disk_copies_mb=wire.disk_mb,
        models=models,
    )
