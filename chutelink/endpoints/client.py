"""Client for endpoints; errors tell whether a request may have been run."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import aiohttp
import msgspec
from multidict import CIMultiDictProxy

from ..const import HEADER_ORDER_KEY, HEADER_REQUEST_ID, MAX_HEADER_BYTES
from ..decoding import decode_json
from ..exceptions import EndpointFailed, EndpointRefused, EndpointUnreachable
from ..fleet.model import EndpointKind, EndpointSpec
from ..memory import MemoryBudget
from ..responses import (
    EVENTS_PER_ITERATION,
    MAX_CONTROL_BYTES,
    BoundedConnector,
    async_read_body,
    is_chunked,
)
from ..settings import EndpointsSection
from ..tables.endpoints import EndpointReport
from .messages import (
    HEADER_NOT_RUN,
    PATH_HEALTH,
    PATH_ORDERS,
    PATH_REPORT,
    Order,
    OrderAnswer,
)

MAX_EVENT_BYTES: Final = 1_000_000
EVENT_SEPARATOR: Final = b"\n\n"
_NOT_RUN_STATUS: Final = 503
_TRANSPORT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError)


class EndpointResponse(msgspec.Struct, frozen=True):
    """A complete response of an endpoint."""

    status: int
    headers: CIMultiDictProxy
    body: bytes

    @property
    def content_type(self) -> str:
        """Content type of the body."""
        return self.headers.get("Content-Type", "application/octet-stream")


class EndpointRequest(msgspec.Struct, frozen=True):
    """A request to an endpoint.

    ``timeout_s`` limits the time without received data, and in `async_exchange` also
    the time to read the whole body. ``is_repeatable`` means that the request can
    safely be run more than once.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes | None
    timeout_s: float
    is_repeatable: bool


