"""Presence checks, against servers that respond as endpoints, others or not at all."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web

from chutelink.platform import presence
from chutelink.platform.presence import HttpPresenceCheck
from chutelink.presence.check import Presence

ENGINE = SimpleNamespace(engine=object(), health_path="/health")
PLAIN = SimpleNamespace(engine=None, health_path="/health")
BORN_MS = 1000


async def async_check(handler, service, *, address=None):
    """Return the result of a check of a server with this handler."""
    server = await asyncio.get_running_loop().create_server(
        web.Server(handler), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    record = SimpleNamespace(
        id="i-1",
        service="s",
        address=address or f"127.0.0.1:{port}",
        born_ms=BORN_MS,
    )
    async with aiohttp.ClientSession() as session:
        check = HttpPresenceCheck(session, {"s": service}.get)
        try:
            return await check.async_check(record)
        finally:
            server.close()


def respond(status=200, body=b"{}", **headers):
    sent = {name.replace("_", "-"): value for name, value in headers.items()}

    async def async_handle(request):
        assert request.headers["X-Expect-Instance"] == "i-1"
        return web.Response(status=status, body=body, headers=sent)

    return async_handle


@pytest.mark.parametrize(
    ("service", "handler", "expected"),
    [
        (ENGINE, respond(body=b'{"seq": 1}'), Presence.SAME),
        (ENGINE, respond(body=b'{"seq": 1, "born": 1000}'), Presence.SAME),
        (ENGINE, respond(body=b'{"seq": 1, "born": 2000}'), Presence.REPLACED),
        (ENGINE, respond(body=b"{}"), Presence.UNKNOWN),
        (ENGINE, respond(body=b'<"seq">'), Presence.UNKNOWN),
        (ENGINE, respond(421), Presence.REPLACED),
        (ENGINE, respond(503), Presence.UNKNOWN),
        (PLAIN, respond(X_Instance_Id="i-1"), Presence.SAME),
        (PLAIN, respond(X_Instance_Id="i-2"), Presence.REPLACED),
        (PLAIN, respond(503, X_Instance_Id="i-1"), Presence.SAME),
        (PLAIN, respond(503), Presence.UNKNOWN),
        (PLAIN, respond(), Presence.UNKNOWN),
        (PLAIN, respond(404), Presence.UNKNOWN),
        (None, respond(), Presence.UNKNOWN),
    ],
)
def test_only_the_expected_process_is_present(service, handler, expected):
    assert asyncio.run(async_check(handler, service)) is expected


def test_address_without_a_listener_is_refused():
    result = asyncio.run(async_check(respond(), PLAIN, address="127.0.0.1:1"))
    assert result is Presence.REFUSED


def test_process_that_accepts_without_a_response_is_unknown(monkeypatch):
    """Guards against processes that count as running as their kernel accepts."""
    monkeypatch.setattr(presence, "CHECK_TIMEOUT_S", 0.05)

    async def async_hang(request):
        await asyncio.sleep(60)

    assert asyncio.run(async_check(async_hang, PLAIN)) is Presence.UNKNOWN
