"""Stateful test of the suspect table, with requests that may terminate endpoints.

Invariants: a request that ran successfully and has no ending since is never held; a
request with enough endings known to a daemon doesn't run there before its hold
expires; the table stays bounded.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chutelink.ids import EndpointId, Fingerprint
from chutelink.quarantine import const
from chutelink.quarantine.model import Ending, Verdict
from chutelink.quarantine.policy import EndingCountPolicy
from chutelink.quarantine.table import SuspectTable

REQUESTS = st.sampled_from([Fingerprint(name) for name in "abcdef"])
ENDINGS = st.sampled_from([Ending(EndpointId(f"i-{n}"), n) for n in range(5)])


class SuspectMachine(RuleBasedStateMachine):
    """Compares one table with a simple record of the reported endings."""

    def __init__(self):
        super().__init__()
        self.policy = EndingCountPolicy()
        self.table = SuspectTable(self.policy)
        self.now_s = 0.0
        self.endings: dict[Fingerprint, set[Ending]] = {}
        self.held_until: dict[Fingerprint, float] = {}

    @rule(request=REQUESTS, ending=ENDINGS)
    def add_ending(self, request, ending):
        known = self.endings.setdefault(request, set())
        known.add(ending)
        is_new = self.table.add_ending(request, "GET a/b", ending, self.now_s, 0.0)
        should_hold = (
            len(known) >= const.ENDINGS_TO_HOLD and request not in self.held_until
        )
        assert is_new == should_hold
        if should_hold:
            self.held_until[request] = const.FIRST_HOLD_S

    @rule(request=REQUESTS)
    def run_successfully(self, request):
        assert self.table.clear(request) == (request in self.endings)
        self.endings.pop(request, None)
        self.held_until.pop(request, None)

    @rule(step_s=st.floats(0.0, 100.0))
    def wait(self, step_s):
        self.now_s += step_s

    @invariant()
    def verdict_matches_recorded_endings(self):
        for request, endings in self.endings.items():
            verdict = self.table.verdict(request, 0.0)
            is_held = len(endings) >= const.ENDINGS_TO_HOLD
            assert (verdict is Verdict.HELD) == is_held


TestSuspects = SuspectMachine.TestCase
TestSuspects.settings = settings(max_examples=100, stateful_step_count=30)


def add(table, request: str, endpoint: str, now_s: float = 0.0) -> bool:
    ending = Ending(EndpointId(endpoint), 1)
    return table.add_ending(Fingerprint(request), "", ending, now_s, 0.0)


def hold_one(table, request: str) -> None:
    for number in range(const.ENDINGS_TO_HOLD):
        add(table, request, f"i-{number}@1")


def test_ending_counts_once_however_often_it_is_reported():
    table = SuspectTable(EndingCountPolicy())
    assert not any(add(table, "a", "i-1@1") for _ in range(5))
    assert not add(table, "a", "i-1@2")
    assert add(table, "a", "i-1@3")


def test_trials_are_limited_and_their_intervals_grow():
    policy = EndingCountPolicy()
    table = SuspectTable(policy)
    hold_one(table, "a")
    hold = table.holds()[Fingerprint("a")]
    waits_s = []
    unix_s = 0.0
    while policy.decide(hold, hold.until_unix_s) is Verdict.TRIAL:
        waits_s.append(hold.until_unix_s - unix_s)
        unix_s = hold.until_unix_s
        hold = policy.begin_trial(hold, unix_s)
        assert policy.decide(hold, unix_s) is Verdict.HELD
    assert len(waits_s) == const.MAX_TRIALS
    assert waits_s == sorted(waits_s)


def test_table_stays_bounded_under_endless_new_suspects():
    table = SuspectTable(EndingCountPolicy())
    for number in range(2 * const.MAX_SUSPECTS):
        add(table, f"s{number}", "i-1@1")
    for number in range(2 * const.MAX_HOLDS):
        hold_one(table, f"h{number}")
    assert len(table.holds()) <= const.MAX_HOLDS
    assert len(table) <= const.MAX_SUSPECTS + const.MAX_HOLDS
    # The latest holds are kept.
    assert Fingerprint(f"h{2 * const.MAX_HOLDS - 1}") in table


def test_suspect_expires():
    table = SuspectTable(EndingCountPolicy())
    add(table, "a", "i-1@1")
    add(table, "b", "i-2@1", const.SUSPECT_RETENTION_S + 1)
    assert Fingerprint("a") not in table


def test_full_table_evicts_without_a_scan():
    """The cost of adding a run must not depend on the size of the table."""
    table = SuspectTable(EndingCountPolicy())
    for number in range(const.MAX_SUSPECTS):
        add(table, f"s{number}", "i-1@1")
    lookups = []

    class CountingDict(dict):
        def __iter__(self):
            lookups.append(1)
            return super().__iter__()

        def items(self):
            lookups.extend([1] * len(self))
            return super().items()

    table._free = CountingDict(table._free)
    for number in range(100):
        add(table, f"n{number}", "i-2@1")
    assert len(table) == const.MAX_SUSPECTS
    assert len(lookups) <= 3 * 100
