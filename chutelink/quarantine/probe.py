"""Probes that check whether an endpoint has terminated after a broken connection."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from enum import Enum

PROBE_TIMEOUT_S = 0.25
"""Timeout of a connection attempt; endpoints are a few ms away.

An endpoint behind a broken network link doesn't answer either, so a timeout is no
evidence that the endpoint has terminated.
"""


class ProbeResult(Enum):
    """Result of a connection attempt to an endpoint's address."""

    REFUSED = "refused"
    """Nothing listens on the port: the process has terminated."""
    ACCEPTED = "accepted"
    """The process is alive, or another process has replaced it already."""
    SILENT = "silent"
    """No answer: a broken link, a full accept queue or a VM without power."""


class EndingProbe(ABC):
    """Checks whether a process still listens at an endpoint's address."""

    @abstractmethod
    async def async_probe(self, address: str) -> ProbeResult:
        """Return the result of a connection attempt to an address."""


class ConnectProbe(EndingProbe):
    """Opens and closes a connection, which a port without a listener refuses."""

    async def async_probe(self, address: str) -> ProbeResult:
        """Return the result of a connection attempt to an address."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, TimeoutError, ValueError):
            # Includes invalid addresses: the state of the process is unknown.
            return ProbeResult.SILENT
        writer.close()
        return ProbeResult.ACCEPTED
