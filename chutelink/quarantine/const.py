"""Limits of the quarantine, each with where its figure comes from."""

from __future__ import annotations

from typing import Final

ENDINGS_TO_HOLD: Final = 2
"""Endpoints that end under one request before it is kept away.

An endpoint's end takes all its streams down, so after one end each of them is as
likely to be the cause, and a repeat saves most; two ends have few runs in common. The
operators allow a third one.
"""
HOLD_S: Final = 300.0
"""How long a request is kept away at first.

An end costs an endpoint some 5 s and its models some 4 s each to load: with one trial
in 300 s a wrong guess costs one endpoint some 5 % of its time.
"""
HOLD_FACTOR: Final = 4.0
"""How much longer each next time."""
MAX_TRIALS: Final = 3
"""Most trials of a request that was kept away: the operators allow three retries."""
MAX_SUSPECTS: Final = 2000
"""Requests remembered for an end; an end with 64 streams at each of 30 endpoints."""
MAX_HOLDS: Final = 500
"""Requests kept away at once, and rows in the store; the oldest give way.

Each costs its caller two endpoints, so that hundreds need hundreds of ends.
"""
SUSPECT_KEPT_S: Final = 3600.0
"""How long an end is held against a request that does not come again."""
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
