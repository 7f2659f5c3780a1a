"""Each check of what endpoints say in their answers finds what it is for."""

from __future__ import annotations

import pytest

from soak.plan import FaultKind
from soak.signals import Signal, check_signals

BEGAN_S, ENDED_S = 100.0, 112.0
NAME = "i-plain0"
DAEMONS, CALLERS = 3, 6


def check(kind, arrived_s, value=0.0, told_s=(100.1,), disturbed_s=()):
    signal = Signal(kind, NAME, BEGAN_S, ENDED_S, value)
    endpoints = {NAME: {"arrived_s": arrived_s, "told_s": list(told_s)}}
    return check_signals([signal], endpoints, list(disturbed_s), DAEMONS, CALLERS)


def spread(first_s, count):
    return [first_s + 0.09 * number for number in range(count)]


@pytest.mark.parametrize(
    ("kind", "value", "kept", "broken"),
    [
        (FaultKind.ENDPOINT_SAYS_LEAVING, 0.0, [100.1, 102.0], [103.0]),
        (FaultKind.ENDPOINT_LIMITS, 1.0, spread(104, 11), spread(104, 12)),
        (
            FaultKind.ENDPOINT_PAUSES,
            3.0,
            spread(101.2, 18),
            spread(101.2, 19),
        ),
    ],
)
def test_a_signal_that_was_not_heeded_is_found(kind, value, kept, broken):
    assert not check(kind, kept, value)
    assert check(kind, broken, value)
    assert not check(kind, broken, value, told_s=())
    assert not check(kind, broken, value, disturbed_s=[(90.0, 100.5)])
    assert check(kind, broken, value, disturbed_s=[(90.0, 99.0)])
