"""Engines and services that end their connections within a response to a gateway."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from chutelink.endpoints.client import EndpointClient
from chutelink.endpoints.messages import Order, OrderAction
from chutelink.exceptions import EndpointFailed
from chutelink.fleet.model import EndpointSpec
from chutelink.responses import BoundedConnector
from chutelink.settings import EndpointsSection

from ..raw_server import (
    CHUNKED,
    HEAD,
    RESPONSES,
    WITH_LENGTH,
    async_raw_server,
    cut_everywhere,
)
from .test_endless_responses import make_request


def run_with_client(async_call, responses, *, is_reset=False) -> None:
    """Check that a call fails for each of the responses."""

    async def async_test():
        async with (
            async_raw_server(is_reset=is_reset) as server,
            aiohttp.ClientSession(connector=BoundedConnector()) as session,
        ):
            spec = EndpointSpec("e", f"http://{server.address}", "a", "vm")
            client = EndpointClient(session, EndpointsSection())
            for server.response in responses:
                with pytest.raises(EndpointFailed):
                    await async_call(client, spec)
            await client.async_close()

    asyncio.run(async_test())


@pytest.mark.parametrize("is_reset", [False, True], ids=["fin", "rst"])
@pytest.mark.parametrize("response", RESPONSES)
def test_cut_response_fails(response, is_reset):
    """Guards against parts of a head or a body that count as a whole response."""
    run_with_client(
        lambda client, spec: client.async_exchange(spec, make_request()),
        cut_everywhere(response),
        is_reset=is_reset,
    )


CONTROL_CALLS = {
    "report": lambda client, spec: client.async_report(spec),
    "order": lambda client, spec: client.async_order(
        spec, Order(1, OrderAction.LOAD), 1.0
    ),
    "health": lambda client, spec: client.async_check_health(spec),
}


@pytest.mark.parametrize("call", CONTROL_CALLS.values(), ids=CONTROL_CALLS)
def test_cut_response_to_a_control_call_fails(call):
    run_with_client(call, cut_everywhere(WITH_LENGTH))


@pytest.mark.parametrize(
    "coding", [b"gzip", b"identity", b"xchunked", b"chunked, gzip", b"chunked,identity"]
)
def test_coding_that_states_no_end_is_no_framing(coding):
    """Guards against bodies that end with their connection and count as framed."""
    head = HEAD + b"Transfer-Encoding: " + coding
    run_with_client(
        lambda client, spec: client.async_exchange(spec, make_request()),
        [head + b"\r\n\r\nhello", CHUNKED.replace(b"chunked", coding)],
    )
