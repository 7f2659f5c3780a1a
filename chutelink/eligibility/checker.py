"""Checks endpoints against all eligibility rules. No I/O."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..entry.endpoints import Endpoint
from .model import IneligibleReason, Requirements


class EligibilityRule(ABC):
    """A reason for which an endpoint may not get a request."""

    @property
    @abstractmethod
    def is_active(self) -> bool:
        """Whether the rule can currently apply to any endpoint."""

    def applies_to(self, requirements: Requirements) -> bool:
        """Return whether the rule can exclude an endpoint for these requirements.

        Called once per selection, so that rules without effect cost nothing per
        endpoint.
        """
        return self.is_active

    @abstractmethod
    def check(
        self, row: Endpoint, requirements: Requirements, now_s: float
    ) -> IneligibleReason | None:
        """Return why the endpoint may not get the request, None if it may."""


class EligibilityChecker:
    """Applies the same rules wherever an endpoint is chosen, checked or loaded.

    Routing, waiting for a model, relayed calls and the placer all ask this object, so
    that none of them can miss a rule.

    Parameters
    ----------
    rules : tuple of EligibilityRule, default=()
        The rules, in the order in which they are checked.
    """

    def __init__(self, rules: tuple[EligibilityRule, ...] = ()) -> None:
        self._rules = rules
        self.on_ineligible: Callable[[IneligibleReason], None] = lambda reason: None
        """Called for each endpoint that is left out of a selection."""
        self.is_outdated: Callable[[], bool] = lambda: False
        """Returns whether requests must wait until the rules' data is current."""

    def may_send(self, row: Endpoint, requirements: Requirements, now_s: float) -> bool:
        """Return whether a request may be sent to an endpoint right now."""
        if self.is_outdated():
            return False
        return self.reason(row, requirements, now_s) is None

    def reason(
        self, row: Endpoint, requirements: Requirements, now_s: float
    ) -> IneligibleReason | None:
        """Return why an endpoint may not get a request, None if it may."""
        for rule in self._rules:
            if rule.applies_to(requirements):
                reason = rule.check(row, requirements, now_s)
                if reason is not None:
                    return reason
        return None

    def eligible(
        self, rows: list[Endpoint], requirements: Requirements, now_s: float
    ) -> list[Endpoint]:
        """Return the endpoints that may get a request."""
        if not any(rule.applies_to(requirements) for rule in self._rules):
            return rows
        eligible = []
        for row in rows:
            reason = self.reason(row, requirements, now_s)
            if reason is None:
                eligible.append(row)
            else:
                self.on_ineligible(reason)
        return eligible

    def common_reason(
        self, rows: list[Endpoint], requirements: Requirements, now_s: float
    ) -> IneligibleReason | None:
        """Return why no endpoint may get a request, None if one may.

        If no endpoint exists, it is None too unless the request has home regions.
        """
        if not rows and requirements.home_regions is not None:
            return IneligibleReason.OUTSIDE_HOME_REGIONS
        first: IneligibleReason | None = None
        for row in rows:
            reason = self.reason(row, requirements, now_s)
            if reason is None:
                return None
            first = first or reason
        return first
