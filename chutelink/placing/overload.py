"""Which endpoints can't serve what is requested of their models. Pure."""

from __future__ import annotations

from ..entry.demand import DemandTable
from .changes import Site

MIN_REMAINING_SHARE = 0.5
"""Share of the endpoints that must be left to move models to.

With fewer, moving them would overload the rest.
"""


def without_overloaded(
    sites: list[Site], demand: DemandTable, now_s: float
) -> list[Site]:
    """Leave out the endpoints whose limits are below what their models are asked for.

    Their models are then loaded elsewhere, as those of an endpoint that is down. A
    model counts with all its requests, also where others hold it: else an endpoint
    would count again as soon as its models are loaded elsewhere.
    """
    if not any(site.endpoint.limit.is_limited for site in sites):
        return sites
    totals = demand.totals(now_s)
    remaining = [
        site
        for site in sites
        if not site.endpoint.limit.is_limited
        or site.endpoint.limit.rate_per_s
        >= sum(
            totals[model].arrivals_per_s
            for model in site.inventory.models
            if model in totals
        )
    ]
    if len(remaining) < MIN_REMAINING_SHARE * len(sites):
        return sites
    return remaining
