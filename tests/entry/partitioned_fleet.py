"""Entry daemons in one event loop that can be partitioned from the endpoints.

Each daemon runs in a context of its own, so that the loop can tell whose connections it
opens.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from contextvars import ContextVar
from enum import Enum
from pathlib import Path

import aiohttp

from chutelink.entry.app import EntryApp
from chutelink.platform.adapter import PreparedMachinesAdapter
from chutelink.settings import EntrySettings, load_settings
from standins.prepared_endpoint import EndpointStandin

from ..processes.platform_in_loop import PlatformInLoop

MODELS = ({"m0": [], "m1": []}, {"m2": [], "m3": []})
_DAEMON: ContextVar[int | None] = ContextVar("daemon", default=None)


class PartitionKind(Enum):
    """What happens to the connections between a daemon and the endpoints."""

    RESET = "reset"
    """Open connections end, and new ones are refused."""
    HANG = "hang"
    """Nothing arrives on open connections, and new ones are not established."""
    REFUSE_NEW = "refuse_new"
    """Open connections work on, and new ones are refused."""


class PartitionLoop(asyncio.SelectorEventLoop):
    """Event loop that partitions daemons from addresses."""

    def __init__(self) -> None:
        super().__init__()
        self.endpoint_ports: set[int] = set()
        self.partitions: dict[int, PartitionKind] = {}
        self._connections: list[tuple[int, socket.socket]] = []

    async def sock_connect(self, sock: socket.socket, address: tuple) -> None:
        """Connect, unless the daemon is partitioned from the address."""
        daemon = _DAEMON.get()
        if daemon is None or address[1] not in self.endpoint_ports:
            return await super().sock_connect(sock, address)
        kind = self.partitions.get(daemon)
        if kind is PartitionKind.HANG:
            await asyncio.sleep(3600)
        if kind is not None:
            raise ConnectionRefusedError(111, "partitioned")
        await super().sock_connect(sock, address)
        self._connections.append((daemon, sock))
        return None

    def open_connections(self, daemon: int) -> list[socket.socket]:
        """Return the open connections of a daemon to endpoints."""
        self._connections = [c for c in self._connections if c[1].fileno() >= 0]
        return [sock for owner, sock in self._connections if owner == daemon]

    def pause_receiving(self, sock: socket.socket) -> None:
        """Receive nothing more on a connection."""
        self._remove_reader(sock.fileno())


class PartitionedFleet(PlatformInLoop):
    """A store with endpoints, and daemons that run in this event loop."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.loop: PartitionLoop = asyncio.get_running_loop()
        self.apps: dict[int, EntryApp] = {}

    async def async_start_store(self) -> None:
        """Start the store and the endpoints."""
        endpoints = [
            endpoint
            for number, models in enumerate(MODELS)
            for endpoint in (
                EndpointStandin(f"i-llm{number}", "llm", models, 0.1),
                EndpointStandin(f"i-plain{number}", "plain", {}, 0.1),
            )
        ]
        await self.async_start_platform(endpoints)

    async def async_add(self, endpoint: EndpointStandin) -> None:
        """Start an endpoint."""
        await super().async_add(endpoint)
        self.loop.endpoint_ports.add(int(endpoint.address.rpartition(":")[2]))

    async def async_start_app(self, number: int) -> None:
        """Start a daemon in its own context."""
        settings = load_settings(self.write_settings(number), EntrySettings)

        async def async_start() -> None:
            _DAEMON.set(number)
            self.apps[number] = EntryApp(settings, PreparedMachinesAdapter())
            await self.apps[number].start()

        await asyncio.ensure_future(async_start())

    def placer(self) -> int | None:
        """Return the daemon that holds the placer lease."""
        held = [n for n, app in self.apps.items() if app.lease and app.lease.is_held]
        return held[0] if held else None

    def partition(self, daemon: int, kind: PartitionKind) -> None:
        """Partition a daemon from all endpoints."""
        self.loop.partitions[daemon] = kind
        for sock in self.loop.open_connections(daemon):
            if kind is PartitionKind.RESET:
                with contextlib.suppress(OSError):
                    # The endpoint may have closed the connection already.
                    sock.shutdown(socket.SHUT_RDWR)
            elif kind is PartitionKind.HANG:
                self._blackhole(sock)

    def _blackhole(self, sock: socket.socket) -> None:
        """Let nothing more arrive on either side of a connection."""
        self.loop.pause_receiving(sock)
        local = sock.getsockname()
        for server in self.machines._handlers.values():
            for handler in server.connections:
                transport = handler.transport
                if transport and transport.get_extra_info("peername") == local:
                    transport.pause_reading()

    def heal(self, daemon: int) -> None:
        """End the partition of a daemon."""
        del self.loop.partitions[daemon]

    async def async_close(self) -> None:
        """Stop the daemons, the endpoints and the store."""
        await asyncio.gather(*(app.stop() for app in self.apps.values()))
        await super().async_close()


@asynccontextmanager
async def async_partitioned_fleet(
    directory: Path,
    daemons: int = 3,
    regions: dict[str, str] | None = None,
    domains: dict[int, str] | None = None,
) -> AsyncIterator[PartitionedFleet]:
    """Run a fleet whose daemons list each other, and that has a placer."""
    fleet = PartitionedFleet(directory)
    fleet.regions, fleet.domains = regions or {}, domains or {}
    fleet.session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True)
    )
    try:
        await fleet.async_start_store()
        for number in range(daemons):
            await fleet.async_start_app(number)
        await fleet.async_until_all_listed(list(range(daemons)))

        async def async_has_placer() -> bool:
            return fleet.placer() is not None

        await fleet.async_until(async_has_placer)
        yield fleet
    finally:
        await fleet.async_close()


def run_in_partition_loop(async_test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in an event loop that can partition daemons."""
    with asyncio.Runner(loop_factory=PartitionLoop) as runner:
        runner.run(async_test())
