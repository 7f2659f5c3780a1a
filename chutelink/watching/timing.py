"""Timing of store reads, derived from the staleness bound.

Every daemon must know a change within the staleness bound. Backup readers start in
order of rank, calls have a timeout and are sent again if unanswered, and a pause
follows a failed call: all of this has to fit into the bound.
"""

from __future__ import annotations

import msgspec

from ..core import Application
from ..settings import PlatformSection
from ..store.http import READ_RETRY_FRACTION

FIRST_BACKUP_SHARE = 0.35
"""Age of a copy at which rank 1 reads the store itself, as a share of the bound."""
RANK_DELAY_SHARE = 0.04
"""Additional delay of each further rank, as a share of the bound.

The shares leave the last rank enough time to retry within the bound; see
``max_timeout_s``.
"""
MAX_RANK_STEPS = 4
"""Number of delay steps after rank 1; higher ranks read together at the last step."""
LONG_POLL_SHARE = 0.25
"""Wait time of rank 0's long polls, as a share of the bound."""
MIN_INTERVAL_SHARE = 0.2
"""Minimum interval between the starts of two calls, as a share of the bound."""
MIN_RETRY_PAUSE_S = 0.25
"""Minimum pause after a failed call."""
RETRY_JITTER = 1.5
"""Ratio of the maximum to the minimum pause after a failed call."""
REREGISTRATION_S = 2.0
"""Time after an outage within which live endpoints whose rows lapsed register again.

Set by the operators' rule for the store: endpoints not registered by then are gone.
"""
SLOW_ANSWER_S = 0.5
"""Response time of a slow store; most answers take about 10 ms."""
QUICK_ANSWER_S = 0.1
"""Maximum response time of a healthy store."""
MIN_TIMEOUT_S = 0.1


def max_timeout_s(staleness_bound_s: float) -> float:
    """Return the longest call timeout that is compatible with a staleness bound.

    With it the last rank still learns of a change within the bound if the first attempt
    of its call gets no answer and the second a slow one, or if its first call fails.
    """
    last_rank_s = (
        FIRST_BACKUP_SHARE + MAX_RANK_STEPS * RANK_DELAY_SHARE
    ) * staleness_bound_s
    after_slow_s = staleness_bound_s - last_rank_s - SLOW_ANSWER_S
    pause_s = MIN_RETRY_PAUSE_S * RETRY_JITTER
    after_failed_s = staleness_bound_s - last_rank_s - pause_s - QUICK_ANSWER_S
    longest_s = min(after_slow_s, after_failed_s) / READ_RETRY_FRACTION
    return max(MIN_TIMEOUT_S, longest_s)


def cap_timeout(
    core: Application, platform: PlatformSection, staleness_bound_s: float
) -> PlatformSection:
    """Return the platform's settings with the call timeout capped to fit the bound."""
    longest_s = max_timeout_s(staleness_bound_s)
    if platform.timeout_s <= longest_s:
        return platform
    core.events.warning("timeout_shortened", set_s=platform.timeout_s, used_s=longest_s)
    return msgspec.structs.replace(platform, timeout_s=longest_s)
