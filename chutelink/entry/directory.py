"""Selects the daemons that serve callers and lists their addresses."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..ids import DaemonId, FailureDomainName, RegionName
from ..regions.homes import HomeRegions
from ..regions.region_map import RegionMap
from ..systems.hashing import rendezvous_order
from ..tables.members import Member, MemberState, MemberTable

MIN_SERVING = 6
"""Minimum number of daemons listed, as several may fail at once."""
MAX_SERVING = 16
"""Maximum number of daemons listed for a failure domain.

Traffic between serving daemons grows with the square of their number.
"""
LARGE_CAPACITY_SHARE = 0.5
"""Minimum share of the largest VM's capacity for a VM to count as large."""
MIN_LISTED_SHARE = 0.5
"""Minimum share of the daemons of a failure domain that stay listed.

The others could not take the callers of more daemons.
"""
MIN_SERVING_IN_REGION = 2
"""Minimum number of daemons listed for a region while home regions are configured.

With one, its failure would send the region's callers elsewhere.
"""
PRESENT_STATES = (MemberState.JOINING, MemberState.ALIVE)


def count_candidates(capacities: Iterable[float]) -> int:
    """Return how many daemons serve: all large ones, but at least ``MIN_SERVING``."""
    ordered = sorted(capacities, reverse=True)
    large = [c for c in ordered if c >= LARGE_CAPACITY_SHARE * ordered[0]]
    return min(len(ordered), max(MIN_SERVING, len(large)))


class Directory:
    """Addresses of the daemons that currently serve callers.

    Daemons on large VMs serve, and those on small VMs only if there are too few. While
    home regions are configured, this also applies to each region.

    Parameters
    ----------
    members : MemberTable
        Membership of the daemons.
    valid_s : float
        How long callers may cache a response.
    regions : RegionMap, optional
        The regions of failure domains.
    homes : HomeRegions, optional
        The home regions of requests.
    """

    def __init__(
        self,
        members: MemberTable,
        valid_s: float,
        regions: RegionMap | None = None,
        homes: HomeRegions | None = None,
    ) -> None:
        self._members = members
        self.valid_s = valid_s
        self._regions = regions or RegionMap()
        self._homes = homes
        self.is_partitioned: Callable[[DaemonId], bool] = lambda daemon: False
        """Returns whether a daemon can serve callers only through its peers."""

    def addresses(
        self,
        failure_domain: FailureDomainName,
        host: str = "",
        region: RegionName | None = None,
    ) -> list[str]:
        """Return the addresses for callers in a failure domain.

        If requests to the host may have home regions, the daemons are those of the
        callers' own region, else those of the regions that are homes for all such
        requests, else all. Partitioned daemons are left out while enough others remain.
        """
        members = self._for_home_regions(failure_domain, host, region)
        members = members or self._for_domain(failure_domain, self._candidates())
        listed = [member for member in members if not self.is_partitioned(member.id)]
        if len(listed) < MIN_LISTED_SHARE * len(members):
            listed = members
        return [f"{member.address}:{member.port}" for member in listed]

    def serving(self) -> set[DaemonId]:
        """Return the daemons that callers may use: the listed and the leaving ones.

        Callers cache addresses, so a daemon that is leaving continues to serve.
        """
        candidates = self._candidates()
        rows = self._members.rows.values()
        domains = {member.failure_domain for member in rows}
        listed = {
            member.id
            for domain in domains
            for member in self._for_domain(domain, candidates)
        }
        if self._has_homes:
            listed |= {
                member.id
                for region in self._regions.names
                for key in (region, *self._regions.domains_of(region))
                for member in self._for_region(region, key, candidates)
            }
        return listed | {m.id for m in rows if m.state is MemberState.LEAVING}

    def _candidates(self) -> list[Member]:
        """Return the large members, and others up to the required number.

        Large members that are still joining are counted. Otherwise all small members
        that are ready earlier would serve, and link to each other, while a fleet
        starts.
        """
        rows = self._members.rows.values()
        alive = self._alive()
        present = [member.capacity for member in rows if member.state in PRESENT_STATES]
        return alive[: count_candidates(present)] if alive else []

    @property
    def _has_homes(self) -> bool:
        return self._homes is not None and self._homes.is_configured

    def _for_home_regions(
        self, failure_domain: FailureDomainName, host: str, region: RegionName | None
    ) -> list[Member]:
        """Return the daemons for requests that may have home regions, if any."""
        homes = self._homes.common_to_host(host) if self._has_homes else None
        if homes is None:
            return []
        candidates = self._candidates()
        domain_region = self._regions.region_of(failure_domain)
        own = region or domain_region
        if own is not None:
            key = failure_domain if domain_region == own else own
            members = self._for_region(own, key, candidates)
            if members:
                return members
        return [
            member
            for home in sorted(homes)
            for member in self._for_region(home, home, candidates)
        ]

    def _for_region(
        self,
        region: RegionName,
        key: FailureDomainName | RegionName,
        candidates: list[Member],
    ) -> list[Member]:
        """Return the daemons listed for a region, with small ones if there are few.

        ``key`` determines which of them are listed if there are many.
        """
        members = [member for member in candidates if self._is_in(member, region)]
        if len(members) < MIN_SERVING_IN_REGION:
            alive = [m for m in self._alive() if self._is_in(m, region)]
            members = alive[:MIN_SERVING_IN_REGION]
        return self._for_domain(key, members)

    def _is_in(self, member: Member, region: RegionName) -> bool:
        return self._regions.region_of(member.failure_domain) == region

    def _alive(self) -> list[Member]:
        """Return the members that are alive, those on the largest VMs first."""
        rows = self._members.rows.values()
        alive = [member for member in rows if member.state is MemberState.ALIVE]
        return sorted(alive, key=lambda member: (-member.capacity, member.id))

    def _for_domain(
        self, key: FailureDomainName | RegionName, candidates: list[Member]
    ) -> list[Member]:
        if len(candidates) <= MAX_SERVING:
            return candidates
        by_id = {member.id: member for member in candidates}
        order = rendezvous_order(key, by_id)
        return [by_id[name] for name in order[:MAX_SERVING]]