class EndpointClient:
    """Client for engines and plain services.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Used for calls that may be repeated.
    settings : EndpointsSection
        Timeouts and the order key.
    """

    def __init__(
        self, session: aiohttp.ClientSession, settings: EndpointsSection
    ) -> None:
        self._session = session
        self._settings = settings
        self.response_memory: MemoryBudget | None = None
        """Memory of responses being read, None if only each of them is limited."""
        # If the endpoint closes a pooled connection while a call is sent on it, it
        # is unknown whether the call was run. Calls that must not be repeated
        # therefore open a new connection.
        self._unpooled_session = aiohttp.ClientSession(
            connector=BoundedConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=None),
            max_field_size=MAX_HEADER_BYTES,
        )
        self._report_decoder = msgspec.json.Decoder(EndpointReport)

    async def async_close(self) -> None:
        """Close the session for calls that must not be repeated."""
        await self._unpooled_session.close()

    @asynccontextmanager
    async def async_open(
        self, spec: EndpointSpec, request: EndpointRequest
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and check that the response belongs to it.

        Raises
        ------
        EndpointUnreachable
            No data was sent.
        EndpointRefused
            The endpoint reported that it did not run the request.
        EndpointFailed
            The request may have been run.
        """
        response = await self._async_send(spec, request)
        try:
            _check_response(response, request.headers[HEADER_REQUEST_ID], spec)
            yield response
        finally:
            # The connection returns to the pool only if the body was fully read.
            response.close()

    async def _async_send(
        self, spec: EndpointSpec, request: EndpointRequest
    ) -> aiohttp.ClientResponse:
        """Send a request and return the response once its headers have arrived."""
        session = self._session if request.is_repeatable else self._unpooled_session
        step = "endpoint.send"
        try:
            return await session.request(
                request.method,
                spec.url + request.path,
                headers=request.headers,
                data=request.body,
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=self._settings.connect_timeout_s,
                    sock_read=request.timeout_s,
                ),
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise EndpointUnreachable(str(error), step=step, peer=spec.name) from error
        except _TRANSPORT_ERRORS as error:
            raise _make_error(error, step, spec) from error

    async def async_exchange(
        self, spec: EndpointSpec, request: EndpointRequest
    ) -> EndpointResponse:
        """Send a request and return the complete response.

        Raises
        ------
        EndpointUnreachable, EndpointRefused, EndpointFailed
            As in `async_open`.
        """
        memory = self.response_memory
        lease = None if memory is None else memory.open(spec.name)
        try:
            async with self.async_open(spec, request) as response:
                content = await asyncio.wait_for(
                    async_read_body(response, self._settings.max_answer_bytes, lease),
                    request.timeout_s,
                )
                return EndpointResponse(response.status, response.headers, content)
        except _TRANSPORT_ERRORS as error:
            raise _make_error(error, "endpoint.read", spec) from error
        finally:
            if lease is not None:
                lease.close()

    async def async_report(self, spec: EndpointSpec) -> tuple[EndpointReport, int]:
        """Return an engine's report and the number of bytes transferred for it."""
        content, wire_bytes = await self._async_get(spec, PATH_REPORT)
        try:
            return self._report_decoder.decode(content), wire_bytes
        except msgspec.MsgspecError as error:
            raise EndpointFailed(
                str(error), step="endpoint.report", peer=spec.name
            ) from error

    async def async_check_health(self, spec: EndpointSpec) -> int:
        """Check that a plain service is healthy; return its response size in bytes."""
        _, wire_bytes = await self._async_get(spec, PATH_HEALTH)
        return wire_bytes

    async def async_order(
        self, spec: EndpointSpec, order: Order, timeout_s: float
    ) -> OrderAnswer:
        """Send an order to an engine and return the response.

        Raises
        ------
        EndpointUnreachable
            The order was not sent.
        EndpointFailed
            The order may take effect, now or later.
        """
        step = "endpoint.order"
        try:
            async with self._session.post(
                spec.url + PATH_ORDERS,
                data=msgspec.json.encode(order),
                headers={HEADER_ORDER_KEY: self._settings.order_key},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                content = await async_read_body(response, MAX_CONTROL_BYTES)
                if response.status != 200:
                    message = f"status {response.status}"
                    raise EndpointFailed(message, step=step, peer=spec.name)
                return decode_json(content, OrderAnswer)
        except aiohttp.ClientConnectorError as error:
            raise EndpointUnreachable(str(error), step=step, peer=spec.name) from error
        except (*_TRANSPORT_ERRORS, msgspec.MsgspecError) as error:
            raise _make_error(error, step, spec) from error

    async def _async_get(self, spec: EndpointSpec, path: str) -> tuple[bytes, int]:
        """Return a body, and its size as transferred, which may be compressed."""
        step = "endpoint.report"
        timeout = aiohttp.ClientTimeout(total=self._settings.report_timeout_s)
        try:
            async with self._session.get(
                spec.url + path, timeout=timeout, allow_redirects=False
            ) as response:
                content = await async_read_body(response, MAX_CONTROL_BYTES)
        except _TRANSPORT_ERRORS as error:
            raise _make_error(error, step, spec) from error
        if response.status != 200:
            message = f"status {response.status}"
            raise EndpointFailed(message, step=step, peer=spec.name)
        return content, response.content_length or len(content)


def _make_error(error: Exception, step: str, spec: EndpointSpec) -> EndpointFailed:
    message = str(error) or type(error).__name__
    return EndpointFailed(message, step=step, peer=spec.name)


def _check_response(
    response: aiohttp.ClientResponse, request_id: str, spec: EndpointSpec
) -> None:
    """Check that a response belongs to the request and has a defined length."""
    step = "endpoint.answer"
    response_id = response.headers.get(HEADER_REQUEST_ID, "")
    if response_id != request_id and (response_id or response.status < 400):
        raise EndpointFailed(
            "response belongs to another request", step=step, peer=spec.name
        )
    is_not_run = HEADER_NOT_RUN in response.headers
    if response.status == _NOT_RUN_STATUS and is_not_run:
        raise EndpointRefused(
            "endpoint did not run the request", step=step, peer=spec.name
        )
    has_end = "Content-Length" in response.headers or is_chunked(response.headers)
    if not has_end and response.status not in (204, 304):
        raise EndpointFailed(
            "response without length or chunked encoding", step=step, peer=spec.name
        )


async def async_iter_events(
    response: aiohttp.ClientResponse, spec: EndpointSpec
) -> AsyncIterator[bytes]:
    """Yield complete server-sent events, each with its trailing blank line.

    Raises
    ------
    EndpointFailed
        The stream ended within an event, or an event is too large.
    """
    step = "endpoint.stream"
    buffer = b""
    searched = 0
    events = 0
    try:
        async for chunk in response.content.iter_any():
            buffer += chunk
            start = 0
            while (end := buffer.find(EVENT_SEPARATOR, searched)) >= 0:
                end += len(EVENT_SEPARATOR)
                yield buffer[start:end]
                start = searched = end
                events += 1
                if events % EVENTS_PER_ITERATION == 0:
                    # A write that doesn't wait lets no other task run.
                    await asyncio.sleep(0)
            buffer = buffer[start:]
            searched = max(0, len(buffer) - len(EVENT_SEPARATOR) + 1)
            if len(buffer) > MAX_EVENT_BYTES:
                raise EndpointFailed("event too large", step=step, peer=spec.name)
    except _TRANSPORT_ERRORS as error:
        raise _make_error(error, step, spec) from error
    if buffer:
        raise EndpointFailed("stream ended within an event", step=step, peer=spec.name)


def is_engine(spec: EndpointSpec) -> bool:
    """Return whether an endpoint is an engine."""
    return spec.kind is EndpointKind.ENGINE
