"""Tests that the checks report requests at endpoints that may not take them."""

from __future__ import annotations

import pytest

from soak.eligibility import (
    ContactLoss,
    Record,
    check_cold_limits,
    check_evacuations,
    check_home_regions,
)
from standins.cold_state import Arrival
from standins.prepared import Evacuation

ACKED_S, REMOVED_S, BOUND_S = 100.0, 110.0, 5.0
DAEMONS = {"again-1": 2}


def make_arrival(arrived_s, request="again-1", process=0, **changes):
    fields = {"domain": "zone-a", "region": "south"} | changes
    return Arrival(request, "i-plain0", process=process, arrived_s=arrived_s, **fields)


def assert_named(violations, *words):
    assert len(violations) == 1
    for word in ("again-1", "vm-2", "i-plain0", *words):
        assert word in violations[0]


@pytest.mark.parametrize(
    ("arrived_s", "domain", "losses", "has_violation"),
    [
        (105.5, "zone-a", [], True),
        (104.5, "zone-a", [], False),
        (110.5, "zone-a", [], False),
        (105.5, "zone-b", [], False),
        (105.5, "zone-a", [ContactLoss(99.0, 102.6)], False),
        (105.5, "zone-a", [ContactLoss(105.0, 107.0, 2)], False),
        (105.5, "zone-a", [ContactLoss(99.0, 102.4)], True),
        (105.5, "zone-a", [ContactLoss(105.6, 107.0)], True),
        (105.5, "zone-a", [ContactLoss(105.0, 107.0, 1)], True),
    ],
)
def test_request_in_evacuated_domain_is_reported(
    arrived_s, domain, losses, has_violation
):
    arrivals = [make_arrival(arrived_s, domain=domain)]
    record = Record(arrivals, [Evacuation("zone-a", ACKED_S, REMOVED_S)])
    violations = check_evacuations(record, DAEMONS, losses, BOUND_S)
    assert bool(violations) is has_violation
    if has_violation:
        assert_named(violations, "105.500", "100.000", "110.000")


def test_second_with_too_many_requests_to_a_cold_process_is_reported():
    times_s = [100.0 + 0.2 * number for number in range(7)]

    def check(processes, limits):
        cold = zip(times_s, processes, limits, strict=True)
        arrivals = [make_arrival(t, process=p, cold_limit=c) for t, p, c in cold]
        return check_cold_limits(arrivals, DAEMONS)

    assert not check([0] * 7, [5.0] * 7)
    assert not check([0] * 3 + [1] * 4, [4.0] * 7)
    assert not check([0] * 7, [4.0] * 4 + [0.0] * 3)
    assert_named(check([0] * 7, [4.0] * 7), "100.800", "100.000", "number 5")


def test_request_outside_its_home_regions_is_reported():
    arrivals = [make_arrival(100.0), make_arrival(101.0, "once-1")]
    assert not check_home_regions(arrivals, DAEMONS, ["south"])
    assert_named(check_home_regions(arrivals, DAEMONS, ["north"]), "south", "100.000")
