"""Limits and timings of the quarantine."""

from __future__ import annotations

from typing import Final

ENDINGS_TO_HOLD: Final = 3
"""Endpoint terminations during one request before the request is held.

A terminating endpoint breaks all its streams, so every one of them looks like the
cause: a lower threshold would hold requests that merely ran at the same time. The
operators allow 3.
"""
MIN_ENDINGS_TO_STORE: Final = ENDINGS_TO_HOLD - 1
"""Endpoint terminations during one request from which their count is stored."""
MIN_CONTENTS_TO_HOLD: Final = 2
"""Different requests that must end endpoints before a part that they share is held.

With fewer, the request may be the cause instead.
"""
MIN_RIVAL_RUNS: Final = 2
"""Runs that two parts must share before either may have caused the terminations."""
RUNS_TO_CONFIRM: Final = 2
"""Terminations beside parts that are new before a held part is taken for the cause."""
MAX_COMPANIONS: Final = 32
"""Maximum number of parts that are recorded as having run with a suspect."""
FIRST_HOLD_S: Final = 300.0
"""Duration of a request's first hold.

A termination costs an endpoint some seconds, and as much again to load each of its
models. A trial after this time that terminates an endpoint again therefore costs only
a small part of that endpoint's time.
"""
HOLD_BACKOFF_FACTOR: Final = 4.0
"""Factor by which each further hold is longer than the previous one."""
MAX_TRIALS: Final = 3
"""Maximum trials of a held request: the operators allow three retries."""
MAX_SUSPECTS: Final = 2000
"""Maximum number of suspects that are not held.

Enough for one termination with 64 streams at each of 30 endpoints.
"""
MAX_HOLDS: Final = 500
"""Maximum number of held requests and of rows in the store; the oldest are evicted.

Each hold takes three endpoint terminations, so hundreds of holds take a thousand
terminations.
"""
SOUND_REPLY_SPREAD_S: Final = 0.1
"""Maximum delay before a daemon tells the others that a suspected part is sound.

All of a large fleet may know it; most have heard it from another daemon by then.
"""
MAX_SOUND_PARTS: Final = 8192
"""Maximum number of prompt parts that are remembered as sound."""
SUSPECT_RETENTION_S: Final = 3600.0
"""How long a suspect is kept if its request does not recur."""
SAME_ENDING_TOLERANCE_S: Final = 0.25
"""Maximum time between two daemons detecting the same termination.

Each daemon detects it on its own connections. It is also the longest time for which a
kept-alive connection may be broken before that is detected.
"""
MIN_RETRY_AFTER_S: Final = 0.5
"""Minimum retry delay of a caller while another daemon runs its request as a trial.

The outcome of the trial is known by then.
"""
LATE_EVIDENCE_S: Final = 8.0
"""How long after a broken run evidence of the endpoint's termination is accepted.

Registrations lapse after three heartbeats of 1.2 s and are read up to 2 s later; a
restart is visible as soon as the endpoint has registered again.
"""
ENDING_BATCH_DELAY_S: Final = 0.01
"""How long ended runs are collected before they are sent to other daemons.

Runs that break with one endpoint share a message; the delay is far below that of a
retry.
"""
MAX_ABOUT_CHARS: Final = 120
"""Maximum length of the host and path of a request that operators are shown."""
SAVE_PERIOD_S: Final = 0.25
"""Minimum time between two attempts to write holds to the store."""
SAVE_RANK_DELAY_S: Final = 0.5
"""Additional delay per daemon rank before a daemon writes a hold found by another.

The daemon that found the hold writes it first; the others do so only if it fails to.
"""
SAVE_BATCH_SIZE: Final = 50
"""Maximum number of removals, and of holds, written at once; the store accepts 100."""
