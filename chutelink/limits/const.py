"""How the requests to an endpoint that names a limit are spaced."""

from __future__ import annotations

from typing import Final

BURST_S: Final = 0.25
"""Requests that may come at once, as the time in which the limit allows them.

Requests arrive at random: with strict spacing most of them would wait.
"""
MIN_LIMIT_PER_S: Final = 0.1
"""What an endpoint that takes nothing still gets.

Only an answer can lift its limit.
"""
IDLE_S: Final = 60.0
"""How long the state of an endpoint is kept that nobody sends to."""
DOUBTFUL_S: Final = 3.0
"""How long a limit keeps requests and loads away that others can take.

Then some are sent there again, at the rate of the limit: only an answer can lift it.
"""
MAX_DELAY_S: Final = 1.0
"""Longest time that a request waits for a permit to become valid."""
PERMIT_WAIT_S: Final = 0.08
"""How long a daemon waits for the answer of another one: some round trips of 3 ms."""
SILENT_PAUSE_S: Final = 0.25
"""How long no permit is requested after one did not come in time."""
MIN_BACK_S: Final = 0.2
"""Callers are not told to come back sooner than this."""
