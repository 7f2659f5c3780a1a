"""Stand-in of a model server: one process, which speaks what `PROTOCOL.md` says.

It prints a line for each request that it begins to run, and for each order.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

from aiohttp import web

TOKENS_PER_EVENT = 5


class ModelServer:
    """Answers reports, orders and requests."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._id = args.id
        self._prefill_s = args.prefill_s
        self._event_s = args.event_s
        self._version = args.version
        self._tell_after = args.tell_after
        self._models: dict[str, list[str]] = {name: [] for name in args.models}
        self._sequence = 0
        self._active = 0

    def make_server(self) -> web.Server:
        """Return the HTTP server."""
        return web.Server(self.async_handle, handler_cancellation=True)

    def _tell(self, **fields: object) -> None:
        print(json.dumps({"server": self._id, **fields}), flush=True)

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        if request.headers.get("X-Expect-Instance", self._id) != self._id:
            return web.Response(status=421)
        if request.path == "/health":
            return web.Response(headers={"X-Instance-Id": self._id})
        if request.path == "/api/report":
            return web.json_response(self._report())
        if request.path == "/api/order":
            return self._handle_order(json.loads(await request.read()))
        return await self._async_run(request)

    def _report(self) -> dict[str, object]:
        models = [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self._models.items()
        ]
        return {
            "stage": "unified",
            "models": models,
            "busy": False,
            "seq": self._sequence,
            "queued": 0,
            "active": self._active,
            "kv_used": 0,
            "kv_total": 254071,
            "handles": 0,
            "at_hand": {"in_memory": [], "on_disk": list(self._models)},
        }

    def _handle_order(self, order: dict) -> web.Response:
        self._tell(order=order)
        if order.get("expected_rev", self._sequence) != self._sequence:
            return web.Response(status=409)
        adapters = self._models.setdefault(order["model"], [])
        adapter, op = order.get("adapter"), order["op"]
        if adapter is not None and (op == "load") == (adapter in adapters):
            return web.Response(status=200)
        self._sequence += 1
        if adapter is not None:
            (adapters.append if op == "load" else adapters.remove)(adapter)
        elif op == "unload":
            del self._models[order["model"]]
        return web.Response(status=202 if op == "load" else 200)

    async def _async_run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        name = request.headers.get("X-Request-Id", "")
        if not name:
            return web.Response(status=400, headers={"X-Not-Executed": "1"})
        model, _, adapter = request.headers.get("X-Model", "").partition("/")
        if model and (
            model not in self._models
            or (adapter and adapter not in self._models[model])
        ):
            return web.Response(status=421)
        self._tell(run=name, body_bytes=len(body))
        self._active += 1
        try:
            return await self._async_stream(request, name)
        finally:
            self._active -= 1

    async def _async_stream(
        self, request: web.BaseRequest, name: str
    ) -> web.StreamResponse:
        """Send events in an answer without a length, which ends with its connection."""
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {name}\r\nX-Server-Seal: {self._id}.{name}\r\n"
            "X-Weight-Versions: 1\r\nConnection: close\r\n\r\n"
        )
        transport = request.transport
        transport.write(head.encode())
        self._tell(head=name)
        tokens_out = int(request.headers.get("X-Token-Count", "0,50").split(",")[1])
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        await asyncio.sleep(self._prefill_s)
        for number in range(first, tokens_out // TOKENS_PER_EVENT + 1):
            event = f"id: {number}\ndata: {self._version}\n\n".encode()
            # An event may arrive in two parts, and a crash may fall between them.
            transport.write(event[:6])
            if number == first + self._tell_after:
                self._tell(within=name, event=number)
            await asyncio.sleep(self._event_s / 2)
            transport.write(event[6:])
            await asyncio.sleep(self._event_s / 2)
        self._tell(done=name)
        transport.close()
        response = web.Response()
        response.force_close()
        return response


async def async_main(args: argparse.Namespace) -> None:
    """Serve until the process is ended."""
    loop = asyncio.get_running_loop()
    server = ModelServer(args).make_server()
    await loop.create_server(server, args.host, args.port, reuse_address=True)
    print(json.dumps({"server": args.id, "listening": args.port}), flush=True)
    # Ends with the script, also if that is killed.
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--models", nargs="*", default=[])
    parser.add_argument("--prefill-s", type=float, default=0.15)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--event-s", type=float, default=0.025)
    parser.add_argument(
        "--tell-after",
        type=int,
        default=3,
        help="tells of an event begun after so many",
    )
    asyncio.run(async_main(parser.parse_args()))


if __name__ == "__main__":
    main()
