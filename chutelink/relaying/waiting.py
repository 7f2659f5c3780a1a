"""How long a request waits for a model that no endpoint has. Pure.

Answers the load that comes with moves of demand and with rarely used models: what
will be answered in time waits, everything else is told at once when to come back.
"""

from __future__ import annotations

import msgspec

ASK_SHARE = 1 / 8
"""Share of the objective that a request waits for word of a load.

Being held for longer without being served costs the caller more than a refusal, by
the operators' account; daemons and the placer hear of each other in some 20 ms.
"""
RETRY_SHARE = 1 / 3
"""Callers come back at the latest after a third of the time they have left."""
LOAD_MARGIN_S = 0.1
"""How much later than announced a load usually is there."""
MIN_BACK_S = 0.5
"""Callers are not told to come back sooner than this for a model."""


class ModelWait(msgspec.Struct, frozen=True):
    """A request that waits for its model, as of ``now_s``.

    ``last_s`` is when its caller leaves if nothing has come, ``read_s`` how long
    its prompt takes. ``copy_load_s`` and ``cold_load_s`` are the times of loads
    from an endpoint's disk and from the weight store; ``ready_s`` is when the model
    was announced, None where no load is on its way. ``is_held_off`` says that an
    endpoint has it that takes no more requests for now.
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
        """When the first byte must be there to be in time."""
        return self.started_s + self.objective_s


def wait_until_s(wait: ModelWait) -> float:
    """Return until when to wait on; a time that is past is a refusal at once."""
    if wait.ready_s is None:
        return _word_until_s(wait)
    answer_s = wait.ready_s + wait.read_s
    if answer_s <= wait.due_s:
        return wait.due_s
    if _can_come_back(wait, wait.ready_s):
        return wait.now_s
    if answer_s + LOAD_MARGIN_S < wait.last_s:
        return wait.last_s
    return wait.now_s


def back_in_s(wait: ModelWait) -> float:
    """Return when a caller that is refused should come back, from now on.

    Where no load is on its way, a load that is begun now would be done by then,
    from wherever the weights come.
    """
    ready_s = wait.ready_s
    if ready_s is None:
        ready_s = wait.now_s + wait.cold_load_s
    return max(MIN_BACK_S, ready_s + LOAD_MARGIN_S - wait.now_s)


def _word_until_s(wait: ModelWait) -> float:
    """Return until when a load from a copy could still begin in time.

    Requests with an objective of seconds wait for their model's turn: endpoints
    load one model after the other, and a caller that comes back only queues anew. One
    that leaves before its objective is over is told while it can still come back. Where
    an endpoint has the model, it may take requests again before a load is done.
    """
    ask_s = wait.started_s + ASK_SHARE * wait.objective_s
    if wait.is_held_off:
        return ask_s
    latest_s = min(wait.due_s, wait.last_s)
    turn_s = latest_s - wait.copy_load_s - LOAD_MARGIN_S - wait.read_s
    return max(ask_s, turn_s)


def _can_come_back(wait: ModelWait, ready_s: float) -> bool:
    """Return whether the caller would be back soon after the load."""
    is_early = wait.now_s - wait.started_s < ASK_SHARE * wait.objective_s
    back_s = ready_s + LOAD_MARGIN_S - wait.now_s
    return is_early and back_s < RETRY_SHARE * (wait.last_s - wait.now_s)
