"""Selects the daemons that serve callers and lists their addresses."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..ids import DaemonId, FailureDomainName
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
PRESENT_STATES = (MemberState.JOINING, MemberState.ALIVE)


def count_candidates(capacities: Iterable[float]) -> int:
    """Return how many daemons serve: all large ones, but at least ``MIN_SERVING``."""
    ordered = sorted(capacities, reverse=True)
    large = [c for c in ordered if c >= LARGE_CAPACITY_SHARE * ordered[0]]
    return min(len(ordered), max(MIN_SERVING, len(large)))


class Directory:
    """Addresses of the daemons that currently serve callers.

    Daemons on large VMs serve, and those on small VMs only if there are too few.

    Parameters
    ----------
    members : MemberTable
        Membership of the daemons.
    valid_s : float
        How long callers may cache a response.
    """

    def __init__(self, members: MemberTable, valid_s: float) -> None:
        self._members = members
        self.valid_s = valid_s
        self.is_partitioned: Callable[[DaemonId], bool] = lambda daemon: False
        """Returns whether a daemon can serve callers only through its peers."""

    def addresses(self, failure_domain: FailureDomainName) -> list[str]:
        """Return the addresses for callers in a failure domain.

        Partitioned daemons are left out while enough others remain.
        """
        members = self._for_domain(failure_domain, self._candidates())
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
        return listed | {m.id for m in rows if m.state is MemberState.LEAVING}

    def _candidates(self) -> list[Member]:
        """Return the large members, and others up to the required number.

        Large members that are still joining are counted. Otherwise all small members
        that are ready earlier would serve, and link to each other, while a fleet
        starts.
        """
        rows = self._members.rows.values()
        alive = [member for member in rows if member.state is MemberState.ALIVE]
        alive.sort(key=lambda member: (-member.capacity, member.id))
        present = [member.capacity for member in rows if member.state in PRESENT_STATES]
        return alive[: count_candidates(present)] if alive else []

    def _for_domain(
        self, failure_domain: FailureDomainName, candidates: list[Member]
    ) -> list[Member]:
        if len(candidates) <= MAX_SERVING:
            return candidates
        by_id = {member.id: member for member in candidates}
        order = rendezvous_order(failure_domain, by_id)
        return [by_id[name] for name in order[:MAX_SERVING]]
