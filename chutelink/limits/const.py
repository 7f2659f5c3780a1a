"""Constants for pacing the requests to endpoints that announce a limit."""

from __future__ import annotations

from typing import Final

BURST_S: Final = 0.25
"""Burst size, given as the time in which the limit allows that many requests.

Requests arrive at random times: with strict spacing most of them would wait.
"""
MIN_LIMIT_PER_S: Final = 0.1
"""Minimum rate of requests, even to an endpoint that announces a lower limit.

Only a response to a request can lift the limit.
"""
PACER_IDLE_S: Final = 60.0
"""How long the pacer of an endpoint is kept after the last request."""
UNCONFIRMED_AFTER_S: Final = 3.0
"""Time since its last confirmation in which a limit diverts requests and loads.

They go to other endpoints that can serve them. After this time, some requests are sent
to the endpoint again, at the rate of the limit, since only a response can lift it.
"""
MAX_DELAY_S: Final = 1.0
"""Maximum time that a request waits for a permit to become valid.

Permits can't be returned: those of callers that leave while they wait are lost.
"""
PERMIT_TIMEOUT_S: Final = 0.08
"""How long a daemon waits for a permit from another: some round trips of 3 ms."""
PERMIT_RETRY_PAUSE_S: Final = 0.25
"""How long no permit is requested after a permit request failed or timed out."""
MIN_RETRY_AFTER_S: Final = 0.2
"""Minimum retry delay given to callers."""
