"""Short soak runs of stops; for longer ones use ``make stop-soak SEEDS=50``."""

from __future__ import annotations

import math
from collections import Counter

import msgspec
import pytest

from soak.callers import RequestKind
from soak.stop_caller import StopOutcome
from soak.stop_checks import Stop, check_memory, check_runs, check_stops
from soak.stops import run_seed

SECONDS = 1.0
"""Long enough for one cycle of stops, which begins before the time is over."""
STOP = Stop(daemon=0, signaled_s=100.0, gone_s=107.3)
CUT = StopOutcome(
    "stream-1", RequestKind.STREAM, 0, 3, 60.0, 101.0, 107.2, 200, "", b"id: 1\n"
)
LATE_UNKNOWN = StopOutcome(
    "once-1", RequestKind.ONCE, 0, 0, 60.0, 101.0, 107.2, 502, "unknown", b"", True
)


@pytest.mark.parametrize("seed", [2, 3])
def test_stopping_daemons_neither_cut_nor_lose_requests_they_accepted(tmp_path, seed):
    result = run_seed(seed, tmp_path, SECONDS)
    assert result.violations == []
    assert result.late["whole"]
    assert result.late["not-run"]
    assert result.endless


@pytest.mark.parametrize("outcome", [CUT, LATE_UNKNOWN], ids=["cut", "unknown"])
def test_only_requests_sent_before_the_signal_may_end_with_the_grace_period(outcome):
    before = msgspec.structs.replace(outcome, last_byte_s=99.0)
    runs = Counter({outcome.id: 1})
    assert len(check_stops([outcome], [STOP], runs)) == 1
    assert check_stops([before], [STOP], runs) == []
    early = msgspec.structs.replace(before, ended_s=104.0)
    assert len(check_stops([early], [STOP], runs)) == 1


def test_connection_closed_without_a_response_is_a_fault_if_the_request_was_read():
    closed = msgspec.structs.replace(
        LATE_UNKNOWN, status=0, outcome="", ended_s=LATE_UNKNOWN.last_byte_s + 0.1
    )
    assert check_stops([closed], [STOP], Counter()) == []
    assert len(check_stops([closed], [STOP], Counter({closed.id: 1}))) == 1
    late = msgspec.structs.replace(closed, ended_s=closed.last_byte_s + 0.3)
    assert len(check_stops([late], [STOP], Counter())) == 1
    suspended = msgspec.structs.replace(STOP, suspended_s=0.5)
    assert check_stops([late], [suspended], Counter()) == []


def test_request_that_ends_at_its_own_limit_was_not_ended_by_the_stop():
    limited = msgspec.structs.replace(CUT, limit_s=6.3)
    assert check_stops([limited], [STOP], Counter({limited.id: 1})) == []


def test_request_after_a_restart_does_not_count_as_sent_to_the_stopped_process():
    later = msgspec.structs.replace(CUT, last_byte_s=109.0, ended_s=110.0)
    assert check_stops([later], [STOP], Counter({later.id: 1})) == []


def test_runs_that_callers_must_not_see_are_reported():
    refused = msgspec.structs.replace(LATE_UNKNOWN, status=503, outcome="not-run")
    assert len(check_runs([refused], Counter({refused.id: 1}))) == 1
    assert len(check_runs([LATE_UNKNOWN], Counter({LATE_UNKNOWN.id: 2}))) == 1
    assert check_runs([LATE_UNKNOWN], Counter({LATE_UNKNOWN.id: 1})) == []


def test_memory_above_the_settings_is_reported():
    assert check_memory({"vm-0": 300.0, "vm-1": 80.0}) == ["vm-0 took 300 MB"]
    assert check_memory({"vm-0": math.nextafter(300.0, 0.0)}) == []
