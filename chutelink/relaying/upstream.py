"""HTTP client for endpoints that distinguishes unsent from failed requests."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from contextvars import ContextVar
from typing import Any

import aiohttp
import msgspec
from aiohttp.connector import AddrInfoType
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from ..const import HEADER_REQUEST_ID
from ..eligibility.model import NO_REQUIREMENTS, Requirements
from ..entry.endpoints import Endpoint
from ..exceptions import (
    ConnectionBroken,
    EndpointFailed,
    EndpointIneligible,
    EndpointUnreachable,
    GrantExpired,
    MemoryAwaited,
)
from ..ids import EndpointId
from ..memory import MemoryLease
from ..presence.check import PresenceCheck
from ..presence.inquiry import EndpointInquiry
from ..reachability.const import (
    HEADER_RELAY_RESULT,
    HEADER_RELAY_TICKET,
    HEADER_RELAY_UNFRAMED,
)
from ..reachability.relay_client import RelayClient
from ..reachability.ticket import RelayResult
from ..responses import (
    READ_BYTES,
    BoundedConnector,
    BoundedResponseHandler,
    ResponseTooLarge,
    async_read_body,
)
from ..settings import DEFAULT_MAX_ANSWER_BYTES
from ..silence.timeout import RECEIVE_DELAY_S
from ..tables.members import Member
from .call_progress import CallProgress
from .response_end import ResponseEndVerifier

CONNECT_TIMEOUT_S = 0.6
"""Endpoints are a few ms away; an unreachable one does not answer at all."""
KEEPALIVE_TIMEOUT_S = 4.0
"""Shorter than the endpoints' timeout, so that idle connections are closed here."""
RECEIVE_BUFFER_BYTES = 64 * 1024
HOP_BY_HOP_HEADERS = frozenset(
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
        HEADER_RELAY_TICKET.lower(),
        HEADER_RELAY_RESULT.lower(),
        HEADER_RELAY_UNFRAMED.lower(),
    }
)
"""Hop-by-hop headers, and those that the client library sets."""
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def _always() -> bool:
    return True


class _ConnectionTracker(msgspec.Struct):
    """Records whether a call opened a connection or reused a pooled one.

    ``progress``, ``may_send`` and ``send_left_s`` are those of the call.
    """

    progress: CallProgress
    is_new: bool = False
    may_send: Callable[[], bool] = _always
    send_left_s: Callable[[], float] | None = None


_CONNECTION_TRACKER: ContextVar[_ConnectionTracker | None] = ContextVar(
    "opening", default=None
)
"""The tracker of the current task's call, which the connector updates."""


@asynccontextmanager
async def _async_limit_connecting() -> AsyncIterator[None]:
    """Raise TimeoutError if a connection is not open in time.

    After a suspension of this process, the first timer is due before a connection that
    was opened during it is noticed.
    """
    loop = asyncio.get_running_loop()

    def expire() -> None:
        timeout.reschedule(loop.time() + RECEIVE_DELAY_S)

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(CONNECT_TIMEOUT_S, expire)
        try:
            yield
        finally:
            timer.cancel()


def _make_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket that receives little while its response is not read."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock


class _StrictConnector(BoundedConnector):
    """Connector that sends a call only while it may still be sent."""

    def __init__(self, *, is_pooled: bool) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            force_close=not is_pooled,
            socket_factory=_make_socket,
            **({"keepalive_timeout": KEEPALIVE_TIMEOUT_S} if is_pooled else {}),
        )

    async def connect(self, *args: Any, **options: Any) -> aiohttp.connector.Connection:
        """Return a connection, unless the call may not be sent any more.

        The request is written without a further wait. Connecting takes up to 0.6 s, in
        which an evacuation may begin, or the grant for a cold endpoint expire.
        """
        async with _async_limit_connecting():
            connection = await super().connect(*args, **options)
        tracker = _CONNECTION_TRACKER.get()
        if tracker is None:
            return connection
        if not tracker.may_send():
            connection.release()
            raise EndpointIneligible(
                "may get no more requests", step="endpoint.connect"
            )
        if tracker.send_left_s is not None and tracker.send_left_s() < 0:
            connection.release()
            raise GrantExpired("connecting took too long", step="endpoint.connect")
        tracker.progress.note_connected(is_reused=not tracker.is_new)
        return connection

    def make_handler(self) -> BoundedResponseHandler:
        """Return the handler of a new connection, and record that it is new."""
        tracker = _CONNECTION_TRACKER.get()
        if tracker is not None:
            tracker.is_new = True
        return super().make_handler()


