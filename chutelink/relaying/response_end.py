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
from ..reachability.const import HEADER_RELAY_UNFRAMED
from ..responses import is_chunked
from .presence import Presence, PresenceCheck

FIRST_NON_SUCCESS_STATUS = 300
BODILESS_STATUSES = frozenset({204, 205})


class Framing(Enum):
    """What ends the body of a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection, or no body at all."""


def framing_of(headers: CIMultiDictProxy[str]) -> Framing:
    """Return what ends the body of an endpoint's response with these headers."""
    if HEADER_RELAY_UNFRAMED in headers:
        # The peer that relays it sends every response in chunks or with its length.
        return Framing.CONNECTION
    return _received_framing(headers)


def _received_framing(headers: CIMultiDictProxy[str]) -> Framing:
    if "Content-Length" in headers:
        return Framing.LENGTH
    return Framing.CHUNKS if is_chunked(headers) else Framing.CONNECTION


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the endpoint's response itself states where its body ends."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    return framing_of(response.headers) is not Framing.CONNECTION


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether only the end of the connection ends a received response."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return False
    return _received_framing(response.headers) is Framing.CONNECTION


class ResponseEndVerifier:
    """Checks that endpoints still run after they have ended a response.

    Parameters
    ----------
    presence : PresenceCheck
        Asks the process that has sent the response.
    """

    def __init__(self, presence: PresenceCheck) -> None:
        self._presence = presence

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
        presence = await self._presence.async_check(endpoint.record)
        if presence is not Presence.SAME:
            raise ConnectionBroken(
                f"ended without a length, then the process was {presence.value}",
                step="response.end",
                peer=endpoint.record.id,
            )
