"""The links that each daemon keeps, and where it forwards messages. Does no I/O.

A small fleet is a full mesh. In a larger one some daemons of each failure domain are
hubs: all hubs are linked to each other, and every other daemon to the hubs of its
failure domain. The first hubs of all failure domains form one plane, the second hubs
another: a broadcast crosses between two failure domains once in each plane, and the
hubs of a failure domain forward it to all its daemons. So no message is lost if one
hub of a failure domain fails.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from ..ids import DaemonId, FailureDomainName
from ..tables.members import Member, MemberState

FULL_MESH_MEMBERS = 12
"""Up to this many peers form a full mesh, where nothing has to be forwarded."""


def _hub_sort_key(member: Member) -> tuple[bool, float, DaemonId]:
    """Return the sort key of hub candidates: reachable first, then by VM capacity."""
    return member.state is MemberState.SUSPECT, -member.capacity, member.id


class Topology:
    """The links between members, from the point of view of one daemon.

    Parameters
    ----------
    own : Member
        This daemon.
    others : iterable of Member
        The members that links may be opened to.
    hubs_per_domain : int
        How many daemons of each failure domain forward messages.
    """

    def __init__(
        self, own: Member, others: Iterable[Member], hubs_per_domain: int
    ) -> None:
        self._own = own
        self._hubs_per_domain = hubs_per_domain
        self._others = {member.id: member for member in others}
        self.is_full_mesh = len(self._others) <= FULL_MESH_MEMBERS
        self._planes: dict[DaemonId, int] = {}
        if not self.is_full_mesh:
            self._choose_hubs()
        self.neighbours = self._find_neighbours()
        """The members that this daemon keeps links to."""
        self.addresses = frozenset(
            member.peer_address for member in self._others.values()
        )
        """The peer addresses of the other members."""

    def _choose_hubs(self) -> None:
        by_domain: dict[FailureDomainName, list[Member]] = defaultdict(list)
        for member in (*self._others.values(), self._own):
            by_domain[member.failure_domain].append(member)
        for members in by_domain.values():
            hubs = sorted(members, key=_hub_sort_key)[: self._hubs_per_domain]
            self._planes |= {hub.id: plane for plane, hub in enumerate(hubs)}

    def is_hub(self, daemon: DaemonId) -> bool:
        """Return whether a daemon is a hub of its failure domain."""
        return daemon in self._planes

    def _find_neighbours(self) -> list[Member]:
        if self.is_full_mesh:
            return list(self._others.values())
        return [m for m in self._others.values() if self._is_neighbour(m)]

    def _is_neighbour(self, member: Member) -> bool:
        is_same_domain = member.failure_domain == self._own.failure_domain
        if self.is_hub(member.id):
            return is_same_domain or self.is_hub(self._own.id)
        return is_same_domain and self.is_hub(self._own.id)

    def should_dial(self, member: Member) -> bool:
        """Return whether this daemon opens the link to a neighbour.

        Daemons dial their hubs, and of two hubs the one with the lower id dials, so
        that each link is opened once when a whole fleet starts.
        """
        if self.is_full_mesh:
            return True
        is_hub = self.is_hub(self._own.id)
        if is_hub != self.is_hub(member.id):
            return not is_hub
        return self._own.id < member.id

    def broadcast_targets(
        self, origin: Member | None, linked: Mapping[DaemonId, Member]
    ) -> set[DaemonId]:
        """Return the linked peers to which this daemon sends or forwards a broadcast.

        Parameters
        ----------
        origin : Member or None
            The daemon that created the message; None if it is not known yet.
        linked : mapping
            The peers that this daemon has links to.
        """
        is_own = origin is not None and origin.id == self._own.id
        if self.is_full_mesh or (is_own and not self.is_hub(self._own.id)):
            return set(linked)
        if not self.is_hub(self._own.id):
            return set()
        own_domain = self._own.failure_domain
        same_domain = {m.id for m in linked.values() if m.failure_domain == own_domain}
        if origin is not None and origin.failure_domain != own_domain:
            return same_domain
        planes = self._served_planes(linked)
        remote_hubs = {
            id for id in linked.keys() - same_domain if self._planes.get(id) in planes
        }
        return same_domain | remote_hubs

    def _served_planes(self, linked: Mapping[DaemonId, Member]) -> set[int]:
        """Return the planes that this hub forwards in.

        These are its own plane and those of the hubs of its failure domain that it
        has no link to.
        """
        planes = {self._planes[self._own.id]}
        for id, plane in self._planes.items():
            member = self._others.get(id)
            if member is None or member.failure_domain != self._own.failure_domain:
                continue
            if id not in linked:
                planes.add(plane)
        return planes

    def member_update_targets(
        self, subject: Member, linked: Mapping[DaemonId, Member], *, is_local: bool
    ) -> set[DaemonId]:
        """Return the linked peers to which this daemon sends a member update.

        Unlike broadcasts, updates go to all hubs of other failure domains, and to
        daemons that have just started and are not linked to their hubs yet.
        ``is_local`` is set if this daemon itself detected the change.
        """
        if self.is_full_mesh or is_local:
            return set(linked)
        if not self.is_hub(self._own.id):
            return linked.keys() - self._planes.keys()
        own_domain = self._own.failure_domain
        if subject.failure_domain == own_domain:
            return set(linked)
        return {
            member.id
            for member in linked.values()
            if member.failure_domain == own_domain or not self.is_hub(member.id)
        }
