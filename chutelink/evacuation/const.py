"""Time limits of evacuations."""

from __future__ import annotations

import math

SEND_RESERVE_S = 1.0
"""Part of the evacuation bound that is reserved for connecting and sending.

A connection takes at most 0.6 s, and the last check is made when it is open.
"""
MIN_FRESHNESS_SHARE = 0.5
"""Minimum share of the evacuation bound that is left for reading the store."""


def freshness_bound_s(evacuate_s: float) -> float:
    """Return within which time daemons must know of an evacuation.

    A bound of 0 means that evacuations have no bound of their own.
    """
    if not evacuate_s:
        return math.inf
    return max(MIN_FRESHNESS_SHARE * evacuate_s, evacuate_s - SEND_RESERVE_S)
