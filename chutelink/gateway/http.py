"""The gateway's HTTP routes, and what all requests go through."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from opentelemetry.trace import Span

from ..configuration import ConfigKeeper
from ..const import HEADER_REQUEST_ID
from ..fleet import CallerSpec, FleetSpec
from ..ids import RequestId, make_id
from ..systems.hashing import rendezvous_order
from ..tables.members import Member, MemberState, Role
from ..tracing import extract_context
from .completions import PATH_CHAT, PATH_COMPLETIONS, CompletionHandler
from .parts import REQUEST_ID, GatewayParts
from .refusals import Refusal, malformed, unavailable, unknown_outcome
from .requests import check_model
from .services import ServiceHandler

NO_CONFIG_RETRY_S = 2.0

Handler = Callable[
    [web.Request, Span, CallerSpec, FleetSpec], Awaitable[web.StreamResponse]
]


class AddressAnswer(msgspec.Struct, frozen=True):
    """One gateway that a caller may use."""

    url: str
    failure_domain: str


class Addresses(msgspec.Struct, frozen=True):
    """Gateways in order, and how long the answer may be kept."""

    addresses: list[AddressAnswer]
    valid_s: float


class GatewayHttp:
    """Routes of the gateway.

    Parameters
    ----------
    parts : GatewayParts
        What the handlers use.
    keeper : ConfigKeeper
        The fleet in force.
    """

    def __init__(self, parts: GatewayParts, keeper: ConfigKeeper) -> None:
        self._parts = parts
        self._keeper = keeper

    def add_routes(self, app: web.Application) -> None:
        """Add all routes for callers."""
        completions = CompletionHandler(self._parts)
        services = ServiceHandler(self._parts)
        add = app.router.add_route
        add("GET", "/v1/addresses", self._wrap(self._async_addresses))
        add("GET", "/v1/models", self._wrap(self._async_models))
        add("POST", PATH_CHAT, self._wrap(completions.async_handle))
        add("POST", PATH_COMPLETIONS, self._wrap(completions.async_handle))
        add("*", "/services/{name}/{tail:.*}", self._wrap(services.async_handle))

    def _wrap(self, handler: Handler):
        async def async_handle(request: web.Request) -> web.StreamResponse:
            started_s = self._parts.core.clock()
            return await self._async_serve(handler, request, started_s)

        return async_handle

    async def _async_serve(
        self, handler: Handler, request: web.Request, started_s: float
    ) -> web.StreamResponse:
        core = self._parts.core
        request_id = RequestId(make_id())
        request[REQUEST_ID] = request_id
        with core.tracer.start_as_current_span(
            "gateway.receive", context=extract_context(request.headers)
        ) as span:
            try:
                fleet = self._keeper.fleet
                if fleet is None:
                    raise unavailable("no configuration yet", NO_CONFIG_RETRY_S)
                caller = self._parts.authenticate(request)
                response = await handler(request, span, caller, fleet)
                outcome = "answered"
            except Refusal as refusal:
                response = refusal.to_response()
                outcome = refusal.outcome.value
                self._log_refusal(request, refusal)
            except Exception as error:
                if isinstance(error, web.HTTPException):
                    raise
                core.events.error("request_failed", path=request.path, error=error)
                response = unknown_outcome("internal error", 500).to_response()
                outcome = "unknown"
            span.set_attribute("outcome", outcome)
        if not response.prepared:
            response.headers[HEADER_REQUEST_ID] = request_id
        status = str(response.status)
        core.metrics.requests.inc({"outcome": outcome, "status": status})
        core.metrics.request_seconds.observe({}, core.clock() - started_s)
        if core.is_draining and not response.prepared:
            response.force_close()
        return response

    def _log_refusal(self, request: web.Request, refusal: Refusal) -> None:
        self._parts.core.events.info(
            "request_refused",
            request=request[REQUEST_ID],
            path=request.path,
            status=refusal.status,
            outcome=refusal.outcome.value,
            reason=refusal.title,
        )

    async def _async_addresses(
        self, request: web.Request, span: Span, caller: CallerSpec, fleet: FleetSpec
    ) -> web.Response:
        model = request.query.get("model", "")
        service = request.query.get("service", "")
        if bool(model) == bool(service):
            raise malformed("give one of the query parameters model and service")
        if model:
            check_model(caller, fleet, model)
        elif not caller.may_use_service(service) or service not in fleet.services:
            raise Refusal(403, "not permitted for this key")
        gateways = self.order_gateways(model or service)
        answer = Addresses(
            [AddressAnswer(m.url, m.failure_domain) for m in gateways],
            self._parts.settings.gateway.valid_s,
        )
        return _json(answer)

    def order_gateways(self, key: str) -> list[Member]:
        """Return the gateways for a model or service, best first."""
        live = {m.id: m for m in self._parts.members.live(Role.GATEWAY)}
        certain = [i for i, m in live.items() if m.state is MemberState.ALIVE]
        chosen = rendezvous_order(key, certain or live)
        return [live[i] for i in chosen[: self._parts.settings.gateway.subset]]

    async def _async_models(
        self, request: web.Request, span: Span, caller: CallerSpec, fleet: FleetSpec
    ) -> web.Response:
        names = sorted([*fleet.models, *fleet.adapters])
        data = [
            {"id": name, "object": "model", "owned_by": "chutelink"}
            for name in names
            if caller.may_use_model(name)
        ]
        return _json({"object": "list", "data": data})


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
