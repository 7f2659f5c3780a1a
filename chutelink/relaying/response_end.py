"""Verifies that a response which ends with its connection is complete.

Without a length and without chunks, only the end of the connection ends a response. The
kernel ends the connections of a process that has crashed in the same way.
"""

from __future__ import annotations

import asyncio
from enum import Enum

import aiohttp
from multidict import CIMultiDictProxy

from ..entry.endpoints import Endpoint
from ..exceptions import ConnectionBroken, EndpointFailed
from ..presence.check import Presence, PresenceCheck
from ..reachability.const import HEADER_RELAY_UNFRAMED
from ..responses import is_chunked

FIRST_NON_SUCCESS_STATUS = 300
BODILESS_STATUSES = frozenset({204, 205})
RECHECK_INTERVAL_S = 0.1


class Framing(Enum):
    """What ends the body of a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection, or no body at all."""


class EndProof(Enum):
    """What showed that the last response of an endpoint was complete."""

    NONE = "none"
    """It wasn't complete, or no response was read to its end."""
    FRAMING = "framing"
    SAME_PROCESS = "same_process"
    """Its process responded after the end of the connection."""
    RESUMED = "resumed"
    """A resumption after its last event brought no further event."""
    TOKEN_LIMIT = "token_limit"
    """It has as many events as tokens were requested."""
    HISTORY = "history"
    """The end wasn't checked, but all recent ones that were checked are confirmed."""


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

    async def async_is_present(self, endpoint: Endpoint) -> bool:
        """Return whether the process of an endpoint responds."""
        return await self._presence.async_check(endpoint.record) is Presence.SAME

    async def async_verify(
        self,
        endpoint: Endpoint,
        response: aiohttp.ClientResponse,
        *,
        is_repeatable: bool,
    ) -> EndProof:
        """Verify that a success was not cut off by the end of the process.

        The peer that relays a response verifies it. A process that doesn't respond is
        asked again until the call's timeout if the call can't be repeated.

        Raises
        ------
        ConnectionBroken
            The process has ended; the response may be incomplete.
        EndpointFailed
            It is unknown whether the process has ended.
        """
        if response.status >= FIRST_NON_SUCCESS_STATUS or not ends_with_connection(
            response
        ):
            return EndProof.FRAMING
        presence = await self._presence.async_check(endpoint.record)
        while presence is Presence.UNKNOWN and not is_repeatable:
            await asyncio.sleep(RECHECK_INTERVAL_S)
            presence = await self._presence.async_check(endpoint.record)
        if presence is Presence.SAME:
            return EndProof.SAME_PROCESS
        error = EndpointFailed if presence is Presence.UNKNOWN else ConnectionBroken
        raise error(
            f"ended without a length, then the process was {presence.value}",
            step="response.end",
            peer=endpoint.record.id,
        )
