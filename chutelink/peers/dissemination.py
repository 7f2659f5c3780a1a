"""Spread what daemons tell each other over the links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..ids import DaemonId
from ..tables.members import Member, MemberTable
from .broadcasts import BroadcastHistory
from .link import Link
from .messages import (
    Broadcast,
    Direct,
    MemberUpdate,
    Message,
    encode_message,
    message_kind,
)
from .topology import Topology

MEMBER_UPDATE_DELAY_S = 0.02
"""News of members is gathered for so long: many start or end together."""


class Disseminator:
    """Sends broadcasts and news of members, and forwards those of others once.

    Parameters
    ----------
    table : MemberTable
        Names this daemon.
    links : set
        The open links, kept by their owner.
    hubs_per_domain : int
        How many daemons of a failure domain forward.
    on_members_changed : callable
        Called once for each batch of changes of members.
    """

    def __init__(
        self,
        table: MemberTable,
        links: set[Link],
        hubs_per_domain: int,
        on_members_changed: Callable[[], None],
    ) -> None:
        self._table = table
        self._links = links
        self._hubs_per_domain = hubs_per_domain
        self._on_members_changed = on_members_changed
        self._history = BroadcastHistory()
        self._topology: Topology | None = None
        self._topology_changes = -1
        self._pending_updates: dict[DaemonId, Member] = {}
        self._local_update_ids: set[DaemonId] = set()

    @property
    def topology(self) -> Topology:
        """The links between the members known now."""
        if self._topology_changes != self._table.changes:
            self._topology_changes = self._table.changes
            self._topology = Topology(
                self._table.own, self._table.linkable(), self._hubs_per_domain
            )
        return self._topology

    def broadcast(self, body: bytes, topic: str) -> None:
        """Tell all daemons something; hubs forward it."""
        own = self._table.own
        sequence = self._history.next_sequence()
        self.send_own(Broadcast(own.id, own.boot_id, sequence, body, topic))

    def send_to(self, members: set[DaemonId], body: bytes, topic: str) -> None:
        """Tell some linked daemons, and nobody else."""
        self._send(Direct(body, topic), members)

    def take(self, news: Broadcast, source: Link) -> bool:
        """Forward a broadcast; return whether it is received for the first time."""
        if news.origin == self._table.own.id or not self._history.mark_seen(news):
            return False
        self.forward(news.origin, news, source)
        return True

    def forward(self, origin: DaemonId, message: Message, source: Link) -> None:
        """Forward a message from another daemon that is received for the first time."""
        targets = self._broadcast_targets(origin)
        served_by_others = {
            link.member.id
            for link in self._links
            if link.member is not None and origin in link.linked
        }
        if source.member is not None:
            served_by_others.add(source.member.id)
        self._send(message, targets - served_by_others - {origin})

    def send_own(self, message: Message) -> None:
        """Send a message that hubs forward to all daemons."""
        self._send(message, self._broadcast_targets(self._table.own.id))

    def _broadcast_targets(self, origin: DaemonId) -> set[DaemonId]:
        member = self._table.rows.get(origin)
        return self.topology.broadcast_targets(member, self._linked())

    def _linked(self) -> dict[DaemonId, Member]:
        members = (link.member for link in self._links if link.member is not None)
        return {member.id: member for member in members}

    def _send(self, message: Message, targets: set[DaemonId]) -> None:
        """Send to each of some linked members once, encoded once for all."""
        data: bytes | None = None
        sent_to: set[DaemonId] = set()
        for link in self._links:
            if link.member is None or link.member.id in sent_to:
                continue
            if link.member.id not in targets:
                continue
            sent_to.add(link.member.id)
            data = encode_message(message) if data is None else data
            link.send_encoded(data, message_kind(message))

    def send_member_update(self, member: Member, *, is_local: bool) -> None:
        """Tell the peers of a change of a member, with others that come soon."""
        if not self._pending_updates:
            loop = asyncio.get_running_loop()
            loop.call_later(MEMBER_UPDATE_DELAY_S, self.flush_member_updates)
        self._pending_updates[member.id] = member
        if is_local:
            self._local_update_ids.add(member.id)

    def flush_member_updates(self) -> None:
        """Send the news of members that were gathered."""
        if not self._pending_updates:
            return
        gathered, self._pending_updates = self._pending_updates, {}
        local_ids, self._local_update_ids = self._local_update_ids, set()
        # Once for all of them: at a start each daemon hears of all others.
        self._on_members_changed()
        linked = self._linked()
        by_targets: dict[frozenset[DaemonId], list[Member]] = {}
        for member in gathered.values():
            targets = self.topology.member_update_targets(
                member, linked, is_local=member.id in local_ids
            )
            by_targets.setdefault(frozenset(targets), []).append(member)
        for targets, members in by_targets.items():
            self._send(MemberUpdate(members), targets)
