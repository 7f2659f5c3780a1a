"""Tests that each check of endpoint signals reports ignored signals."""

from __future__ import annotations

import pytest

from soak.endpoint_signals import EndpointSignal, check_signals
from soak.plan import FaultKind

BEGAN_S, ENDED_S = 100.0, 112.0
NAME = "i-plain0"
DAEMONS, CALLERS = 3, 6


def check(kind, arrived_s, value=0.0, signaled_s=(100.1,), disturbances=()):
    signal = EndpointSignal(kind, NAME, BEGAN_S, ENDED_S, value)
    endpoints = {NAME: {"arrived_s": arrived_s, "told_s": list(signaled_s)}}
    return check_signals([signal], endpoints, list(disturbances), DAEMONS, CALLERS)


def evenly_spaced(first_s, count):
    return [first_s + 0.09 * number for number in range(count)]


@pytest.mark.parametrize(
    ("kind", "value", "allowed", "violating"),
    [
        (FaultKind.ENDPOINT_SAYS_LEAVING, 0.0, [100.1, 102.0], [103.0]),
        (
            FaultKind.ENDPOINT_LIMITS,
            1.0,
            evenly_spaced(104, 11),
            evenly_spaced(104, 12),
        ),
        (
            FaultKind.ENDPOINT_PAUSES,
            3.0,
            evenly_spaced(101.2, 18),
            evenly_spaced(101.2, 19),
        ),
    ],
)
def test_ignored_signal_is_reported(kind, value, allowed, violating):
    assert not check(kind, allowed, value)
    assert check(kind, violating, value)
    assert not check(kind, violating, value, signaled_s=())
    assert not check(kind, violating, value, disturbances=[(90.0, 100.5)])
    assert check(kind, violating, value, disturbances=[(90.0, 99.0)])