class EndpointCall(msgspec.Struct, frozen=True):
    """A request to an endpoint; ``target`` is the raw path and query.

    ``is_repeatable`` allows the use of a pooled connection, which the endpoint may
    just have closed. ``may_send`` is asked right before the call is sent, directly or
    to a peer: whether the endpoint may still get it. ``send_left_s`` is called then as
    well and returns the time left in which the call may be sent; None if that is not
    limited. ``requirements`` also apply to the peers that relay the call.
    ``progress`` is updated while the call is sent. ``lease`` is the memory of the
    response's body, None if it isn't limited.
    """

    method: str
    target: str
    host: str
    headers: CIMultiDict[str]
    body: bytes
    is_repeatable: bool
    may_send: Callable[[], bool] = _always
    send_left_s: Callable[[], float] | None = None
    requirements: Requirements = NO_REQUIREMENTS
    progress: CallProgress = msgspec.field(default_factory=CallProgress)
    lease: MemoryLease | None = None

    def make_timeout_error(
        self, message: str, step: str, peer: EndpointId
    ) -> EndpointFailed:
        """Return the error of a call that was cancelled by a timeout."""
        error_type = EndpointFailed
        if self.lease is not None and self.lease.is_waiting:
            message, error_type = "no memory in time", MemoryAwaited
        error = error_type(message, step=step, peer=peer)
        error.is_sent = self.progress.is_sent
        return error


