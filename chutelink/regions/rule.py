"""The eligibility rule for requests with home regions."""

from __future__ import annotations

from collections.abc import Callable

from ..eligibility.checker import EligibilityRule
from ..eligibility.model import IneligibleReason, Requirements
from ..entry.endpoints import Endpoint
from ..ids import FailureDomainName
from .region_map import RegionMap


class HomeRegionRule(EligibilityRule):
    """Excludes endpoints outside a request's home regions.

    Parameters
    ----------
    regions : RegionMap
        The regions of failure domains.
    """

    def __init__(self, regions: RegionMap) -> None:
        self._regions = regions
        self._unmapped: set[FailureDomainName] = set()
        self.on_unmapped: Callable[[FailureDomainName], None] = lambda domain: None
        """Called once for each failure domain of an endpoint that has no region."""

    @property
    def is_active(self) -> bool:
        """Whether the rule can currently apply: requests of peers may have homes."""
        return True

    def applies_to(self, requirements: Requirements) -> bool:
        """Return whether the request has home regions."""
        return requirements.home_regions is not None

    def check(
        self, row: Endpoint, requirements: Requirements, now_s: float
    ) -> IneligibleReason | None:
        """Return ``OUTSIDE_HOME_REGIONS`` unless the endpoint is in a home region."""
        if requirements.home_regions is None:
            return None
        domain = row.record.failure_domain
        region = self._regions.region_of(domain)
        if region is None and domain not in self._unmapped:
            self._unmapped.add(domain)
            self.on_unmapped(domain)
        if region in requirements.home_regions:
            return None
        return IneligibleReason.OUTSIDE_HOME_REGIONS
