"""Relay a completion: as one response, or as a stream.

A stream whose endpoint fails may be resumed at another endpoint.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
from aiohttp import web
from opentelemetry.trace import Span, set_span_in_context

from ..const import (
    CONTENT_TYPE_STREAM,
    HEADER_REQUEST_ID,
    STREAM_END,
)
from ..core import Application
from ..endpoints.client import (
    EndpointClient,
    EndpointRequest,
    EndpointResponse,
    async_iter_events,
)
from ..endpoints.messages import (
    HEADER_PRIORITY,
    HEADER_RESUME_FROM,
    HEADER_VERSION,
)
from ..exceptions import (
    ChutelinkError,
    EndpointFailed,
    EndpointRefused,
    EndpointUnreachable,
)
from ..ids import EndpointName
from ..systems.admission import RetryBudget
from ..tables.endpoints import Endpoint, EndpointTable
from ..tables.requests import WaitingRequest
from ..tracing import inject_context
from .dispatcher import Dispatcher
from .refusals import Outcome, Refusal, unavailable, unknown_outcome
from .shutdown import RequestEnder, refuse_not_run, refuse_unknown

MAX_ATTEMPTS = 4
CLIENT_ERROR = 400
SERVER_ERROR = 500
MAX_DETAIL_BYTES = 500


class Exchange(msgspec.Struct, eq=False):
    """A completion request as sent to each endpoint that is tried.

    ``is_repeatable`` means that it may safely be run more than once.
    """

    waiting: WaitingRequest
    path: str
    body: bytes
    is_repeatable: bool
    span: Span


class Relay:
    """Sends requests to endpoints and retries them where that is safe.

    Parameters
    ----------
    core : Application
        Application that owns the relay.
    client : EndpointClient
        HTTP client for the engines.
    dispatcher : Dispatcher
        Assigns endpoints to requests.
    table : EndpointTable
        Records which endpoints fail.
    retry_budget : RetryBudget
        Limits retries after failures.
    idle_timeout_s : float
        Maximum time without data from an endpoint or to a caller in a response.
    ender : RequestEnder
        Ends the requests that outlast the gateway.
    """

    def __init__(
        self,
        core: Application,
        client: EndpointClient,
        dispatcher: Dispatcher,
        table: EndpointTable,
        retry_budget: RetryBudget,
        idle_timeout_s: float,
        ender: RequestEnder,
    ) -> None:
        self._core = core
        self._client = client
        self._dispatcher = dispatcher
        self._table = table
        self._retry_budget = retry_budget
        self._idle_timeout_s = idle_timeout_s
        self._ender = ender

    async def async_relay_response(self, exchange: Exchange) -> EndpointResponse:
        """Return the complete response of an endpoint.

        Raises
        ------
        Refusal
            NOT_RUN only if nothing was run, otherwise UNKNOWN.
        """
        may_have_run = False
        for _ in range(MAX_ATTEMPTS):
            row = await self._async_acquire(exchange, may_have_run)
            try:
                async with self._ender.async_end_at_stop(
                    refuse_unknown, may_have_run=may_have_run
                ):
                    return await self._async_attempt_response(exchange, row)
            except (EndpointUnreachable, EndpointRefused, EndpointFailed) as error:
                may_have_run |= isinstance(error, EndpointFailed)
                self._record_failure(exchange, row, error)
                if isinstance(error, EndpointRefused):
                    await self._dispatcher.async_refresh_artifacts(exchange.waiting)
                self._check_retry(exchange, error, may_have_run)
        raise self._attempts_exhausted(may_have_run)

    async def _async_acquire(self, exchange: Exchange, may_have_run: bool) -> Endpoint:
        """Acquire an endpoint.

        A refusal has the outcome UNKNOWN if an earlier attempt may have run.
        """
        context = set_span_in_context(exchange.span)
        with self._core.tracer.start_as_current_span("gateway.queue", context=context):
            try:
                async with self._ender.async_end_at_stop(refuse_not_run):
                    return await self._dispatcher.async_acquire(exchange.waiting)
            except Refusal as refusal:
                if may_have_run:
                    refusal.outcome = Outcome.UNKNOWN
                raise

    async def _async_attempt_response(
        self, exchange: Exchange, row: Endpoint
    ) -> EndpointResponse:
        with self._start_exchange_span(exchange, row) as span:
            try:
                endpoint_request = self._make_endpoint_request(exchange, span)
                answer = await self._client.async_exchange(row.spec, endpoint_request)
            finally:
                self._dispatcher.release(row.name)
        if answer.status >= SERVER_ERROR:
            message = f"status {answer.status}"
            raise EndpointFailed(message, step="endpoint.answer", peer=row.name)
        self._table.note_success(row.name)
        return answer

    async def async_relay_stream(
        self, request: web.Request, exchange: Exchange
    ) -> web.StreamResponse:
        """Stream a response to the caller, resuming at other endpoints where safe.

        The status line is sent with the first event, so that failures before it
        still get a regular error response.
        """
        response = web.StreamResponse(
            headers={HEADER_REQUEST_ID: exchange.waiting.request_id}
        )
        response.content_type = CONTENT_TYPE_STREAM
        stream = _CallerStream(request, response, self._idle_timeout_s)
        may_have_run = False
        for _ in range(MAX_ATTEMPTS):
            try:
                row = await self._async_acquire(exchange, may_have_run)
                async with self._ender.async_end_at_stop(
                    refuse_unknown, may_have_run=may_have_run
                ):
                    await self._async_attempt_stream(exchange, row, stream)
                return response
            except (EndpointUnreachable, EndpointRefused, EndpointFailed) as error:
                may_have_run |= isinstance(error, EndpointFailed)
                self._record_failure(exchange, row, error)
                if isinstance(error, EndpointRefused) and not stream.events:
                    # A stream that has started is resumed with the same model version.
                    await self._dispatcher.async_refresh_artifacts(exchange.waiting)
                refusal = self._retry_refusal(exchange, error, may_have_run)
            except Refusal as error:
                refusal = error
            if refusal is not None:
                return await stream.async_fail(refusal)
        return await stream.async_fail(self._attempts_exhausted(may_have_run))

    async def _async_attempt_stream(
        self, exchange: Exchange, row: Endpoint, stream: _CallerStream
    ) -> None:
        request_id = exchange.waiting.request_id.encode()
        with self._start_exchange_span(exchange, row) as span:
            endpoint_request = self._make_endpoint_request(exchange, span)
            if stream.events:
                endpoint_request.headers[HEADER_RESUME_FROM] = str(stream.events)
            try:
                async with self._client.async_open(
                    row.spec, endpoint_request
                ) as response:
                    await _async_check_status(response, row)
                    async for event in async_iter_events(response, row.spec):
                        if event == STREAM_END:
                            await stream.async_finish()
                            break
                        _check_event(event, request_id, row)
                        await stream.async_send(event)
            finally:
                self._dispatcher.release(row.name)
        if not stream.is_finished:
            raise EndpointFailed(
                "stream without its end mark", step="endpoint.stream", peer=row.name
            )
        self._table.note_success(row.name)

    def _start_exchange_span(self, exchange: Exchange, row: Endpoint):
        return self._core.tracer.start_as_current_span(
            "endpoint.exchange",
            context=set_span_in_context(exchange.span),
            attributes={"endpoint": row.name},
        )

    def _make_endpoint_request(self, exchange: Exchange, span: Span) -> EndpointRequest:
        waiting = exchange.waiting
        headers = {
            "Content-Type": "application/json",
            HEADER_REQUEST_ID: waiting.request_id,
            HEADER_VERSION: waiting.artifacts[-1].version,
            HEADER_PRIORITY: str(waiting.request_class.priority),
        }
        inject_context(span, headers)
        return EndpointRequest(
            "POST",
            exchange.path,
            headers,
            exchange.body,
            self._idle_timeout_s,
            exchange.is_repeatable,
        )

    def _record_failure(
        self, exchange: Exchange, row: Endpoint, error: ChutelinkError
    ) -> None:
        if not isinstance(error, EndpointRefused):
            self._table.note_failure(row.name, self._core.clock())
        waiting = exchange.waiting
        waiting.excluded = waiting.excluded | {EndpointName(row.name)}
        waiting.dispatched = asyncio.get_running_loop().create_future()
        self._core.events.warning(
            "exchange_failed",
            request=waiting.request_id,
            endpoint=row.name,
            kind=type(error).__name__,
            error=error,
        )

    def _retry_refusal(
        self, exchange: Exchange, error: ChutelinkError, may_have_run: bool
    ) -> Refusal | None:
        """Return the refusal to send, or None if another attempt is allowed."""
        if may_have_run and not exchange.is_repeatable:
            return unknown_outcome("the endpoint did not answer in full")
        if not self._retry_budget.take():
            return self._attempts_exhausted(may_have_run)
        self._core.metrics.retries.inc({"reason": type(error).__name__})
        return None

    def _check_retry(
        self, exchange: Exchange, error: ChutelinkError, may_have_run: bool
    ) -> None:
        refusal = self._retry_refusal(exchange, error, may_have_run)
        if refusal is not None:
            raise refusal from error

    def _attempts_exhausted(self, may_have_run: bool) -> Refusal:
        if may_have_run:
            return unknown_outcome("no endpoint answered in full")
        return unavailable("no endpoint could be reached", 1.0)


class _CallerStream:
    """Response stream to the caller; counts the events sent."""

    def __init__(
        self,
        request: web.Request,
        response: web.StreamResponse,
        idle_timeout_s: float,
    ) -> None:
        self._request = request
        self._response = response
        self._idle_timeout_s = idle_timeout_s
        self.events = 0
        self.is_finished = False

    async def async_send(self, event: bytes) -> None:
        """Send an event; a caller that stops reading is disconnected."""
        if not self._response.prepared:
            await self._response.prepare(self._request)
        self.events += 1
        await self._async_write(event)

    async def async_finish(self) -> None:
        """Send the end marker."""
        if not self._response.prepared:
            await self._response.prepare(self._request)
        self.is_finished = True
        await self._async_write(STREAM_END)

    async def async_fail(self, refusal: Refusal) -> web.StreamResponse:
        """End the stream with an error instead of the end marker."""
        if not self._response.prepared:
            return refusal.to_response()
        # Part of the response was sent, so the request was at least partly run.
        refusal.outcome = Outcome.UNKNOWN
        await self._async_write(refusal.to_event())
        return self._response

    async def _async_write(self, data: bytes) -> None:
        try:
            async with asyncio.timeout(self._idle_timeout_s):
                await self._response.write(data)
        except (TimeoutError, aiohttp.ClientConnectionResetError) as error:
            if self._request.transport is not None:
                self._request.transport.abort()
            raise asyncio.CancelledError from error


async def _async_check_status(response: aiohttp.ClientResponse, row: Endpoint) -> None:
    """Raise if the status is an error.

    A server error is a failure of the endpoint. A client error is the engine's
    refusal of the request, which is passed on to the caller.
    """
    if response.status >= SERVER_ERROR:
        message = f"status {response.status}"
        raise EndpointFailed(message, step="endpoint.answer", peer=row.name)
    if response.status >= CLIENT_ERROR:
        detail = (await response.content.read(MAX_DETAIL_BYTES)).decode(
            errors="replace"
        )
        raise Refusal(response.status, "the engine refused the request", detail=detail)


def _check_event(event: bytes, request_id: bytes, row: Endpoint) -> None:
    if request_id not in event:
        raise EndpointFailed(
            "event of another request", step="endpoint.stream", peer=row.name
        )
