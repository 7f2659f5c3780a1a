"""Probes that check whether an endpoint has terminated after a broken connection."""

from __future__ import annotations

import asyncio
import socket
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
        """Return the result of a connection attempt to an address.

        An event loop that runs late may see the timeout before the result of an attempt
        that was made in time, so the loop runs once more before and after the wait.
        """
        attempt = asyncio.ensure_future(_async_connect(address))
        try:
            # The timeout starts once the attempt has.
            await asyncio.sleep(0)
            await asyncio.wait({attempt}, timeout=PROBE_TIMEOUT_S)
            await asyncio.sleep(0)
            if not attempt.done():
                return ProbeResult.SILENT
            attempt.result()
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, OverflowError, ValueError):
            # Includes invalid addresses: the state of the process is unknown.
            return ProbeResult.SILENT
        finally:
            attempt.cancel()
        return ProbeResult.ACCEPTED


async def _async_connect(address: str) -> None:
    """Open and close a connection."""
    host, _, port = address.rpartition(":")
    with socket.socket() as connection:
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
