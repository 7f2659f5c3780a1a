"""Bin packing of models onto the accelerator memory of endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

from .hashing import rendezvous_score

if TYPE_CHECKING:
    from ..fleet.model import EndpointSpec, FleetSpec, ModelSpec
    from ..tables.ledger import LedgerRow

Assignment = dict[str, set[str]]
"""Names of the models to hold, by endpoint."""


class PackResult(msgspec.Struct):
    """Models assigned to each endpoint, and models that could not be placed."""

    assignment: Assignment
    unplaced: list[str]


class MemoryMap:
    """Tracks the free memory of each accelerator, in MB, during planning.

    Parameters
    ----------
    fleet : FleetSpec
        Defines the sizes of models and adapters.
    endpoints : iterable of EndpointSpec
        Endpoints on which models may be placed.
    """

    def __init__(self, fleet: FleetSpec, endpoints: Iterable[EndpointSpec]) -> None:
        self._fleet = fleet
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.free_mb = {
            e.name: [e.memory_mb] * e.accelerators for e in self.endpoints.values()
        }
        self._size_mb = _replica_sizes(fleet)
        self._total_free_mb = {n: sum(free) for n, free in self.free_mb.items()}

    def replica_mb(self, model: str) -> int:
        """Return the memory per accelerator of a model and its adapters."""
        return self._size_mb[model]

    def reserve_claims(self, row: LedgerRow) -> None:
        """Reserve the memory of all claims in a ledger row, whatever their state."""
        free_mb = self.free_mb.get(row.endpoint)
        if free_mb is None:
            return
        for index, used_mb in enumerate(row.used_mb()):
            if index < len(free_mb):
                self.reserve(row.endpoint, index, used_mb)

    def reserve(self, endpoint: str, index: int, memory_mb: int) -> None:
        """Reserve memory on one accelerator."""
        self.free_mb[endpoint][index] -= memory_mb
        self._total_free_mb[endpoint] -= memory_mb

    def fits(self, endpoint: str, model: ModelSpec) -> bool:
        """Return whether a replica with all its adapters fits on an endpoint."""
        size_mb = self._size_mb[model.name]
        if self._total_free_mb[endpoint] < size_mb * model.accelerators:
            return False
        fitting_accelerators = 0
        for free in self.free_mb[endpoint]:
            if free >= size_mb:
                fitting_accelerators += 1
                if fitting_accelerators >= model.accelerators:
                    return True
        return False

    def place(self, endpoint: str, model: ModelSpec) -> bool:
        """Reserve the memory of a replica and return whether it fits."""
        chosen = self._choose(endpoint, model)
        if chosen is None:
            return False
        for index in chosen:
            self.reserve(endpoint, index, self._size_mb[model.name])
        return True

    def total_free_mb(self, endpoint: str) -> int:
        """Return the total free memory of an endpoint's accelerators."""
        return self._total_free_mb[endpoint]

    def _choose(self, endpoint: str, model: ModelSpec) -> tuple[int, ...] | None:
        free_mb = self.free_mb[endpoint]
        size_mb = self._size_mb[model.name]
        fitting = [i for i, free in enumerate(free_mb) if free >= size_mb]
        if len(fitting) < model.accelerators:
            return None
        fitting.sort(key=lambda index: (free_mb[index], index))
        return tuple(fitting[: model.accelerators])


def _replica_sizes(fleet: FleetSpec) -> dict[str, int]:
    sizes_mb = {name: model.memory_mb for name, model in fleet.models.items()}
    for adapter in fleet.adapters.values():
        if adapter.model in sizes_mb:
            sizes_mb[adapter.model] += adapter.memory_mb
    return sizes_mb


def models_by_size(fleet: FleetSpec) -> list[ModelSpec]:
    """Return the models by descending size, as large ones are harder to place."""
    return sorted(
        fleet.models.values(),
        key=lambda m: (-m.accelerators * m.memory_mb, m.name),
    )


def best_endpoint(
    memory: MemoryMap, model: ModelSpec, holders: Iterable[str]
) -> str | None:
    """Return the best endpoint for another replica, or None.

    Endpoints in failure domains without a replica are preferred, then those
    with more free memory. Ties are broken by rendezvous hashing, so that all
    directors make the same choice.
    """
    taken = set(holders)
    used_domains = {
        memory.endpoints[name].failure_domain
        for name in taken
        if name in memory.endpoints
    }
    candidates = [
        endpoint
        for endpoint in memory.endpoints.values()
        if endpoint.name not in taken and memory.fits(endpoint.name, model)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda e: (
            e.failure_domain in used_domains,
            -memory.total_free_mb(e.name),
            -rendezvous_score(model.name, e.name),
        ),
    ).name


def pack_minimum_replicas(fleet: FleetSpec) -> PackResult:
    """Place the minimum number of replicas of each model on empty endpoints."""
    memory = MemoryMap(fleet, fleet.engines())
    assignment: Assignment = {name: set() for name in memory.endpoints}
    unplaced: list[str] = []
    for model in models_by_size(fleet):
        holders: set[str] = set()
        for _ in range(model.replicas):
            name = best_endpoint(memory, model, holders)
            if name is None:
                unplaced.append(model.name)
                break
            memory.place(name, model)
            holders.add(name)
            assignment[name].add(model.name)
    return PackResult(assignment, unplaced)
