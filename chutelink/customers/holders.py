"""Which daemons share quotas, so that all shares together are at most the whole."""

from __future__ import annotations

import msgspec

from ..ids import CustomerName, DaemonId
from ..systems.hashing import rendezvous_order
from ..tables.members import MemberState, MemberTable
from .const import (
    HOLDER_KEPT_S,
    HOLDER_PROVED_S,
    MAX_HOLDERS,
    MIN_HOLDERS,
    SETTLE_S,
)


class HolderView(msgspec.Struct, frozen=True):
    """The holders as one daemon knows them; it counts at least ``least`` of them.

    Each customer's quota is held by so few of them that one share is larger than most
    requests: else a request that is larger than a share meets too few that can lend.
    """

    own: DaemonId
    names: frozenset[DaemonId]
    least: int = 0

    def holders(self, customer: CustomerName) -> frozenset[DaemonId]:
        """Return the daemons that hold shares of one customer's quota."""
        if len(self.names) <= MAX_HOLDERS:
            return self.names
        return frozenset(rendezvous_order(customer, self.names)[:MAX_HOLDERS])

    def own_share(self, customer: CustomerName) -> float:
        """Return this daemon's share of a quota, 0 where it holds none."""
        holders = self.holders(customer)
        if self.own not in holders:
            return 0.0
        return 1.0 / max(self.least, len(holders))


class _Served(msgspec.Struct):
    """Since when a daemon serves without a break, and when it was last seen to."""

    since_s: float
    last_s: float

    def is_kept(self, now_s: float) -> bool:
        """Return whether the share of one that serves no more stays reserved."""
        if self.last_s - self.since_s < HOLDER_PROVED_S:
            return False
        return now_s - self.last_s <= HOLDER_KEPT_S


class Holders:
    """The daemons that may let requests through, as far as this one knows.

    A daemon that others can't reach may be cut off from them only and go on serving:
    its share stays reserved for a while, unless it said that it has left. Guards
    against both halves of a fleet that is cut in two using the whole quota.

    Parameters
    ----------
    own : DaemonId
        This daemon.
    started_s : float
        When it started.
    """

    def __init__(self, own: DaemonId, started_s: float) -> None:
        self._own = own
        self._started_s = started_s
        self._served: dict[DaemonId, _Served] = {}
        self._has_met = False
        self.expected: int | None = None
        """How many would serve if all lived that the store lists, None if unknown."""

    def update(
        self, serving: set[DaemonId], members: MemberTable, now_s: float
    ) -> None:
        """Take in which daemons serve, and which have left for good."""
        self._has_met |= len(members.rows) > 1
        for daemon in serving:
            served = self._served.setdefault(daemon, _Served(now_s, now_s))
            served.last_s = now_s
        for daemon, served in list(self._served.items()):
            member = members.rows.get(daemon)
            has_left = member is not None and member.state is MemberState.LEFT
            is_kept = daemon in serving or served.is_kept(now_s)
            if has_left or not is_kept:
                del self._served[daemon]

    def view(self, now_s: float) -> HolderView:
        """Return who holds shares now, as this daemon knows it."""
        least = 0
        if not self._is_settled(now_s):
            expected = MIN_HOLDERS if self.expected is None else self.expected
            least = min(MIN_HOLDERS, expected)
        return HolderView(self._own, frozenset(self._served), least)

    def _is_settled(self, now_s: float) -> bool:
        """Return whether the others are known, or it is known that there are none."""
        if now_s - self._started_s < SETTLE_S:
            return False
        return self._has_met or self.expected == 1