class BufferedResponse(msgspec.Struct, frozen=True):
    """A response that was read completely."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


class Upstream:
    """Connections to endpoints, and to the peers that relay calls to them.

    Pooled connections are used for repeatable calls; each other call opens its own.

    Parameters
    ----------
    presence : PresenceCheck
        Checks the process behind a response that ended with its connection.
    clock : callable
        Returns the time in seconds.
    max_answer_bytes : int, default=DEFAULT_MAX_ANSWER_BYTES
        Limit of a response's body, except for a stream's.
    """

    def __init__(
        self,
        presence: PresenceCheck,
        clock: Callable[[], float],
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self._pooled = _make_session(is_pooled=True)
        self._unpooled = _make_session(is_pooled=False)
        self.relays: RelayClient | None = None
        self.ends = ResponseEndVerifier(presence)
        self.inquiry = EndpointInquiry(presence, clock)

    async def async_close(self) -> None:
        """Close all connections."""
        self.inquiry.close()
        await self._pooled.close()
        await self._unpooled.close()

    @asynccontextmanager
    async def async_open(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call and yield the response once its headers have arrived.

        The call is relayed by a peer if this daemon can't reach the endpoint.

        Raises
        ------
        EndpointUnreachable
            The connection failed; nothing was sent.
        EndpointIneligible
            The endpoint may not get the call any more; nothing was sent.
        ConnectionBroken
            The call may have run.
        GrantExpired
            Nothing was sent.
        """
        async with AsyncExitStack() as stack:
            yield await self._async_enter(stack, endpoint, call)

    async def _async_enter(
        self, stack: AsyncExitStack, endpoint: Endpoint, call: EndpointCall
    ) -> aiohttp.ClientResponse:
        failure: EndpointUnreachable | None = None
        if self.relays is None or self.relays.is_direct(endpoint):
            try:
                return await stack.enter_async_context(
                    self.async_open_direct(endpoint, call)
                )
            except EndpointIneligible:
                raise
            except EndpointUnreachable as error:
                if self.relays is None:
                    raise
                failure = error
        homes = call.requirements.home_regions
        for peer in await self.relays.async_peers(endpoint, failure, homes):
            try:
                return await stack.enter_async_context(
                    self._async_open_relayed(endpoint, call, peer)
                )
            except EndpointIneligible:
                raise
            except EndpointUnreachable as error:
                self.relays.note_not_relayed(endpoint, peer, error)
                failure = failure or error
        raise failure or EndpointUnreachable(
            "no peer relays calls", step="endpoint.relay", peer=endpoint.record.id
        )

    def async_open_direct(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send a call over a connection to the endpoint; see ``async_open``."""
        record = endpoint.record
        return self._async_send(record.address, record.id, call)

    @asynccontextmanager
    async def _async_open_relayed(
        self, endpoint: Endpoint, call: EndpointCall, peer: Member
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call through a peer; see ``async_open``."""
        name = endpoint.record.id
        headers = CIMultiDict(call.headers)
        headers[HEADER_RELAY_TICKET] = self.relays.make_ticket(
            endpoint,
            peer,
            call.method,
            call.target,
            is_repeatable=call.is_repeatable,
            send_left_s=None if call.send_left_s is None else call.send_left_s(),
            home_regions=call.requirements.home_regions,
        )
        relayed = msgspec.structs.replace(call, headers=headers)
        address = f"{peer.address}:{peer.port}"
        async with self._async_send(address, name, relayed) as response:
            result = response.headers.get(HEADER_RELAY_RESULT)
            if result == RelayResult.NOT_SENT.value:
                raise EndpointUnreachable(
                    f"{peer.id} did not relay it", step="endpoint.relay", peer=name
                )
            if result != RelayResult.RELAYED.value:
                raise ConnectionBroken(
                    f"lost at {peer.id}", step="endpoint.relay", peer=name
                )
            request_id = call.headers.get(HEADER_REQUEST_ID, "")
            self.relays.note_relayed(endpoint, peer, request_id)
            yield response

    @asynccontextmanager
    async def _async_send(
        self, address: str, peer: EndpointId, call: EndpointCall
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        session = self._pooled if call.is_repeatable else self._unpooled
        headers = CIMultiDict(call.headers)
        headers["Host"] = call.host
        tracker = _ConnectionTracker(
            call.progress, may_send=call.may_send, send_left_s=call.send_left_s
        )
        _CONNECTION_TRACKER.set(tracker)
        try:
            async with session.request(
                call.method,
                URL(f"http://{address}{call.target}", encoded=True),
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_AUTO_HEADERS,
            ) as response:
                yield response
        except aiohttp.ClientConnectorError as error:
            unreachable = EndpointUnreachable(
                str(error), step="endpoint.connect", peer=peer
            )
            unreachable.is_refused = isinstance(error.os_error, ConnectionRefusedError)
            raise unreachable from error
        except ResponseTooLarge as error:
            raise EndpointFailed(
                str(error), step="endpoint.exchange", peer=peer
            ) from error
        except aiohttp.ServerTimeoutError as error:
            # Only connecting has a timeout; see the connector.
            raise EndpointUnreachable(
                str(error), step="endpoint.connect", peer=peer
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            message = str(error) or type(error).__name__
            broken = ConnectionBroken(message, step="endpoint.exchange", peer=peer)
            broken.is_new_connection = tracker.is_new
            raise broken from error
        except ConnectionBroken as error:
            # Raised by the code that reads the response.
            error.is_new_connection = tracker.is_new
            raise

    async def async_exchange(
        self, endpoint: Endpoint, call: EndpointCall, limit_s: float
    ) -> BufferedResponse:
        """Send a call and return the complete response.

        Raises
        ------
        EndpointUnreachable
            The connection failed; nothing was sent.
        EndpointFailed
            The call may have run; also raised on a timeout, whose ``is_sent`` says
            whether it may.
        GrantExpired
            Nothing was sent.
        """
        try:
            async with (
                asyncio.timeout(limit_s),
                self.async_open(endpoint, call) as response,
            ):
                body = await async_read_body(
                    response, self.max_answer_bytes, call.lease
                )
                await self.ends.async_verify(
                    endpoint, response, is_repeatable=call.is_repeatable
                )
                return BufferedResponse(response.status, response.headers, body)
        except TimeoutError as error:
            raise call.make_timeout_error(
                "no answer in time", "endpoint.exchange", endpoint.record.id
            ) from error


def _make_session(*, is_pooled: bool) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=_StrictConnector(is_pooled=is_pooled),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
        read_bufsize=READ_BYTES,
    )
    # Retries are decided by the relay; the library would retry some calls itself.
    session._retry_connection = False
    return session


def forwarded_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the end-to-end headers."""
    connection_options = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in connection_options
    )
