"""What endpoints say of themselves in their answers, and what they may get then."""

from __future__ import annotations

import msgspec

from tests.rates import LIMIT_WINDOW_S, allowed_in_window, most_in_window

from .plan import FaultKind

CONTACT_S = 3.0
"""How soon a limit holds after it was first named."""
DRAIN_S = 2.0
"""How soon nothing more may reach an endpoint that said that it leaves."""
PAUSE_LEAD_S = 0.5
"""How soon a pause holds after it was asked for."""
MARGIN_S = 0.5
"""What answers and the news of them take on machines that test and are busy."""
MAX_IN_PAUSE = 2
"""Requests that an endpoint may get from one daemon in a pause."""


class Signal(msgspec.Struct, frozen=True):
    """What an endpoint said in all its answers from one time to another.

    ``value`` is the limit in requests a second, or the length of the pause in seconds.
    """

    kind: FaultKind
    endpoint: str
    began_s: float
    ended_s: float
    value: float = 0.0


def check_signals(
    signals: list[Signal],
    endpoints: dict[str, dict],
    disturbed_s: list[tuple[float, float]],
    daemons: int,
    callers: int,
) -> list[str]:
    """Return the signals that were not heeded, but for those beside process faults.

    Parameters
    ----------
    signals : list of Signal
        What was said when.
    endpoints : dict
        Of each endpoint, when requests arrived and when answers said so.
    disturbed_s : list of tuple
        From when to when daemons were stopped, started or frozen.
    daemons, callers : int
        How many there are.
    """
    found = []
    for signal in signals:
        if any(a < signal.ended_s and b > signal.began_s for a, b in disturbed_s):
            continue
        arrived_s = endpoints[signal.endpoint]["arrived_s"]
        told_s = [
            time_s
            for time_s in endpoints[signal.endpoint]["told_s"]
            if signal.began_s <= time_s <= signal.ended_s
        ]
        if told_s:
            found += _check_one(signal, told_s[0], arrived_s, daemons, callers)
    return found


def _check_one(
    signal: Signal, told_s: float, arrived_s: list[float], daemons: int, callers: int
) -> list[str]:
    if signal.kind is FaultKind.ENDPOINT_SAYS_LEAVING:
        from_s, until_s, allowed = told_s + DRAIN_S + MARGIN_S, signal.ended_s, 0.0
    elif signal.kind is FaultKind.ENDPOINT_LIMITS:
        from_s, until_s = told_s + CONTACT_S, signal.ended_s
        allowed = allowed_in_window(signal.value)
    else:
        from_s = told_s + PAUSE_LEAD_S + MARGIN_S
        until_s = min(signal.ended_s, told_s + signal.value)
        # The other daemons may not have heard of it from this endpoint yet.
        allowed = MAX_IN_PAUSE * daemons + (daemons - 1) * callers
    late_s = [time_s for time_s in arrived_s if from_s <= time_s <= until_s]
    most = most_in_window(late_s, LIMIT_WINDOW_S)
    if most <= allowed:
        return []
    return [f"{signal.endpoint} got {most} at {signal.kind.value}, {allowed} allowed"]
