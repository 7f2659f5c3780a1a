"""Stores and endpoints that send a daemon something other than a response."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from chutelink.entry.endpoints import Endpoint
from chutelink.exceptions import (
    EndpointFailed,
    PlatformUnavailable,
    WriteOutcomeUnknown,
)
from chutelink.placing.inventory import Order, OrderAction
from chutelink.platform.engine import HttpEngineClient
from chutelink.platform.presence import HttpPresenceCheck
from chutelink.presence.check import Presence
from chutelink.settings import PlatformSection
from chutelink.store.http import PlatformServiceClient

from ..malformed_responses import make_malformed
from .test_cut_responses import (
    REPORT,
    STORE_BODY,
    STORE_CALLS,
    make_record,
    make_store_check,
    run_with_server,
)

ORDER = Order(OrderAction.LOAD, "m0", "", 0, "d1", 1)
OBJECT_BYTES = 8 * 1024 * 1024


@pytest.mark.parametrize("call", STORE_CALLS)
def test_malformed_response_of_the_store_is_no_result(call):
    responses = make_malformed(b"200 OK", STORE_BODY).values()
    run_with_server(make_store_check(call), responses, is_reset=False)


def test_malformed_response_of_an_engine_is_no_report():
    async def async_check(session, address):
        with pytest.raises(EndpointFailed):
            await HttpEngineClient(session).async_report(Endpoint(make_record(address)))

    responses = make_malformed(b"200 OK", REPORT).values()
    run_with_server(async_check, responses, is_reset=False)


def test_malformed_response_of_an_engine_is_no_answer_to_an_order():
    async def async_check(session, address):
        with pytest.raises(EndpointFailed):
            await HttpEngineClient(session).async_order(
                Endpoint(make_record(address)), ORDER
            )

    responses = make_malformed(b"202 Accepted", b"{}").values()
    run_with_server(async_check, responses, is_reset=False)


def test_malformed_response_to_a_presence_check_is_unknown():
    service = SimpleNamespace(engine=object(), health_path="/health")

    async def async_check(session, address):
        check = HttpPresenceCheck(session, lambda name: service)
        assert await check.async_check(make_record(address)) is Presence.UNKNOWN

    responses = make_malformed(b"200 OK", REPORT).values()
    run_with_server(async_check, responses, is_reset=False)


@pytest.mark.parametrize("body", [b"", b"x" * OBJECT_BYTES], ids=["read", "write"])
def test_response_of_the_store_whose_connection_is_reset_is_no_result(body):
    """Guards against writes that count as done as a long upload fails."""

    async def async_check(session, address):
        settings = PlatformSection(url=f"http://{address}", key="none")
        client = PlatformServiceClient(session, settings, "store")
        error = WriteOutcomeUnknown if body else PlatformUnavailable
        with pytest.raises(error):
            await client.async_call(
                "PUT" if body else "GET",
                "/objects/a",
                step="object",
                body=body or None,
                is_conditional_write=bool(body),
            )

    unframed = b"HTTP/1.1 200 OK\r\nStore-Era: 12\r\n\r\npart"
    run_with_server(async_check, [unframed], is_reset=True)


def test_response_to_an_order_whose_connection_is_reset_is_no_answer():
    async def async_check(session, address):
        with pytest.raises(EndpointFailed):
            await HttpEngineClient(session).async_order(
                Endpoint(make_record(address)), ORDER
            )

    unframed = b"HTTP/1.1 202 Accepted\r\n\r\n{"
    run_with_server(async_check, [unframed], is_reset=True)
