"""Membership table: the known daemons and their states."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import BootId, DaemonId, FailureDomainName, VmId


class Role(Enum):
    """Role of a daemon."""

    GATEWAY = "gateway"
    DIRECTOR = "director"


class MemberState(Enum):
    """State of a daemon, as last known."""

    JOINING = "joining"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DOWN = "down"
    LEFT = "left"


_SEVERITY = {state: severity for severity, state in enumerate(MemberState)}
_IN_SERVICE = (MemberState.ALIVE, MemberState.SUSPECT)
_RUNNING = (MemberState.JOINING, MemberState.ALIVE, MemberState.LEAVING)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's membership record.

    Only the daemon itself increments ``incarnation``, to refute what others report
    about it. Within one incarnation the more severe state wins. Incarnations of
    different daemons are never compared. ``capacity`` is the CPU share of its VM.
    """

    id: DaemonId
    role: Role
    vm: VmId
    failure_domain: FailureDomainName
    address: str
    port: int
    peer_port: int
    boot_id: BootId
    incarnation: int
    state: MemberState = MemberState.JOINING
    capacity: float = 1.0

    @property
    def url(self) -> str:
        """URL for callers and operators."""
        return f"http://{self.address}:{self.port}"

    @property
    def peer_address(self) -> str:
        """Address and port for peers."""
        return f"{self.address}:{self.peer_port}"

    def is_newer_than(self, other: Member) -> bool:
        """Return whether this record supersedes another one of the same daemon."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return _SEVERITY[self.state] > _SEVERITY[other.state]


class MemberTable:
    """Members by id; merging is commutative, so updates may arrive in any order."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.rows: dict[DaemonId, Member] = {own.id: own}
        self._suspected_since_s: dict[DaemonId, float] = {}
        self.changes = 0
        """Number of row changes, for invalidating what is derived from the rows."""
        self.last_new_member_s = float("-inf")
        """Time at which a previously unknown daemon was last added."""

    def merge(self, update: Member, now_s: float) -> Member | None:
        """Merge an update of a member.

        Returns
        -------
        Member or None
            The update to forward to the peers, or None if nothing changed.
        """
        if update.id == self.own.id:
            return self._refute(update)
        known = self.rows.get(update.id)
        if known is not None and not update.is_newer_than(known):
            return None
        self._store(update, now_s)
        return update

    def set_own_state(self, state: MemberState) -> Member:
        """Change this daemon's own state and return the update."""
        self.own = msgspec.structs.replace(
            self.own, state=state, incarnation=self.own.incarnation + 1
        )
        self._store_own()
        return self.own

    def suspect(self, member_id: DaemonId, now_s: float) -> Member | None:
        """Mark an unresponsive member as suspect; return the update, if any."""
        known = self.rows.get(member_id)
        if known is None or known.state not in _RUNNING:
            return None
        update = msgspec.structs.replace(known, state=MemberState.SUSPECT)
        self._store(update, now_s)
        return update

    def expire_suspects(self, now_s: float, suspicion_s: float) -> list[Member]:
        """Mark members as down that did not refute the suspicion in time."""
        updates = []
        for member_id, suspected_since_s in list(self._suspected_since_s.items()):
            if now_s - suspected_since_s < suspicion_s:
                continue
            update = msgspec.structs.replace(
                self.rows[member_id], state=MemberState.DOWN
            )
            self._store(update, now_s)
            updates.append(update)
        return updates

    def live(self, role: Role | None = None) -> list[Member]:
        """Return the members that are in service, including this one."""
        return [
            member
            for member in self.rows.values()
            if member.state in _IN_SERVICE and role in (None, member.role)
        ]

    def has_other_alive(self) -> bool:
        """Return whether another daemon is alive and isn't leaving."""
        return any(
            member.state is MemberState.ALIVE and member.id != self.own.id
            for member in self.rows.values()
        )

    def linkable(self) -> list[Member]:
        """Return the other members to which links may be opened."""
        return [
            member
            for member in self.rows.values()
            if member.id != self.own.id
            and member.state in (MemberState.JOINING, *_IN_SERVICE)
        ]

    def is_gone(self, member_id: DaemonId, boot_id: BootId) -> bool:
        """Return whether a process is known to have terminated."""
        known = self.rows.get(member_id)
        if known is None:
            return False
        if known.boot_id != boot_id:
            return True
        return known.state in (MemberState.DOWN, MemberState.LEFT)

    def _store(self, update: Member, now_s: float) -> None:
        if update.id not in self.rows:
            self.last_new_member_s = now_s
        self.rows[update.id] = update
        self.changes += 1
        if update.state is MemberState.SUSPECT:
            self._suspected_since_s.setdefault(update.id, now_s)
        else:
            self._suspected_since_s.pop(update.id, None)

    def _store_own(self) -> None:
        self.rows[self.own.id] = self.own
        self.changes += 1

    def _refute(self, update: Member) -> Member | None:
        """Raise the own incarnation above that of a wrong update about this daemon."""
        is_same = update.boot_id == self.own.boot_id and update.state is self.own.state
        if is_same or update.incarnation < self.own.incarnation:
            return None
        self.own = msgspec.structs.replace(self.own, incarnation=update.incarnation + 1)
        self._store_own()
        return self.own
