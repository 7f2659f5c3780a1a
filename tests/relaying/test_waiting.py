"""How long requests wait for a model that no endpoint has."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.relaying.waiting import (
    ANNOUNCEMENT_WAIT_SHARE,
    ModelWait,
    back_in_s,
    wait_until_s,
)

URGENT = ModelWait(
    now_s=100.0,
    started_s=100.0,
    last_s=102.0,
    objective_s=0.4,
    read_s=0.02,
    copy_load_s=1.2,
    cold_load_s=6.0,
    ready_s=None,
)
PATIENT = msgspec.structs.replace(URGENT, objective_s=5.0, last_s=120.0)


def replace(wait: ModelWait, **fields: float) -> ModelWait:
    return msgspec.structs.replace(wait, **fields)


def test_an_urgent_request_waits_an_eighth_of_its_objective_for_word():
    assert wait_until_s(URGENT) == pytest.approx(100.0 + 0.4 / 8)


def test_a_request_waits_while_a_load_from_a_copy_would_be_in_time():
    assert wait_until_s(PATIENT) == pytest.approx(105.0 - 1.2 - 0.1 - 0.02)


def test_an_adapter_is_waited_for_as_long_as_it_would_be_in_time():
    wait = replace(URGENT, copy_load_s=0.0)
    assert wait_until_s(wait) == pytest.approx(100.4 - 0.1 - 0.02)


def test_a_load_that_is_in_time_is_waited_for():
    assert wait_until_s(replace(URGENT, ready_s=100.3)) == 100.4


def test_a_late_load_sends_a_caller_away_that_can_be_back_by_then():
    assert wait_until_s(replace(URGENT, ready_s=100.5)) <= 100.0
    assert back_in_s(replace(URGENT, ready_s=100.9)) == pytest.approx(1.0)


def test_nothing_is_held_beyond_the_time_at_which_its_caller_leaves():
    late = replace(URGENT, ready_s=101.5, now_s=100.2)
    assert wait_until_s(late) == 102.0
    assert wait_until_s(replace(late, ready_s=101.95)) <= 100.2


def test_without_a_load_the_caller_comes_back_when_any_load_would_be_done():
    assert back_in_s(PATIENT) == pytest.approx(6.1)


@given(
    objective_s=st.floats(0.1, 10),
    waited_s=st.floats(0, 30),
    ready_in_s=st.none() | st.floats(-1, 30),
)
def test_what_is_held_can_still_be_answered(objective_s, waited_s, ready_in_s):
    wait = replace(URGENT, objective_s=objective_s, now_s=100 + waited_s)
    if ready_in_s is not None:
        wait = replace(wait, ready_s=wait.now_s + ready_in_s)
    until_s = wait_until_s(wait)
    assert back_in_s(wait) > 0
    if until_s <= wait.now_s:
        return
    assert until_s <= max(wait.last_s, wait.due_s)
    if wait.ready_s is None:
        assert until_s <= wait.started_s + max(ANNOUNCEMENT_WAIT_SHARE, 1) * objective_s
    else:
        assert wait.ready_s + wait.read_s <= until_s


def test_a_caller_that_leaves_before_its_objective_is_over_is_told_in_time():
    """It waits no longer for word of a load than a load could still be of use."""
    wait = replace(PATIENT, last_s=104.7)
    until_s = wait_until_s(wait)
    assert until_s <= 104.7 - wait.copy_load_s
    assert until_s > 100.0


def test_a_request_that_an_endpoint_holds_off_waits_for_word_of_a_load_alone():
    wait = replace(PATIENT, is_held_off=True)
    assert wait_until_s(wait) == pytest.approx(100.0 + 5.0 / 8)
    assert wait_until_s(replace(wait, ready_s=100.4)) == 105.0
