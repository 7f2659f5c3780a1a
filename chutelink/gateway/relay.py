"""Relay a completion: whole, or as a stream that may go on elsewhere."""

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
from ..endpoints.client import Call, EndpointClient, WholeAnswer, async_iter_events
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

MAX_ATTEMPTS = 4
CLIENT_ERROR = 400
SERVER_ERROR = 500
MAX_DETAIL_BYTES = 500


class Exchange(msgspec.Struct, eq=False):
    """What is sent to whichever endpoint a request gets.

    ``is_repeatable`` says that running it twice does no harm.
    """

    waiting: WaitingRequest
    path: str
    body: bytes
    is_repeatable: bool
    span: Span


class Relay:
    """Carries exchanges out, with retries where they are safe.

    Parameters
    ----------
    core : Application
        The owner.
    client : EndpointClient
        To speak to engines.
    dispatcher : Dispatcher
        Gives endpoints.
    table : EndpointTable
        Learns which endpoints fail.
    budget : RetryBudget
        Bounds retries after failures.
    idle_timeout_s : float
        The longest silence of an endpoint or a caller within an answer.
    """

    def __init__(
        self,
        core: Application,
        client: EndpointClient,
        dispatcher: Dispatcher,
        table: EndpointTable,
        budget: RetryBudget,
        idle_timeout_s: float,
    ) -> None:
        self._core = core
        self._client = client
        self._dispatcher = dispatcher
        self._table = table
        self._budget = budget
        self._idle_timeout_s = idle_timeout_s

    async def async_whole(self, exchange: Exchange) -> WholeAnswer:
        """Return the whole answer of an endpoint.

        Raises
        ------
        Refusal
            NOT_RUN only when nothing was run; else UNKNOWN.
        """
        may_have_run = False
        for _ in range(MAX_ATTEMPTS):
            row = await self._async_acquire(exchange, may_have_run)
            try:
                return await self._async_attempt_whole(exchange, row)
            except (EndpointUnreachable, EndpointRefused, EndpointFailed) as error:
                may_have_run |= isinstance(error, EndpointFailed)
                self._note_failure(exchange, row, error)
                if isinstance(error, EndpointRefused):
                    await self._dispatcher.async_renew(exchange.waiting)
                self._check_retry(exchange, error, may_have_run)
        raise self._give_up(may_have_run)

    async def _async_acquire(self, exchange: Exchange, may_have_run: bool) -> Endpoint:
        """Get an endpoint; a refusal here is honest about earlier attempts."""
        context = set_span_in_context(exchange.span)
        with self._core.tracer.start_as_current_span("gateway.queue", context=context):
            try:
                return await self._dispatcher.async_acquire(exchange.waiting)
            except Refusal as refusal:
                if may_have_run:
                    refusal.outcome = Outcome.UNKNOWN
                raise

    async def _async_attempt_whole(
        self, exchange: Exchange, row: Endpoint
    ) -> WholeAnswer:
        with self._start_exchange_span(exchange, row) as span:
            try:
                call = self._make_call(exchange, span)
                answer = await self._client.async_exchange(row.spec, call)
            finally:
                self._dispatcher.release(row.name)
        if answer.status >= SERVER_ERROR:
            message = f"status {answer.status}"
            raise EndpointFailed(message, step="endpoint.answer", peer=row.name)
        self._table.note_success(row.name)
        return answer

    async def async_stream(
        self, request: web.Request, exchange: Exchange
    ) -> web.StreamResponse:
        """Stream an answer to the caller, going on elsewhere where that is safe.

        The status line leaves with the first event, so that everything before
        it can still be refused in the usual form.
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
                await self._async_attempt_stream(exchange, row, stream)
                return response
            except (EndpointUnreachable, EndpointRefused, EndpointFailed) as error:
                may_have_run |= isinstance(error, EndpointFailed)
                self._note_failure(exchange, row, error)
                if isinstance(error, EndpointRefused) and not stream.events:
                    # What was begun goes on with the weights that it began with.
                    await self._dispatcher.async_renew(exchange.waiting)
                refusal = self._retry_refusal(exchange, error, may_have_run)
            except Refusal as error:
                refusal = error
            if refusal is not None:
                return await stream.async_end(refusal)
        return await stream.async_end(self._give_up(may_have_run))

    async def _async_attempt_stream(
        self, exchange: Exchange, row: Endpoint, stream: _CallerStream
    ) -> None:
        request_id = exchange.waiting.request_id.encode()
        with self._start_exchange_span(exchange, row) as span:
            call = self._make_call(exchange, span)
            if stream.events:
                call.headers[HEADER_RESUME_FROM] = str(stream.events)
            try:
                async with self._client.async_open(row.spec, call) as response:
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

    def _make_call(self, exchange: Exchange, span: Span) -> Call:
        waiting = exchange.waiting
        headers = {
            "Content-Type": "application/json",
            HEADER_REQUEST_ID: waiting.request_id,
            HEADER_VERSION: waiting.artifacts[-1].version,
            HEADER_PRIORITY: str(waiting.request_class.priority),
        }
        inject_context(span, headers)
        return Call(
            "POST",
            exchange.path,
            headers,
            exchange.body,
            self._idle_timeout_s,
            exchange.is_repeatable,
        )

    def _note_failure(
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
        """Return why there must be no other attempt, or None to try again."""
        if may_have_run and not exchange.is_repeatable:
            return unknown_outcome("the endpoint did not answer in full")
        if not self._budget.take():
            return self._give_up(may_have_run)
        self._core.metrics.retries.inc({"reason": type(error).__name__})
        return None

    def _check_retry(
        self, exchange: Exchange, error: ChutelinkError, may_have_run: bool
    ) -> None:
        refusal = self._retry_refusal(exchange, error, may_have_run)
        if refusal is not None:
            raise refusal from error

    def _give_up(self, may_have_run: bool) -> Refusal:
        if may_have_run:
            return unknown_outcome("no endpoint answered in full")
        return unavailable("no endpoint could be reached", 1.0)


class _CallerStream:
    """The caller's side of a stream: how much of it has been delivered."""

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
        """Pass one event on; a caller that stops reading is dropped."""
        if not self._response.prepared:
            await self._response.prepare(self._request)
        self.events += 1
        await self._async_write(event)

    async def async_finish(self) -> None:
        """Pass the end mark on."""
        if not self._response.prepared:
            await self._response.prepare(self._request)
        self.is_finished = True
        await self._async_write(STREAM_END)

    async def async_end(self, refusal: Refusal) -> web.StreamResponse:
        """End without the end mark, saying why."""
        if not self._response.prepared:
            return refusal.to_response()
        # Part of the answer is out, so it was run in part at least.
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
    """Tell an engine's refusal of the request from its own trouble."""
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
