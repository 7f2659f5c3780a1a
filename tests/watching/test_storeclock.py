"""Ages by the store's clock, whatever the way of an answer."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from chutelink.watching.storeclock import DRIFT, StoreClock

DELAY = st.floats(0.0, 2.0)


def test_nothing_has_an_age_before_the_first_own_call():
    assert StoreClock().age_s(5.0, 10.0) == math.inf


def test_a_quick_call_bounds_what_a_slow_one_left_open():
    clock = StoreClock()
    clock.note(10.0, 10.5, 1000.5)
    assert 0.5 <= clock.age_s(1000.5, 10.5) < 0.501
    clock.note(11.0, 11.01, 1001.005)
    assert clock.age_s(1001.005, 11.01) < 0.011


def test_a_clock_that_was_set_anew_is_followed():
    clock = StoreClock()
    clock.note(10.0, 10.01, 1000.0)
    for answered_s in (3.0, 2000.0):
        clock.note(20.0, 20.01, answered_s)
        assert clock.age_s(answered_s, 20.01) < 0.02


@given(
    st.floats(-1e5, 1e5),
    st.floats(1 - DRIFT / 2, 1 + DRIFT / 2),
    st.lists(st.tuples(st.floats(0.0, 60.0), DELAY, DELAY), min_size=1, max_size=20),
    st.floats(0.0, 60.0),
)
def test_no_answer_is_ever_taken_for_younger_than_it_is(offset_s, rate, calls, wait_s):
    clock = StoreClock()
    now_s = 100.0
    answers = []
    for pause_s, there_s, back_s in calls:
        sent_s = now_s + pause_s
        answers.append(sent_s + there_s)
        now_s = sent_s + there_s + back_s
        clock.note(sent_s, now_s, offset_s + rate * answers[-1])
        now_s += wait_s
        for at_s in answers:
            age_s = clock.age_s(offset_s + rate * at_s, now_s)
            # By the store's own seconds.
            assert age_s >= rate * (now_s - at_s) - 1e-6
