"""Rate limit of loads from the weight store."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutelink.placing.cold_load_limiter import ColdLoadLimiter

RATE = 1.6
WINDOW_S = 5.0
EXCESS = 1.1
ALLOWED = RATE * WINDOW_S * EXCESS + 3


def make_limiter() -> ColdLoadLimiter:
    return ColdLoadLimiter(RATE, WINDOW_S, EXCESS)


def test_models_of_a_lost_endpoint_may_be_loaded_at_once():
    assert make_limiter().available(0.0) >= 6


def test_assumed_loads_of_a_previous_holder_expire_with_the_window():
    limiter = make_limiter()
    limiter.assume_full(10.0)
    assert limiter.available(12.0) == 0
    assert limiter.available(16.0) > 0


@given(st.lists(st.floats(0, 2), max_size=60))
def test_no_window_has_more_loads_than_allowed(pauses_s):
    limiter = make_limiter()
    now_s, started_s = 0.0, []
    for pause_s in pauses_s:
        now_s += pause_s
        for _ in range(limiter.available(now_s)):
            limiter.record_start(now_s)
            started_s.append(now_s)
    for first in started_s:
        assert sum(first <= t <= first + WINDOW_S for t in started_s) <= ALLOWED


def test_next_start_is_when_the_limit_allows_a_load_again():
    limiter = ColdLoadLimiter(1.0, 5.0, 1.0)
    assert limiter.next_start_in_s(98.0) == 0.0
    while limiter.available(98.0):
        limiter.record_start(98.0)
    next_in_s = limiter.next_start_in_s(100.0)
    assert not limiter.available(100.0 + next_in_s - 0.01)
    assert limiter.available(100.0 + next_in_s + 0.01)
