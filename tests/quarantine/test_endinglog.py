"""Tests for the identification of endpoint endings."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutelink.ids import EndpointId, Fingerprint
from chutelink.quarantine.endinglog import EndingLog
from chutelink.quarantine.model import BrokenRun, Ending

from .test_service import BAD, run

ENDPOINT = EndpointId("i-1")
MS_TO_S = 0.001


def make_run(sent_s: float, *, born_ms: int = 1, is_new: bool = True) -> BrokenRun:
    return BrokenRun(
        Fingerprint("f"), "GET a/b", ENDPOINT, born_ms, "x:1", sent_s, is_new
    )


def test_run_on_new_connection_after_ending_has_another_ending():
    log = EndingLog()
    first = log.identify(make_run(1.0), 1.1)
    assert log.identify(make_run(1.12), 1.15) != first


def test_run_on_kept_alive_connection_just_after_ending_has_same_ending():
    log = EndingLog()
    first = log.identify(make_run(1.0), 1.1)
    assert log.identify(make_run(1.12, is_new=False), 1.15) == first


def test_ending_confirmed_after_a_later_one_is_counted():
    """The first restart is registered only after the next process has terminated."""
    log = EndingLog()
    second = log.identify(make_run(1.2, born_ms=2), 1.25)
    assert log.identify(make_run(1.0), 1.1) != second


@given(
    lives_ms=st.lists(
        st.tuples(st.integers(1, 400), st.integers(0, 300), st.integers(1, 4)),
        min_size=1,
        max_size=6,
    ),
    data=st.data(),
)
def test_each_ending_is_identified_once(lives_ms, data):
    """Runs of successive processes, whose endings are confirmed in any order.

    Each process terminates during one or more runs, which is detected after a delay. A
    daemon sends no run to the next process before it has detected the last ending.
    """
    now_ms, broken = 0, []
    for process, (life_ms, late_ms, runs) in enumerate(lives_ms):
        born_ms, end_ms = now_ms, now_ms + life_ms
        now_ms = end_ms + late_ms + 1
        for _ in range(runs):
            sent_ms = data.draw(st.integers(born_ms, end_ms - 1))
            broken.append((process, make_run(sent_ms * MS_TO_S), now_ms * MS_TO_S))
        now_ms += 1
    log = EndingLog()
    endings_by_process = {}
    for process, sent, broken_s in data.draw(st.permutations(broken)):
        endings_by_process.setdefault(process, set()).add(log.identify(sent, broken_s))
    assert all(len(endings) == 1 for endings in endings_by_process.values())
    assert len({e for endings in endings_by_process.values() for e in endings}) == len(
        endings_by_process
    )


def test_higher_number_from_another_daemon_is_another_ending():
    """The other daemon knew the first ending when it detected the second."""

    async def async_test(quarantine, core, probe):
        core.now_s += 1.0
        sent_s = core.now_s - 0.1
        broken = BrokenRun(BAD, "GET a/b", ENDPOINT, 1, "x:1", sent_s)
        await quarantine.async_note_broken(broken)
        core.now_s += 0.05
        endings = [
            Ending(ENDPOINT, 2, 2),
            Ending(ENDPOINT, 2, 2),
            Ending(ENDPOINT, 1, 1),
        ]
        resolved = [
            quarantine._endings.resolve(ending, core.now_s, core.now_s)
            for ending in endings
        ]
        assert resolved == endings

    run(async_test)


def test_daemons_that_know_different_starts_agree_on_an_ending():
    log = EndingLog()
    own = log.identify(make_run(1.0), 1.1)
    assert log.resolve(Ending(ENDPOINT, 7), 1.12, 1.13) == own
    assert log.resolve(Ending(ENDPOINT, 7), 3.0, 3.0) != own


def test_run_sent_after_a_late_reported_ending_has_another_ending():
    """The other daemon reports how long ago it detected the ending."""
    log = EndingLog()
    reported = log.resolve(Ending(ENDPOINT, 1), 1.1, 3.0)
    assert log.identify(make_run(2.0), 3.1) != reported
    assert log.identify(make_run(1.0), 1.3) == reported
