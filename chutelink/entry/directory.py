"""Which addresses callers may use."""

from __future__ import annotations

from ..ids import FailureDomainName
from ..tables.members import MemberState, MemberTable

MAX_ADDRESSES = 64
"""Callers take no more; it also bounds the answer's size."""


class Directory:
    """Addresses of the daemons that serve callers now.

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
        """Return addresses, those of a failure domain first."""
        members = [
            member
            for member in self._members.rows.values()
            if member.state is MemberState.ALIVE
        ]
        members.sort(key=lambda m: (m.failure_domain != failure_domain, m.id))
        return [f"{m.address}:{m.port}" for m in members[:MAX_ADDRESSES]]
