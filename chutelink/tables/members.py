"""The daemons that this process knows of, and what it believes of each."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import BootId, DaemonId, FailureDomainName, VmId


class Role(Enum):
    """What a daemon does."""

    GATEWAY = "gateway"
    DIRECTOR = "director"


class MemberState(Enum):
    """How a daemon stands, as far as is known."""

    JOINING = "joining"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DOWN = "down"
    LEFT = "left"


_RANK = {state: rank for rank, state in enumerate(MemberState)}
_USABLE = (MemberState.ALIVE, MemberState.SUSPECT)
_RUNNING = (MemberState.JOINING, MemberState.ALIVE, MemberState.LEAVING)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A daemon at one moment of its life.

    ``incarnation`` is raised by the daemon alone, to refute what others say of
    it; within one incarnation the graver state wins. Incarnations of different
    daemons are never compared. ``capacity`` is the processor share of its VM.
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
        """Where callers or operators reach it."""
        return f"http://{self.address}:{self.port}"

    @property
    def peer_address(self) -> str:
        """Where peers reach it."""
        return f"{self.address}:{self.peer_port}"

    def is_newer_than(self, other: Member) -> bool:
        """Return whether this is later news of the same daemon."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return _RANK[self.state] > _RANK[other.state]


class MemberTable:
    """Members by id; merging is commutative, so that news may come in any order."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.rows: dict[DaemonId, Member] = {own.id: own}
        self._suspected_s: dict[DaemonId, float] = {}
        self.changes = 0
        """How often a row has changed, for what is derived from the rows."""
        self.grew_s = float("-inf")
        """When a daemon was heard of that was not known at all."""

    def merge(self, news: Member, now_s: float) -> Member | None:
        """Take in news of a member.

        Returns
        -------
        Member or None
            What must be passed on to the peers, or None when nothing is new.
        """
        if news.id == self.own.id:
            return self._refute(news)
        known = self.rows.get(news.id)
        if known is not None and not news.is_newer_than(known):
            return None
        self._put(news, now_s)
        return news

    def set_own_state(self, state: MemberState) -> Member:
        """Change this daemon's own state; return the news."""
        self.own = msgspec.structs.replace(
            self.own, state=state, incarnation=self.own.incarnation + 1
        )
        self._put_own()
        return self.own

    def suspect(self, member_id: DaemonId, now_s: float) -> Member | None:
        """Doubt a member that has gone silent; return the news, if any."""
        known = self.rows.get(member_id)
        if known is None or known.state not in _RUNNING:
            return None
        news = msgspec.structs.replace(known, state=MemberState.SUSPECT)
        self._put(news, now_s)
        return news

    def expire_suspects(self, now_s: float, suspicion_s: float) -> list[Member]:
        """Declare down the members that did not refute in time."""
        changed = []
        for member_id, since_s in list(self._suspected_s.items()):
            if now_s - since_s < suspicion_s:
                continue
            news = msgspec.structs.replace(self.rows[member_id], state=MemberState.DOWN)
            self._put(news, now_s)
            changed.append(news)
        return changed

    def live(self, role: Role | None = None) -> list[Member]:
        """Return members that do their work, this one included."""
        return [
            member
            for member in self.rows.values()
            if member.state in _USABLE and role in (None, member.role)
        ]

    def linkable(self) -> list[Member]:
        """Return the other members that links may be opened to."""
        return [
            member
            for member in self.rows.values()
            if member.id != self.own.id
            and member.state in (MemberState.JOINING, *_USABLE)
        ]

    def is_gone(self, member_id: DaemonId, boot_id: BootId) -> bool:
        """Return whether a process is known to have ended."""
        known = self.rows.get(member_id)
        if known is None:
            return False
        if known.boot_id != boot_id:
            return True
        return known.state in (MemberState.DOWN, MemberState.LEFT)

    def _put(self, news: Member, now_s: float) -> None:
        if news.id not in self.rows:
            self.grew_s = now_s
        self.rows[news.id] = news
        self.changes += 1
        if news.state is MemberState.SUSPECT:
            self._suspected_s.setdefault(news.id, now_s)
        else:
            self._suspected_s.pop(news.id, None)

    def _put_own(self) -> None:
        self.rows[self.own.id] = self.own
        self.changes += 1

    def _refute(self, news: Member) -> Member | None:
        """Raise the own incarnation above what others say of this daemon."""
        is_same = news.boot_id == self.own.boot_id and news.state is self.own.state
        if is_same or news.incarnation < self.own.incarnation:
            return None
        self.own = msgspec.structs.replace(self.own, incarnation=news.incarnation + 1)
        self._put_own()
        return self.own
