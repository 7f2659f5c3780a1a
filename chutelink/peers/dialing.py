"""Opening of links to peers: one dial per address at a time, with a retry delay."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from ..core import Application
from ..settings import PeersSection
from ..steps import contain_errors
from .transport import ConnectionHandler, PeerConnection, PeerTransport

REDIAL_DELAY_S = 2.0
"""Longest delay before an address is dialled again; it varies at random."""
SEED_DIALS = 3


class Dialer:
    """Dials peers and seeds and remembers which addresses were unreachable.

    Parameters
    ----------
    core : Application
        The owning application.
    settings : PeersSection
        The configured seeds.
    own_address : str
        This daemon's own address, which is never dialled.
    transport : PeerTransport
        Opens connections.
    async_run : callable
        Handles a connection until it ends.
    """

    def __init__(
        self,
        core: Application,
        settings: PeersSection,
        own_address: str,
        transport: PeerTransport,
        async_run: ConnectionHandler,
    ) -> None:
        self._core = core
        self._settings = settings
        self._own_address = own_address
        self._transport = transport
        self._async_run = async_run
        self._seeds: set[str] = set(settings.seeds)
        self._dialing: dict[str, asyncio.Task] = {}
        self._retry_s: dict[str, float] = {}
        self._unreachable: set[str] = set()

    def set_seeds(self, addresses: set[str]) -> None:
        """Set the seeds from the VM list, in addition to the configured ones."""
        self._seeds = set(self._settings.seeds) | addresses

    @property
    def has_seeds(self) -> bool:
        """Whether other daemons are known, reachable or not."""
        return bool(self._seeds - {self._own_address})

    def is_reachable(self, address: str) -> bool:
        """Return False if the last dial of an address failed, True otherwise."""
        return address not in self._unreachable

    def forget_failure(self, address: str) -> None:
        """Treat an address as reachable, so that it can be dialled without delay."""
        if address in self._unreachable:
            self._unreachable.discard(address)
            self._retry_s.pop(address, None)

    def pick_seeds(self, known: Collection[str], *, is_linked: bool) -> set[str]:
        """Return the seeds to dial, from those that are not known members.

        These are ``SEED_DIALS`` random ones while there is no link, otherwise one. The
        other members are learned from the peer that answers. If every daemon dialled
        all seeds, the dials at the start of a fleet would grow with the square of its
        size.
        """
        missing = sorted(self._seeds.difference(known, {self._own_address}))
        if not missing:
            return set()
        count = 1 if is_linked else SEED_DIALS
        return set(self._core.rng.sample(missing, min(count, len(missing))))

    def dial(self, addresses: set[str], now_s: float) -> None:
        """Dial addresses, except those being dialled or within their retry delay."""
        for address in addresses - {self._own_address}:
            if address in self._dialing or now_s < self._retry_s.get(address, 0.0):
                continue
            self._dialing[address] = asyncio.ensure_future(self._async_dial(address))

    def cancel(self) -> None:
        """Cancel all dials and close the links that they opened."""
        for task in self._dialing.values():
            task.cancel()

    def _make_connection_handler(self, address: str) -> ConnectionHandler:
        async def async_handle(connection: PeerConnection) -> None:
            self._unreachable.discard(address)
            await self._async_run(connection)

        return async_handle

    async def _async_dial(self, address: str) -> None:
        try:
            with contain_errors(self._core.events, "peers.dial", address):
                await self._async_connect(address)
        finally:
            delay_s = REDIAL_DELAY_S * self._core.rng.uniform(0.5, 1.0)
            self._retry_s[address] = self._core.clock() + delay_s
            self._dialing.pop(address, None)

    async def _async_connect(self, address: str) -> None:
        """Open a link, and return once it has ended or could not be opened."""
        try:
            await self._transport.async_dial(
                address, self._make_connection_handler(address)
            )
        except OSError as error:
            self._unreachable.add(address)
            self._core.events.debug("peer_dial_failed", peer=address, error=error)
