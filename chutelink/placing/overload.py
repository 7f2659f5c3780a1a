"""Find resident models that exceed the rate limits of their endpoints, without I/O."""

from __future__ import annotations

import msgspec

from ..entry.demand import DemandTable, ModelDemand
from ..ids import ModelName
from .changes import Site

MIN_REMAINING_SHARE = 0.5
"""Minimum share of endpoints that must remain as targets for moved models.

With fewer, moving the models would overload the remaining endpoints.
"""


def mark_overloaded(sites: list[Site], demand: DemandTable, now_s: float) -> list[Site]:
    """Return the endpoints, with models marked whose requests exceed the limit.

    Marked models are loaded elsewhere, like those of an endpoint that is down.
    """
    if not any(site.endpoint.limit.is_limited for site in sites):
        return sites
    totals = demand.totals(now_s)
    marked = [
        msgspec.structs.replace(site, overloaded=_overloaded(site, totals, now_s))
        for site in sites
    ]
    remaining = sum(not site.overloaded for site in marked)
    return sites if remaining < MIN_REMAINING_SHARE * len(sites) else marked


def _overloaded(
    site: Site, totals: dict[ModelName, ModelDemand], now_s: float
) -> frozenset[ModelName]:
    """Return the models that don't fit when the limit is assigned rarest models first.

    This way the fewest models move, and those that do justify a load. A model counts
    with all of its requests, even if other endpoints hold it too. Otherwise it would
    fit here again as soon as it is loaded elsewhere.
    """
    limit = site.endpoint.limit
    if not limit.is_limited or limit.is_unconfirmed(now_s):
        return frozenset()
    left_per_s = limit.rate_per_s
    overloaded = set()
    arrivals = {
        model: totals[model].arrivals_per_s if model in totals else 0.0
        for model in site.inventory.models
    }
    for model in sorted(arrivals, key=lambda name: (arrivals[name], name)):
        left_per_s -= arrivals[model]
        if left_per_s < 0:
            overloaded.add(model)
    return frozenset(overloaded)
