"""When daemons read the store, and how the times of one bound add up.

A change must be known everywhere within a bound. Daemons read in turn, calls have a
time limit and are tried twice, and pauses follow on failures: all of it has to fit.
"""

from __future__ import annotations

import msgspec

from ..core import Application
from ..settings import PlatformSection
from ..store.http import SECOND_TRY_SHARE

FIRST_SHARE = 0.35
"""Age at which the second in rank reads for itself, as a share of the bound."""
RANK_SHARE = 0.04
"""How much later each further one reads, as a share of the bound.

All shares keep the last in rank within the bound though its first try is not answered
and the second one slowly, or its first call fails; ``longest_timeout_s`` adds them up.
"""
MAX_RANK = 4
"""Those behind it read together with the one in this place behind the second."""
WAIT_SHARE = 0.25
"""How long the first in rank lets the store hold a call, as a share of the bound."""
MIN_PERIOD_SHARE = 0.2
"""Shortest time between two calls, as a share of the bound."""
RETRY_S = 0.25
"""Shortest pause after a failed call."""
RETRY_SPREAD = 1.5
"""Longest pause after a failed call, over the shortest."""
RETURN_S = 2.0
"""Endpoints whose rows vanished in an outage, and that live, are back so soon after it.

The operators' rule for the store; what is not back by then is gone.
"""
SLOW_ANSWER_S = 0.5
"""What a slow store takes; most answers take some 10 ms."""
QUICK_ANSWER_S = 0.1
MIN_TIMEOUT_S = 0.1


def longest_timeout_s(bound_s: float) -> float:
    """Return the longest time limit of a call that fits a bound.

    With it the last in rank still knows of a change within the bound though its first
    try is not answered and the second one slowly, or its first call fails.
    """
    last_rank_s = (FIRST_SHARE + MAX_RANK * RANK_SHARE) * bound_s
    after_slow_s = bound_s - last_rank_s - SLOW_ANSWER_S
    pause_s = RETRY_S * RETRY_SPREAD
    after_failed_s = bound_s - last_rank_s - pause_s - QUICK_ANSWER_S
    fitting_s = min(after_slow_s, after_failed_s) / SECOND_TRY_SHARE
    return max(MIN_TIMEOUT_S, fitting_s)


def fit_time_limit(
    core: Application, platform: PlatformSection, bound_s: float
) -> PlatformSection:
    """Return the platform's settings, with a time limit that fits the bound."""
    fitting_s = longest_timeout_s(bound_s)
    if platform.timeout_s <= fitting_s:
        return platform
    core.events.warning("timeout_shortened", set_s=platform.timeout_s, used_s=fitting_s)
    return msgspec.structs.replace(platform, timeout_s=fitting_s)
