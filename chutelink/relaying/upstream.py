"""Send requests to endpoints, and tell what became of each."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextvars import ContextVar

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from ..entry.endpoints import Endpoint
from ..exceptions import ConnectionBroken, EndpointFailed, EndpointUnreachable

CONNECT_TIMEOUT_S = 0.6
"""Endpoints are a few ms away; one that is cut off does not answer at all."""
KEEPALIVE_S = 4.0
"""Idle connections are closed before endpoints close them."""
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection only, or that the client library sets."""
NO_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _Opening(msgspec.Struct):
    """Whether a call opened a connection, instead of using a kept one."""

    is_new: bool = False


_OPENING: ContextVar[_Opening | None] = ContextVar("opening", default=None)
"""What the connector notes for the call of the task that it runs in."""


class _StrictResponseHandler(ResponseHandler):
    """Treats a body that ends with a reset as broken off.

    The library takes a body without a length for whole whichever way its
    connection ends.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body before the parser may take it for complete."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)


class _StrictConnector(aiohttp.TCPConnector):
    """Connects with the strict handler."""

    def __init__(self, *, is_pooled: bool) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            use_dns_cache=False,
            force_close=not is_pooled,
            **({"keepalive_timeout": KEEPALIVE_S} if is_pooled else {}),
        )
        self._factory = self._make_handler

    def _make_handler(self) -> _StrictResponseHandler:
        """Return the handler of a new connection, and note that there is one."""
        opening = _OPENING.get()
        if opening is not None:
            opening.is_new = True
        return _StrictResponseHandler(loop=self._loop)


class EndpointCall(msgspec.Struct, frozen=True):
    """A request as it goes to an endpoint; ``target`` is the raw path and query.

    ``is_repeatable`` says that a kept connection may be used, which the endpoint
    may just have closed.
    """

    method: str
    target: str
    host: str
    headers: CIMultiDict[str]
    body: bytes
    is_repeatable: bool


class WholeResponse(msgspec.Struct, frozen=True):
    """An answer that was read to its end."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


class Upstream:
    """Connections to endpoints.

    Kept ones are for calls that may be repeated; any other gets its own.
    """

    def __init__(self) -> None:
        self._pooled = _make_session(is_pooled=True)
        self._single = _make_session(is_pooled=False)

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._single.close()

    @asynccontextmanager
    async def async_open(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call and yield the answer once its headers are there.

        Raises
        ------
        EndpointUnreachable
            Nothing was sent.
        ConnectionBroken
            The call may have been run.
        """
        session = self._pooled if call.is_repeatable else self._single
        headers = CIMultiDict(call.headers)
        headers["Host"] = call.host
        peer = endpoint.record.id
        opening = _Opening()
        _OPENING.set(opening)
        try:
            async with session.request(
                call.method,
                URL(f"http://{endpoint.record.address}{call.target}", encoded=True),
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
                skip_auto_headers=NO_AUTO_HEADERS,
            ) as response:
                yield response
        except aiohttp.ClientConnectorError as error:
            raise EndpointUnreachable(
                str(error), step="endpoint.connect", peer=peer
            ) from error
        except aiohttp.ServerTimeoutError as error:
            # Only connecting has a limit of its own.
            raise EndpointUnreachable(
                str(error), step="endpoint.connect", peer=peer
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            message = str(error) or type(error).__name__
            broken = ConnectionBroken(message, step="endpoint.exchange", peer=peer)
            broken.is_new_connection = opening.is_new
            raise broken from error
        except ConnectionBroken as error:
            # Of whoever reads the answer.
            error.is_new_connection = opening.is_new
            raise

    async def async_exchange(
        self, endpoint: Endpoint, call: EndpointCall, limit_s: float
    ) -> WholeResponse:
        """Send a call and return the whole answer.

        Raises
        ------
        EndpointUnreachable
            Nothing was sent.
        EndpointFailed
            It may have been run; also when the time is over.
        """
        try:
            async with (
                asyncio.timeout(limit_s),
                self.async_open(endpoint, call) as response,
            ):
                body = await response.read()
                return WholeResponse(response.status, response.headers, body)
        except TimeoutError as error:
            raise EndpointFailed(
                "no answer in time", step="endpoint.exchange", peer=endpoint.record.id
            ) from error


def _make_session(*, is_pooled: bool) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=_StrictConnector(is_pooled=is_pooled),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
    )
    # The library would send some calls again by itself; the relay decides that.
    session._retry_connection = False
    return session


def forwarded_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers that concern more than one connection."""
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS and name.lower() not in named
    )
