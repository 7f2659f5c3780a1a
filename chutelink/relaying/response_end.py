"""Verifies that a response which ends with its connection is complete.

Without a length and without chunks, only the end of the connection ends a response. The
kernel ends the connections of a process that has crashed in the same way.
"""

from __future__ import annotations

from enum import Enum

import aiohttp
from multidict import CIMultiDictProxy

from ..entry.endpoints import Endpoint
from ..exceptions import ConnectionBroken
from ..quarantine.probe import EndingProbe, ProbeResult
from ..reachability.const import HEADER_RELAY_UNFRAMED

FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
FIRST_NON_SUCCESS_STATUS = 300
BODILESS_STATUSES = frozenset({204, 205})


class Framing(Enum):
    """What ends the body of a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection, or no body at all."""


def framing_of(headers: CIMultiDictProxy[str]) -> Framing:
    """Return what ends the body of a response with these headers."""
    if HEADER_RELAY_UNFRAMED in headers:
        return Framing.CONNECTION
    if "Content-Length" in headers:
        return Framing.LENGTH
    if "Transfer-Encoding" in headers:
        return Framing.CHUNKS
    return Framing.CONNECTION


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the endpoint's response itself states where its body ends.

    A peer relays every response in chunks or with its length.
    """
    if HEADER_RELAY_UNFRAMED in response.headers:
        return False
    return not ends_with_connection(response)


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether only the end of the connection ends a received response."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return False
    return FRAMING_HEADERS.isdisjoint(map(str.lower, response.headers))


class ResponseEndVerifier:
    """Checks that endpoints still run after they have ended a response.

    Parameters
    ----------
    probe : EndingProbe
        Opens a connection to the endpoint.
    """

    def __init__(self, probe: EndingProbe) -> None:
        self._probe = probe

    async def async_verify(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse
    ) -> None:
        """Verify that a success was not cut off by the end of the process.

        A process that can't be reached counts as ended, as the response may be
        incomplete. The peer that relays a response verifies it.

        Raises
        ------
        ConnectionBroken
            The response may be incomplete.
        """
        if response.status >= FIRST_NON_SUCCESS_STATUS or not ends_with_connection(
            response
        ):
            return
        result = await self._probe.async_probe(endpoint.record.address)
        if result is not ProbeResult.ACCEPTED:
            raise ConnectionBroken(
                f"ended without a length, then the endpoint was {result.value}",
                step="response.end",
                peer=endpoint.record.id,
            )
