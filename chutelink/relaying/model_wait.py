"""How long a request waits for a model that no endpoint has. Pure functions.

A caller has a limited time, and a load takes a known time. A request whose load fits
into the time left waits for it; any other is refused at once, with the time of the load
as Retry-After delay.
"""

from __future__ import annotations

import msgspec

PLANNING_S = 0.1
"""Time in which a report of a waiting request reaches the placer and is planned.

Reports of waiting requests are sent at once, and the placer plans every 0.05 s.
"""
ANNOUNCEMENT_S = 0.5
"""Time in which a planned load is announced: planning, and the period of 0.4 s."""
HONORED_RETRY_SHARE = 1 / 3
"""Share of their time left up to which callers honor Retry-After, by the protocol."""
LOAD_MARGIN_S = 0.1
"""How much later than announced a load usually completes."""


class ModelWait(msgspec.Struct, frozen=True):
    """A request that waits for its model, as of ``now_s``.

    ``started_s`` is when its wait began, ``last_s`` when its caller gives up without a
    first event, ``read_s`` the prefill time of its prompt. ``copy_load_s`` and
    ``cold_load_s`` are the durations of loads from an endpoint's disk and from the
    weight store. ``ready_s`` is the announced completion of a load, None if none is
    announced. ``is_held_off`` says that an endpoint has the model, but doesn't take the
    request, ``is_declined`` that the placer knows of the request and plans no load.
    """

    now_s: float
    started_s: float
    last_s: float
    read_s: float
    copy_load_s: float
    cold_load_s: float
    ready_s: float | None
    is_held_off: bool = False
    is_declined: bool = False


def wait_until_s(wait: ModelWait) -> float:
    """Return until when to wait; a time not after ``now_s`` means refusal at once."""
    latest_ready_s = wait.last_s - wait.read_s
    if wait.ready_s is not None:
        is_in_time = wait.ready_s + LOAD_MARGIN_S <= latest_ready_s
        return latest_ready_s if is_in_time else wait.now_s
    if wait.is_declined:
        return wait.now_s
    latest_load_start_s = latest_ready_s - wait.copy_load_s - LOAD_MARGIN_S
    if wait.is_held_off:
        # A load is planned for the demand as a whole, not for each such request.
        return min(latest_load_start_s, wait.started_s + ANNOUNCEMENT_S)
    return latest_load_start_s


def model_retry_delay_s(wait: ModelWait) -> float:
    """Return the Retry-After delay of a refused request: the time of the load.

    If no load is announced, the delay covers a load that starts now, even one from the
    weight store.
    """
    ready_s = wait.ready_s
    if ready_s is None:
        ready_s = wait.now_s + wait.cold_load_s
    return max(0.0, ready_s - wait.now_s) + LOAD_MARGIN_S
