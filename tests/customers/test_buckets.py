"""Tests for one daemon's share of a quota: level, loans and retry delays."""

from __future__ import annotations

import random

import pytest

from chutelink.customers.buckets import QuotaBounds, ShareBucket
from chutelink.customers.const import (
    CAPACITY_SHARE,
    MAX_RETRY_AFTER_S,
    SETTLE_S,
    START_S,
    START_SHARE,
)
from chutelink.customers.model import Quota, QuotaUnit

QUOTA = Quota(QuotaUnit.TOKENS, rate_per_s=1000.0, burst=1000.0)
BOUNDS = QuotaBounds(window_s=8.0, excess_share=0.1, slack=0.0)
MARGIN = 9000 * 1.1 - 8000
CAPACITY = CAPACITY_SHARE * MARGIN


def make_bucket(share: float = 1.0) -> ShareBucket:
    bucket = ShareBucket(QUOTA, BOUNDS, share, 0.0)
    bucket.fill()
    return bucket


def test_new_process_starts_with_the_gain_of_its_startup_time():
    assert ShareBucket(QUOTA, BOUNDS, 0.5, 0.0).level == pytest.approx(500 * START_S)


def test_start_allowance_is_granted_once():
    bucket = ShareBucket(QUOTA, BOUNDS, 0.0, 0.0)
    bucket.add_start_allowance(0.01)
    assert bucket.level == 0
    bucket.update_share(1 / 8, 0.1)
    start = 1000 * START_S + START_SHARE * MARGIN
    assert bucket.level == pytest.approx(min(start, CAPACITY) / 8)
    bucket.charge(bucket.level, 0.2)
    # The allowance is granted only once, even if the share changes.
    bucket.update_share(0.0, 0.2)
    bucket.update_share(1 / 8, 0.2)
    assert bucket.level == 0
    bucket.update_share(1 / 4, SETTLE_S + 0.1)
    assert bucket.level <= (SETTLE_S - 0.1) * 1000 / 8 + 1


def test_level_and_gain_may_be_used():
    bucket = make_bucket()
    assert bucket.level == pytest.approx(CAPACITY)
    assert bucket.take(CAPACITY, 0.0)
    assert not bucket.take(100, 0.0)
    assert bucket.take(100, 0.11)


def test_lower_quota_reduces_the_level():
    bucket = make_bucket()
    bucket.update_quota(Quota(QuotaUnit.TOKENS, 10.0, 10.0), 0.0)
    assert bucket.level <= CAPACITY_SHARE * (90 * 1.1 - 80)


def test_loan_is_deducted_from_the_lender():
    lender, borrower = make_bucket(0.5), make_bucket(0.5)
    borrower.take(borrower.level, 0.0)
    lent = lender.lend(200, 0.5, 0.0)
    assert lent == 200
    assert lender.level == pytest.approx(CAPACITY / 2 - 200)
    assert borrower.take_with_loan(150, lent, 0.0)
    assert borrower.level == pytest.approx(50)


def test_insufficient_loan_is_kept():
    borrower = make_bucket(0.5)
    borrower.take(borrower.level, 0.0)
    assert not borrower.take_with_loan(500, 300, 0.0)
    assert borrower.level == pytest.approx(300)


def test_largest_requests_run_while_a_customer_is_at_its_limit():
    """A steady load of small requests must not use up the level before large ones.

    The load is four times the limit; if the small requests don't wait, none of the
    large ones run.
    """
    bucket = make_bucket()
    admitted = {100: 0, 500: 0}
    offered = {100: 0, 500: 0}
    rng = random.Random(7)
    now_s = 0.0
    for _ in range(4000):
        now_s += rng.expovariate(28.0)
        cost = rng.choices([100, 500], [4, 1])[0]
        offered[cost] += 1
        if bucket.take(cost, now_s):
            admitted[cost] += 1
        else:
            bucket.refuse(cost, now_s)
    shares = {cost: admitted[cost] / offered[cost] for cost in admitted}
    assert shares[500] > 0.5 * shares[100]


def test_very_small_requests_do_not_wait_for_large_ones():
    """At the limit, a request of 200 tokens was refused with a level of 11,597."""
    bucket = make_bucket()
    for cost in (500, 10_000):
        bucket.take(cost, 0.0)
    bucket.charge(bucket.level - 300, 0.0)
    bucket.refuse(10_000, 0.0)
    assert bucket.take(20, 0.0)
    assert not bucket.take(200, 0.0)


def test_refused_requests_are_given_successive_retry_delays():
    bucket = make_bucket()
    bucket.charge(bucket.level, 0.0)
    first_s = bucket.refuse(500, 0.0)
    second_s = bucket.refuse(500, 0.0)
    assert first_s == pytest.approx(0.5)
    assert second_s == pytest.approx(1.0)
    assert bucket.refuse(1e9, 0.0) == MAX_RETRY_AFTER_S
    assert bucket.take(500, first_s)


def test_only_a_part_of_the_level_is_lent():
    bucket = make_bucket()
    assert bucket.lend(1e9, 0.5, 0.0) == pytest.approx(CAPACITY / 2)
    bucket.charge(2 * CAPACITY, 0.0)
    assert bucket.lend(100, 0.5, 0.0) == 0
