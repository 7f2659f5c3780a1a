"""Stand-in for a plain service; calls such as permits must run at most once."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from chutelink.const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID

from .web import FAULTS_PATH, json_response, make_parser, merge_faults, serve


class ServiceFaults(msgspec.Struct, frozen=True):
    """Injected faults; each affected call decrements the count of its fault."""

    delay_s: float = 0.0
    cut_answers: int = 0
    cut_before_run: int = 0
    wrong_ids: int = 0
    freeze: bool = False


class Execution(msgspec.Struct, frozen=True):
    """One execution of a call that must not be repeated."""

    request_id: str
    idempotency_key: str
    path: str
    body: str


class ServiceStandin:
    """Records every execution, which lets tests verify at-most-once execution."""

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self.executions: list[Execution] = []
        self.lookups = 0

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_get("/healthz", self.async_health)
        app.router.add_post(FAULTS_PATH, self.async_faults)
        app.router.add_get("/standin/executions", self.async_executions)
        app.router.add_route("*", "/{tail:.*}", self.async_handle)
        return app

    async def async_health(self, request: web.Request) -> web.Response:
        """Answer a health check."""
        while self.faults.freeze:
            await asyncio.sleep(0.02)
        return json_response({"status": "ok"})

    async def async_handle(self, request: web.Request) -> web.Response:
        """Execute a call and answer with its details."""
        body = (await request.read()).decode(errors="replace")
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        while self.faults.freeze:
            await asyncio.sleep(0.02)
        if self._consume_fault("cut_before_run"):
            self._abort_connection(request)
        if request.method == "GET":
            self.lookups += 1
        else:
            key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
            execution = Execution(request_id, key, request.path, body)
            self.executions.append(execution)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self._consume_fault("cut_answers"):
            self._abort_connection(request)
        if self._consume_fault("wrong_ids"):
            request_id = "someone-else"
        answer = {
            "path": request.path,
            "method": request.method,
            "body": body,
            "number": len(self.executions),
        }
        response = json_response(answer)
        response.headers[HEADER_REQUEST_ID] = request_id
        return response

    def _consume_fault(self, field: str) -> bool:
        remaining = getattr(self.faults, field)
        if remaining <= 0:
            return False
        self.faults = msgspec.structs.replace(self.faults, **{field: remaining - 1})
        return True

    def _abort_connection(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise web.HTTPServiceUnavailable(text="dropped")

    async def async_faults(self, request: web.Request) -> web.Response:
        """Change the injected faults."""
        self.faults = merge_faults(self.faults, await request.read())
        return json_response(self.faults)

    async def async_executions(self, request: web.Request) -> web.Response:
        """Return all executions in order."""
        return json_response(self.executions)


def main() -> int:
    """Run the service stand-in."""
    args = make_parser("Stand-in for a plain service.").parse_args()
    return serve(ServiceStandin().make_app(), args.address, args.port)
