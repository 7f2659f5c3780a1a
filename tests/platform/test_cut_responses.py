"""Stores and endpoints that end their connections within a response to a daemon."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest

from chutelink.entry.endpoints import Endpoint, EndpointRecord, EndpointState
from chutelink.exceptions import (
    EndpointFailed,
    PlatformUnavailable,
    WriteOutcomeUnknown,
)
from chutelink.placing.inventory import Order, OrderAction
from chutelink.platform.engine import HttpEngineClient
from chutelink.platform.presence import HttpPresenceCheck
from chutelink.platform.store import async_setup_store
from chutelink.presence.check import Presence
from chutelink.responses import BoundedConnector
from chutelink.settings import PlatformSection
from chutelink.store import Transaction, Write

from ..raw_server import INTERIM, async_raw_server, cut_everywhere

STORE_BODY = b'{"rows": [], "ver": 7, "now_ms": 5.0}'
REPORT = b'{"models": [], "busy": false, "seq": 3}'
TRANSACTION = Transaction("w1", (), (Write("own/key", 1),))
all_ends = pytest.mark.parametrize("is_reset", [False, True], ids=["fin", "rst"])


def make_responses(status: bytes, body: bytes) -> list[bytes]:
    """Return all beginnings of responses, and the same body without a length."""
    head = b"HTTP/1.1 " + status + b"\r\nStore-Era: 12\r\n"
    whole = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    unframed = [
        head + coding + b"\r\n" + body[:-1]
        for coding in (b"", b"Transfer-Encoding: gzip\r\n")
    ]
    switching = whole.replace(status, b"101 Switching Protocols")
    return [*cut_everywhere(INTERIM + whole), *unframed, switching]


def run_with_server(async_check, responses, *, is_reset) -> None:
    """Run a check with a server that ends its connections after each response."""

    async def async_test():
        async with (
            async_raw_server(is_reset=is_reset) as server,
            aiohttp.ClientSession(connector=BoundedConnector()) as session,
        ):
            for server.response in responses:
                await async_check(session, server.address)

    asyncio.run(async_test())


STORE_CALLS = {
    "read": (lambda table: table.async_read("endpoints/"), PlatformUnavailable),
    "watch": (lambda table: table.async_watch("config/", 1, 0.0), PlatformUnavailable),
    "write": (lambda table: table.async_transact(TRANSACTION), WriteOutcomeUnknown),
}


def make_store_check(call):
    """Return a check that a call to the store fails."""
    async_call, error = STORE_CALLS[call]

    async def async_check(session, address):
        settings = PlatformSection(url=f"http://{address}", key="none")
        table = async_setup_store(session, settings, lambda retry: None)
        with pytest.raises(error):
            await async_call(table)

    return async_check


@all_ends
@pytest.mark.parametrize("call", STORE_CALLS)
def test_cut_response_of_the_store_is_no_result(call, is_reset):
    """Guards against parts of a page, and against writes that count as known."""
    responses = make_responses(b"200 OK", STORE_BODY)
    run_with_server(make_store_check(call), responses, is_reset=is_reset)


def make_record(address: str) -> EndpointRecord:
    ready = EndpointState.READY
    return EndpointRecord("i-1", "llm", address, "a", ready, 8, {})


@all_ends
def test_cut_response_of_an_engine_is_no_report_and_no_answer(is_reset):
    order = Order(OrderAction.LOAD, "m0", "", 0, "d1", 1)

    async def async_check(session, address):
        client = HttpEngineClient(session)
        endpoint = Endpoint(make_record(address))
        with pytest.raises(EndpointFailed):
            await client.async_report(endpoint)

    async def async_check_order(session, address):
        endpoint = Endpoint(make_record(address))
        with pytest.raises(EndpointFailed):
            await HttpEngineClient(session).async_order(endpoint, order)

    run_with_server(async_check, make_responses(b"200 OK", REPORT), is_reset=is_reset)
    cut_answers = make_responses(b"202 Accepted", b"{}")[:-3]
    run_with_server(async_check_order, cut_answers, is_reset=is_reset)


@all_ends
@pytest.mark.parametrize("status", [b"200 OK", b"421 Misdirected", b"503 Unavailable"])
def test_cut_response_to_a_presence_check_is_unknown(status, is_reset):
    service = SimpleNamespace(engine=object(), health_path="/health")

    async def async_check(session, address):
        check = HttpPresenceCheck(session, lambda name: service)
        assert await check.async_check(make_record(address)) is Presence.UNKNOWN

    cut_responses = make_responses(status, REPORT)[:-3]
    run_with_server(async_check, cut_responses, is_reset=is_reset)
