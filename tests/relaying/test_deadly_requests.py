"""A request that ends every endpoint that runs it.

What users saw: one caller sent the same streaming request again and again, each time
with a new id and to another daemon. Each engine that began to run it ended, with all
other streams on it, and was back some seconds later to be ended once more: 14 engines
within 11 s, and models that no endpoint held.

The order of events: an engine ends; the daemon takes that for a fault of the engine
and sends the same request to a second one, which ends too; the caller's next attempt
has a new id, so that nothing is known of it; the placer loads the model elsewhere, and
the request is sent there.

The cause: failures were counted by endpoint, never by request. The evidence: of the
recorded day, attempts with two endpoints that ended 70 ms apart, and no line or table
in which the attempts of one request met.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from chutelink.exceptions import ConnectionBroken
from standins.prepared_endpoint import DEADLY

from .world import async_world

ATTEMPTS = 10
MAX_ENDS = 3
"""What the operators allow before repeats are counted."""


async def async_add_endpoints(world, service: str, models=None) -> list:
    names = [f"i-{number}" for number in range(6)]
    return [await world.async_add(name, service, dict(models or {})) for name in names]


async def async_follow_restarts(world) -> None:
    """Let the daemon see each endpoint that is back, as the store would tell it."""
    while True:
        await asyncio.sleep(0.02)
        for endpoint in world.machines.endpoints.values():
            world.show(endpoint)


async def async_repeat(world, path: str, **headers: str) -> list[int]:
    """Send the same content again and again, each time under a new id."""
    statuses = []
    for number in range(ATTEMPTS):
        async with world.request(path, f"bad-{number}", DEADLY, **headers) as answer:
            await answer.read()
            statuses.append(answer.status)
        await asyncio.sleep(0.05)
    return statuses


async def async_count_ends(path: str, service: str, **headers: str) -> int:
    """Return how many endpoints a request ends that its caller repeats."""
    async with async_world() as world:
        world.machines.away_s = 0.1
        world.configure()
        models = {"m0": []} if service == "llm" else {}
        endpoints = await async_add_endpoints(world, service, models)
        task = asyncio.ensure_future(async_follow_restarts(world))
        statuses = await async_repeat(world, path, **headers)
        ends = sum(endpoint.ends for endpoint in endpoints)
        if ends <= MAX_ENDS:
            # Once it is kept away, the refusal is true: it was not run.
            assert statuses[-1] == 503
        async with world.request(path, "good", **headers) as answer:
            assert answer.status == 200
        task.cancel()
        return ends


def test_a_request_that_ends_its_endpoints_is_not_sent_on_and_on():
    stream = {"X_Model": "m0", "X_Token_Count": "10,5"}

    async def async_test():
        ends = {
            "idempotent": await async_count_ends("/again/x", "plain"),
            "non-idempotent": await async_count_ends("/once/x", "plain"),
            "resumable": await async_count_ends("/stream/x", "llm", **stream),
        }
        assert all(1 <= count <= MAX_ENDS for count in ends.values()), ends

    asyncio.run(async_test())


def test_an_endpoint_that_is_back_before_the_break_is_noticed_has_ended():
    """Its address takes connections again; only its start tells."""

    async def async_test():
        async with async_world() as world:
            world.configure()
            endpoint = await world.async_add("i-1", "plain")
            row = world.known.endpoints.rows["i-1"]
            exchange = SimpleNamespace(
                fingerprint="f", method="GET", host="a", target="/x"
            )
            endpoint.born_ms = 2000
            world.show(endpoint)
            error = ConnectionBroken("silent", step="test")
            await world.relay.async_note_broken(exchange, row, error, 0.0)
            assert len(world.quarantine.table.get("f").endings) == 1

    asyncio.run(async_test())
