"""HTTP routes of the gateway, and the steps common to all requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from opentelemetry.trace import Span

from ..configuration import ConfigManager
from ..const import HEADER_REQUEST_ID
from ..fleet import CallerSpec, FleetSpec
from ..ids import RequestId, make_id
from ..systems.hashing import rendezvous_order
from ..tables.members import Member, MemberState, Role
from ..tracing import extract_context
from .completions import PATH_CHAT, PATH_COMPLETIONS, CompletionHandler
from .components import BODY_LEASE, REQUEST_ID, GatewayComponents
from .refusals import Refusal, malformed, unavailable, unknown_outcome
from .requests import check_model
from .services import ServiceHandler

NO_CONFIG_RETRY_AFTER_S = 2.0

Handler = Callable[
    [web.Request, Span, CallerSpec, FleetSpec], Awaitable[web.StreamResponse]
]


class GatewayAddress(msgspec.Struct, frozen=True):
    """Address of a gateway that a caller may use."""

    url: str
    failure_domain: str


class Addresses(msgspec.Struct, frozen=True):
    """Gateways in order of preference, and how long callers may cache them."""

    addresses: list[GatewayAddress]
    valid_s: float


class GatewayHttp:
    """Routes of the gateway for callers.

    Parameters
    ----------
    components : GatewayComponents
        Components that the handlers share.
    config : ConfigManager
        Provides the active fleet.
    """

    def __init__(self, components: GatewayComponents, config: ConfigManager) -> None:
        self._components = components
        self._config = config

    def add_routes(self, app: web.Application) -> None:
        """Register all routes for callers."""
        completions = CompletionHandler(self._components)
        services = ServiceHandler(self._components)
        add = app.router.add_route
        add("GET", "/v1/addresses", self._make_handler(self._async_addresses))
        add("GET", "/v1/models", self._make_handler(self._async_models))
        add("POST", PATH_CHAT, self._make_handler(completions.async_handle))
        add("POST", PATH_COMPLETIONS, self._make_handler(completions.async_handle))
        add(
            "*", "/services/{name}/{tail:.*}", self._make_handler(services.async_handle)
        )

    def _make_handler(self, handler: Handler):
        async def async_handle(request: web.Request) -> web.StreamResponse:
            started_s = self._components.core.clock()
            return await self._async_serve(handler, request, started_s)

        return async_handle

    async def _async_serve(
        self, handler: Handler, request: web.Request, started_s: float
    ) -> web.StreamResponse:
        core = self._components.core
        request_id = RequestId(make_id())
        request[REQUEST_ID] = request_id
        lease = self._components.body_memory.open()
        request[BODY_LEASE] = lease
        with core.tracer.start_as_current_span(
            "gateway.receive", context=extract_context(request.headers)
        ) as span:
            try:
                fleet = self._config.fleet
                if fleet is None:
                    raise unavailable("no configuration yet", NO_CONFIG_RETRY_AFTER_S)
                caller = self._components.authenticate(request)
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
                if request.writer.output_size:
                    # Another head would be read as a part of the response.
                    if request.transport is not None:
                        request.transport.abort()
                    raise
                response = unknown_outcome("internal error", 500).to_response()
                outcome = "unknown"
            finally:
                lease.close()
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
        self._components.core.events.info(
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
            [GatewayAddress(m.url, m.failure_domain) for m in gateways],
            self._components.settings.gateway.valid_s,
        )
        return _json_response(answer)

    def order_gateways(self, key: str) -> list[Member]:
        """Return the gateways for a model or service, most preferred first.

        Suspected gateways are listed only if none is known to be alive.
        """
        live_by_id = {m.id: m for m in self._components.members.live(Role.GATEWAY)}
        alive_ids = [i for i, m in live_by_id.items() if m.state is MemberState.ALIVE]
        ordered_ids = rendezvous_order(key, alive_ids or live_by_id)
        return [
            live_by_id[i]
            for i in ordered_ids[: self._components.settings.gateway.subset]
        ]

    async def _async_models(
        self, request: web.Request, span: Span, caller: CallerSpec, fleet: FleetSpec
    ) -> web.Response:
        names = sorted([*fleet.models, *fleet.adapters])
        data = [
            {"id": name, "object": "model", "owned_by": "chutelink"}
            for name in names
            if caller.may_use_model(name)
        ]
        return _json_response({"object": "list", "data": data})


def _json_response(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
