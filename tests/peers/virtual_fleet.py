"""Meshes of many daemons in one process, on a simulated network in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

from chutelink.entry.directory import Directory
from chutelink.ids import BootId, DaemonId
from chutelink.metrics import Metrics
from chutelink.peers.mesh import Mesh
from chutelink.peers.transport import (
    ConnectionHandler,
    PeerConnection,
    PeerTransport,
)
from chutelink.settings import PeersSection
from chutelink.tables.members import Member, MemberState, MemberTable, Role

CROSS_DOMAIN_DELAY_S = 0.0014
"""One-way delay between failure domains."""
LOCAL_DELAY_S = 0.0002
"""One-way delay within a failure domain."""
LARGE_VMS_PER_DOMAIN = 3
SEEDS = 3
SETTINGS = PeersSection(
    seeds=tuple(f"d{number:03}:1" for number in range(SEEDS)),
    heartbeat_interval_s=0.4,
    peer_timeout_s=1.5,
    suspicion_s=1.0,
)


class _NullEventLog(SimpleNamespace):
    """Discards all log events."""

    def __getattr__(self, name):
        return lambda *arguments, **fields: None


class VirtualConnection(PeerConnection):
    """One side of a connection; sent messages reach the other side after a delay."""

    def __init__(self, network: VirtualNetwork, own: str, peer: str) -> None:
        self._network = network
        self.own = own
        self.peer = peer
        self.other: VirtualConnection | None = None
        self._arrived: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._due_s = 0.0
        self.is_open = True

    async def async_send(self, data: bytes) -> None:
        self._network.deliver(self, data)

    def arrive(self, data: bytes | None) -> None:
        if self.is_open:
            self._arrived.put_nowait(data)

    async def __aiter__(self):
        while (data := await self._arrived.get()) is not None:
            yield data

    def deliver_after(self, delay_s: float, data: bytes | None) -> None:
        """Deliver a message, or None for the end, to the other side in order."""
        loop = asyncio.get_running_loop()
        self._due_s = max(self._due_s, loop.time() + delay_s)
        loop.call_at(self._due_s, self.other.arrive, data)

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.is_open:
            return
        if self._network.can_reach(self.own, self.peer):
            self.deliver_after(0.0, None)
        self._arrived.put_nowait(None)
        self.is_open = False


class VirtualTransport(PeerTransport):
    """The transport of one daemon on the simulated network."""

    def __init__(self, network: VirtualNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def async_listen(self, handler: ConnectionHandler) -> None:
        self._network.listening[self._address] = handler

    async def async_stop(self) -> None:
        self._network.listening.pop(self._address, None)

    async def async_dial(self, address: str, handler: ConnectionHandler) -> None:
        await asyncio.sleep(CROSS_DOMAIN_DELAY_S)
        self._network.dials[self._address] += 1
        if not self._network.can_reach(self._address, address):
            await asyncio.sleep(SETTINGS.peer_timeout_s)
            raise TimeoutError("timed out")
        accept = self._network.listening.get(address)
        if accept is None:
            raise ConnectionRefusedError("not listening")
        dialed, accepted = self._network.make_pair(self._address, address)
        task = asyncio.ensure_future(accept(accepted))
        self._network.tasks.add(task)
        task.add_done_callback(self._network.tasks.discard)
        try:
            await handler(dialed)
        finally:
            dialed.abort()


class VirtualNetwork:
    """Delivers messages between daemons, some of which may have failed or be cut off.

    ``sent_bytes`` and ``sent`` count by sender, ``remote_bytes`` counts the traffic
    between failure domains.
    """

    def __init__(self, domain_of) -> None:
        self._domain_of = domain_of
        self.listening: dict[str, ConnectionHandler] = {}
        self.tasks: set[asyncio.Task] = set()
        self.dead: set[str] = set()
        self.partitioned: set[str] = set()
        """Daemons that can reach each other but none of the others."""
        self.dials = Counter()
        self.reset_counts()

    def reset_counts(self) -> None:
        self.sent = Counter()
        self.sent_bytes = Counter()
        self.remote_bytes = 0

    def can_reach(self, one: str, other: str) -> bool:
        if one in self.dead or other in self.dead:
            return False
        return (one in self.partitioned) == (other in self.partitioned)

    def make_pair(self, dialer: str, listener: str):
        dialed = VirtualConnection(self, dialer, listener)
        accepted = VirtualConnection(self, listener, dialer)
        dialed.other, accepted.other = accepted, dialed
        return dialed, accepted

    def deliver(self, sender: VirtualConnection, data: bytes) -> None:
        self.sent[sender.own] += 1
        self.sent_bytes[sender.own] += len(data)
        is_remote = self._domain_of(sender.own) != self._domain_of(sender.peer)
        self.remote_bytes += is_remote * len(data)
        if self.can_reach(sender.own, sender.peer):
            sender.deliver_after(
                CROSS_DOMAIN_DELAY_S if is_remote else LOCAL_DELAY_S, data
            )


class VirtualFleet:
    """Daemons in several failure domains, the first of each on large VMs."""

    def __init__(self, count: int, domains: int = 6, seed: int = 1) -> None:
        self.domains = domains
        self.names = [f"d{number:03}" for number in range(count)]
        self.network = VirtualNetwork(lambda address: self.domain(address[:4]))
        self.meshes: dict[str, Mesh] = {}
        self.received: dict[str, list[tuple[float, bytes]]] = {}
        self._rng = random.Random(seed)
        self._boots = 0

    def domain(self, name: str) -> str:
        return f"domain-{int(name[1:]) % self.domains}"

    async def async_start(self, names=None, state=MemberState.ALIVE) -> None:
        for name in names or self.names:
            self.meshes[name] = self._make_mesh(name, state)
            await self.meshes[name].start()

    def _make_mesh(self, name: str, state: MemberState) -> Mesh:
        loop = asyncio.get_running_loop()
        address = f"{name}:1"
        self.network.dead.discard(address)
        self._boots += 1
        is_large = int(name[1:]) < LARGE_VMS_PER_DOMAIN * self.domains
        daemon = SimpleNamespace(id=name, address=name, peer_port=1, peer_key="")
        core = SimpleNamespace(
            daemon=daemon,
            rng=random.Random(self._rng.random()),
            events=_NullEventLog(),
            metrics=Metrics(),
            clock=loop.time,
        )
        own = Member(
            DaemonId(name),
            Role.GATEWAY,
            name,
            self.domain(name),
            name,
            2,
            1,
            BootId(f"b{self._boots}"),
            self._boots,
            state,
            capacity=2.0 if is_large else 0.5,
        )
        transport = VirtualTransport(self.network, address)
        mesh = Mesh(core, SETTINGS, MemberTable(own), transport)
        self.received[name] = []
        directory = Directory(mesh.table, 1.0)

        def update_direct_links() -> None:
            serving = directory.serving()
            mesh.direct_peers = serving - {name} if name in serving else set()

        mesh.on_members_changed = update_direct_links
        mesh.on_broadcast = lambda message: self.received[name].append(
            (loop.time(), message.body)
        )
        return mesh

    async def async_kill(self, names) -> None:
        """Stop daemons abruptly, without notice to their peers."""
        for name in names:
            self.network.dead.add(f"{name}:1")
            self.network.listening.pop(f"{name}:1", None)
            mesh = self.meshes.pop(name)
            for link in list(mesh._links):
                link.connection.abort()
            await mesh.stop()

    def inaccurate_views(self) -> dict[str, int]:
        """Return the number of errors in each wrong view of the live daemons."""
        running = set(self.meshes)
        off_by = {}
        for name, mesh in self.meshes.items():
            rows = mesh.table.rows.values()
            live = {m.id for m in rows if m.state is MemberState.ALIVE}
            if live != running:
                off_by[name] = len(live ^ running)
        return off_by

    async def async_until_converged(self, limit_s: float) -> float:
        """Wait until all views match the running daemons; return how long it took."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while inaccurate := self.inaccurate_views():
            assert loop.time() - started_s < limit_s, inaccurate
            await asyncio.sleep(0.1)
        return loop.time() - started_s

    async def async_broadcast_receivers(
        self, origin: str, wait_s: float = 0.5
    ) -> set[str]:
        """Send a broadcast and return which running daemons receive it."""
        body = self._rng.randbytes(16)
        self.meshes[origin].broadcast(body, "test")
        await asyncio.sleep(wait_s)
        receivers = {
            name
            for name, received in self.received.items()
            if any(other == body for _, other in received)
        }
        return receivers & set(self.meshes)

    async def async_stop(self) -> None:
        await self.async_kill(list(self.meshes))
