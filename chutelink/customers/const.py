"""Limits on customers' keys, and constants for quota shares and loans."""

from __future__ import annotations

from typing import Final

MAX_KEY_BYTES: Final = 4096
"""Maximum length of a key; callers' headers hold 16 KB by default."""

MIN_HOLDERS: Final = 16
"""Minimum number of holders that a daemon assumes until it knows the others.

This is the maximum number of serving daemons in one failure domain. A daemon that has
just started sees only itself and would otherwise admit a whole quota alone.
"""
MAX_HOLDERS: Final = 16
"""Maximum number of daemons that share a customer's quota, for any fleet size."""
SETTLE_S: Final = 2.0
"""Time after its start in which a daemon assumes that it doesn't know all others yet.

Links are established within a second of a start.
"""
MIN_HOLDER_UPTIME_S: Final = 5.0
"""Time that a daemon must have served before its share stays reserved.

While a fleet starts, the daemons that are found first serve for some tenths of a
second. With all of their shares reserved, 8 serving daemons of 60 held a sixteenth
each, and daemons that served no callers held the rest.
"""
HOLDER_RETENTION_S: Final = 60.0
"""How long the share of an unreachable daemon stays reserved.

The daemon may be disconnected only from the others and still serve callers.
"""

START_S: Final = 0.5
"""Minimum startup time of a process; the amount gained in it may be used at once.

The previous process admitted nothing during that time, whatever it had used before.
"""
AT_LIMIT_S: Final = 1.0
"""How long after a refusal a customer counts as being at its limit."""
PEAK_COST_DECAY: Final = 0.999
"""Factor by which the largest cost seen decays per request: to half in 700 requests."""
CAPACITY_SHARE: Final = 0.55
"""Share of the margin over the steady rate that all daemons together accumulate."""
START_SHARE: Final = 0.35
"""Share of the margin that daemons start with, unless they also started recently.

Together with the accumulated level and the use before a restart, this makes up 0.9 of
the margin. The rest covers moments in which daemons disagree on who the holders are.
"""

SMALL_REQUEST_SHARE: Final = 0.1
"""Requests below this share of a large one never wait for the level of a large one."""
LOAN_TIMEOUT_S: Final = 0.08
"""How long a request waits for loans: some round trips of 3 ms."""
LOAN_RETRY_PAUSE_S: Final = 0.25
"""How long no loans are requested after the lenders had too little.

Without a pause, a customer that sends four times its limit would cause loan requests
with each of its requests.
"""
MAX_LENDERS: Final = 8
"""Maximum number of daemons that are asked for a loan at once, for any fleet size."""
LOAN_REQUEST_FACTOR: Final = 2.0
"""Ratio of the amount requested from all lenders together to the missing amount."""
MAX_LENT_SHARE: Final = 0.8
"""Maximum share of its own level that a daemon lends."""
MAX_RETRY_AFTER_S: Final = 8.0
"""Maximum retry delay given to callers that are over a quota."""
MIN_RETRY_AFTER_S: Final = 0.2
"""Minimum retry delay given to callers that are over a quota."""
