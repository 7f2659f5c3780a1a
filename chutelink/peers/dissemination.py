"""Dissemination of broadcasts and member updates over the links."""

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
"""Member updates are batched for this long, as many daemons start or stop together."""


class Disseminator:
    """Sends broadcasts and member updates, and forwards those of others once.

    Parameters
    ----------
    table : MemberTable
        The members, this daemon included.
    links : set
        The open links; the caller adds and removes them.
    hubs_per_domain : int
        How many daemons of each failure domain forward messages.
    on_members_changed : callable
        Called once for each batch of member updates.
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
        """The topology of the currently known members."""
        if self._topology_changes != self._table.changes:
            self._topology_changes = self._table.changes
            self._topology = Topology(
                self._table.own, self._table.linkable(), self._hubs_per_domain
            )
        return self._topology

    def broadcast(self, body: bytes, topic: str) -> None:
        """Send a message to all daemons; hubs forward it."""
        own = self._table.own
        sequence = self._history.next_sequence()
        self.send_to_all(Broadcast(own.id, own.boot_id, sequence, body, topic))

    def send_to(self, members: set[DaemonId], body: bytes, topic: str) -> None:
        """Send a message to some linked daemons, without forwarding."""
        self._send(Direct(body, topic), members)

    def receive_broadcast(self, message: Broadcast, source: Link) -> bool:
        """Forward a broadcast if it is new; return whether it is."""
        if message.origin == self._table.own.id or not self._history.mark_seen(message):
            return False
        self.forward(message.origin, message, source)
        return True

    def forward(self, origin: DaemonId, message: Message, source: Link) -> None:
        """Forward a message of another daemon that was received for the first time.

        Skips the link it came from and peers that are linked to its origin themselves.
        """
        targets = self._broadcast_targets(origin)
        reached_otherwise = {
            link.member.id
            for link in self._links
            if link.member is not None and origin in link.linked
        }
        if source.member is not None:
            reached_otherwise.add(source.member.id)
        self._send(message, targets - reached_otherwise - {origin})

    def send_to_all(self, message: Message) -> None:
        """Send a message that hubs forward to all daemons."""
        self._send(message, self._broadcast_targets(self._table.own.id))

    def _broadcast_targets(self, origin: DaemonId) -> set[DaemonId]:
        member = self._table.rows.get(origin)
        return self.topology.broadcast_targets(member, self._linked())

    def _linked(self) -> dict[DaemonId, Member]:
        members = (link.member for link in self._links if link.member is not None)
        return {member.id: member for member in members}

    def _send(self, message: Message, targets: set[DaemonId]) -> None:
        """Send a message once to each target, encoded a single time."""
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
        """Queue a changed member to be sent to the peers with the next batch.

        ``is_local`` is set if this daemon itself detected the change.
        """
        if not self._pending_updates:
            loop = asyncio.get_running_loop()
            loop.call_later(MEMBER_UPDATE_DELAY_S, self.flush_member_updates)
        self._pending_updates[member.id] = member
        if is_local:
            self._local_update_ids.add(member.id)

    def flush_member_updates(self) -> None:
        """Send the batched member updates."""
        if not self._pending_updates:
            return
        batch, self._pending_updates = self._pending_updates, {}
        local_ids, self._local_update_ids = self._local_update_ids, set()
        # Called once per batch: when a fleet starts, each daemon learns of all others.
        self._on_members_changed()
        linked = self._linked()
        by_targets: dict[frozenset[DaemonId], list[Member]] = {}
        for member in batch.values():
            targets = self.topology.member_update_targets(
                member, linked, is_local=member.id in local_ids
            )
            by_targets.setdefault(frozenset(targets), []).append(member)
        for targets, members in by_targets.items():
            self._send(MemberUpdate(members), targets)
