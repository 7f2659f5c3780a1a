"""Handlers of plain services, including calls that must not be repeated."""

from __future__ import annotations

import hashlib

from aiohttp import web
from opentelemetry.trace import Span, set_span_in_context

from ..const import HEADER_IDEMPOTENCY_KEY, HEADER_NON_IDEMPOTENT, HEADER_REQUEST_ID
from ..endpoints.client import EndpointRequest, EndpointResponse
from ..exceptions import EndpointFailed, EndpointRefused, EndpointUnreachable
from ..fleet import CallerSpec, FleetSpec, ServiceSpec
from ..serving.body import async_read_body
from ..tables.endpoints import Endpoint
from ..tracing import inject_context
from .components import BODY_LEASE, REQUEST_ID, GatewayComponents
from .idempotency import async_run_idempotent
from .refusals import Refusal, forbidden, not_found, unavailable, unknown_outcome
from .shutdown import refuse_not_run, refuse_unknown

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 2.0
_FORWARDED_HEADERS = ("Content-Type", "Accept", HEADER_IDEMPOTENCY_KEY)


class ServiceHandler:
    """Forwards calls to plain services."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def async_handle(
        self, request: web.Request, span: Span, caller: CallerSpec, fleet: FleetSpec
    ) -> web.StreamResponse:
        """Serve a call to a plain service."""
        name = request.match_info["name"]
        if not caller.may_use_service(name):
            raise forbidden()
        service = fleet.services.get(name)
        if service is None:
            raise not_found(f"service {name}")
        settings = self._components.settings.gateway
        async with self._components.ender.async_end_at_stop(refuse_not_run):
            body = await async_read_body(
                request,
                settings.max_body_bytes,
                request[BODY_LEASE],
                timeout_s=settings.idle_timeout_s,
            )
        self._components.admit(caller)
        call = _ServiceCall(self._components, request, span, service, body)
        key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
        if key and not call.is_repeatable:
            content = request.query_string.encode() + b"\0" + body
            return await async_run_idempotent(
                self._components,
                caller.name,
                f"{request.method} {request.path}",
                key,
                hashlib.sha256(content).hexdigest(),
                call.async_run,
            )
        answer = await call.async_run()
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={"Content-Type": answer.content_type},
        )


class _ServiceCall:
    """A call that is tried at one endpoint after another while that is safe."""

    def __init__(
        self,
        components: GatewayComponents,
        request: web.Request,
        span: Span,
        service: ServiceSpec,
        body: bytes,
    ) -> None:
        self._components = components
        self._request = request
        self._span = span
        self._service = service
        self._body = body
        self.request_id = request[REQUEST_ID]
        self.is_repeatable = (
            request.method in service.idempotent_methods
            and HEADER_NON_IDEMPOTENT not in request.headers
        )

    async def async_run(self) -> EndpointResponse:
        """Return the response.

        Raises
        ------
        Refusal
            NOT_RUN only if nothing was run, otherwise UNKNOWN.
        """
        may_have_run = False
        candidates = self._candidates()
        for row in candidates[:MAX_ATTEMPTS]:
            try:
                async with self._components.ender.async_end_at_stop(
                    refuse_unknown, may_have_run=may_have_run
                ):
                    return await self._async_attempt(row)
            except (EndpointUnreachable, EndpointRefused) as error:
                self._record_failure(row, error)
            except EndpointFailed as error:
                may_have_run = True
                self._record_failure(row, error)
                if not self.is_repeatable:
                    title = "the service did not answer in full"
                    raise unknown_outcome(title) from error
            if not self._components.retry_budget.take():
                break
            self._components.core.metrics.retries.inc({"reason": "service"})
        raise self._attempts_exhausted(may_have_run)

    def _candidates(self) -> list[Endpoint]:
        now_s = self._components.core.clock()
        rows = self._components.endpoints.rows
        available = [
            rows[name]
            for name in self._service.endpoints
            if name in rows and rows[name].accepts_requests
        ]
        own_domain = self._components.core.daemon.failure_domain
        return sorted(
            available,
            key=lambda row: (
                row.excluded_until_s > now_s,
                row.inflight,
                row.spec.failure_domain != own_domain,
            ),
        )

    async def _async_attempt(self, row: Endpoint) -> EndpointResponse:
        request = self._request
        path = "/" + request.match_info["tail"]
        if request.query_string:
            path += "?" + request.query_string
        with self._components.core.tracer.start_as_current_span(
            "endpoint.exchange",
            context=set_span_in_context(self._span),
            attributes={"endpoint": row.name},
        ) as span:
            row.inflight += 1
            try:
                endpoint_request = EndpointRequest(
                    request.method,
                    path,
                    self._headers(span),
                    self._body or None,
                    self._service.timeout_s,
                    self.is_repeatable,
                )
                answer = await self._components.client.async_exchange(
                    row.spec, endpoint_request
                )
            finally:
                row.inflight -= 1
        self._components.endpoints.note_success(row.name)
        return answer

    def _headers(self, span: Span) -> dict[str, str]:
        headers = {
            name: self._request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in self._request.headers
        }
        headers[HEADER_REQUEST_ID] = self.request_id
        inject_context(span, headers)
        return headers

    def _record_failure(self, row: Endpoint, error: Exception) -> None:
        self._components.endpoints.note_failure(row.name, self._components.core.clock())
        self._components.core.events.warning(
            "service_call_failed",
            request=self.request_id,
            endpoint=row.name,
            kind=type(error).__name__,
            error=error,
        )

    def _attempts_exhausted(self, may_have_run: bool) -> Refusal:
        if may_have_run:
            return unknown_outcome("no endpoint of the service answered in full")
        return unavailable("no endpoint of the service is there", RETRY_AFTER_S)
