"""Endpoints that end their connections within the head of a response."""

from __future__ import annotations

import asyncio
import time

import pytest
from multidict import CIMultiDict

from chutelink.entry.endpoints import Endpoint, EndpointRecord, EndpointState
from chutelink.exceptions import ConnectionBroken
from chutelink.presence.check import Presence, PresenceCheck
from chutelink.relaying.upstream import EndpointCall, Upstream
from chutelink.watching.table_state import RowChange

from ..raw_server import (
    HEAD,
    INTERIM,
    RESPONSES,
    WITH_LENGTH,
    async_raw_server,
    cut_everywhere,
)
from .relay_harness import async_relay_harness
from .test_stream import expected, headers

LIMIT_S = 5.0
SWITCHING = HEAD.replace(b"200 OK", b"101 Switching Protocols")
CUTS = {
    "nothing": b"",
    "status": HEAD[:11],
    "header": HEAD[:-4],
    "length": WITH_LENGTH[: WITH_LENGTH.index(b"12") + 1],
    "line_end": WITH_LENGTH[: WITH_LENGTH.index(b"\r\n\r\n") + 3],
    "interim": INTERIM + HEAD,
    "two_lengths": HEAD + b"Content-Length: 5\r\nContent-Length: 12\r\n\r\nhello",
    "short_body": WITH_LENGTH[:-1],
    "switching": SWITCHING + b"Content-Length: 5\r\n\r\nhe",
}
all_cuts = pytest.mark.parametrize("response", CUTS.values(), ids=CUTS)
all_ends = pytest.mark.parametrize("is_reset", [False, True], ids=["fin", "rst"])


class AlwaysPresent(PresenceCheck):
    """Finds every process at its address."""

    async def async_check(self, record: EndpointRecord) -> Presence:
        return Presence.SAME


@all_ends
@pytest.mark.parametrize("is_repeatable", [False, True], ids=["once", "repeatable"])
@pytest.mark.parametrize("response", RESPONSES)
def test_cut_response_is_broken(response, is_repeatable, is_reset):
    """Guards against parts of a head that count as a whole response."""

    async def async_test():
        upstream = Upstream(AlwaysPresent(), time.monotonic)
        call = EndpointCall("POST", "/x", "h", CIMultiDict(), b"", is_repeatable)
        async with async_raw_server(is_reset=is_reset) as server:
            ready = EndpointState.READY
            record = EndpointRecord("i-1", "llm", server.address, "a", ready, 8, {})
            for server.response in cut_everywhere(response):
                with pytest.raises(ConnectionBroken):
                    await upstream.async_exchange(Endpoint(record), call, LIMIT_S)
        await upstream.async_close()

    asyncio.run(async_test())


def register_raw(harness, server, service, models=None):
    """Register the raw server as the address of an endpoint."""
    row = {
        "service": service,
        "address": server.address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "models": [{"name": name, "version": 1} for name in models or ()],
        "seq": 0,
    }
    harness.state.apply_row(RowChange("endpoints/i-0", row))


@all_ends
@all_cuts
@pytest.mark.parametrize(
    ("path", "service", "sent", "body"),
    [
        ("/again/x", "plain", {}, b"done body"),
        ("/stream/x", "llm", headers(), expected()),
    ],
    ids=["plain", "stream"],
)
def test_repeatable_request_goes_on_elsewhere(
    path, service, sent, body, response, is_reset
):
    """Guards against a success whose body is empty or short."""

    async def async_test():
        models = {"m0": []} if service == "llm" else {}
        async with (
            async_raw_server(response, is_reset=is_reset) as server,
            async_relay_harness() as harness,
        ):
            harness.configure()
            register_raw(harness, server, service, models)
            asking = asyncio.ensure_future(async_ask(harness, path, sent))
            while not server.requests:
                await asyncio.sleep(0)
            await harness.async_add("i-1", service, models)
            assert await asking == (200, body)

    asyncio.run(async_test())


async def async_ask(harness, path, sent):
    async with harness.request(path, **sent) as answer:
        return answer.status, await answer.read()


@all_ends
@all_cuts
def test_outcome_of_a_request_that_must_not_be_repeated_is_unknown(response, is_reset):
    async def async_test():
        async with (
            async_raw_server(response, is_reset=is_reset) as server,
            async_relay_harness() as harness,
        ):
            harness.configure()
            register_raw(harness, server, "plain")
            async with harness.request("/once/x") as answer:
                assert answer.status >= 500
                assert answer.headers["Chutelink-Outcome"] == "unknown"
            assert server.requests == 1

    asyncio.run(async_test())
