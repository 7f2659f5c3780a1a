"""Decide which models and adapters endpoints should load and give up.

Pure: works on tables, with the time passed in. A policy returns changes, each
for an endpoint that carries out nothing else.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter

from ..ids import ModelName
from .changes import Change, Decline, PlacementView
from .holdings import RECENT_S, Kept
from .rounds import PlacementRound


class PlacementPolicy(ABC):
    """Decides on changes.

    ``declined`` says why others were not made, ``kept`` for what reasons how many
    models kept their places at the endpoints that got no change, ``queued`` which
    models without a replica are loaded next, in their order.
    """

    def __init__(self) -> None:
        self.declined: dict[ModelName, Decline] = {}
        self.kept: Counter[Kept] = Counter()
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
        round_ = PlacementRound(view)
        waiting = view.demand.waiting(view.now_s)
        denied_s = round_.denied_s
        wanted = sorted(waiting, key=lambda key: -waiting[key])
        busy = [key for key in wanted if key[0] in round_.outlook.active]
        rare = [key for key in wanted if key[0] not in round_.outlook.active]
        rare.sort(key=lambda key: -denied_s.get(key, 0.0))
        rejected = [key for key in denied_s if key not in waiting]
        rejected.sort(key=lambda key: -denied_s[key])
        recent = view.demand.recent(view.now_s, RECENT_S)
        for model, adapter in busy:
            round_.make_wanted(model, adapter)
        for model in round_.outlook.active:
            round_.pair(model)
        for model in recent:
            round_.add_replica(model)
        for model, adapter in rare:
            round_.make_wanted(model, adapter)
        # Callers that were rejected come back, or others do.
        for model, _ in rejected:
            round_.make_resident(model)
        for model in recent:
            round_.make_resident(model)
        # What may be asked for comes after what requests wait for.
        for model in round_.outlook.expected():
            round_.reserve(model)
        for model in round_.next_models():
            round_.prepare(model)
        for model in round_.outlook.active:
            round_.add_adapters(model)
        if round_.may_spread():
            for model in view.engine.models:
                round_.spread(model)
        self.queued = round_.without_replica([model for model, _ in (*busy, *rare)])
        self.declined = round_.declined
        self.kept = round_.kept() if round_.declined else Counter()
        return round_.changes
