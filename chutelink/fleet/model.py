"""Data model of a fleet file: validated when it is parsed, then immutable."""

from __future__ import annotations

from enum import Enum
from fnmatch import fnmatchcase
from functools import cached_property
from typing import Annotated

import msgspec
from msgspec import Meta

from ..ids import ArtifactName, CallerName, EndpointName, FailureDomainName, VmId

Megabytes = Annotated[int, Meta(ge=1, le=100_000_000)]
Positive = Annotated[float, Meta(gt=0, le=1_000_000)]
Weight = Annotated[float, Meta(ge=0, le=1000)]
Text = Annotated[str, Meta(min_length=1, max_length=256)]
Priority = Annotated[int, Meta(ge=0, le=9)]


class EndpointKind(Enum):
    """Kind of program that runs at an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class LatePolicy(Enum):
    """Handling of a request that cannot meet its target time."""

    SERVE = "serve"
    REFUSE = "refuse"


class RoutingPolicy(Enum):
    """Policy for choosing an endpoint for a request."""

    EXPECTED_TIME = "expected_time"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    TWO_CHOICES = "two_choices"


class QueueingPolicy(Enum):
    """Policy for ordering waiting requests."""

    SLACK = "slack"
    FIFO = "fifo"
    EARLIEST_DEADLINE = "earliest_deadline"
    PRIORITY = "priority"


class PlacementPolicy(Enum):
    """Policy for assigning spare memory to models."""

    WEIGHTED = "weighted"
    STATIC = "static"
    GREEDY = "greedy"


class ArtifactKind(Enum):
    """Kind of artifact that an engine can load."""

    MODEL = "model"
    ADAPTER = "adapter"


class Artifact(msgspec.Struct, frozen=True, order=True):
    """One version of a model or adapter that an engine can load."""

    name: ArtifactName
    version: str

    def __str__(self) -> str:
        return f"{self.name}@{self.version}"


class FleetOptions(msgspec.Struct, frozen=True):
    """``[fleet]``: policies and weights of the whole fleet."""

    attainment_weight: Weight = 1.0
    moves_weight: Weight = 0.1
    routing: RoutingPolicy = RoutingPolicy.EXPECTED_TIME
    queueing: QueueingPolicy = QueueingPolicy.SLACK
    placement: PlacementPolicy = PlacementPolicy.WEIGHTED


class FailureDomainSpec(msgspec.Struct, frozen=True):
    """``[failure_domain D]``: a group of VMs that may fail together."""

    name: FailureDomainName
    region: Text = "default"
    distance_ms: Annotated[float, Meta(ge=0, le=1000)] = 1.0


class EndpointSpec(msgspec.Struct, frozen=True):
    """``[endpoint E]``: an engine, or one instance of a plain service."""

    name: EndpointName
    url: Annotated[str, Meta(pattern=r"^https?://[0-9a-fA-F.:\[\]]+$")]
    failure_domain: FailureDomainName
    vm: VmId
    kind: EndpointKind = EndpointKind.ENGINE
    accelerators: Annotated[int, Meta(ge=0, le=64)] = 1
    memory_mb: Annotated[int, Meta(ge=0, le=100_000_000)] = 0
    slots: Annotated[int, Meta(ge=1, le=4096)] = 16
    checks_fencing: bool = True


class RequestClass(msgspec.Struct, frozen=True):
    """``[request_class R]``: target time, lateness policy and priority of requests."""

    name: Text
    target_s: Positive = 1.0
    late: LatePolicy = LatePolicy.SERVE
    priority: Priority = 5


class ModelSpec(msgspec.Struct, frozen=True):
    """``[model M]``: uses ``memory_mb`` on each of ``accelerators`` of one endpoint."""

    name: ArtifactName
    memory_mb: Megabytes
    version: Text = "1"
    accelerators: Annotated[int, Meta(ge=1, le=64)] = 1
    replicas: Annotated[int, Meta(ge=1, le=1000)] = 1
    request_class: Text = "default"

    @property
    def artifact(self) -> Artifact:
        """The artifact that an engine loads for this model."""
        return Artifact(self.name, self.version)


class AdapterSpec(msgspec.Struct, frozen=True):
    """``[adapter Y]``: loaded together with each replica of its model."""

    name: ArtifactName
    model: ArtifactName
    memory_mb: Megabytes
    version: Text = "1"

    @property
    def artifact(self) -> Artifact:
        """The artifact that an engine loads for this adapter."""
        return Artifact(self.name, self.version)


class ServiceSpec(msgspec.Struct, frozen=True):
    """``[service Z]``: a plain service; only ``idempotent_methods`` are retried."""

    name: Text
    endpoints: tuple[str, ...]
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    timeout_s: Positive = 30.0


class CallerSpec(msgspec.Struct, frozen=True):
    """``[caller C]``: an API client with its permissions and rate limit."""

    name: CallerName
    key_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    rate_per_s: Positive = 1000.0
    burst: Positive = 2000.0

    def may_use_model(self, name: str) -> bool:
        """Return whether the caller may use this model or adapter."""
        return any(fnmatchcase(name, pattern) for pattern in self.models)

    def may_use_service(self, name: str) -> bool:
        """Return whether the caller may use this service."""
        return any(fnmatchcase(name, pattern) for pattern in self.services)


class FleetSpec(msgspec.Struct, frozen=True, dict=True):
    """Content of a fleet file."""

    options: FleetOptions
    failure_domains: dict[str, FailureDomainSpec]
    endpoints: dict[str, EndpointSpec]
    request_classes: dict[str, RequestClass]
    models: dict[str, ModelSpec]
    adapters: dict[str, AdapterSpec]
    services: dict[str, ServiceSpec]
    callers: dict[str, CallerSpec]

    def base_model(self, name: str) -> ModelSpec | None:
        """Return the model of this name, or the base model of the adapter."""
        adapter = self.adapters.get(name)
        return self.models.get(adapter.model if adapter else name)

    def needed_artifacts(self, name: str) -> tuple[Artifact, ...]:
        """Return the artifacts that must be loaded to serve a model or adapter."""
        model = self.base_model(name)
        if model is None:
            return ()
        adapter = self.adapters.get(name)
        if adapter is None:
            return (model.artifact,)
        return (model.artifact, adapter.artifact)

    def adapters_of(self, model: str) -> list[AdapterSpec]:
        """Return the adapters of a model, sorted by name."""
        return self._adapters_by_model.get(model, [])

    @cached_property
    def _adapters_by_model(self) -> dict[str, list[AdapterSpec]]:
        found: dict[str, list[AdapterSpec]] = {}
        for _, adapter in sorted(self.adapters.items()):
            found.setdefault(adapter.model, []).append(adapter)
        return found

    def engines(self) -> list[EndpointSpec]:
        """Return the endpoints that are engines, sorted by name."""
        return self._engines

    @cached_property
    def _engines(self) -> list[EndpointSpec]:
        found = [e for e in self.endpoints.values() if e.kind is EndpointKind.ENGINE]
        return sorted(found, key=lambda endpoint: endpoint.name)
