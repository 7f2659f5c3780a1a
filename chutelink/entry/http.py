"""HTTP server for callers of an entry daemon."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from aiohttp import web

from ..core import Application
from ..customers.access import Admission, CustomerAccess
from ..endable import EndableSteps, RequestEnded
from ..exceptions import CallerGone
from ..gateway.refusals import Outcome, Refusal, unavailable, unknown_outcome
from ..memory import MemoryBudget, MemoryLease
from ..quarantine.fingerprint import RequestContent
from ..reachability.relay_handler import RelayHandler
from ..relaying.caller_stream import CallerStream
from ..relaying.exchange import Exchange, pick_service
from ..relaying.exchange_dispatcher import DEFAULT_RETRY_DELAY_S, ExchangeDispatcher
from ..relaying.relay import Relay
from ..relaying.request_log import (
    ANSWERED,
    CUT,
    CUT_AT_STOP,
    RequestLog,
    RequestResult,
)
from ..relaying.stream import StreamRelay
from ..relaying.upstream import BufferedResponse, forwarded_headers
from ..serving.body import async_read_body, check_body_size
from .config import CallerLimits, Route, RouteTable, ServiceSpec
from .headers import RequestMeta
from .leased_response import LeasedResponse

HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_HEADERS_TOO_LARGE = 431
HTTP_INTERNAL_ERROR = 500
FIELD_FRAMING_BYTES = 3
"""The colon and the line end of a header field; spaces around its value are optional.
"""
INTERNAL_ERROR = "internal error"
NO_CONFIG_RETRY_S = 0.5
START_WAIT_S = 0.3
"""How long after a start requests wait for the configuration and the endpoints.

