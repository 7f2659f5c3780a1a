"""A deployment in which a daemon can be cut off from others and from the store."""

from __future__ import annotations

import re
import sys
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from chutelink.placing.lease_row import KEY_LEASE
from standins.prepared_endpoint import EndpointStandin

from .blackhole_proxy import BlackholeProxy
from .deployment import CONNECTION_ERRORS
from .entry_deployment import CONTROL_PORT, STORE_PORT
from .platform_in_loop import PlatformInLoop

FIRST_STORE_PROXY = 30
FIRST_PEER_PROXY = 50
"""Last parts of the proxies' addresses; each daemon has some for up to ten peers."""
PEER_PROXIES = 10
HOLDER = 0
"""The daemon that places models."""
READER = 1
"""The daemon that reads the store for all others."""


class SeverableDeployment(PlatformInLoop):
    """Daemons that reach each other and the store only through proxies.

    Parameters
    ----------
    directory : Path
        Directory of the settings and logs.
    daemons : int
        Number of daemons.
    """

    def __init__(self, directory: Path, daemons: int) -> None:
        super().__init__(directory)
        self.daemons = daemons
        self._store_proxies = {
            number: BlackholeProxy(
                self.store_host_of(number), STORE_PORT, f"{self.subnet}.1"
            )
            for number in range(daemons)
        }
        self._peer_proxies = {
            (number, peer): BlackholeProxy(
                self._peer_proxy_host(number, peer), CONTROL_PORT, self.address(peer)
            )
            for number in range(daemons)
            for peer in range(daemons)
            if peer != number
        }

    def store_host_of(self, number: int) -> str:
        """Return the host of a daemon's own proxy in front of the store."""
        return f"{self.subnet}.{FIRST_STORE_PROXY + number}"

    def _peer_proxy_host(self, number: int, peer: int) -> str:
        return f"{self.subnet}.{FIRST_PEER_PROXY + PEER_PROXIES * number + peer}"

    def daemon_program(self, number: int) -> list[str]:
        """Return the program of a daemon that dials its peers through proxies."""
        proxies = [
            f"{self.address(peer)}={self._peer_proxy_host(number, peer)}"
            for peer in range(self.daemons)
            if peer != number
        ]
        module = "tests.processes.proxied_daemon"
        return [sys.executable, "-m", module, ",".join(proxies)]

    async def async_start_fleet(self) -> None:
        """Start the proxies, then the daemons with their roles."""
        for proxy in (*self._store_proxies.values(), *self._peer_proxies.values()):
            await proxy.async_start()
        # Of the live daemons, that with most capacity reads the store. The first one
        # that runs gets the lease, and keeps it.
        self.cpu_shares = {n: 0.5 for n in range(self.daemons) if n != READER}
        self.start_daemon(HOLDER)
        await self.async_until(self._async_has_holder)
        for number in range(self.daemons):
            if number != HOLDER:
                self.start_daemon(number)
        await self.async_until_all_listed(list(range(self.daemons)))
        await self.async_until_linked()

    async def _async_has_holder(self) -> bool:
        return tuple(KEY_LEASE.split("/")) in self.machines.store.rows

    async def async_until_linked(self) -> None:
        """Wait until each daemon has a link to all others."""
        await self.async_until(self._async_is_linked)

    async def _async_is_linked(self) -> bool:
        try:
            links = [await self._async_links(n) for n in range(self.daemons)]
        except CONNECTION_ERRORS:
            return False
        return all(count >= self.daemons - 1 for count in links)

    async def _async_links(self, number: int) -> int:
        _, body = await self.async_get(f"http://{self.address(number)}:9464/metrics")
        found = re.search(rb"^\S*peer_links(?:{})? (\d+)", body, re.MULTILINE)
        return int(found[1]) if found else 0

    def cut(self, daemon: int, peers: Iterable[int], *, store: bool) -> None:
        """Cut a daemon off from some peers, and from the store if ``store`` is set."""
        for proxy in self._proxies_of(daemon, peers, store=store):
            proxy.cut()

    def heal(
        self,
        daemon: int,
        peers: Iterable[int],
        *,
        store: bool,
        loses_held: bool = False,
    ) -> None:
        """Connect a daemon again; connections end if they lose what was held."""
        for proxy in self._proxies_of(daemon, peers, store=store):
            proxy.heal(loses_held=loses_held)

    def _proxies_of(
        self, daemon: int, peers: Iterable[int], *, store: bool
    ) -> list[BlackholeProxy]:
        links = [link for peer in peers for link in ((daemon, peer), (peer, daemon))]
        proxies = [self._peer_proxies[link] for link in links]
        return [*proxies, self._store_proxies[daemon]] if store else proxies

    async def async_close(self) -> None:
        """Stop the daemons, then the proxies and the platform."""
        await super().async_close()
        for proxy in (*self._store_proxies.values(), *self._peer_proxies.values()):
            await proxy.async_close()


@asynccontextmanager
async def async_severable_deployment(
    directory: Path, endpoints: list[EndpointStandin], daemons: int = 3
) -> AsyncIterator[SeverableDeployment]:
    """Run daemons that can be cut off, against a platform in this event loop."""
    deployment = SeverableDeployment(directory, daemons)
    deployment.session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=0)
    )
    try:
        await deployment.async_start_platform(endpoints)
        await deployment.async_start_fleet()
        yield deployment
    finally:
        await deployment.async_close()
