"""Which failure domains lie in which region. Does no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..ids import FailureDomainName, RegionName


class RegionMap:
    """The regions of failure domains, from the settings.

    Parameters
    ----------
    regions : Mapping, default={}
        The region of each failure domain.
    """

    def __init__(
        self, regions: Mapping[FailureDomainName, RegionName] | None = None
    ) -> None:
        self._regions = dict(regions or {})
        self.names = frozenset(self._regions.values())
        """The regions with a known failure domain."""

    def region_of(self, domain: FailureDomainName) -> RegionName | None:
        """Return the region of a failure domain, None if it is unknown."""
        return self._regions.get(domain)

    def domains_of(self, region: RegionName) -> list[FailureDomainName]:
        """Return the failure domains of a region, sorted."""
        return sorted(d for d, name in self._regions.items() if name == region)

    def is_inside(
        self, domain: FailureDomainName, home_regions: frozenset[RegionName] | None
    ) -> bool:
        """Return whether a failure domain lies in one of the home regions.

        One without a known region lies outside all of them.
        """
        return home_regions is None or self._regions.get(domain) in home_regions
