"""A request that crashes every endpoint that runs it.

Guards against such a request crashing one endpoint after the other. One caller repeated
a streaming request, each time with a new id and through another daemon: 14 engines
crashed within 11 s, with all their other streams, and some models had no endpoint left.
Failures were counted by endpoint and never by request, so each retry, and each repeated
request with its new id, went to a further engine. The placer loaded the model on other
engines, which then received the request too.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from chutelink.exceptions import ConnectionBroken
from standins.prepared_endpoint import CRASH_BODY

from .relay_harness import async_relay_harness

MAX_REQUESTS = 10
MAX_CRASHES = 3
"""The number of crashes that the operators allow for a repeated request."""


async def async_add_endpoints(harness, service: str, models=None) -> list:
    names = [f"i-{number}" for number in range(6)]
    return [
        await harness.async_add(name, service, dict(models or {})) for name in names
    ]


async def async_register_restarts(harness) -> None:
    """Pass the registrations of restarted endpoints to the daemon, like the store."""
    while True:
        await asyncio.sleep(0.02)
        for endpoint in harness.machines.endpoints.values():
            harness.register(endpoint)


async def async_send_repeatedly(harness, path: str, **headers: str) -> list[int]:
    """Send the same content repeatedly, each time with a new request id."""
    statuses = []
    for number in range(MAX_REQUESTS):
        async with harness.request(
            path, f"bad-{number}", CRASH_BODY, **headers
        ) as answer:
            await answer.read()
            statuses.append(answer.status)
        await asyncio.sleep(0.05)
    return statuses


async def async_count_crashes(path: str, service: str, **headers: str) -> int:
    """Return how many endpoints a repeated request crashes."""
    async with async_relay_harness() as harness:
        harness.machines.restart_delay_s = 0.1
        harness.configure()
        models = {"m0": []} if service == "llm" else {}
        endpoints = await async_add_endpoints(harness, service, models)
        task = asyncio.ensure_future(async_register_restarts(harness))
        statuses = await async_send_repeatedly(harness, path, **headers)
        crashes = sum(endpoint.crash_count for endpoint in endpoints)
        if crashes <= MAX_CRASHES:
            # A quarantined request is refused as not run.
            assert statuses[-1] == 503
        async with harness.request(path, "good", **headers) as answer:
            assert answer.status == 200
        task.cancel()
        return crashes


def test_repeated_crashing_request_is_quarantined():
    stream = {"X_Model": "m0", "X_Token_Count": "10,5"}

    async def async_test():
        crashes = {
            "idempotent": await async_count_crashes("/again/x", "plain"),
            "non-idempotent": await async_count_crashes("/once/x", "plain"),
            "resumable": await async_count_crashes("/stream/x", "llm", **stream),
        }
        assert all(1 <= count <= MAX_CRASHES for count in crashes.values()), crashes

    asyncio.run(async_test())


def test_restart_before_broken_connection_is_handled_counts_as_crash():
    """The address accepts connections again; only the start time differs."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            row = harness.state.endpoints.rows["i-1"]
            exchange = SimpleNamespace(
                fingerprint="f", prompt_parts=(), method="GET", host="a", target="/x"
            )
            endpoint.born_ms = 2000
            harness.register(endpoint)
            error = ConnectionBroken("silent", step="test")
            await harness.relay.async_note_broken(exchange, row, error, 0.0)
            assert len(harness.quarantine.table.get("f").endings) == 1

    asyncio.run(async_test())
