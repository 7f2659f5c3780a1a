"""Plans which models each endpoint should hold, starting from current claims."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping

import msgspec

from ..fleet.model import FleetOptions, FleetSpec, ModelSpec, PlacementPolicy
from ..ids import EndpointName
from ..tables.ledger import ClaimState, LedgerRow
from .packing import Assignment, MemoryMap, best_endpoint, models_by_size

MOVE_COST_SEQUENCES = 8.0
"""Cost of one load, expressed as the running sequences that it must serve."""
HYSTERESIS_RATIO = 1.5
SCALE_UP_UTILIZATION = 0.7
"""Fraction of an endpoint's slots in use above which another replica helps."""


class PlacementInput(msgspec.Struct, frozen=True):
    """Inputs of a placement plan.

    ``demand`` is the number of running and waiting sequences by model.
    ``usable`` is the set of endpoints on which models may be loaded.
    """

    fleet: FleetSpec
    ledger: Mapping[str, LedgerRow]
    usable: frozenset[EndpointName]
    demand: Mapping[str, float] = {}


class Plan(msgspec.Struct):
    """Models that each endpoint should hold, and models that could not be placed."""

    assignment: Assignment
    unplaced: list[str]

    def holders(self, model: str) -> list[str]:
        """Return the endpoints that should hold a model."""
        return sorted(e for e, models in self.assignment.items() if model in models)


class Placement(ABC):
    """Policy that decides which models each endpoint should hold."""

    def plan(self, inputs: PlacementInput) -> Plan:
        """Return a plan that places minimum replicas first, then uses spare memory."""
        builder = _PlanBuilder(inputs)
        builder.keep_current_models()
        builder.place_minimum_replicas()
        self.assign_spare(builder)
        return Plan(builder.assignment, builder.unplaced)

    @abstractmethod
    def assign_spare(self, builder: _PlanBuilder) -> None:
        """Use the remaining memory for additional replicas."""


class StaticPlacement(Placement):
    """Baseline that places only the minimum number of replicas."""

    def assign_spare(self, builder: _PlanBuilder) -> None:
        """Leave spare memory unused."""


class GreedyPlacement(Placement):
    """Baseline that scales replicas with demand and ignores the cost of moves."""

    def assign_spare(self, builder: _PlanBuilder) -> None:
        """Add replicas for demand and evict replicas with less demand."""
        builder.add_replicas_for_demand(move_cost=0.0, hysteresis=1.0)


class WeightedPlacement(Placement):
    """Scales replicas with demand when the gain exceeds the cost of a move."""

    def __init__(self, options: FleetOptions) -> None:
        weight = options.attainment_weight or 1e-9
        self._move_cost = MOVE_COST_SEQUENCES * options.moves_weight / weight

    def assign_spare(self, builder: _PlanBuilder) -> None:
        """Add replicas whose gain exceeds the weighted cost of loading them."""
        builder.add_replicas_for_demand(
            move_cost=self._move_cost, hysteresis=HYSTERESIS_RATIO
        )


def make_placement(options: FleetOptions) -> Placement:
    """Return the placement policy selected in the fleet file."""
    if options.placement is PlacementPolicy.STATIC:
        return StaticPlacement()
    if options.placement is PlacementPolicy.GREEDY:
        return GreedyPlacement()
    return WeightedPlacement(options)


