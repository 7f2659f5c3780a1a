"""HTTP handlers for address lookups by callers and readiness checks by operators."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from ..entry.directory import Directory
from ..ids import FailureDomainName, RegionName

PATH_RESOLVE = "/api/resolve"
PATH_READY = "/api/ready"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def make_directory_handler(directory: Directory) -> Handler:
    """Return the handler that answers callers with addresses to connect to."""

    async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != PATH_RESOLVE:
            return web.Response(status=404)
        query = request.query
        addresses = directory.addresses(
            FailureDomainName(query.get("zone", "")),
            query.get("name", ""),
            RegionName(query.get("region", "")) or None,
        )
        if not addresses:
            return web.Response(status=503)
        answer = {"addresses": addresses, "ttl_s": directory.valid_s}
        return web.json_response(answer)

    return async_handle


def make_ready_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return the handler that reports whether this daemon serves callers."""

    async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != PATH_READY:
            return web.Response(status=404)
        return web.Response(status=200 if is_ready() else 503)

    return async_handle
