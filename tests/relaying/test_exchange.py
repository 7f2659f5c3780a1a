"""The state of a request in progress."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from chutelink.relaying.exchange import LEAST_URGENT_STEP, urgency_of


def make_exchange(left_s: float, priority: int = 1, objective_s: float = 0.8):
    return SimpleNamespace(
        service=SimpleNamespace(engine=object()),
        priority=priority,
        route=SimpleNamespace(objective_s=objective_s),
        first_event_deadline_s=100.0 + left_s,
    )


@pytest.mark.parametrize(("sooner_s", "later_s"), [(2.0, 20.0), (8.0, 16.0)])
def test_request_whose_caller_leaves_sooner_is_more_urgent(sooner_s, later_s):
    sooner = make_exchange(sooner_s, objective_s=5.0)
    later = make_exchange(later_s, objective_s=0.4)
    assert urgency_of(sooner, 100.0) < urgency_of(later, 100.0)


def test_request_becomes_more_urgent_while_it_waits():
    exchange = make_exchange(20.0)
    assert urgency_of(exchange, 115.0) < urgency_of(exchange, 100.0)


@pytest.mark.parametrize("left_s", [-5.0, 0.0, 2.0, 300.0])
@pytest.mark.parametrize("priority", [0, 2, 9])
def test_urgency_is_within_the_bounds_of_the_protocol(left_s, priority):
    urgency = urgency_of(make_exchange(left_s, priority), 100.0)
    assert min(2 * priority, LEAST_URGENT_STEP) <= urgency <= LEAST_URGENT_STEP