class _PlanBuilder:
    """Builds a plan and tracks the memory that it leaves free."""

    def __init__(self, inputs: PlacementInput) -> None:
        self.inputs = inputs
        self.fleet = inputs.fleet
        self.assignment: Assignment = {}
        self._holders: dict[str, set[str]] = {
            name: set() for name in inputs.fleet.models
        }
        self.unplaced: list[str] = []
        engines = [e for e in inputs.fleet.engines() if e.name in inputs.usable]
        self.memory = MemoryMap(inputs.fleet, engines)
        self._slots = min((e.slots for e in inputs.fleet.engines()), default=1)

    def holders(self, model: str) -> set[str]:
        """Return the endpoints to which a model is assigned so far."""
        return set(self._holders[model])

    def keep_current_models(self) -> None:
        """Assign each declared model to the endpoints that already hold a claim."""
        for name in self.memory.endpoints:
            self.assignment[name] = set()
            row = self.inputs.ledger.get(name)
            if row is None:
                continue
            self.memory.reserve_claims(row)
            for model in self._declared_models(row):
                self.assignment[name].add(model)
                self._holders[model].add(name)
                self._reserve_missing_adapters(name, row, self.fleet.models[model])

    def _declared_models(self, row: LedgerRow) -> set[str]:
        models = set()
        for claim in row.claims:
            model = self.fleet.models.get(claim.artifact.name)
            is_current = model is not None and model.artifact == claim.artifact
            if is_current and claim.state is not ClaimState.UNLOADING:
                models.add(model.name)
        return models

    def _reserve_missing_adapters(
        self, endpoint: str, row: LedgerRow, model: ModelSpec
    ) -> None:
        claim = row.claim_of(model.artifact)
        for adapter in self.fleet.adapters_of(model.name):
            if claim is None or row.claim_of(adapter.artifact) is not None:
                continue
            for index in claim.accelerators:
                self.memory.reserve(endpoint, index, adapter.memory_mb)

    def place_minimum_replicas(self) -> None:
        """Assign the minimum number of replicas of each model.

        Models without a replica are placed first. If memory is insufficient, a
        spare replica of another model is evicted.
        """
        models = models_by_size(self.fleet)
        models.sort(key=lambda model: bool(self.holders(model.name)))
        for model in models:
            while len(holders := self.holders(model.name)) < model.replicas:
                name = best_endpoint(self.memory, model, holders)
                if name is None and self._evict_spare_replica(model, holders):
                    break
                if name is None:
                    self.unplaced.append(model.name)
                    break
                self._add(name, model)

    def add_replicas_for_demand(self, *, move_cost: float, hysteresis: float) -> None:
        """Add at most one replica per model, in descending order of gain."""
        wanted = sorted(
            (m for m in self.fleet.models.values() if self._demand(m.name) > 0),
            key=lambda m: (-self._gain(m, len(self.holders(m.name))), m.name),
        )
        for model in wanted:
            holders = self.holders(model.name)
            gain = self._gain(model, len(holders))
            if not holders or gain <= move_cost:
                continue
            name = best_endpoint(self.memory, model, holders)
            if name is not None:
                self._add(name, model)
            else:
                self._evict_for_gain(model, holders, gain, move_cost, hysteresis)

    def _demand(self, model: str) -> float:
        return self.inputs.demand.get(model, 0.0)

    def _gain(self, model: ModelSpec, replicas: int) -> float:
        """Return the number of sequences without a slot at this replica count.

        A persistent backlog grows over time, so a move whose cost exceeds the
        current backlog is delayed rather than ruled out.
        """
        if replicas == 0:
            return float("inf")
        served = SCALE_UP_UTILIZATION * self._slots * replicas
        return max(0.0, self._demand(model.name) - served)

    def _loss(self, model: str, replicas: int) -> float:
        """Return the sequences without a slot if one replica is removed."""
        spec = self.fleet.models[model]
        return self._gain(spec, replicas - 1)

    def _add(self, endpoint: str, model: ModelSpec) -> None:
        self.memory.place(endpoint, model)
        self.assignment[endpoint].add(model.name)
        self._holders[model.name].add(endpoint)

    def _evict(self, endpoint: str, name: str) -> None:
        """Unassign a spare replica; its memory is free only after the unload."""
        self.assignment[endpoint].discard(name)
        self._holders[name].discard(endpoint)

    def _spare_replicas(self) -> list[tuple[float, str, str]]:
        """Return (loss, endpoint, model) for each loaded replica above the minimum."""
        spare = []
        for endpoint, models in self.assignment.items():
            row = self.inputs.ledger.get(endpoint)
            if row is None:
                continue
            for name in models:
                model = self.fleet.models[name]
                count = len(self._holders[name])
                if count > model.replicas and row.holds(model.artifact):
                    spare.append((self._loss(name, count), endpoint, name))
        return sorted(spare)

    def _evict_spare_replica(self, model: ModelSpec, holders: set[str]) -> bool:
        """Evict the spare replica with the least loss that frees enough memory.

        The memory becomes available only after the unload.
        """
        for _, endpoint, name in self._spare_replicas():
            if endpoint not in holders and self._would_fit(endpoint, name, model):
                self._evict(endpoint, name)
                return True
        return False

    def _evict_for_gain(
        self,
        model: ModelSpec,
        holders: set[str],
        gain: float,
        move_cost: float,
        hysteresis: float,
    ) -> None:
        for loss, endpoint, name in self._spare_replicas():
            if name == model.name or endpoint in holders:
                continue
            is_worthwhile = gain > hysteresis * loss + 2 * move_cost
            if is_worthwhile and self._would_fit(endpoint, name, model):
                self._evict(endpoint, name)
                return

    def _would_fit(self, endpoint: str, evicted: str, model: ModelSpec) -> bool:
        row = self.inputs.ledger[endpoint]
        names = {evicted, *(a.name for a in self.fleet.adapters_of(evicted))}
        free_mb = list(self.memory.free_mb[endpoint])
        for claim in row.claims:
            if claim.artifact.name in names:
                for index in claim.accelerators:
                    free_mb[index] += claim.memory_mb
        size_mb = self.memory.replica_mb(model.name)
        return sum(free >= size_mb for free in free_mb) >= model.accelerators
