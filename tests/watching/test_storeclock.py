"""Ages by the store's clock, whatever the delay of answers."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from chutelink.watching.storeclock import MAX_DRIFT, StoreClock

DELAY = st.floats(0.0, 2.0)


def test_age_is_infinite_before_first_sample():
    assert StoreClock().max_age_s(5.0, 10.0) == math.inf


def test_fast_call_narrows_bounds_of_slow_call():
    clock = StoreClock()
    clock.add_sample(10.0, 10.5, 1000.5)
    assert 0.5 <= clock.max_age_s(1000.5, 10.5) < 0.501
    clock.add_sample(11.0, 11.01, 1001.005)
    assert clock.max_age_s(1001.005, 11.01) < 0.011


def test_replaced_clock_resets_bounds():
    clock = StoreClock()
    clock.add_sample(10.0, 10.01, 1000.0)
    for answered_s in (3.0, 2000.0):
        clock.add_sample(20.0, 20.01, answered_s)
        assert clock.max_age_s(answered_s, 20.01) < 0.02


@given(
    st.floats(-1e5, 1e5),
    st.floats(1 - MAX_DRIFT / 2, 1 + MAX_DRIFT / 2),
    st.lists(st.tuples(st.floats(0.0, 60.0), DELAY, DELAY), min_size=1, max_size=20),
    st.floats(0.0, 60.0),
)
def test_age_is_never_underestimated(offset_s, rate, calls, wait_s):
    clock = StoreClock()
    now_s = 100.0
    answers = []
    for pause_s, request_s, response_s in calls:
        sent_s = now_s + pause_s
        answers.append(sent_s + request_s)
        now_s = sent_s + request_s + response_s
        clock.add_sample(sent_s, now_s, offset_s + rate * answers[-1])
        now_s += wait_s
        for at_s in answers:
            max_age_s = clock.max_age_s(offset_s + rate * at_s, now_s)
            # The age is counted in seconds of the store's clock.
            assert max_age_s >= rate * (now_s - at_s) - 1e-6
        assert clock.min_time_s(now_s) <= offset_s + rate * now_s + 1e-6
