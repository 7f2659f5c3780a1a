"""Shared parts of the stand-ins: command line, HTTP server, fault settings."""

from __future__ import annotations

import argparse
import asyncio
import signal
from typing import TypeVar

import msgspec
from aiohttp import web

StructT = TypeVar("StructT", bound=msgspec.Struct)

FAULTS_PATH = "/standin/faults"


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1", help="IP address to bind")
    parser.add_argument("--port", type=int, required=True, help="port to bind")
    return parser


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a JSON response for any msgspec value."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


async def async_decode(request: web.Request, kind: type[StructT]) -> StructT:
    """Decode the body into a struct; answer a malformed body with status 400."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def merge_faults(current: StructT, changes: bytes) -> StructT:
    """Return a copy of the faults with the fields of a JSON object applied."""
    values = msgspec.structs.asdict(current)
    values.update(msgspec.json.decode(changes, type=dict))
    return msgspec.convert(values, type(current))


async def _async_serve(app: web.Application, address: str, port: int) -> None:
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0
    )
    await runner.setup()
    await web.TCPSite(runner, address, port, reuse_address=True).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def serve(app: web.Application, address: str, port: int) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code."""
    asyncio.run(_async_serve(app, address, port))
    return 0
