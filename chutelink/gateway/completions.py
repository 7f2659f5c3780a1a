"""Handlers of the OpenAI-compatible routes."""

from __future__ import annotations

import asyncio
import hashlib

from aiohttp import web
from opentelemetry.trace import Span

from ..const import HEADER_IDEMPOTENCY_KEY, HEADER_NON_IDEMPOTENT
from ..endpoints.client import WholeAnswer
from ..fleet import CallerSpec, FleetSpec
from ..tables.requests import WaitingRequest
from .keyed import async_run_keyed
from .parts import REQUEST_ID, GatewayParts
from .refusals import malformed
from .relay import Exchange
from .requests import (
    CompletionRequest,
    async_read_body,
    check_model,
    count_tokens,
    decode_completion,
    hash_prefixes,
)

PATH_CHAT = "/v1/chat/completions"
PATH_COMPLETIONS = "/v1/completions"


class CompletionHandler:
    """Serves completions, whole and streamed."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts

    async def async_handle(
        self, request: web.Request, span: Span, caller: CallerSpec, fleet: FleetSpec
    ) -> web.StreamResponse:
        """Serve one completion."""
        settings = self._parts.settings.gateway
        body = await async_read_body(
            request, settings.max_body_bytes, settings.idle_timeout_s
        )
        completion = decode_completion(body, is_chat=request.path == PATH_CHAT)
        check_model(caller, fleet, completion.model)
        self._parts.admit(caller)
        exchange = self._make_exchange(request, span, caller, fleet, completion, body)
        key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
        if key and completion.stream:
            raise malformed(f"{HEADER_IDEMPOTENCY_KEY} can't go with stream")
        if key:
            return await self._async_keyed(exchange, caller, key, body)
        if completion.stream:
            return await self._parts.relay.async_stream(request, exchange)
        answer = await self._parts.relay.async_whole(exchange)
        return _to_response(answer)

    async def _async_keyed(
        self, exchange: Exchange, caller: CallerSpec, key: str, body: bytes
    ) -> web.Response:
        exchange.is_repeatable = False
        return await async_run_keyed(
            self._parts,
            caller.name,
            exchange.path,
            key,
            hashlib.sha256(body).hexdigest(),
            lambda: self._parts.relay.async_whole(exchange),
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
        parts = self._parts
        model = fleet.base_model(completion.model)
        request_class = fleet.request_classes[model.request_class]
        text = completion.text()
        tokens = count_tokens(text)
        now_s = parts.core.clock()
        waiting = WaitingRequest(
            request_id=request[REQUEST_ID],
            caller=caller.name,
            name=completion.model,
            artifacts=parts.dispatcher.artifacts_for(fleet, completion.model),
            request_class=request_class,
            arrived_s=now_s,
            deadline_s=now_s + request_class.target_s,
            expected_s=parts.expected_first_token_s(tokens),
            prompt_tokens=tokens,
            prefixes=hash_prefixes(text),
            dispatched=asyncio.get_running_loop().create_future(),
        )
        is_repeatable = HEADER_NON_IDEMPOTENT not in request.headers
        return Exchange(waiting, request.path, body, is_repeatable, span)


def _to_response(answer: WholeAnswer) -> web.Response:
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={"Content-Type": answer.content_type},
    )
