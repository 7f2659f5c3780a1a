"""How long a request waits for a model that no endpoint has. Pure functions.

Shifts of demand and rarely used models cause such requests. A request that can be
answered in time waits; any other is refused at once with a Retry-After delay.
"""

from __future__ import annotations

import msgspec

ANNOUNCEMENT_WAIT_SHARE = 1 / 8
"""Share of the objective that a request waits for the announcement of a load.

According to the operators, a longer wait without being served costs the caller more
than a refusal. Messages between daemons and the placer take about 20 ms.
"""
MAX_RETRY_DELAY_SHARE = 1 / 3
"""Upper bound of the Retry-After delay, as a share of the caller's remaining time."""
LOAD_MARGIN_S = 0.1
"""How much later than announced a load usually completes."""
MIN_RETRY_DELAY_S = 0.5
"""Lower bound of the Retry-After delay of a request for a missing model."""


class ModelWait(msgspec.Struct, frozen=True):
    """A request that waits for its model, as of ``now_s``.

    ``last_s`` is when its caller gives up without a first event, ``read_s`` the
    prefill time of its prompt. ``copy_load_s`` and ``cold_load_s`` are the durations
    of loads from an endpoint's disk and from the weight store. ``ready_s`` is the
    announced completion of a load, None if none is in progress. ``is_held_off`` says
    that an endpoint has the model, but accepts no requests for now.
    """

    now_s: float
    started_s: float
    last_s: float
    objective_s: float
    read_s: float
    copy_load_s: float
    cold_load_s: float
    ready_s: float | None
    is_held_off: bool = False

    @property
    def due_s(self) -> float:
        """The time by which the first byte meets the objective."""
        return self.started_s + self.objective_s


def wait_until_s(wait: ModelWait) -> float:
    """Return until when to wait; a time not after ``now_s`` means refusal at once."""
    if wait.ready_s is None:
        return _announcement_until_s(wait)
    answer_s = wait.ready_s + wait.read_s
    if answer_s <= wait.due_s:
        return wait.due_s
    if _can_retry_in_time(wait, wait.ready_s):
        return wait.now_s
    if answer_s + LOAD_MARGIN_S < wait.last_s:
        return wait.last_s
    return wait.now_s


def model_retry_delay_s(wait: ModelWait) -> float:
    """Return the Retry-After delay of a refused request.

    If no load is in progress, the delay covers a load that starts now, even one from
    the weight store.
    """
    ready_s = wait.ready_s
    if ready_s is None:
        ready_s = wait.now_s + wait.cold_load_s
    return max(MIN_RETRY_DELAY_S, ready_s + LOAD_MARGIN_S - wait.now_s)


def _announcement_until_s(wait: ModelWait) -> float:
    """Return until when to wait for the announcement of a load.

    This is the latest start of a load from a local copy that meets the objective.
    Requests with an objective of seconds wait that long because endpoints load one
    model after the other, and a caller that retries only queues again. A caller that
    gives up before its objective is refused while it can still retry. If an endpoint
    has the model, the wait is short: the endpoint may accept requests again before a
    load completes.
    """
    announcement_s = wait.started_s + ANNOUNCEMENT_WAIT_SHARE * wait.objective_s
    if wait.is_held_off:
        return announcement_s
    latest_s = min(wait.due_s, wait.last_s)
    latest_load_start_s = latest_s - wait.copy_load_s - LOAD_MARGIN_S - wait.read_s
    return max(announcement_s, latest_load_start_s)


def _can_retry_in_time(wait: ModelWait, ready_s: float) -> bool:
    """Return whether a retry soon after the load would still be in time."""
    is_early = wait.now_s - wait.started_s < ANNOUNCEMENT_WAIT_SHARE * wait.objective_s
    retry_delay_s = ready_s + LOAD_MARGIN_S - wait.now_s
    return is_early and retry_delay_s < MAX_RETRY_DELAY_SHARE * (
        wait.last_s - wait.now_s
    )
