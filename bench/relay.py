"""A minimal relay on the same HTTP library: a lower bound for a gateway's latency."""

from __future__ import annotations

import aiohttp
from aiohttp import web

from standins.web import make_parser, serve


def main() -> int:
    """Relay every request to one fixed target."""
    parser = make_parser("Bare relay.")
    parser.add_argument("--target", required=True)
    args = parser.parse_args()
    app = web.Application()

    async def async_session(app: web.Application):
        connector = aiohttp.TCPConnector(limit=0)
        app["session"] = aiohttp.ClientSession(connector=connector)
        yield
        await app["session"].close()

    async def async_relay(request: web.Request) -> web.StreamResponse:
        headers = {
            name: request.headers[name]
            for name in ("Content-Type", "X-Request-Id")
            if name in request.headers
        }
        async with request.app["session"].post(
            args.target + request.path, data=await request.read(), headers=headers
        ) as answer:
            if answer.content_type != "text/event-stream":
                return web.Response(
                    body=await answer.read(), content_type=answer.content_type
                )
            response = web.StreamResponse()
            response.content_type = answer.content_type
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            return response

    app.cleanup_ctx.append(async_session)
    app.router.add_post("/{tail:.*}", async_relay)
    return serve(app, args.address, args.port)


if __name__ == "__main__":
    raise SystemExit(main())
