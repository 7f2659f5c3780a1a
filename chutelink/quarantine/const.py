"""Limits of the quarantine, each with where its figure comes from."""

from __future__ import annotations

from typing import Final

ENDINGS_TO_HOLD: Final = 3
"""Endpoints that end under one request before it is kept away.

An endpoint's end takes all its streams down, so that each looks like the cause: after
fewer ends, requests are kept away that only ran beside it. The operators allow 3.
"""
HOLD_S: Final = 300.0
"""How long a request is kept away at first.

An end costs an endpoint some seconds and its models as much each to load, so that a
wrong guess costs one endpoint a small part of its time.
"""
HOLD_FACTOR: Final = 4.0
"""How much longer each next time."""
MAX_TRIALS: Final = 3
"""Most trials of a request that was kept away: the operators allow three retries."""
MAX_SUSPECTS: Final = 2000
"""Requests remembered for an end; an end with 64 streams at each of 30 endpoints."""
MAX_HOLDS: Final = 500
"""Requests kept away at once, and rows in the store; the oldest give way.

Each costs its caller three endpoints, so that hundreds need a thousand ends.
"""
SUSPECT_KEPT_S: Final = 3600.0
"""How long an end is held against a request that does not come again."""
SAME_END_S: Final = 0.25
"""How far apart daemons may notice one end of an endpoint, each by its own connections;
so long may a kept connection be broken before that is noticed.
"""
MIN_BACK_S: Final = 0.5
"""When a caller may come back while another daemon tries its request: it is then known
how that ended.
"""
LATE_PROOF_S: Final = 8.0
"""How long after a broken run the endpoint's end may still be proved.

Registrations lapse after three heartbeats of 1.2 s, and are read up to 2 s later; a
restart shows as soon as the endpoint has registered.
"""
TELL_DELAY_S: Final = 0.01
"""Runs that break with one endpoint are told in one message; far below a retry."""
MAX_ABOUT_CHARS: Final = 120
"""How much of a request's host and path operators are shown."""
SAVE_PERIOD_S: Final = 0.25
"""How often holds are looked through that are not in the store yet."""
SAVE_STEP_S: Final = 0.5
"""How much later each next daemon saves what the one that saw it has not saved."""
MAX_SAVED: Final = 50
"""Most rows written in one transaction; the store takes 100."""
