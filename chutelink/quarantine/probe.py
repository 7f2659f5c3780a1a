"""Find out whether an endpoint has ended, after a connection to it has broken."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

PROBE_LIMIT_S = 0.25
"""Longest time to wait for a connection; endpoints are a few ms away.

One behind a cut link answers nothing, which proves nothing of the endpoint.
"""


class EndingProbe(ABC):
    """Asks whether there is still a process at an endpoint's address."""

    @abstractmethod
    async def async_is_refused(self, address: str) -> bool:
        """Return whether nothing listens at an address, True only if that is sure."""


class ConnectProbe(EndingProbe):
    """Opens a connection and closes it: a port without a listener refuses it."""

    async def async_is_refused(self, address: str) -> bool:
        """Return whether a connection was refused."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_LIMIT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError, ValueError):
            # A cut link, a full queue or a bad address: nothing is known.
            return False
        writer.close()
        return False
