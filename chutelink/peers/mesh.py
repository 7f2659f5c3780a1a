"""Membership of the fleet and the links between its daemons.

A small fleet is a full mesh; in a larger one daemons link to hubs of their failure
domain, which forward messages (see ``topology``). A neighbour that falls silent is
suspected, and declared down unless it refutes the suspicion in time.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from mode import Service

from ..core import Application
from ..exceptions import PeerMessageInvalid
from ..ids import ConfigVersion, DaemonId
from ..serving.pool import PortShares
from ..settings import PeersSection
from ..steps import async_run_step
from ..tables.members import Member, MemberState, MemberTable
from ..tables.queues import QueueTable
from .dialing import Dialer
from .dissemination import Disseminator
from .isolation import IsolationDetector
from .link import Link
from .link_manager import LinkManager
from .messages import (
    Broadcast,
    ConfigBody,
    ConfigRequest,
    Direct,
    Heartbeat,
    Hello,
    MemberUpdate,
    Message,
    QueueUpdate,
    decode_message,
    encode_message,
    message_kind,
)
from .traffic import TrafficMeter
from .transport import PeerConnection, PeerTransport, WebsocketTransport

LEAVE_FLUSH_S = 0.05
"""How long a stopping daemon waits for its last messages to be sent."""
HEARTBEAT_JITTER = 0.3
"""Largest share by which a heartbeat interval is shortened at random."""


class Mesh(Service):
    """Maintains links and membership, and announces configuration versions.

    Parameters
    ----------
    core : Application
        The owning application.
    settings : PeersSection
        Seeds, number of hubs and timeouts.
    table : MemberTable
        The members; updated by this service.
    transport : PeerTransport, optional
        Connects peers; websockets by default.
    """

    def __init__(
        self,
        core: Application,
        settings: PeersSection,
        table: MemberTable,
        transport: PeerTransport | None = None,
    ) -> None:
        super().__init__()
        self._core = core
        self._settings = settings
        self.table = table
        self._links: set[Link] = set()
        self.queues = QueueTable()
        self._traffic = TrafficMeter()
        self._counted_table_changes = -1
        self._disseminator = Disseminator(
            table,
            self._links,
            settings.hubs_per_domain,
            lambda: self.on_members_changed(),
        )
        own_address = table.own.peer_address
        self._transport = transport or WebsocketTransport(
            core.daemon.address,
            core.daemon.peer_port,
            core.daemon.peer_key,
            settings.peer_timeout_s,
            core.serving.make_pool("peers", PortShares().peers),
        )
        self._dialer = Dialer(
            core, settings, own_address, self._transport, self._async_run
        )
        self._link_manager = LinkManager(
            core, settings, table, self._links, self._dialer, self._disseminator
        )
        self._isolation = IsolationDetector(settings.peer_timeout_s)
        self.on_broadcast: Callable[[Broadcast], None] = lambda message: None
        self.on_direct: Callable[[DaemonId, bytes], None] = lambda origin, body: None
        self.config_version: Callable[[], ConfigVersion] = lambda: ConfigVersion(0)
        self.config_body: Callable[[], ConfigBody | None] = lambda: None
        self.on_config_version: Callable[[ConfigVersion], None] = lambda version: None
        self.on_members_changed: Callable[[], None] = lambda: None
        """Called once for each batch of member updates."""
        self.on_config_body: Callable[[ConfigBody], None] = lambda body: None

    @property
    def direct_peers(self) -> set[DaemonId]:
        """The members that this daemon keeps direct links to, besides neighbours."""
        return self._link_manager.direct_peers

    @direct_peers.setter
    def direct_peers(self, members: set[DaemonId]) -> None:
        self._link_manager.direct_peers = members

    async def on_start(self) -> None:
        """Start to accept connections from peers."""
        await self._transport.async_listen(self._async_run)

    async def on_stop(self) -> None:
        """Announce that this daemon has left, and close all links."""
        self._announce_own_state(MemberState.LEFT)
        self._disseminator.flush_member_updates()
        await asyncio.sleep(LEAVE_FLUSH_S)
        self._dialer.cancel()
        await self._transport.async_stop()

    def set_seeds(self, addresses: set[str]) -> None:
        """Set the seeds from the VM list, in addition to the configured ones."""
        self._dialer.set_seeds(addresses)

    def announce_alive(self) -> None:
        """Announce that this daemon is in service."""
        self._announce_own_state(MemberState.ALIVE)

    def announce_leaving(self) -> None:
        """Announce that this daemon will soon stop accepting work."""
        self._announce_own_state(MemberState.LEAVING)

    def _announce_own_state(self, state: MemberState) -> None:
        member = self.table.set_own_state(state)
        self._disseminator.send_member_update(member, is_local=True)

    def announce_config(self) -> None:
        """Announce a new configuration version ahead of the next heartbeat."""
        for link in self._links:
            link.send(Heartbeat(self.config_version()))

    def request_config(self, version: ConfigVersion) -> None:
        """Request the configuration from one peer that has at least this version."""
        for link in self._links:
            if link.config_version >= version:
                link.send(ConfigRequest())
                return

    def isolated_until_s(self) -> float:
        """Return when the last silence of all peers ended; now if it still lasts."""
        return self._isolation.isolated_until_s(self._core.clock())

    def is_alone(self) -> bool:
        """Return whether no other daemon is known, reachable or not."""
        return len(self.table.rows) == 1 and not self._dialer.has_seeds

    def linked_members(self) -> set[DaemonId]:
        """Return the ids of the members that this daemon has links to."""
        return {link.member.id for link in self._links if link.member is not None}

    def highest_peer_version(self) -> ConfigVersion:
        """Return the highest configuration version that a linked peer has in force."""
        versions = [link.config_version for link in self._links]
        return max(versions, default=ConfigVersion(0))

    async def _async_run(self, connection: PeerConnection) -> None:
        """Handle a connection, accepted or dialled, until it ends."""
        link = Link(connection, self.table.own, self._traffic)
        link.last_received_s = link.opened_s = self._core.clock()
        members = list(self.table.rows.values())
        link.send(Hello(self.table.own, members, self.config_version()))
        self._links.add(link)
        writer = asyncio.ensure_future(link.async_write_loop())
        try:
            async for data in link.connection:
                link.last_received_s = self._core.clock()
                self._isolation.note_message(link.last_received_s)
                message = decode_message(data, self._peer_name(link))
                link.note_received(message, len(data))
                self._handle_message(link, message)
        except PeerMessageInvalid as error:
            self._core.events.warning("peer_message_invalid", error=error)
        finally:
            self._links.discard(link)
            self._link_manager.note_link_lost(link)
            writer.cancel()
            self._core.metrics.peer_links.set({}, len(self._links))

    def _peer_name(self, link: Link) -> str:
        return link.member.id if link.member is not None else "unknown"

    def _handle_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Hello):
            link.member = message.member
            self._core.metrics.peer_links.set({}, len(self._links))
            self._handle_members(link, [message.member, *message.members])
            self._handle_config_version(link, message.config_version)
        elif isinstance(message, Heartbeat):
            link.linked = frozenset(message.linked)
            link.is_wanted_by_peer = message.is_wanted
            self._handle_config_version(link, message.config_version)
        elif isinstance(message, MemberUpdate):
            self._handle_members(link, message.members)
        elif isinstance(message, QueueUpdate):
            self._handle_queue_update(message, link)
        elif isinstance(message, Broadcast):
            if self._disseminator.receive_broadcast(message, link):
                self.on_broadcast(message)
        elif isinstance(message, Direct):
            if link.member is not None:
                self.on_direct(link.member.id, message.body)
        elif isinstance(message, ConfigRequest):
            body = self.config_body()
            if body is not None:
                link.send(body)
        elif isinstance(message, ConfigBody):
            self.on_config_body(message)

    def _handle_members(self, link: Link, members: list[Member]) -> None:
        for member in members:
            update = self.table.merge(member, self._core.clock())
            if update is not None:
                is_own = update.id == self.table.own.id
                self._disseminator.send_member_update(update, is_local=is_own)
                self._link_manager.note_member_update(update)

    def publish_queue(
        self, waiting: dict[str, int], callers_per_s: dict[str, float]
    ) -> None:
        """Send this gateway's queued requests and caller rates to all daemons."""
        own = self.table.own
        update = QueueUpdate(
            own.id,
            own.boot_id,
            own.failure_domain,
            self.queues.next_sequence(),
            waiting,
            callers_per_s,
        )
        self._handle_queue_update(update, None)

    def _handle_queue_update(self, update: QueueUpdate, source: Link | None) -> None:
        if not self.queues.merge(update, self._core.clock()):
            return
        if source is None:
            self._disseminator.send_to_all(update)
        else:
            self._disseminator.forward(update.gateway, update, source)

    def broadcast(self, body: bytes, topic: str) -> None:
        """Send a message to all daemons."""
        self._disseminator.broadcast(body, topic)

    def send_to(self, members: set[DaemonId], body: bytes, topic: str) -> None:
        """Send a message to some linked daemons, without forwarding."""
        self._disseminator.send_to(members, body, topic)

    def _handle_config_version(self, link: Link, version: ConfigVersion) -> None:
        link.config_version = version
        if version > self.config_version():
            self.on_config_version(version)

    @Service.task
    async def _async_tick_loop(self) -> None:
        while not self.should_stop:
            await async_run_step(self, self._core.events, "mesh.tick", self._tick)
            interval_s = self._settings.heartbeat_interval_s
            await self.sleep(
                interval_s * self._core.rng.uniform(1 - HEARTBEAT_JITTER, 1.0)
            )

    def _tick(self) -> None:
        now_s = self._core.clock()
        self._link_manager.tick(now_s)
        self._send_heartbeats()
        self._traffic.export(self._core.metrics)
        self._traffic.log(self._core.events, now_s)
        if self._counted_table_changes != self.table.changes:
            self._counted_table_changes = self.table.changes
            self._count_members()

    def _count_members(self) -> None:
        counts = Counter(member.state for member in self.table.rows.values())
        for state in MemberState:
            self._core.metrics.members.set({"state": state.value}, counts[state])

    def _send_heartbeats(self) -> None:
        # The linked ids save forwarding only in a full mesh: see Disseminator.forward.
        is_full = self._disseminator.topology.is_full_mesh
        linked = sorted(self.linked_members()) if is_full else []
        version = self.config_version()
        encoded: dict[bool, bytes] = {}
        for link in self._links:
            if link.is_wanted not in encoded:
                heartbeat = Heartbeat(version, linked, link.is_wanted)
                encoded[link.is_wanted] = encode_message(heartbeat)
            link.send_encoded(encoded[link.is_wanted], message_kind(Heartbeat(version)))
