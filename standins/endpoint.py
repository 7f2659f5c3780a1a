"""Stand-in for an engine endpoint with an HTTP API to inject faults."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
from aiohttp import web

from chutelink.const import (
    HEADER_ORDER_KEY,
    HEADER_REQUEST_ID,
    STREAM_END,
)
from chutelink.endpoints.messages import (
    HEADER_NOT_RUN,
    HEADER_PRIORITY,
    HEADER_RESUME_FROM,
    HEADER_VERSION,
    PATH_ORDERS,
    PATH_REPORT,
    Order,
)
from chutelink.fleet.model import Artifact

from .engine import Engine, EngineOptions
from .text import extract_prompt
from .web import (
    FAULTS_PATH,
    async_decode,
    json_response,
    make_parser,
    merge_faults,
    serve,
)

DEFAULT_MAX_TOKENS = 16
MAX_TEMPERATURE = 2
MAX_LOGGED_REQUESTS = 200_000


class EngineEndpointFaults(msgspec.Struct, frozen=True):
    """Injected faults; each affected call decrements the count of its fault."""

    lose_orders: int = 0
    lose_order_replies: int = 0
    late_orders: int = 0
    late_order_s: float = 1.0
    doubled_orders: int = 0
    freeze: bool = False
    late_answers: int = 0
    late_answer_s: float = 1.0
    cut_answers: int = 0
    cut_after_tokens: int = 3
    wrong_ids: int = 0
    errors: int = 0
    leaving: bool = False


class EngineEndpointStandin:
    """Serves an engine over HTTP."""

    def __init__(
        self, options: EngineOptions, order_key: str, weights_url: str, load_s: float
    ) -> None:
        self.engine = Engine(options, self._async_fetch_weights)
        self.faults = EngineEndpointFaults()
        self._order_key = order_key
        self._weights_url = weights_url
        self._load_s = load_s
        self._requests: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_get(PATH_REPORT, self.async_report)
        app.router.add_post(PATH_ORDERS, self.async_order)
        app.router.add_post("/v1/chat/completions", self.async_complete)
        app.router.add_post("/v1/completions", self.async_complete)
        app.router.add_post(FAULTS_PATH, self.async_faults)
        app.router.add_get("/standin/account", self.async_account)
        app.router.add_get("/standin/requests", self.async_requests)
        return app

    async def _async_fetch_weights(self, memory_mb: int) -> None:
        """Wait as long as a load takes, after the weight store has admitted it."""
        if not self._weights_url:
            await asyncio.sleep(self._load_s)
            return
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.post(
                        f"{self._weights_url}/v1/weights/loads",
                        json={"memory_mb": memory_mb},
                    ) as response:
                        answer = await response.json(content_type=None)
                        if response.status == 200:
                            break
                        retry_s = answer.get("retry_s", 0.5)
                except (aiohttp.ClientError, ValueError):
                    retry_s = 0.5
                await asyncio.sleep(retry_s)
        await asyncio.sleep(answer["duration_s"])

    async def _async_wait_while_frozen(self) -> None:
        while self.faults.freeze:
            await asyncio.sleep(0.02)

    def _consume_fault(self, field: str) -> bool:
        remaining = getattr(self.faults, field)
        if remaining <= 0:
            return False
        self.faults = msgspec.structs.replace(self.faults, **{field: remaining - 1})
        return True

    async def _async_abort_connection(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        await asyncio.sleep(0)
        raise web.HTTPServiceUnavailable(text="dropped")

    async def async_report(self, request: web.Request) -> web.Response:
        """Return the endpoint report."""
        await self._async_wait_while_frozen()
        self.engine.is_leaving = self.faults.leaving
        response = json_response(self.engine.report())
        response.enable_compression()
        return response

    async def async_order(self, request: web.Request) -> web.Response:
        """Apply an order, subject to the injected faults."""
        if request.headers.get(HEADER_ORDER_KEY) != self._order_key:
            raise web.HTTPForbidden(text="order key missing or wrong")
        order = await async_decode(request, Order)
        await self._async_wait_while_frozen()
        if self._consume_fault("lose_orders"):
            await self._async_abort_connection(request)
        if self._consume_fault("late_orders"):
            self._schedule_order(order)
            await self._async_abort_connection(request)
        answer = self.engine.apply_order(order)
        if self._consume_fault("doubled_orders"):
            self._schedule_order(order)
        if self._consume_fault("lose_order_replies"):
            await self._async_abort_connection(request)
        return json_response(answer)

    def _schedule_order(self, order: Order) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.late_order_s, self.engine.apply_order, order)

    async def async_complete(self, request: web.Request) -> web.StreamResponse:
        """Serve a completion, streamed or in one body."""
        body = msgspec.json.decode(await request.read())
        if not 0 <= body.get("temperature", 0) <= MAX_TEMPERATURE:
            raise web.HTTPBadRequest(text="temperature must be from 0 to 2")
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        await self._async_wait_while_frozen()
        artifact = self.engine.find_loaded(
            body.get("model", ""), request.headers.get(HEADER_VERSION, "")
        )
        if artifact is None:
            raise web.HTTPServiceUnavailable(
                text="not loaded", headers={HEADER_NOT_RUN: "1"}
            )
        if len(self._requests) < MAX_LOGGED_REQUESTS:
            self._requests.append(request_id)
        if self._consume_fault("errors"):
            raise web.HTTPInternalServerError(text="engine error")
        if self._consume_fault("wrong_ids"):
            request_id = "someone-else"
        if self._consume_fault("late_answers"):
            await asyncio.sleep(self.faults.late_answer_s)
        if body.get("stream"):
            return await self._async_stream(request, body, artifact, request_id)
        return await self._async_send_complete(request, body, artifact, request_id)

    def _generate(self, request: web.Request, body: dict, artifact: Artifact):
        return self.engine.async_generate(
            artifact,
            extract_prompt(body),
            int(body.get("max_tokens", DEFAULT_MAX_TOKENS)),
            resume_from=int(request.headers.get(HEADER_RESUME_FROM, "0")),
            priority=int(request.headers.get(HEADER_PRIORITY, "5")),
        )

    async def _async_send_complete(
        self, request: web.Request, body: dict, artifact: Artifact, request_id: str
    ) -> web.Response:
        is_cut = self._consume_fault("cut_answers")
        parts = [token async for token in self._generate(request, body, artifact)]
        text = "".join(parts)
        is_chat = "messages" in body
        choice: dict = {"index": 0, "finish_reason": "length"}
        if is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        payload = msgspec.json.encode(
            {
                "id": request_id,
                "object": "chat.completion" if is_chat else "text_completion",
                "model": body["model"],
                "choices": [choice],
                "usage": {"completion_tokens": len(parts)},
            }
        )
        headers = {HEADER_REQUEST_ID: request_id}
        if not is_cut:
            return web.Response(
                body=payload, headers=headers, content_type="application/json"
            )
        response = web.StreamResponse(headers=headers)
        response.content_type = "application/json"
        response.content_length = len(payload)
        await response.prepare(request)
        await response.write(payload[: len(payload) // 2])
        await self._async_abort_connection(request)
        return response

    async def _async_stream(
        self, request: web.Request, body: dict, artifact: Artifact, request_id: str
    ) -> web.StreamResponse:
        is_cut = self._consume_fault("cut_answers")
        response = web.StreamResponse(headers={HEADER_REQUEST_ID: request_id})
        response.content_type = "text/event-stream"
        await response.prepare(request)
        sent = 0
        key = "delta" if "messages" in body else "text"
        async for token in self._generate(request, body, artifact):
            if is_cut and sent >= self.faults.cut_after_tokens:
                await self._async_abort_connection(request)
            await self._async_wait_while_frozen()
            value = {"content": token} if key == "delta" else token
            chunk = {
                "id": request_id,
                "model": body["model"],
                "choices": [{"index": 0, key: value}],
            }
            await response.write(b"data: " + msgspec.json.encode(chunk) + b"\n\n")
            sent += 1
        await response.write(STREAM_END)
        return response

    async def async_faults(self, request: web.Request) -> web.Response:
        """Change the injected faults."""
        self.faults = merge_faults(self.faults, await request.read())
        return json_response(self.faults)

    async def async_account(self, request: web.Request) -> web.Response:
        """Return the engine's statistics on memory, orders and loads."""
        return json_response(self.engine.stats)

    async def async_requests(self, request: web.Request) -> web.Response:
        """Return the ids of the requests that reached the engine."""
        return json_response(self._requests)


def main() -> int:
    """Run the endpoint stand-in."""
    parser = make_parser("Stand-in for an engine endpoint.")
    parser.add_argument("--accelerators", type=int, default=1)
    parser.add_argument("--memory-mb", type=int, default=80_000)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--step-s", type=float, default=0.02, help="seconds per token")
    parser.add_argument("--prefill-tokens-per-s", type=float, default=10_000.0)
    parser.add_argument("--ignore-fencing", action="store_true")
    parser.add_argument("--report-lag-s", type=float, default=0.2)
    parser.add_argument("--order-key", default="order-key")
    parser.add_argument("--weights-url", default="", help="URL of the weight store")
    parser.add_argument(
        "--load-s", type=float, default=0.2, help="load time without a weight store"
    )
    args = parser.parse_args()
    options = EngineOptions(
        accelerators=args.accelerators,
        memory_mb=args.memory_mb,
        slots=args.slots,
        step_s=args.step_s,
        prefill_tokens_per_s=args.prefill_tokens_per_s,
        checks_fencing=not args.ignore_fencing,
        report_lag_s=args.report_lag_s,
    )
    standin = EngineEndpointStandin(
        options, args.order_key, args.weights_url, args.load_s
    )
    return serve(standin.make_app(), args.address, args.port)
