"""Log why models that requests are waiting for are not being loaded."""

from __future__ import annotations

import math
from collections import Counter

from ..core import Application
from ..ids import ModelName
from .changes import DeclineReason, PlacementView
from .residency import RetainReason

LOG_PERIOD_S = 1.0
"""Minimum interval between log lines for one model.

Plans are made up to 20 times a second.
"""


class DeclineLog:
    """Logs, at a limited rate, why a requested model is not loaded.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    """

    def __init__(self, core: Application) -> None:
        self._core = core
        self._logged_s: dict[ModelName, float] = {}

    def log(
        self,
        view: PlacementView,
        declined: dict[ModelName, DeclineReason],
        retained: Counter[RetainReason],
    ) -> None:
        """Log one plan's decline reasons for models that requests are waiting for."""
        waiting = {model for model, _ in view.demand.waiting(view.now_s)}
        for model, reason in declined.items():
            last_s = self._logged_s.get(model, -math.inf)
            if model not in waiting or view.now_s - last_s < LOG_PERIOD_S:
                continue
            self._logged_s[model] = view.now_s
            self._core.events.record(
                "placement_declined",
                model=model,
                reason=reason.value,
                free=sum(not site.inventory.is_changing for site in view.sites),
                endpoints=len(view.sites),
                cold_loads=view.cold_loads,
                asks=view.demand.asks(model, view.now_s),
                kept=",".join(
                    f"{why.value}:{count}" for why, count in retained.items()
                ),
            )
