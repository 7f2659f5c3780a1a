"""Decide which models and adapters endpoints should load and give up.

Pure: works on tables, with the time passed in. A policy returns changes, each
for an endpoint that carries out nothing else.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter

from ..ids import ModelName
from .changes import Change, DeclineReason, PlacementView
from .planner import PlacementPlanner
from .residency import RECENT_S, RetainReason


class PlacementPolicy(ABC):
    """Decides on changes.

    ``declined`` says why others were not made, ``kept`` for what reasons how many
    models kept their places at the endpoints that got no change, ``queued`` which
    models without a replica are loaded next, in their order.
    """

    def __init__(self) -> None:
        self.declined: dict[ModelName, DeclineReason] = {}
        self.retained: Counter[RetainReason] = Counter()
        self.queued: list[ModelName] = []

    @abstractmethod
    def plan(self, view: PlacementView) -> list[Change]:
        """Return changes to begin now."""


class StaticPlacement(PlacementPolicy):
    """Baseline: leaves everything as it was found."""

    def plan(self, view: PlacementView) -> list[Change]:
        """Return nothing."""
        return []


class DemandPlacement(PlacementPolicy):
    """Loads what is asked for and not held, and adds replicas of busy models."""

    def plan(self, view: PlacementView) -> list[Change]:
        """Return changes, the most urgent first; one for each endpoint."""
        planner = PlacementPlanner(view)
        waiting = view.demand.waiting(view.now_s)
        denied_s = planner.denied_s
        wanted = sorted(waiting, key=lambda key: -waiting[key])
        busy = [key for key in wanted if key[0] in planner.forecast.active]
        rare = [key for key in wanted if key[0] not in planner.forecast.active]
        rare.sort(key=lambda key: -denied_s.get(key, 0.0))
        rejected = [key for key in denied_s if key not in waiting]
        rejected.sort(key=lambda key: -denied_s[key])
        recent = view.demand.recent(view.now_s, RECENT_S)
        for model, adapter in busy:
            planner.load_requested(model, adapter)
        for model in planner.forecast.active:
            planner.add_second_replica(model)
        for model in recent:
            planner.add_replica(model)
        for model, adapter in rare:
            planner.load_requested(model, adapter)
        # Callers that were rejected come back, or others do.
        for model, _ in rejected:
            planner.ensure_resident(model)
        for model in recent:
            planner.ensure_resident(model)
        # What may be asked for comes after what requests wait for.
        for model in planner.forecast.expected():
            planner.preload_second_replica(model)
        for model in planner.upcoming_models():
            planner.preload(model)
        for model in planner.forecast.active:
            planner.add_adapters(model)
        if planner.may_prefetch():
            for model in view.engine.models:
                planner.prefetch(model)
        self.queued = planner.without_replica([model for model, _ in (*busy, *rare)])
        self.declined = planner.declined
        self.retained = planner.retained() if planner.declined else Counter()
        return planner.changes
