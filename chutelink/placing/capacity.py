"""Memory capacity of endpoints, and the duration of loads there."""

from __future__ import annotations

from ..entry.config import EngineSpec, ModelSpec
from ..ids import AdapterName, ModelName
from .inventory import Inventory


def load_time(inventory: Inventory, spec: ModelSpec) -> tuple[float, bool]:
    """Return how long a load takes at an endpoint, and whether it is a cold load."""
    if spec.name in inventory.in_memory:
        return spec.memory_load_s, False
    if spec.name in inventory.on_disk:
        return spec.disk_load_s, False
    return spec.cold_load_s, True


def model_mb(inventory: Inventory, model: ModelName, engine: EngineSpec) -> float:
    """Return the memory used by a resident model and its adapters."""
    spec = engine.models.get(model)
    if spec is None:
        # From an older configuration: assume the size of the largest known model.
        return max((s.weights_mb for s in engine.models.values()), default=0.0)
    adapters = len(inventory.models.get(model, ()))
    return spec.weights_mb + adapters * spec.adapter_mb


def used_mb(inventory: Inventory, engine: EngineSpec) -> float:
    """Return the memory used by all models and adapters of an endpoint."""
    return sum(model_mb(inventory, model, engine) for model in inventory.models)


def lost_copies(
    inventory: Inventory, spec: ModelSpec, engine: EngineSpec
) -> list[ModelName]:
    """Return the models whose disk copies a cold load would evict."""
    sizes_mb = {
        name: engine.models[name].weights_mb
        for name in inventory.on_disk
        if name in engine.models
    }
    excess_mb = sum(sizes_mb.values()) + spec.weights_mb - engine.disk_copies_mb
    lost = []
    for name in inventory.on_disk:
        if excess_mb <= 0:
            break
        lost.append(name)
        excess_mb -= sizes_mb.get(name, 0.0)
    return lost


def fits(
    inventory: Inventory, engine: EngineSpec, model: ModelName, adapter: AdapterName
) -> bool:
    """Return whether a model or adapter fits next to what the endpoint holds."""
    spec = engine.models.get(model)
    if spec is None:
        return False
    if inventory.has(model, adapter):
        return True
    if adapter and inventory.adapters >= engine.adapter_slots:
        return False
    needed_mb = spec.adapter_mb if adapter else spec.weights_mb
    return used_mb(inventory, engine) + needed_mb <= engine.weights_mb
