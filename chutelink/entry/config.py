"""Routing configuration: routes, services and limits, as written by operators."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..customers.keys import KeyIndex
from ..customers.model import Customer
from ..ids import (
    AdapterName,
    ConfigVersion,
    CustomerName,
    ModelName,
    RegionName,
    RouteName,
    ServiceName,
)


class RouteKind(Enum):
    """Retry semantics of the requests on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Target services and limits of the requests for a host and path prefix.

    ``timeout_s`` is the maximum time to the end of the response; ``objective_s`` the
    target time to the response, or to the first event of a stream; ``priority`` is 0
    for the most urgent; ``max_endpoints`` the maximum number of endpoints a request
    may be sent to; ``patience_s`` how long callers wait for the first or next event
    of a stream before they disconnect, 0 if they wait until their deadline;
    ``is_anonymous`` allows callers without a key; ``home_regions`` are the regions in
    which requests may be served, None for any.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    max_endpoints: int
    services: tuple[WeightedService, ...]
    is_resumable: bool = False
    has_shared_prompts: bool = False
    max_pause_s: float = 0.0
    patience_s: float = 0.0
    is_anonymous: bool = False
    home_regions: frozenset[RegionName] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may safely be run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Whether responses are event streams."""
        return self.kind is RouteKind.STREAMING


class ModelSpec(msgspec.Struct, frozen=True):
    """A model that an engine can load.

    ``cold_load_s`` is the load time from the weight store, ``disk_load_s`` and
    ``memory_load_s`` the load times from the endpoint's local copies.
    """

    name: ModelName
    weights_mb: float
    cold_load_s: float
    memory_load_s: float
    disk_load_s: float
    adapters: tuple[AdapterName, ...] = ()
    adapter_mb: float = 0.0


class EngineSpec(msgspec.Struct, frozen=True):
    """Capacity of a service's engines, and the rate limit of cold loads.

    ``models`` keeps the configured order; ``disk_copies_mb`` is the disk space for
    copies of weights on an endpoint, 0 if it is unknown.
    """

    batch_slots: int
    kv_capacity_tokens: int
    weights_mb: float
    adapter_slots: int
    cold_loads_per_s: float
    models: dict[ModelName, ModelSpec]
    disk_copies_mb: float = 0.0


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service; ``engine`` is None for a service without models.

    Endpoints are cold for ``cold_s`` after a start, and crash if they get far more than
    ``cold_per_s`` requests per second meanwhile; both are 0 without such a limit.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0

    @property
    def has_cold_limit(self) -> bool:
        """Whether requests to cold endpoints are limited."""
        return self.cold_per_s > 0 and self.cold_s > 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts for callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfig(msgspec.Struct, frozen=True):
    """A complete version of the routing configuration.

    ``customers`` is None if callers need no keys.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: CallerLimits
    customers: dict[CustomerName, Customer] | None = None


class RouteTable:
    """Looks up routes by host and longest path prefix, and customers by key."""

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        self.keys: KeyIndex[Customer] | None = None
        if config.customers is not None:
            self.keys = KeyIndex(
                (key_hash, customer)
                for customer in config.customers.values()
                for key_hash in customer.key_hashes
            )
        self._by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host and path, or None."""
        name = host.lower().partition(":")[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
