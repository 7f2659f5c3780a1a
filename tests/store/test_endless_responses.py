"""Control calls to the store and to endpoints that respond without end."""

from __future__ import annotations

import asyncio

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
from chutelink.responses import MAX_CONTROL_BYTES, MAX_STORE_BYTES, BoundedConnector
from chutelink.settings import PlatformSection
from chutelink.store.http import PlatformServiceClient
from standins.endless import EndlessPart, EndlessServer

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
"""What the buffers of both sockets may take besides what is read."""
PARTS = [
    EndlessPart.HEADERS,
    EndlessPart.INTERIM,
    EndlessPart.BODY,
    EndlessPart.CHUNKS,
    EndlessPart.CHUNK_EXTENSION,
    EndlessPart.TRAILERS,
]
TIMEOUT_S = 30.0
"""Long enough for the limits to apply first."""
all_parts = pytest.mark.parametrize("part", PARTS, ids=lambda part: part.value)


def run_with_server(part: EndlessPart, max_bytes: int, async_call) -> None:
    """Run a call to a server that has to be stopped by a limit."""

    async def async_test():
        server = EndlessServer(part, max_bytes + MAX_BUFFERED_BYTES)
        await server.async_start()
        async with aiohttp.ClientSession(connector=BoundedConnector()) as session:
            await async_call(session, server)
        await asyncio.sleep(0.1)
        assert server.requests
        assert not server.is_exhausted
        await server.async_close()

    asyncio.run(async_test())


def make_settings(server: EndlessServer) -> PlatformSection:
    return PlatformSection(
        url=f"http://{server.address}", key="key", timeout_s=TIMEOUT_S
    )


@all_parts
def test_store_read_fails_at_the_limit(part):
    async def async_call(session, server):
        settings = make_settings(server)
        client = PlatformServiceClient(session, settings, "store")
        with pytest.raises(PlatformUnavailable):
            await client.async_call("GET", "/rows", step="read", is_read=True)

    run_with_server(part, MAX_STORE_BYTES, async_call)


def test_outcome_of_a_store_write_is_unknown_at_the_limit():
    async def async_call(session, server):
        settings = make_settings(server)
        client = PlatformServiceClient(session, settings, "store")
        with pytest.raises(WriteOutcomeUnknown):
            await client.async_call(
                "POST", "/rows", step="write", body=b"{}", is_conditional_write=True
            )

    run_with_server(EndlessPart.BODY, MAX_STORE_BYTES, async_call)


def make_endpoint(server: EndlessServer) -> Endpoint:
    ready = EndpointState.READY
    return Endpoint(EndpointRecord("i-1", "llm", server.address, "a", ready, 8, {}))


@all_parts
def test_report_of_an_endpoint_fails_at_the_limit(part):
    async def async_call(session, server):
        client = HttpEngineClient(session)
        client._timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        with pytest.raises(EndpointFailed):
            await client.async_report(make_endpoint(server))

    run_with_server(part, MAX_CONTROL_BYTES, async_call)


@all_parts
def test_order_to_an_endpoint_fails_at_the_limit(part):
    async def async_call(session, server):
        client = HttpEngineClient(session)
        client._timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        order = Order(OrderAction.LOAD, "m0", "", 0, "d1", 1)
        with pytest.raises(EndpointFailed):
            await client.async_order(make_endpoint(server), order)

    run_with_server(part, MAX_CONTROL_BYTES, async_call)
