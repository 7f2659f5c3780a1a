"""Membership over a bounded number of links for each daemon.

Each daemon links to a few members on a ring of hashed ids, at distances that
grow by a constant factor, and to nobody else: what it sends does not grow with
the number of daemons, and news crosses the ring in a few hops. News is passed
on once; a neighbour that goes silent is suspected, and declared down unless it
refutes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import websockets
from mode import Service
from websockets.asyncio.server import Server, ServerConnection, serve

from ..const import MAX_PEER_MESSAGE_BYTES
from ..core import Application
from ..exceptions import PeerMessageInvalid
from ..ids import ConfigVersion, DaemonId
from ..settings import PeersSection
from ..systems.hashing import rendezvous_score
from ..tables.members import Member, MemberState, MemberTable
from ..tables.queues import QueueTable
from .dialing import HEADER_PEER_KEY, Dialer
from .link import Link
from .messages import (
    Broadcast,
    ConfigBody,
    ConfigRequest,
    Heartbeat,
    Hello,
    MemberNews,
    Message,
    QueueNews,
    decode_message,
)
from .ring import FULL_MESH_MEMBERS, ring_places
from .silence import PeerSilence
from .spreading import Spreader

GOODBYE_S = 0.05
MEMBER_NEWS_DELAY_S = 0.02
"""News of members is gathered for so long: many start or end together."""
UNWANTED_S = 3.0
"""How long a link is kept at least: membership settles within some seconds."""
LINKABLE = (MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)
SPREAD = 0.3


class Mesh(Service):
    """Keeps links, membership and the spread of configuration versions.

    Parameters
    ----------
    core : Application
        The owner.
    settings : PeersSection
        How many links, and how long a silence may be.
    table : MemberTable
        Filled by this service.
    """

    def __init__(
        self, core: Application, settings: PeersSection, table: MemberTable
    ) -> None:
        super().__init__()
        self._core = core
        self._settings = settings
        self.table = table
        self._links: set[Link] = set()
        self._server: Server | None = None
        self.queues = QueueTable()
        self._spreader = Spreader(table, self._links)
        own_address = table.own.peer_address
        self._dialer = Dialer(core, settings, own_address, self._async_run_link)
        self.direct: set[DaemonId] = set()
        self._silence = PeerSilence(settings.peer_timeout_s)
        self._member_news: dict[DaemonId, Member] = {}
        self.on_broadcast: Callable[[Broadcast], None] = lambda news: None
        self.config_version: Callable[[], ConfigVersion] = lambda: ConfigVersion(0)
        self.config_body: Callable[[], ConfigBody | None] = lambda: None
        self.on_config_version: Callable[[ConfigVersion], None] = lambda version: None
        self.on_config_body: Callable[[ConfigBody], None] = lambda body: None
        self.on_members_changed: Callable[[], None] = lambda: None

    async def on_start(self) -> None:
        """Listen for peers."""
        self._server = await serve(
            self._async_accept,
            self._core.daemon.address,
            self._core.daemon.peer_port,
            process_request=self._check_key,
            max_size=MAX_PEER_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
        )

    async def on_stop(self) -> None:
        """Say goodbye to the peers and close all links."""
        self.spread(self.table.set_own_state(MemberState.LEFT))
        await asyncio.sleep(GOODBYE_S)
        self._dialer.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def set_seeds(self, addresses: set[str]) -> None:
        """Take peers that the VM list names beside those of the settings."""
        self._dialer.set_seeds(addresses)

    def announce_alive(self) -> None:
        """Tell the peers that this daemon does its work from now on."""
        self.spread(self.table.set_own_state(MemberState.ALIVE))

    def announce_leaving(self) -> None:
        """Tell the peers that this daemon takes no new work soon."""
        self.spread(self.table.set_own_state(MemberState.LEAVING))

    def spread(self, member: Member) -> None:
        """Pass news of a member on to every link, with what else there is soon."""
        if not self._member_news:
            loop = asyncio.get_running_loop()
            loop.call_later(MEMBER_NEWS_DELAY_S, self._spread_now)
        self._member_news[member.id] = member

    def _spread_now(self) -> None:
        news = MemberNews(list(self._member_news.values()))
        self._member_news.clear()
        # Once for all of them: at a start each daemon hears of all others.
        self.on_members_changed()
        for link in self._links:
            if link.member is not None:
                link.send(news)

    def announce_config(self) -> None:
        """Tell the peers at once of a newer version."""
        for link in self._links:
            link.send(Heartbeat(self.config_version()))

    def request_config(self, version: ConfigVersion) -> None:
        """Ask one linked peer that has at least a version for its body."""
        for link in self._links:
            if link.config_version >= version:
                link.send(ConfigRequest())
                return

    def alone_until_s(self) -> float:
        """Return when this daemon last heard none of the others for long."""
        return self._silence.alone_until_s(self._core.clock())

    def linked_members(self) -> set[DaemonId]:
        """Return the members that this daemon has a link with."""
        return {link.member.id for link in self._links if link.member is not None}

    def highest_peer_version(self) -> ConfigVersion:
        """Return the highest version that a linked peer has in force."""
        versions = [link.config_version for link in self._links]
        return max(versions, default=ConfigVersion(0))

    def _check_key(self, connection: ServerConnection, request):
        if request.headers.get(HEADER_PEER_KEY) != self._core.daemon.peer_key:
            return connection.respond(401, "peer key missing or wrong\n")
        return None

    async def _async_accept(self, connection: ServerConnection) -> None:
        await self._async_run_link(Link(connection))

    async def _async_run_link(self, link: Link) -> None:
        link.heard_s = link.opened_s = self._core.clock()
        members = list(self.table.rows.values())
        link.send(Hello(self.table.own, members, self.config_version()))
        self._links.add(link)
        writer = asyncio.ensure_future(link.async_write_loop())
        try:
            async for data in link.connection:
                link.heard_s = self._core.clock()
                self._silence.note_heard(link.heard_s)
                self._take(link, decode_message(data, self._peer_name(link)))
        except PeerMessageInvalid as error:
            self._core.events.warning("peer_message_invalid", error=error)
        except websockets.ConnectionClosed:
            pass
        finally:
            self._links.discard(link)
            writer.cancel()
            self._core.metrics.peer_links.set({}, len(self._links))

    def _peer_name(self, link: Link) -> str:
        return link.member.id if link.member is not None else "unknown"

    def _take(self, link: Link, message: Message) -> None:
        if isinstance(message, Hello):
            link.member = message.member
            self._core.metrics.peer_links.set({}, len(self._links))
            self._take_members(link, [message.member, *message.members])
            self._take_version(link, message.config_version)
        elif isinstance(message, Heartbeat):
            link.linked = frozenset(message.linked)
            link.peer_wants = message.is_wanted
            self._take_version(link, message.config_version)
        elif isinstance(message, MemberNews):
            self._take_members(link, message.members)
        elif isinstance(message, QueueNews):
            self._take_queue(message, link)
        elif isinstance(message, Broadcast):
            if self._spreader.take(message, link):
                self.on_broadcast(message)
        elif isinstance(message, ConfigRequest):
            body = self.config_body()
            if body is not None:
                link.send(body)
        elif isinstance(message, ConfigBody):
            self.on_config_body(message)

    def _take_members(self, link: Link, members: list[Member]) -> None:
        for member in members:
            news = self.table.merge(member, self._core.clock())
            if news is not None:
                self.spread(news)

    def publish_queue(
        self, waiting: dict[str, int], callers_per_s: dict[str, float]
    ) -> None:
        """Tell all daemons what waits in this gateway and who uses it."""
        own = self.table.own
        news = QueueNews(
            own.id,
            own.boot_id,
            own.failure_domain,
            self.queues.next_sequence(),
            waiting,
            callers_per_s,
        )
        self._take_queue(news, None)

    def _take_queue(self, news: QueueNews, source: Link | None) -> None:
        if not self.queues.merge(news, self._core.clock()):
            return
        for link in self._links:
            if link is not source and link.member is not None:
                link.send(news)

    def broadcast(self, body: bytes) -> None:
        """Tell all daemons something; each passes it on once."""
        self._spreader.broadcast(body)

    def send_to(self, members: set[DaemonId], body: bytes) -> None:
        """Tell some linked daemons, and nobody else."""
        self._spreader.send_to(members, body)

    def _take_version(self, link: Link, version: ConfigVersion) -> None:
        link.config_version = version
        if version > self.config_version():
            self.on_config_version(version)

    def _neighbours(self) -> list[Member]:
        """Return members at growing distances on the ring of hashed ids."""
        own_place = rendezvous_score("ring", self.table.own.id)

        def distance(member: Member) -> int:
            return (rendezvous_score("ring", member.id) - own_place) % 2**64

        ring = sorted(self.table.linkable(), key=distance)
        places = ring_places(len(ring), self._settings.links)
        return [ring[place] for place in places]

    @Service.task
    async def _async_tick_loop(self) -> None:
        while not self.should_stop:
            self._tick()
            pause_s = self._settings.heartbeat_interval_s
            await self.sleep(pause_s * self._core.rng.uniform(1 - SPREAD, 1.0))

    def _tick(self) -> None:
        now_s = self._core.clock()
        self._drop_silent(now_s)
        neighbours = self._neighbours()
        self._suspect_unreachable(neighbours, now_s)
        for member in self.table.expire_suspects(now_s, self._settings.suspicion_s):
            self._core.events.warning("member_down", member=member.id)
            self.spread(member)
        self._dial_missing(neighbours, now_s)
        linked = self.linked_members()
        # Only where all link to all does this keep news from being passed on.
        is_full = len(linked) < FULL_MESH_MEMBERS
        linked_ids = sorted(linked) if is_full else []
        self._close_unwanted(neighbours, now_s)
        for link in self._links:
            version = self.config_version()
            link.send(Heartbeat(version, linked_ids, link.is_wanted))
        counts: dict[str, int] = {state.value: 0 for state in MemberState}
        for member in self.table.rows.values():
            counts[member.state.value] += 1
        for state, count in counts.items():
            self._core.metrics.members.set({"state": state}, count)

    def _drop_silent(self, now_s: float) -> None:
        for link in list(self._links):
            if now_s - link.heard_s > self._settings.peer_timeout_s:
                link.connection.transport.abort()

    def _suspect_unreachable(self, neighbours: list[Member], now_s: float) -> None:
        """Suspect a neighbour whose link is gone and can't be opened again."""
        linked = self.linked_members()
        for member in neighbours:
            is_reached = self._dialer.is_reached(member.peer_address)
            if member.id in linked or is_reached:
                continue
            news = self.table.suspect(member.id, now_s)
            if news is not None:
                self.spread(news)

    def _direct_members(self) -> list[Member]:
        """Return the members that links of their own are wanted to."""
        rows = self.table.rows
        found = [rows[name] for name in self.direct if name in rows]
        own_id = self.table.own.id
        return [m for m in found if m.id != own_id and m.state in LINKABLE]

    def _close_unwanted(self, neighbours: list[Member], now_s: float) -> None:
        """Close the links that neither side needs any more.

        Each daemon that is found while a fleet starts changes who the neighbours are,
        and every link costs heartbeats for as long as it stands.
        """
        wanted = {m.id for m in (*neighbours, *self._direct_members())}
        for link in self._links:
            if link.member is None:
                continue
            link.is_wanted = link.member.id in wanted
            is_settled = now_s - link.opened_s > UNWANTED_S
            if is_settled and not link.is_wanted and not link.peer_wants:
                link.connection.transport.close()

    def _dial_missing(self, neighbours: list[Member], now_s: float) -> None:
        linked = self.linked_members()
        wanted = {
            member.peer_address
            for member in [*neighbours, *self._direct_members()]
            if member.id not in linked
        }
        rows = self.table.rows.values()
        live = {m.peer_address for m in rows if m.state in LINKABLE}
        wanted |= self._dialer.pick_seeds(live, is_linked=bool(linked))
        linked_addresses = {
            link.member.peer_address for link in self._links if link.member
        }
        self._dialer.dial(wanted - linked_addresses, now_s)
