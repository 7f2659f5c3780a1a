"""Maintenance of links: opening, closing, and suspecting unreachable members."""

from __future__ import annotations

from ..core import Application
from ..ids import DaemonId
from ..settings import PeersSection
from ..tables.members import Member, MemberState, MemberTable
from .dialing import Dialer
from .dissemination import Disseminator
from .link import Link

MIN_LINK_AGE_S = 3.0
"""Links are kept at least this long, as membership settles within seconds."""
DIAL_GRACE_S = 1.0
"""How long a daemon waits for the neighbour that should open their link."""
MEMBERSHIP_SETTLE_S = 0.6
"""Direct links are opened once no new daemon was discovered for this long."""
LINKABLE_STATES = (MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)


class LinkManager:
    """Brings the open links in line with the topology at each tick.

    Parameters
    ----------
    core : Application
        The owning application.
    settings : PeersSection
        Timeouts of links and suspicions.
    table : MemberTable
        The members.
    links : set
        The open links; the caller adds and removes them.
    dialer : Dialer
        Opens links.
    disseminator : Disseminator
        Provides the topology and sends member updates to the peers.
    """

    def __init__(
        self,
        core: Application,
        settings: PeersSection,
        table: MemberTable,
        links: set[Link],
        dialer: Dialer,
        disseminator: Disseminator,
    ) -> None:
        self._core = core
        self._settings = settings
        self._table = table
        self._links = links
        self._dialer = dialer
        self._disseminator = disseminator
        self.direct_peers: set[DaemonId] = set()
        self._missing_since_s: dict[DaemonId, float] = {}
        self._started_s = core.clock()

    def note_link_lost(self, link: Link) -> None:
        """Make the peer of a lost link due for dialling, whichever side should dial."""
        if link.member is not None:
            self._missing_since_s[link.member.id] = float("-inf")

    def note_member_update(self, member: Member) -> None:
        """Allow a member that refuted to be dialled before it is suspected again."""
        if member.state in (MemberState.JOINING, MemberState.ALIVE):
            self._dialer.forget_failure(member.peer_address)

    def tick(self, now_s: float) -> None:
        """Abort silent links, update suspicions, dial and close links as needed."""
        self._abort_silent_links(now_s)
        neighbours = self._neighbours()
        linked = {link.member.id for link in self._links if link.member is not None}
        self._suspect_unreachable(neighbours, linked, now_s)
        self._expire_suspects(now_s)
        self._dial_missing(neighbours, linked, now_s)
        self._close_unneeded(neighbours, now_s)

    def _neighbours(self) -> list[Member]:
        return self._disseminator.topology.neighbours

    def _abort_silent_links(self, now_s: float) -> None:
        for link in list(self._links):
            if now_s - link.last_received_s > self._settings.peer_timeout_s:
                link.connection.abort()

    def _suspect_unreachable(
        self, neighbours: list[Member], linked: set[DaemonId], now_s: float
    ) -> None:
        """Suspect neighbours that have no link and could not be dialled."""
        for member in neighbours:
            is_reachable = self._dialer.is_reachable(member.peer_address)
            if member.id in linked or is_reachable:
                continue
            suspect = self._table.suspect(member.id, now_s)
            if suspect is not None:
                self._disseminator.send_member_update(suspect, is_local=True)

    def _expire_suspects(self, now_s: float) -> None:
        for member in self._table.expire_suspects(now_s, self._settings.suspicion_s):
            self._core.events.warning("member_down", member=member.id)
            self._disseminator.send_member_update(member, is_local=True)

    def _direct_members(self) -> list[Member]:
        """Return the members to keep direct links to."""
        rows = self._table.rows
        found = [rows[name] for name in self.direct_peers if name in rows]
        own_id = self._table.own.id
        return [m for m in found if m.id != own_id and m.state in LINKABLE_STATES]

    def _dial_missing(
        self, neighbours: list[Member], linked: set[DaemonId], now_s: float
    ) -> None:
        wanted: set[str] = set()
        # While a fleet starts, a daemon would choose most of the few members that it
        # has discovered as serving ones, and open links to all of them.
        if now_s - self._table.last_new_member_s > MEMBERSHIP_SETTLE_S:
            members = self._direct_members()
            wanted |= {m.peer_address for m in members if m.id not in linked}
        wanted |= self._addresses_to_dial(neighbours, linked, now_s)
        known = self._disseminator.topology.addresses
        wanted |= self._dialer.pick_seeds(known, is_linked=bool(linked))
        linked_addresses = {
            link.member.peer_address for link in self._links if link.member
        }
        self._dialer.dial(wanted - linked_addresses, now_s)

    def _addresses_to_dial(
        self, neighbours: list[Member], linked: set[DaemonId], now_s: float
    ) -> set[str]:
        """Return the addresses of unlinked neighbours that are due for dialling."""
        topology = self._disseminator.topology
        since_s = self._missing_since_s
        missing = [member for member in neighbours if member.id not in linked]
        self._missing_since_s = {m.id: since_s.get(m.id, now_s) for m in missing}
        return {
            member.peer_address
            for member in missing
            if topology.should_dial(member)
            or now_s - self._missing_since_s[member.id] > DIAL_GRACE_S
            or self._started_before(member, now_s)
        }

    def _started_before(self, member: Member, now_s: float) -> bool:
        """Return whether this daemon just started and the neighbour runs already.

        The neighbour may have lost all its links and still be dialling the previous
        process of this daemon.
        """
        is_new = now_s - self._started_s < DIAL_GRACE_S
        return is_new and member.state is MemberState.ALIVE

    def _close_unneeded(self, neighbours: list[Member], now_s: float) -> None:
        """Close the links that neither side needs any more.

        While a fleet starts, each discovered daemon changes the set of neighbours, and
        every open link costs heartbeats.
        """
        wanted = {m.id for m in (*neighbours, *self._direct_members())}
        for link in self._links:
            if link.member is None:
                continue
            link.is_wanted = link.member.id in wanted
            is_settled = now_s - link.opened_s > MIN_LINK_AGE_S
            if is_settled and not link.is_wanted and not link.is_wanted_by_peer:
                link.connection.close()