Loading both takes two calls to the store, about 10 ms. If there is no response by
then, the store is unavailable and requests are refused.
"""
START_POLL_S = 0.005
DEFAULT_DEADLINE_S = 60.0
"""Deadline of requests that state none, capped by the timeout of the route."""


class CallerServer:
    """Handles callers' requests.

    Parameters
    ----------
    core : Application
        The owning application.
    dispatcher : ExchangeDispatcher
        Shared tables and policies of the relays.
    relay, streams
        Relays for complete responses and for streams.
    customers : CustomerAccess
        Checks keys and quotas.
    routes : callable
        Returns the active routes, or None.
    is_ready : callable
        Returns whether routes and endpoints are known.
    relay_handler : RelayHandler, optional
        Relays the calls of other daemons.
    """

    def __init__(
        self,
        core: Application,
        dispatcher: ExchangeDispatcher,
        relay: Relay,
        streams: StreamRelay,
        customers: CustomerAccess,
        routes: Callable[[], RouteTable | None],
        is_ready: Callable[[], bool],
        relay_handler: RelayHandler | None = None,
    ) -> None:
        self._core = core
        self._dispatcher = dispatcher
        self._relay = relay
        self._streams = streams
        self._customers = customers
        self._routes = routes
        self._is_ready = is_ready
        self._relay_handler = relay_handler
        self._created_s = core.clock()
        self._log = RequestLog(core)
        self._steps: EndableSteps[None] = EndableSteps()
        self.body_memory: MemoryBudget | None = None
        """Memory that request bodies share, None if only each of them is limited."""
        self._drain = dispatcher.drain
        self.in_flight = 0

    def set_shutdown_deadline(self, deadline_s: float) -> None:
        """From now on, accept only requests that end by the deadline."""
        self._dispatcher.start_draining(deadline_s)

    def stop_waiting(self) -> None:
        """Refuse the requests that have not been sent to an endpoint yet."""
        self._dispatcher.stop_waiting()

    def end_requests(self) -> None:
        """End the requests in flight: with a response, unless theirs has begun."""
        self._steps.end_all()

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request, including invalid ones."""
        if self._relay_handler is not None and self._relay_handler.handles(request):
            return await self._relay_handler.async_handle(request)
        self.in_flight += 1
        started_s = self._core.clock()
        exchange: Exchange | None = None
        admission = Admission()
        body_lease = None if self.body_memory is None else self.body_memory.open()
        response: web.StreamResponse | None = None
        status = 0
        outcome = "cancelled"
        reason = ""
        try:
            exchange = await self._async_accept(
                request, admission, started_s, body_lease
            )
            await self._dispatcher.gate.async_admit(exchange)
            response, outcome = await self._async_relay(request, exchange)
            status = response.status
        except Refusal as refusal:
            status, outcome = refusal.status, refusal.outcome.value
            reason = refusal.title
            response = self._refuse(refusal)
        except CallerGone as error:
            outcome, reason = "caller_gone", error.message
            raise ConnectionResetError(error.message) from error
        except (ConnectionError, asyncio.CancelledError):
            # The connection is gone, so no response can be sent.
            is_cut = self._is_cut_by_shutdown(request)
            outcome = CUT_AT_STOP if is_cut else "caller_gone"
            raise
        except web.HTTPException:
            raise
        except Exception as error:
            refusal = self._record_unexpected(request, exchange, error)
            status, outcome = refusal.status, refusal.outcome.value
            reason = refusal.title
            response = self._refuse(refusal)
        finally:
            self.in_flight -= 1
            if body_lease is not None:
                body_lease.close()
            if exchange is not None and not isinstance(response, LeasedResponse):
                exchange.release_memory()
            result = RequestResult(status, outcome, reason)
            self._log.note(request, exchange, admission, result, started_s)
            if _has_not_run(exchange, outcome):
                self._customers.refund(admission)
        return response

    async def _async_accept(
        self,
        request: web.BaseRequest,
        admission: Admission,
        started_s: float,
        body_lease: MemoryLease | None,
    ) -> Exchange:
        """Validate a request and read its body.

        All checks that need only the headers are made before the body is read.

        Raises
        ------
        Refusal
            The request can't be served and has not been run.
        """
        await self._async_until_ready()
        table = self._routes()
        if table is None:
            raise unavailable("no configuration yet", NO_CONFIG_RETRY_S)
        limits = table.config.limits
        self._check_size(request, limits)
        meta = self._dispatcher.header_codec.decode_request(request.headers)
        if meta is None:
            raise Refusal(HTTP_BAD_REQUEST, "request id missing")
        target = request.raw_path
        if not target.startswith("/"):
            target = request.rel_url.raw_path_qs
        route = table.find(request.host, target.partition("?")[0])
        if route is None:
            raise Refusal(HTTP_NOT_FOUND, "no route")
        if table.keys is not None:
            admission.config_version = table.config.version
        self._customers.identify(
            request.headers, table.keys, admission, is_anonymous=route.is_anonymous
        )
        service = pick_service(route, table.config.services, self._core.rng)
        if service is None:
            raise unavailable("no service for the route", DEFAULT_RETRY_DELAY_S)
        deadline_s = started_s + _time_limit_s(route, meta.deadline_s)
        self._drain.check(deadline_s)
        await self._customers.async_admit(admission, meta.counted_tokens)
        try:
            async with self._steps.async_track(None):
                body = await self._async_body(request, limits, body_lease, deadline_s)
        except RequestEnded as error:
            raise self._drain.make_refusal() from error
        exchange = self._make_exchange(
            request, admission, meta, route, service, target, body, started_s
        )
        self._drain.check(exchange.deadline_s)
        exchange.drain_left_s = self._drain.left_s
        self._dispatcher.note_arrival(exchange)
        return exchange

    def _make_exchange(
        self,
        request: web.BaseRequest,
        admission: Admission,
        meta: RequestMeta,
        route: Route,
        service: ServiceSpec,
        target: str,
        body: bytes,
        started_s: float,
    ) -> Exchange:
        headers = forwarded_headers(request.headers)
        self._dispatcher.header_codec.remove_reserved(headers)
        host = request.headers.get("Host", "")
        content = RequestContent(request.method, host, target, body)
        quarantine = self._dispatcher.quarantine
        return Exchange(
            meta=meta,
            route=route,
            service=service,
            method=request.method,
            target=target,
            host=host,
            headers=headers,
            body=body,
            started_s=started_s,
            deadline_s=started_s + _time_limit_s(route, meta.deadline_s),
            candidate=self._dispatcher.make_routing_request(meta, route),
            fingerprint=quarantine.fingerprint(content),
            prompt_parts=quarantine.part_fingerprints(meta.shared_parts),
            caller=request.remote or "",
            admission=admission,
            lease=self._open_lease(),
            homes=self._dispatcher.homes,
        )

    def _open_lease(self) -> MemoryLease | None:
        memory = self._dispatcher.response_memory
        return None if memory is None else memory.open()

    async def _async_until_ready(self) -> None:
        """Wait until the store has been read if this daemon has just started."""
        end_s = self._created_s + START_WAIT_S
        while not self._is_ready() and self._core.clock() < end_s:
            await asyncio.sleep(START_POLL_S)

    def _is_cut_by_shutdown(self, request: web.BaseRequest) -> bool:
        """Return whether this daemon shuts down while the caller still waits."""
        left_s = self._drain.left_s
        if left_s is None or left_s > 0:
            return False
        return request.transport is not None and not request.transport.is_closing()

    def _check_size(self, request: web.BaseRequest, limits: CallerLimits) -> None:
        header_bytes = sum(
            len(name) + len(value) + FIELD_FRAMING_BYTES
            for name, value in request.raw_headers
        )
        if header_bytes > limits.max_header_bytes:
            raise Refusal(HTTP_HEADERS_TOO_LARGE, "headers too large")
        check_body_size(request.content_length or 0, limits.max_body_bytes)

    async def _async_body(
        self,
        request: web.BaseRequest,
        limits: CallerLimits,
        lease: MemoryLease | None,
        deadline_s: float,
    ) -> bytes:
        """Return the complete body.

        Each part must arrive within the idle timeout, and all by the deadline.

        Raises
        ------
        Refusal
            The body is too large or too slow, or there is no memory for it.
        """
        if not request.body_exists:
            return b""
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return await async_read_body(
            request,
            limits.max_body_bytes,
            lease,
            idle_timeout_s=limits.idle_timeout_s,
            timeout_s=deadline_s - self._core.clock(),
        )

    async def _async_relay(
        self, request: web.BaseRequest, exchange: Exchange
    ) -> tuple[web.StreamResponse, str]:
        """Return the response and the outcome of the request."""
        caller = CallerStream(request, self._core)
        try:
            async with self._steps.async_track(None):
                if not exchange.route.is_stream:
                    answer = await self._relay.async_relay_buffered(exchange)
                    return self._respond(answer, exchange), ANSWERED
                result = await self._streams.async_relay(exchange, caller)
        except RequestEnded as error:
            if caller.has_sent_headers:
                return caller.abort(), CUT_AT_STOP
            raise self._make_end_refusal(exchange) from error
        except (Refusal, CallerGone, ConnectionError):
            raise
        except Exception as error:
            if not caller.has_sent_headers:
                raise
            self._record_unexpected(request, exchange, error)
            result = caller.abort()
        if isinstance(result, BufferedResponse):
            return self._respond(result, exchange), ANSWERED
        return result, CUT if caller.is_aborted else ANSWERED

    def _make_end_refusal(self, exchange: Exchange) -> Refusal:
        """Return the refusal of a request that was ended before its response began."""
        if exchange.may_have_run or exchange.last_call.is_sent:
            return unknown_outcome("this daemon is stopping")
        return self._drain.make_refusal()

    def _record_unexpected(
        self, request: web.BaseRequest, exchange: Exchange | None, error: Exception
    ) -> Refusal:
        """Log an unexpected error with its traceback, and return the refusal."""
        self._core.events.error(
            "request_failed",
            request=request.headers.get("X-Request-Id", ""),
            error="".join(traceback.format_exception(error)),
        )
        if exchange is None or not exchange.tried:
            return Refusal(HTTP_INTERNAL_ERROR, INTERNAL_ERROR)
        return unknown_outcome(INTERNAL_ERROR, HTTP_INTERNAL_ERROR)

    def _respond(self, answer: BufferedResponse, exchange: Exchange) -> web.Response:
        response = LeasedResponse(
            exchange.lease,
            exchange.left_s(self._core.clock()),
            status=answer.status,
            body=answer.body,
            headers=forwarded_headers(answer.headers),
        )
        if self._core.is_draining:
            response.force_close()
        return response

    def _refuse(self, refusal: Refusal) -> web.Response:
        response = refusal.to_response(allow_fractional_retry_after=True)
        if self._core.is_draining:
            response.force_close()
        return response


def _has_not_run(exchange: Exchange | None, outcome: str) -> bool:
    """Return whether it is certain that no endpoint has started the request."""
    if exchange is None or not exchange.tried:
        return True
    return outcome == Outcome.NOT_RUN.value


def _time_limit_s(route: Route, deadline_s: float | None) -> float:
    requested_s = DEFAULT_DEADLINE_S if deadline_s is None else deadline_s
    return min(requested_s, route.timeout_s) if route.timeout_s else requested_s
