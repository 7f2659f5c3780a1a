"""Placement policies: decide which models and adapters endpoints load and unload.

Policies do no I/O: they work on tables and get the time passed in. They return at most
one change per endpoint, and only for endpoints without a change in progress.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter

from ..ids import ModelName
from .changes import Change, DeclineReason, PlacementView
from .planner import PlacementPlanner
from .residency import RetainReason


class PlacementPolicy(ABC):
    """Base class of placement policies.

    After a plan, ``declined`` contains the reasons for loads that were not planned,
    ``retained`` how many models stayed on endpoints without a change, by reason, and
    ``queued`` the models without a replica in the order in which to load them next.
    """

    def __init__(self) -> None:
        self.declined: dict[ModelName, DeclineReason] = {}
        self.retained: Counter[RetainReason] = Counter()
        self.queued: list[ModelName] = []

    @abstractmethod
    def plan(self, view: PlacementView) -> list[Change]:
        """Return the changes to start now."""


class StaticPlacement(PlacementPolicy):
    """Baseline policy that never changes anything."""

    def plan(self, view: PlacementView) -> list[Change]:
        """Return no changes."""
        return []


class DemandPlacement(PlacementPolicy):
    """Loads requested models that no endpoint holds and replicates busy models."""

    def plan(self, view: PlacementView) -> list[Change]:
        """Return changes, most urgent first, at most one per endpoint."""
        planner = PlacementPlanner(view)
        waiting = view.demand.waiting(view.now_s)
        at_home = view.demand.waiting_at_home(view.now_s)
        for model, adapter, homes in at_home:
            planner.load_at_home(model, adapter, homes)
        for (model, adapter, _), count in at_home.items():
            # Not to be loaded elsewhere on behalf of these requests.
            key = (model, adapter)
            waiting[key] = waiting.get(key, 0) - count
        bound = {key for key, count in waiting.items() if count <= 0}
        waiting = {key: n for key, n in waiting.items() if key not in bound}
        bound_models = {model for model, _ in bound} - {model for model, _ in waiting}
        denied_s = planner.denied_s
        wanted = sorted(waiting, key=lambda key: (-waiting[key], key))
        busy = [key for key in wanted if key[0] in planner.forecast.busy]
        rare = [key for key in wanted if key[0] not in planner.forecast.busy]
        rare.sort(key=lambda key: -denied_s.get(key, 0.0))
        rejected = [
            key for key in denied_s if key not in waiting and key[0] not in bound_models
        ]
        rejected.sort(key=lambda key: (-denied_s[key], key))
        recent = planner.recent()
        for model, adapter in busy:
            planner.load_requested(model, adapter)
        for model in planner.forecast.busy:
            if model not in bound_models:
                planner.add_second_replica(model)
        for model in recent:
            planner.add_replica(model)
        for model, adapter in rare:
            planner.load_requested(model, adapter)
        # Rejected callers retry, or others request the same model.
        for model, _ in rejected:
            planner.ensure_resident(model)
        for model in recent:
            if model not in bound_models:
                planner.ensure_resident(model)
        # Projected demand comes after waiting requests.
        for model in planner.forecast.expected():
            planner.preload_second_replica(model)
        for model in planner.growing_models():
            planner.preload(model)
        for model in planner.forecast.busy:
            planner.add_adapters(model)
        if planner.may_spread():
            planner.spread()
        self.queued = planner.without_replica([model for model, _ in (*busy, *rare)])
        self.declined = planner.declined
        self.retained = planner.retained() if planner.declined else Counter()
        return planner.changes
