"""Run a request under an idempotency key, even if its caller goes away."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..endpoints.client import WholeAnswer
from .claims import Claim, StoredAnswer, claim_key
from .parts import GatewayParts
from .refusals import Outcome, Refusal, malformed

HEADER_REPLAYED = "Chutelink-Replayed"
MAX_KEY_LENGTH = 256

Run = Callable[[], Awaitable[WholeAnswer]]


async def async_run_keyed(
    parts: GatewayParts,
    caller: str,
    path: str,
    key: str,
    request_hash: str,
    run: Run,
) -> web.Response:
    """Claim the key, run the request once and store its answer.

    Parameters
    ----------
    parts : GatewayParts
        The gateway.
    caller, path, key : str
        What the claim is for.
    request_hash : str
        Tells the same request from another with the same key.
    run : callable
        Carries the request out.
    """
    if len(key) > MAX_KEY_LENGTH:
        raise malformed(f"idempotency key above {MAX_KEY_LENGTH} characters")
    row_key = claim_key(caller, path, key)
    # Once dispatched, the outcome must be stored though the caller has gone.
    task = parts.spawn(_async_run_claimed(parts, row_key, request_hash, run))
    return await asyncio.shield(task)


async def _async_run_claimed(
    parts: GatewayParts, row_key: str, request_hash: str, run: Run
) -> web.Response:
    found = await parts.claims.async_claim(row_key, request_hash)
    if isinstance(found, StoredAnswer):
        return web.Response(
            status=found.status,
            body=found.body,
            headers={"Content-Type": found.content_type, HEADER_REPLAYED: "1"},
        )
    answer = await _async_run_once(parts, found, run)
    await parts.claims.async_finish(
        found, answer.status, answer.content_type, answer.body
    )
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={"Content-Type": answer.content_type},
    )


async def _async_run_once(parts: GatewayParts, claim: Claim, run: Run) -> WholeAnswer:
    try:
        return await run()
    except Refusal as refusal:
        if refusal.outcome is Outcome.NOT_RUN:
            await parts.claims.async_release(claim)
        else:
            await parts.claims.async_mark_unknown(claim)
        raise
