"""Requests that end endpoints, among others that are only there, over some daemons.

Invariants: what ran well and was not there at an end since is never kept away; once a
deadly request has ended as many endpoints as one daemon knows of, that daemon does not
let it run before its hold is over; what is remembered stays bounded.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chutelink.ids import EndpointId, Fingerprint
from chutelink.quarantine import const
from chutelink.quarantine.judge import EndingCount
from chutelink.quarantine.model import Ending, Verdict
from chutelink.quarantine.table import SuspectTable

REQUESTS = st.sampled_from([Fingerprint(name) for name in "abcdef"])
PROCESSES = st.sampled_from([Ending(EndpointId(f"i-{n}"), n) for n in range(5)])


class SuspectMachine(RuleBasedStateMachine):
    """One table against a plain record of what it was told."""

    def __init__(self):
        super().__init__()
        self.judge = EndingCount()
        self.table = SuspectTable(self.judge)
        self.now_s = 0.0
        self.endings: dict[Fingerprint, set[Ending]] = {}
        self.held_until: dict[Fingerprint, float] = {}

    @rule(request=REQUESTS, process=PROCESSES)
    def end(self, request, process):
        known = self.endings.setdefault(request, set())
        known.add(process)
        is_new = self.table.add_ending(request, "GET a/b", process, self.now_s, 0.0)
        should = len(known) >= const.ENDINGS_TO_HOLD and request not in self.held_until
        assert is_new == should
        if should:
            self.held_until[request] = const.HOLD_S

    @rule(request=REQUESTS)
    def run_well(self, request):
        assert self.table.clear(request) == (request in self.endings)
        self.endings.pop(request, None)
        self.held_until.pop(request, None)

    @rule(step_s=st.floats(0.0, 100.0))
    def wait(self, step_s):
        self.now_s += step_s

    @invariant()
    def judges_by_what_it_was_told(self):
        for request, endings in self.endings.items():
            verdict = self.table.verdict(request, 0.0)
            is_held = len(endings) >= const.ENDINGS_TO_HOLD
            assert (verdict is Verdict.HELD) == is_held


TestSuspects = SuspectMachine.TestCase
TestSuspects.settings = settings(max_examples=100, stateful_step_count=30)


def add(table, request: str, process: str, now_s: float = 0.0) -> bool:
    ending = Ending(EndpointId(process), 1)
    return table.add_ending(Fingerprint(request), "", ending, now_s, 0.0)


def hold_one(table, request: str) -> None:
    for number in range(const.ENDINGS_TO_HOLD):
        add(table, request, f"i-{number}@1")


def test_one_end_counts_once_whoever_tells_of_it():
    table = SuspectTable(EndingCount())
    assert not any(add(table, "a", "i-1@1") for _ in range(5))
    assert not add(table, "a", "i-1@2")
    assert add(table, "a", "i-1@3")


def test_a_hold_ends_in_trials_that_grow_rarer_and_end():
    judge = EndingCount()
    table = SuspectTable(judge)
    hold_one(table, "a")
    hold = table.holds()[Fingerprint("a")]
    waits_s = []
    unix_s = 0.0
    while judge.judge(hold, hold.until_unix_s) is Verdict.TRIAL:
        waits_s.append(hold.until_unix_s - unix_s)
        unix_s = hold.until_unix_s
        hold = judge.begin_trial(hold, unix_s)
        assert judge.judge(hold, unix_s) is Verdict.HELD
    assert len(waits_s) == const.MAX_TRIALS
    assert waits_s == sorted(waits_s)


def test_new_deadly_requests_without_end_fill_nothing():
    table = SuspectTable(EndingCount())
    for number in range(2 * const.MAX_SUSPECTS):
        add(table, f"s{number}", "i-1@1")
    for number in range(2 * const.MAX_HOLDS):
        hold_one(table, f"h{number}")
    assert len(table.holds()) <= const.MAX_HOLDS
    assert len(table) <= const.MAX_SUSPECTS + const.MAX_HOLDS
    # The latest are the ones that are remembered.
    assert Fingerprint(f"h{2 * const.MAX_HOLDS - 1}") in table


def test_an_old_end_is_not_held_against_a_request_for_ever():
    table = SuspectTable(EndingCount())
    add(table, "a", "i-1@1")
    add(table, "b", "i-2@1", const.SUSPECT_KEPT_S + 1)
    assert Fingerprint("a") not in table


def test_a_full_table_takes_in_the_runs_of_one_end_without_a_look_at_all():
    """Each run that is taken in costs the same, however much is remembered."""
    table = SuspectTable(EndingCount())
    for number in range(const.MAX_SUSPECTS):
        add(table, f"s{number}", "i-1@1")
    looks = []

    class Counting(dict):
        def __iter__(self):
            looks.append(1)
            return super().__iter__()

        def items(self):
            looks.extend([1] * len(self))
            return super().items()

    table._free = Counting(table._free)
    for number in range(100):
        add(table, f"n{number}", "i-2@1")
    assert len(table) == const.MAX_SUSPECTS
    assert len(looks) <= 3 * 100
