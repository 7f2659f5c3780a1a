"""How long requests wait for a model that no endpoint has."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.relaying.model_wait import (
    ANNOUNCEMENT_WAIT_SHARE,
    ModelWait,
    model_retry_delay_s,
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


def test_urgent_request_waits_eighth_of_objective_for_announcement():
    assert wait_until_s(URGENT) == pytest.approx(100.0 + 0.4 / 8)


def test_request_waits_while_load_from_copy_would_be_in_time():
    assert wait_until_s(PATIENT) == pytest.approx(105.0 - 1.2 - 0.1 - 0.02)


def test_request_waits_while_adapter_load_would_be_in_time():
    wait = replace(URGENT, copy_load_s=0.0)
    assert wait_until_s(wait) == pytest.approx(100.4 - 0.1 - 0.02)


def test_request_waits_for_announced_load_that_is_in_time():
    assert wait_until_s(replace(URGENT, ready_s=100.3)) == 100.4


def test_late_load_refuses_caller_that_can_retry_in_time():
    assert wait_until_s(replace(URGENT, ready_s=100.5)) <= 100.0
    assert model_retry_delay_s(replace(URGENT, ready_s=100.9)) == pytest.approx(1.0)


def test_no_request_waits_beyond_time_at_which_caller_gives_up():
    late = replace(URGENT, ready_s=101.5, now_s=100.2)
    assert wait_until_s(late) == 102.0
    assert wait_until_s(replace(late, ready_s=101.95)) <= 100.2


def test_retry_delay_without_load_covers_cold_load():
    assert model_retry_delay_s(PATIENT) == pytest.approx(6.1)


@given(
    objective_s=st.floats(0.1, 10),
    waited_s=st.floats(0, 30),
    ready_in_s=st.none() | st.floats(-1, 30),
)
def test_waiting_request_can_still_be_answered(objective_s, waited_s, ready_in_s):
    wait = replace(URGENT, objective_s=objective_s, now_s=100 + waited_s)
    if ready_in_s is not None:
        wait = replace(wait, ready_s=wait.now_s + ready_in_s)
    until_s = wait_until_s(wait)
    assert model_retry_delay_s(wait) > 0
    if until_s <= wait.now_s:
        return
    assert until_s <= max(wait.last_s, wait.due_s)
    if wait.ready_s is None:
        assert until_s <= wait.started_s + max(ANNOUNCEMENT_WAIT_SHARE, 1) * objective_s
    else:
        assert wait.ready_s + wait.read_s <= until_s


def test_caller_that_gives_up_before_objective_is_refused_early():
    """It waits for an announcement only while a load could still be in time."""
    wait = replace(PATIENT, last_s=104.7)
    until_s = wait_until_s(wait)
    assert until_s <= 104.7 - wait.copy_load_s
    assert until_s > 100.0


def test_request_with_unavailable_replica_waits_for_announcement_only():
    wait = replace(PATIENT, is_held_off=True)
    assert wait_until_s(wait) == pytest.approx(100.0 + 5.0 / 8)
    assert wait_until_s(replace(wait, ready_s=100.4)) == 105.0
