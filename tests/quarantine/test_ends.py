"""Ends of an endpoint are told apart, and each has one name."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutelink.ids import EndpointId, Fingerprint
from chutelink.quarantine.ends import EndLog
from chutelink.quarantine.model import BrokenRun, Ending

from .test_service import BAD, run

I1 = EndpointId("i-1")
MS = 0.001


def make_run(sent_s: float, *, born_ms: int = 1, is_new: bool = True) -> BrokenRun:
    return BrokenRun(Fingerprint("f"), "GET a/b", I1, born_ms, "x:1", sent_s, is_new)


def test_a_run_sent_on_a_new_connection_after_an_end_belongs_to_another_end():
    log = EndLog()
    first = log.name(make_run(1.0), 1.1)
    assert log.name(make_run(1.12), 1.15) != first


def test_a_run_sent_on_a_kept_connection_just_after_an_end_never_arrived():
    log = EndLog()
    first = log.name(make_run(1.0), 1.1)
    assert log.name(make_run(1.12, is_new=False), 1.15) == first


def test_an_end_that_is_proved_after_a_later_one_counts_too():
    """Its restart is registered only after the next process has ended."""
    log = EndLog()
    second = log.name(make_run(1.2, born_ms=2), 1.25)
    assert log.name(make_run(1.0), 1.1) != second


@given(
    lives_ms=st.lists(
        st.tuples(st.integers(1, 400), st.integers(0, 300), st.integers(1, 4)),
        min_size=1,
        max_size=6,
    ),
    data=st.data(),
)
def test_there_are_as_many_names_as_ends(lives_ms, data):
    """One daemon sends no run to a new process before it has noticed the last end.

    Each process lives for a while, and its end is noticed late; several runs are under
    way then, and some of the ends are proved in another order.
    """
    now_ms, broken = 0, []
    for process, (life_ms, late_ms, runs) in enumerate(lives_ms):
        born_ms, end_ms = now_ms, now_ms + life_ms
        now_ms = end_ms + late_ms + 1
        for _ in range(runs):
            sent_ms = data.draw(st.integers(born_ms, end_ms - 1))
            broken.append((process, make_run(sent_ms * MS), now_ms * MS))
        now_ms += 1
    log = EndLog()
    names = {}
    for process, sent, broken_s in data.draw(st.permutations(broken)):
        names.setdefault(process, set()).add(log.name(sent, broken_s))
    assert all(len(given) == 1 for given in names.values())
    assert len({name for given in names.values() for name in given}) == len(names)


def test_an_end_that_another_daemon_numbers_higher_is_another_one():
    """The other daemon knew of the first end when it saw the second."""

    async def async_test(quarantine, core, probe):
        core.now_s += 1.0
        sent_s = core.now_s - 0.1
        broken = BrokenRun(BAD, "GET a/b", I1, 1, "x:1", sent_s)
        await quarantine.async_note_broken(broken)
        core.now_s += 0.05
        names = [Ending(I1, 2, 2), Ending(I1, 2, 2), Ending(I1, 1, 1)]
        ends = [quarantine._ends.take(name, core.now_s, core.now_s) for name in names]
        assert ends == names

    run(async_test)


def test_daemons_that_know_of_other_starts_name_one_end_alike():
    log = EndLog()
    own = log.name(make_run(1.0), 1.1)
    assert log.take(Ending(I1, 7), 1.12, 1.13) == own
    assert log.take(Ending(I1, 7), 3.0, 3.0) != own


def test_an_end_told_late_is_no_reason_to_merge_a_run_sent_after_it():
    """The other daemon says how long ago it noticed the end."""
    log = EndLog()
    told = log.take(Ending(I1, 1), 1.1, 3.0)
    assert log.name(make_run(2.0), 3.1) != told
    assert log.name(make_run(1.0), 1.3) == told
