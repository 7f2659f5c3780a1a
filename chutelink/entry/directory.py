"""Which daemons serve callers, and the addresses that callers are told."""

from __future__ import annotations

from collections.abc import Iterable

from ..ids import DaemonId, FailureDomainName
from ..systems.hashing import rendezvous_order
from ..tables.members import Member, MemberState, MemberTable

MIN_SERVING = 6
"""Fewest daemons that are named: several may be lost at once."""
MAX_SERVING = 16
"""Most daemons named in a failure domain.

What daemons that serve tell each other grows with the square of their number.
"""
LARGE_CAPACITY_SHARE = 0.5
"""VMs with this share of the largest one's capacity count as large."""
PRESENT_STATES = (MemberState.JOINING, MemberState.ALIVE)


def count_candidates(capacities: Iterable[float]) -> int:
    """Return how many of some daemons serve: the large ones, and at least a few."""
    ordered = sorted(capacities, reverse=True)
    large = [c for c in ordered if c >= LARGE_CAPACITY_SHARE * ordered[0]]
    return min(len(ordered), max(MIN_SERVING, len(large)))


class Directory:
    """Addresses of the daemons that serve callers now.

    Large VMs serve, and small ones only where those are too few.

    Parameters
    ----------
    members : MemberTable
        The daemons.
    valid_s : float
        How long callers may keep an answer.
    """

    def __init__(self, members: MemberTable, valid_s: float) -> None:
        self._members = members
        self.valid_s = valid_s

    def addresses(self, failure_domain: FailureDomainName) -> list[str]:
        """Return the addresses for callers of a failure domain."""
        members = self._for_domain(failure_domain, self._candidates())
        return [f"{member.address}:{member.port}" for member in members]

    def serving(self) -> set[DaemonId]:
        """Return the daemons that callers may use: those named, and those leaving.

        Callers keep addresses for a while, so a daemon that leaves goes on serving.
        """
        candidates = self._candidates()
        rows = self._members.rows.values()
        domains = {member.failure_domain for member in rows}
        named = {
            member.id
            for domain in domains
            for member in self._for_domain(domain, candidates)
        }
        return named | {m.id for m in rows if m.state is MemberState.LEAVING}

    def _candidates(self) -> list[Member]:
        """Return the large members, and as many others as it takes.

        Large ones that are about to join count: else all others that are ready before
        them would serve while a fleet starts, and link to one another.
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
