"""Handlers of the OpenAI-compatible routes."""

from __future__ import annotations

import asyncio
import hashlib

from aiohttp import web
from opentelemetry.trace import Span

from ..const import HEADER_IDEMPOTENCY_KEY, HEADER_NON_IDEMPOTENT
from ..endpoints.client import EndpointResponse
from ..fleet import CallerSpec, FleetSpec
from ..serving.body import async_read_body
from ..tables.requests import WaitingRequest
from .components import BODY_LEASE, REQUEST_ID, GatewayComponents
from .idempotency import async_run_idempotent
from .refusals import malformed
from .relay import Exchange
from .requests import (
    CompletionRequest,
    check_model,
    count_tokens,
    decode_completion,
    hash_prefixes,
)
from .shutdown import refuse_not_run

PATH_CHAT = "/v1/chat/completions"
PATH_COMPLETIONS = "/v1/completions"


class CompletionHandler:
    """Serves completion requests, buffered and streamed."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def async_handle(
        self, request: web.Request, span: Span, caller: CallerSpec, fleet: FleetSpec
    ) -> web.StreamResponse:
        """Serve a completion request."""
        settings = self._components.settings.gateway
        async with self._components.ender.async_end_at_stop(refuse_not_run):
            body = await async_read_body(
                request,
                settings.max_body_bytes,
                request[BODY_LEASE],
                timeout_s=settings.idle_timeout_s,
            )
        exchange, is_stream = self._accept(request, span, caller, fleet, body)
        key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
        if key and is_stream:
            raise malformed(f"{HEADER_IDEMPOTENCY_KEY} can't go with stream")
        if key:
            return await self._async_run_idempotent(exchange, caller, key, body)
        if is_stream:
            return await self._components.relay.async_relay_stream(request, exchange)
        answer = await self._components.relay.async_relay_response(exchange)
        return _to_response(answer)

    def _accept(
        self,
        request: web.Request,
        span: Span,
        caller: CallerSpec,
        fleet: FleetSpec,
        body: bytes,
    ) -> tuple[Exchange, bool]:
        """Return the exchange, and whether its response is streamed.

        The decoded body is not kept: it may take several times the memory of the body.
        """
        completion = decode_completion(body, is_chat=request.path == PATH_CHAT)
        check_model(caller, fleet, completion.model)
        self._components.admit(caller)
        exchange = self._make_exchange(request, span, caller, fleet, completion, body)
        return exchange, completion.stream

    async def _async_run_idempotent(
        self, exchange: Exchange, caller: CallerSpec, key: str, body: bytes
    ) -> web.Response:
        exchange.is_repeatable = False
        return await async_run_idempotent(
            self._components,
            caller.name,
            exchange.path,
            key,
            hashlib.sha256(body).hexdigest(),
            lambda: self._components.relay.async_relay_response(exchange),
        )

    def _make_exchange(
        self,
        request: web.Request,
        span: Span,
        caller: CallerSpec,
        fleet: FleetSpec,
        completion: CompletionRequest,
        body: bytes,
    ) -> Exchange:
        components = self._components
        model = fleet.base_model(completion.model)
        request_class = fleet.request_classes[model.request_class]
        text = completion.text()
        tokens = count_tokens(text)
        now_s = components.core.clock()
        waiting = WaitingRequest(
            request_id=request[REQUEST_ID],
            caller=caller.name,
            name=completion.model,
            artifacts=components.dispatcher.artifacts_for(fleet, completion.model),
            request_class=request_class,
            arrived_s=now_s,
            deadline_s=now_s + request_class.target_s,
            expected_s=components.expected_first_token_s(tokens),
            prompt_tokens=tokens,
            prefixes=hash_prefixes(text),
            dispatched=asyncio.get_running_loop().create_future(),
        )
        is_repeatable = HEADER_NON_IDEMPOTENT not in request.headers
        return Exchange(waiting, request.path, body, is_repeatable, span)


def _to_response(answer: EndpointResponse) -> web.Response:
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={"Content-Type": answer.content_type},
    )
