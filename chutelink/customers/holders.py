"""The daemons that share quotas; all shares together are at most the whole quota."""

from __future__ import annotations

import msgspec

from ..ids import CustomerName, DaemonId
from ..systems.hashing import rendezvous_order
from ..tables.members import MemberState, MemberTable
from .const import (
    HOLDER_RETENTION_S,
    MAX_HOLDERS,
    MIN_HOLDER_UPTIME_S,
    MIN_HOLDERS,
    SETTLE_S,
)


class HolderView(msgspec.Struct, frozen=True):
    """The holders as one daemon knows them; it assumes at least ``least`` of them.

    Only a few of them hold each customer's quota, so that one share is larger than most
    requests. Otherwise a request that is larger than a share finds too few lenders.
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


class _ServingPeriod(msgspec.Struct):
    """Start and last observation of a daemon's uninterrupted serving."""

    since_s: float
    last_s: float

    def is_reserved(self, now_s: float) -> bool:
        """Return whether the share stays reserved after the daemon stops serving."""
        if self.last_s - self.since_s < MIN_HOLDER_UPTIME_S:
            return False
        return now_s - self.last_s <= HOLDER_RETENTION_S


class QuotaHolders:
    """The daemons that may admit requests, as far as this daemon knows.

    An unreachable daemon may be disconnected only from the other daemons and continue
    to serve: its share stays reserved for a while, unless it announced that it left.
    This keeps both halves of a partitioned fleet from using the whole quota.

    Parameters
    ----------
    own : DaemonId
        This daemon.
    started_s : float
        Start time of this daemon.
    """

    def __init__(self, own: DaemonId, started_s: float) -> None:
        self._own = own
        self._started_s = started_s
        self._served: dict[DaemonId, _ServingPeriod] = {}
        self._has_seen_others = False
        self.expected: int | None = None
        """Daemons that would serve if all in the store were alive, None if unknown."""

    def update(
        self, serving: set[DaemonId], members: MemberTable, now_s: float
    ) -> None:
        """Update which daemons serve, and remove those that have left."""
        self._has_seen_others |= len(members.rows) > 1
        for daemon in serving:
            served = self._served.setdefault(daemon, _ServingPeriod(now_s, now_s))
            served.last_s = now_s
        for daemon, served in list(self._served.items()):
            member = members.rows.get(daemon)
            has_left = member is not None and member.state is MemberState.LEFT
            is_reserved = daemon in serving or served.is_reserved(now_s)
            if has_left or not is_reserved:
                del self._served[daemon]

    def view(self, now_s: float) -> HolderView:
        """Return the current holders as this daemon knows them."""
        least = 0
        if not self._is_settled(now_s):
            expected = MIN_HOLDERS if self.expected is None else self.expected
            least = min(MIN_HOLDERS, expected)
        return HolderView(self._own, frozenset(self._served), least)

    def _is_settled(self, now_s: float) -> bool:
        """Return whether other daemons are known, or known not to exist."""
        if now_s - self._started_s < SETTLE_S:
            return False
        return self._has_seen_others or self.expected == 1
