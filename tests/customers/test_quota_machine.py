"""Stateful test that all daemons together stay within the bounds of a quota."""

from __future__ import annotations

from collections import deque

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chutelink.customers.buckets import QuotaBounds, ShareBucket
from chutelink.customers.const import MAX_LENT_SHARE, START_S
from chutelink.customers.model import Quota, QuotaUnit

DAEMONS = 4
BOUNDS = QuotaBounds(window_s=8.0, excess_share=0.1, slack=500.0)
QUOTA = Quota(QuotaUnit.TOKENS, rate_per_s=1000.0, burst=1000.0)
NUMBERS = st.integers(0, DAEMONS - 1)
AMOUNTS = st.floats(1, 4000)


class QuotaMachine(RuleBasedStateMachine):
    """Daemons with even shares; loans are delayed by any time, or are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.buckets = [self.make_bucket() for _ in range(DAEMONS)]
        for bucket in self.buckets:
            bucket.fill()
        self.down_until_s = [0.0] * DAEMONS
        self.began_s = [float("-inf")] * DAEMONS
        self.loans: list[tuple[int, float]] = []
        self.admitted: deque[tuple[float, float]] = deque()

    def make_bucket(self) -> ShareBucket:
        return ShareBucket(QUOTA, BOUNDS, 1 / DAEMONS, self.now_s)

    def is_up(self, number: int) -> bool:
        return self.now_s >= self.down_until_s[number]

    @rule(seconds=st.floats(0.001, 3.0))
    def wait(self, seconds):
        self.now_s += seconds

    @rule(number=NUMBERS, cost=AMOUNTS)
    def admit(self, number, cost):
        if not self.is_up(number):
            return
        bucket = self.buckets[number]
        if bucket.take(cost, self.now_s):
            self.admitted.append((self.now_s, cost))
        else:
            bucket.refuse(cost, self.now_s)

    @rule(cost=st.floats(20, 200), seconds=st.floats(0.0, 3.0), borrower=NUMBERS)
    def overload(self, cost, seconds, borrower):
        """Send far more requests to all daemons than the quota allows.

        One daemon needs more than its own level, so that the others lend to it.
        """
        for lender in range(DAEMONS):
            self.lend(lender, borrower, cost)
            self.receive_loan(cost, is_lost=False)
        end_s = self.now_s + seconds
        while True:
            for number in range(DAEMONS):
                while self.is_up(number) and self.buckets[number].take(
                    cost, self.now_s
                ):
                    self.admitted.append((self.now_s, cost))
                    self.total_is_within_bounds()
            if self.now_s >= end_s:
                return
            self.now_s += 0.1

    @rule(lender=NUMBERS, borrower=NUMBERS, amount=AMOUNTS)
    def lend(self, lender, borrower, amount):
        if lender != borrower and self.is_up(lender):
            lent = self.buckets[lender].lend(amount, MAX_LENT_SHARE, self.now_s)
            self.loans.append((borrower, lent))

    @rule(cost=AMOUNTS, is_lost=st.booleans())
    def receive_loan(self, cost, is_lost):
        if not self.loans:
            return
        number, lent = self.loans.pop(0)
        if is_lost or not self.is_up(number):
            return
        if self.buckets[number].take_with_loan(cost, lent, self.now_s):
            self.admitted.append((self.now_s, cost))

    @rule(number=NUMBERS)
    def restart(self, number):
        """Kill a daemon; its next process serves after at least START_S."""
        if self.is_up(number):
            self.down_until_s[number] = self.now_s + START_S
            began_s = self.down_until_s[number]
            bucket = ShareBucket(QUOTA, BOUNDS, 1 / DAEMONS, began_s)
            if began_s - self.began_s[number] >= BOUNDS.window_s:
                bucket.add_start_allowance(began_s)
            self.began_s[number] = began_s
            self.buckets[number] = bucket

    @rule()
    def restart_all(self):
        for number in range(DAEMONS):
            self.restart(number)

    @invariant()
    def total_is_within_bounds(self):
        while self.admitted and self.admitted[0][0] < self.now_s - BOUNDS.window_s:
            self.admitted.popleft()
        assert sum(cost for _, cost in self.admitted) <= BOUNDS.allowed(QUOTA)


QuotaMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestQuotas = QuotaMachine.TestCase


def test_second_restart_within_a_window_gets_no_start_allowance():
    """A start allowance at each start would exceed the bounds.

    The random runs don't find this case.
    """
    machine = QuotaMachine()
    for _ in range(3):
        machine.overload(cost=20.0, seconds=0.2, borrower=0)
        machine.restart_all()
        machine.wait(START_S)
        machine.overload(cost=20.0, seconds=0.2, borrower=0)
        machine.total_is_within_bounds()
    machine.overload(cost=20.0, seconds=5.2, borrower=0)
    machine.total_is_within_bounds()
