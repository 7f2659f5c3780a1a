"""Tests of the combination of eligibility rules."""

from __future__ import annotations

from chutelink.eligibility.checker import EligibilityChecker, EligibilityRule
from chutelink.eligibility.model import NO_REQUIREMENTS, IneligibleReason


class ExcludedRows(EligibilityRule):
    """Excludes given rows; any object serves as a row here."""

    def __init__(self, reason, *rows):
        self.reason = reason
        self.rows = rows

    @property
    def is_active(self):
        return bool(self.rows)

    def check(self, row, requirements, now_s):
        return self.reason if row in self.rows else None


EVACUATED = IneligibleReason.EVACUATED
ELSEWHERE = IneligibleReason.OUTSIDE_HOME_REGIONS


def test_every_rule_excludes_endpoints():
    """Guards against a rule that is skipped once an earlier one has passed."""
    checker = EligibilityChecker(
        (ExcludedRows(EVACUATED, "a"), ExcludedRows(ELSEWHERE, "b"))
    )
    reasons = []
    checker.on_ineligible = reasons.append
    assert checker.eligible(["a", "b", "c"], NO_REQUIREMENTS, 0.0) == ["c"]
    assert reasons == [EVACUATED, ELSEWHERE]


def test_request_is_only_refused_if_no_endpoint_is_left():
    """Guards against refusals while one endpoint may still get the request."""
    checker = EligibilityChecker((ExcludedRows(EVACUATED, "a", "b"),))
    assert checker.common_reason(["a", "c"], NO_REQUIREMENTS, 0.0) is None
    assert checker.common_reason(["a", "b"], NO_REQUIREMENTS, 0.0) is EVACUATED
    assert checker.common_reason([], NO_REQUIREMENTS, 0.0) is None


def test_inactive_rules_leave_the_endpoints_unchanged():
    """Guards against work on each request where no rule is configured."""
    rows = ["a"]
    checker = EligibilityChecker((ExcludedRows(EVACUATED),))
    assert checker.eligible(rows, NO_REQUIREMENTS, 0.0) is rows
