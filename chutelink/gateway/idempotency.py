"""Run a request under an idempotency key, even if the caller disconnects."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..endpoints.client import EndpointResponse
from .claims import Claim, StoredAnswer, claim_key
from .components import GatewayComponents
from .refusals import Outcome, Refusal, malformed
from .shutdown import refuse_unknown

HEADER_REPLAYED = "Chutelink-Replayed"
MAX_KEY_LENGTH = 256

RunRequest = Callable[[], Awaitable[EndpointResponse]]


async def async_run_idempotent(
    components: GatewayComponents,
    caller: str,
    path: str,
    key: str,
    request_hash: str,
    run: RunRequest,
) -> web.Response:
    """Claim the key, run the request once and store its response.

    Parameters
    ----------
    components : GatewayComponents
        Components of the gateway.
    caller, path, key : str
        Identify the claim.
    request_hash : str
        Distinguishes a repeated request from another one with the same key.
    run : callable
        Executes the request.
    """
    if len(key) > MAX_KEY_LENGTH:
        raise malformed(f"idempotency key above {MAX_KEY_LENGTH} characters")
    row_key = claim_key(caller, path, key)
    # Once dispatched, the outcome must be stored even if the caller disconnects.
    task = components.spawn(
        _async_claim_and_run(components, row_key, request_hash, run)
    )
    return await asyncio.shield(task)


async def _async_claim_and_run(
    components: GatewayComponents, row_key: str, request_hash: str, run: RunRequest
) -> web.Response:
    # An earlier request with this key may be running elsewhere.
    async with components.ender.async_end_at_stop(refuse_unknown, may_have_run=True):
        found = await components.claims.async_claim(row_key, request_hash)
    if isinstance(found, StoredAnswer):
        return web.Response(
            status=found.status,
            body=found.body,
            headers={"Content-Type": found.content_type, HEADER_REPLAYED: "1"},
        )
    answer = await _async_run_and_update_claim(components, found, run)
    await components.claims.async_finish(
        found, answer.status, answer.content_type, answer.body
    )
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={"Content-Type": answer.content_type},
    )


async def _async_run_and_update_claim(
    components: GatewayComponents, claim: Claim, run: RunRequest
) -> EndpointResponse:
    try:
        return await run()
    except Refusal as refusal:
        if refusal.outcome is Outcome.NOT_RUN:
            await components.claims.async_release(claim)
        else:
            await components.claims.async_mark_unknown(claim)
        raise
