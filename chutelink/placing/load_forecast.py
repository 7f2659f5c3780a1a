"""Forecast when queued models will be loaded, without I/O.

Where more models are requested than endpoints hold, each endpoint loads one after
another, and a model waits for the loads before it as well. The forecast tells a request
immediately whether its model can be loaded before its caller gives up.
"""

from __future__ import annotations

import heapq
import math

from ..ids import ModelName
from .capacity import load_time
from .changes import PlacementView
from .planner import MAX_OVERDUE_SHARE


def forecast_loads(
    view: PlacementView, queued: list[ModelName]
) -> dict[ModelName, float]:
    """Return the number of seconds until each queued model should be loaded.

    Parameters
    ----------
    view : PlacementView
        Contains when endpoints become free and which have copies of weights.
    queued : list of ModelName
        Models without a replica, in the order in which they will be loaded.

    Returns
    -------
    dict
        A lower bound for each model, in seconds: endpoints are used as they become
        free, a copy of the weights counts as local if any endpoint has one, and a
        paused model is loaded once its pause ends, and one without any copy once the
        rate limit allows a cold load.
    """
    known_s = [s.free_in_s for s in view.sites if math.isfinite(s.free_in_s)]
    slots = max(1, math.ceil(MAX_OVERDUE_SHARE * len(view.sites)))
    free_s = sorted(known_s)[:slots]
    ready_s: dict[ModelName, float] = {}
    for model in queued:
        if not free_s:
            break
        load_s, is_cold = _shortest_load(view, model)
        allowed_in_s = view.paused_until_s.get(model, view.now_s) - view.now_s
        if is_cold:
            allowed_in_s = max(allowed_in_s, view.cold_load_in_s)
        ready_s[model] = max(free_s[0], allowed_in_s) + load_s
        # Until a load is allowed, endpoints load other models.
        if allowed_in_s <= free_s[0]:
            heapq.heapreplace(free_s, ready_s[model])
    return ready_s


def _shortest_load(view: PlacementView, model: ModelName) -> tuple[float, bool]:
    """Return how long a load takes at least, and whether it is a cold load."""
    spec = view.engine.models[model]
    return min(load_time(site.inventory, spec) for site in view.sites)
