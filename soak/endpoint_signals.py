"""Checks that daemons obey the signals that endpoints send in their answers."""

from __future__ import annotations

import msgspec

from tests.rates import LIMIT_WINDOW_S, max_events_in_window, max_requests_in_window

from .plan import FaultKind

LIMIT_GRACE_S = 3.0
"""How soon a limit must be obeyed after it was first announced."""
DRAIN_DEADLINE_S = 2.0
"""How soon requests to an endpoint must stop after it announced that it leaves."""
PAUSE_GRACE_S = 0.5
"""How soon a pause must be obeyed after it was requested."""
PROPAGATION_MARGIN_S = 0.5
"""Allowance for slow answers and slow updates between daemons on busy machines."""
MAX_REQUESTS_IN_PAUSE = 2
"""Requests that an endpoint may receive from one daemon during a pause."""


class EndpointSignal(msgspec.Struct, frozen=True):
    """What an endpoint announced in all its answers during a period.

    ``value`` is the limit in requests per second, or the pause in seconds.
    """

    kind: FaultKind
    endpoint: str
    began_s: float
    ended_s: float
    value: float = 0.0


def check_signals(
    signals: list[EndpointSignal],
    endpoints: dict[str, dict],
    disturbances: list[tuple[float, float]],
    daemons: int,
    callers: int,
) -> list[str]:
    """Report ignored signals, except those that overlap with process faults.

    Parameters
    ----------
    signals : list of EndpointSignal
        Signals with their periods.
    endpoints : dict
        For each endpoint, when requests arrived and when answers carried signals.
    disturbances : list of tuple
        Periods in which daemons were stopped, started or frozen.
    daemons, callers : int
        How many there are of each.
    """
    violations = []
    for signal in signals:
        if any(a < signal.ended_s and b > signal.began_s for a, b in disturbances):
            continue
        arrived_s = endpoints[signal.endpoint]["arrived_s"]
        signaled_s = [
            time_s
            for time_s in endpoints[signal.endpoint]["told_s"]
            if signal.began_s <= time_s <= signal.ended_s
        ]
        if signaled_s:
            violations += _check_signal(
                signal, signaled_s[0], arrived_s, daemons, callers
            )
    return violations


def _check_signal(
    signal: EndpointSignal,
    signaled_s: float,
    arrived_s: list[float],
    daemons: int,
    callers: int,
) -> list[str]:
    if signal.kind is FaultKind.ENDPOINT_SAYS_LEAVING:
        from_s, until_s, allowed = (
            signaled_s + DRAIN_DEADLINE_S + PROPAGATION_MARGIN_S,
            signal.ended_s,
            0.0,
        )
    elif signal.kind is FaultKind.ENDPOINT_LIMITS:
        from_s, until_s = signaled_s + LIMIT_GRACE_S, signal.ended_s
        allowed = max_requests_in_window(signal.value)
    else:
        from_s = signaled_s + PAUSE_GRACE_S + PROPAGATION_MARGIN_S
        until_s = min(signal.ended_s, signaled_s + signal.value)
        # Daemons that have no answer with the pause yet may send a request per caller.
        allowed = MAX_REQUESTS_IN_PAUSE * daemons + (daemons - 1) * callers
    checked_arrivals_s = [time_s for time_s in arrived_s if from_s <= time_s <= until_s]
    most = max_events_in_window(checked_arrivals_s, LIMIT_WINDOW_S)
    if most <= allowed:
        return []
    return [
        f"{signal.endpoint} received {most} requests during {signal.kind.value}, "
        f"{allowed} allowed"
    ]
