"""Find out whether an endpoint has ended, after a connection to it has broken."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from enum import Enum

PROBE_LIMIT_S = 0.25
"""Longest time to wait for a connection; endpoints are a few ms away.

One behind a cut link answers nothing, which proves nothing of the endpoint.
"""


class ProbeResult(Enum):
    """How an endpoint's address took a connection."""

    REFUSED = "refused"
    """Nothing listens there: the process has ended."""
    ACCEPTED = "accepted"
    """It lives, or another process is there already."""
    SILENT = "silent"
    """A cut link, a full queue or a VM without power."""


class EndingProbe(ABC):
    """Asks whether there is still a process at an endpoint's address."""

    @abstractmethod
    async def async_probe(self, address: str) -> ProbeResult:
        """Return how an address takes a connection now."""


class ConnectProbe(EndingProbe):
    """Opens a connection and closes it: a port without a listener refuses it."""

    async def async_probe(self, address: str) -> ProbeResult:
        """Return how an address takes a connection now."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_LIMIT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, TimeoutError, ValueError):
            # A bad address too: nothing is known of the process.
            return ProbeResult.SILENT
        writer.close()
        return ProbeResult.ACCEPTED
