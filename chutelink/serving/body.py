"""Reads the bodies of requests, whose clients may send slowly or stop."""

from __future__ import annotations

import asyncio

from aiohttp import web

from ..gateway.refusals import Refusal, unavailable
from ..memory import NO_MEMORY_RETRY_S, MemoryLease
from .connection import BoundedRequestHandler

HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413
NO_BODY_MEMORY = "no memory for the body"
CLOSE_ITERATIONS = 4
"""Iterations of the event loop in which a closed connection releases its memory."""


async def async_read_body(
    request: web.BaseRequest,
    max_bytes: int | None,
    lease: MemoryLease | None,
    *,
    idle_timeout_s: float | None = None,
    timeout_s: float | None = None,
) -> bytes:
    """Return the complete body, whose memory the lease covers until it is closed.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    max_bytes : int or None
        Limit of the body.
    lease : MemoryLease or None
        Memory of the body, None if it isn't limited.
    idle_timeout_s : float or None
        Time within which each part must arrive.
    timeout_s : float or None
        Time within which the whole body must arrive.

    Raises
    ------
    Refusal
        The body is too large or too slow, or other bodies take the memory.
    """
    if max_bytes is not None:
        check_body_size(request.content_length or 0, max_bytes)
    if lease is not None:
        await _async_check_room(request, lease)
    # Parts of a few bytes would take many times their size as objects of their own.
    body = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            while part := await _async_read_part(request, idle_timeout_s):
                size_bytes = len(body) + len(part)
                if max_bytes is not None:
                    check_body_size(size_bytes, max_bytes)
                if lease is not None:
                    await _async_take(request, lease, size_bytes)
                body += part
    except TimeoutError as error:
        raise Refusal(HTTP_TIMEOUT, "body not received in time") from error
    return bytes(body)


def check_body_size(size_bytes: int, max_bytes: int) -> None:
    """Refuse a body that is too large.

    Raises
    ------
    Refusal
        The size exceeds the limit.
    """
    if size_bytes > max_bytes:
        raise Refusal(HTTP_TOO_LARGE, f"body above {max_bytes} bytes")


async def _async_read_part(
    request: web.BaseRequest, idle_timeout_s: float | None
) -> bytes:
    async with asyncio.timeout(idle_timeout_s):
        return await request.content.readany()


async def _async_check_room(request: web.BaseRequest, lease: MemoryLease) -> None:
    """Refuse a body whose announced size does not fit; nothing is taken for it."""
    length_bytes = request.content_length or 0
    if lease.fits(length_bytes):
        return
    await _async_make_room(request)
    if not lease.fits(length_bytes):
        raise unavailable(NO_BODY_MEMORY, NO_MEMORY_RETRY_S)


async def _async_take(
    request: web.BaseRequest, lease: MemoryLease, size_bytes: int
) -> None:
    """Take the memory of a body, at the cost of bodies that stall if necessary."""
    if lease.try_resize(size_bytes):
        return
    await _async_make_room(request)
    # Announced bytes may never come, so that only those received count.
    if not lease.try_resize(size_bytes):
        raise unavailable(NO_BODY_MEMORY, NO_MEMORY_RETRY_S)


async def _async_make_room(request: web.BaseRequest) -> None:
    """Close connections whose bodies stall, until their memory is released."""
    connection = request.protocol
    if not isinstance(connection, BoundedRequestHandler):
        return
    if connection.make_room():
        for _ in range(CLOSE_ITERATIONS):
            await asyncio.sleep(0)
