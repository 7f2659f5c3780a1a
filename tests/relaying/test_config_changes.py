"""Changes of the configuration while answers of silent endpoints run."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.platform.adapter import PreparedMachinesAdapter
from chutelink.watching.table_state import RowChange
from standins.prepared_config import make_config
from standins.prepared_endpoint import EndpointFaults

from .relay_harness import SERVICES, async_relay_harness
from .test_silent_endpoints import DEADLINE, async_read_stream, make_routes
from .test_stream import expected

SILENCE_S = 1.3
CHANGE_AFTER_S = 0.2
OTHER = {"llm": "plain", "plain": "llm"}


def with_routes(**changes):
    return {"routes": [route | changes for route in make_routes()]}


def with_services(**changes):
    services = make_config(2, SERVICES)["services"]
    return {"services": [service | changes for service in services]}


def make_moved_routes():
    return [route | {"service": OTHER[route["service"]]} for route in make_routes()]


def make_renamed_services():
    services = {kind: f"{name}-2" for kind, name in SERVICES.items()}
    config = make_config(2, services)
    return {"routes": config["routes"], "services": config["services"]}


LIMITS = {"header_bytes": 16384, "body_bytes": 100_000}
CHANGES = {
    "idle": {"limits": LIMITS | {"idle_timeout_ms": 100, "header_timeout_ms": 100}},
    "timeout_down": with_routes(timeout_ms=300, slo_ms=50),
    "timeout_up": with_routes(timeout_ms=60_000, slo_ms=20_000),
    "moved": {"routes": make_moved_routes()},
    "removed": {"routes": []},
    "attempts": with_routes(attempts=1),
    "not_resumable": with_routes(resumable=False),
    "not_repeatable": with_routes(kind="non_idempotent"),
    "service": with_services(health_path="/other", max_conns=1, cold_s=60.0),
    "renamed_services": make_renamed_services(),
}
all_changes = pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)


def apply(harness, change):
    """Put a second version of the configuration into force."""
    config = make_config(2, SERVICES, routes=make_routes()) | change
    kept = PreparedMachinesAdapter().compact_row("config/config", config)
    harness.state.apply_row(RowChange("config/config", kept))
    assert harness.state.routes.config.version == 2


def drain(harness, standin):
    standin.change_state("draining")
    harness.register(standin)


def move(harness, standin):
    standin.service = "other"
    harness.register(standin)


def remove(harness, standin):
    harness.remove(standin)


async def async_change(harness, standins, change):
    """Change the configuration while endpoints are silent."""
    for standin in standins:
        standin.fall_silent(SILENCE_S)
    await asyncio.sleep(CHANGE_AFTER_S)
    if callable(change):
        for standin in standins:
            change(harness, standin)
        return
    apply(harness, change)


async def async_check_stream(harness, standins, change):
    """Change the configuration at the second event of a stream; it is not cut."""
    changing = []

    def on_received(received):
        if received.count(b"\n\n") >= 2 and not changing:
            changing.append(
                asyncio.ensure_future(async_change(harness, standins, change))
            )

    assert await async_read_stream(harness, "q1", on_received) == expected()
    await changing[0]


async def async_check_plain(harness, standins, change, path):
    """Change the configuration after a request was sent; it is answered."""
    changing = asyncio.ensure_future(async_change(harness, standins, change))
    await asyncio.sleep(0)
    async with harness.request(path, **DEADLINE) as answer:
        assert (answer.status, await answer.read()) == (200, b"done body")
    await changing


def run_changed(change):
    """Run a stream and plain requests across a change, with silent endpoints."""

    async def async_run(service, async_check):
        async with async_relay_harness() as harness:
            harness.configure(routes=make_routes())
            models = {"m0": []} if service == "llm" else {}
            standins = [
                await harness.async_add(f"i-{number}", service, models)
                for number in (1, 2)
            ]
            await async_check(harness, standins)

    async def async_test():
        await asyncio.gather(
            async_run("llm", lambda h, s: async_check_stream(h, s, change)),
            async_run("plain", lambda h, s: async_check_plain(h, s, change, "/once/x")),
            async_run(
                "plain", lambda h, s: async_check_plain(h, s, change, "/again/x")
            ),
        )

    asyncio.run(async_test())


@all_changes
def test_answers_go_on_when_the_configuration_changes(change):
    """Guards against limits of a newer configuration for answers under way."""
    run_changed(change)


@pytest.mark.parametrize("change", [drain, move, remove])
def test_answers_go_on_when_registrations_change(change):
    run_changed(change)


@pytest.mark.parametrize("change", ["removed", "renamed_services"])
def test_end_of_an_unframed_response_counts_when_its_service_is_removed(change):
    """Guards against ends that can't be checked for want of a service."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure(routes=make_routes())
            endpoint = await harness.async_add("i-1", "plain")
            endpoint.faults = EndpointFaults(end_unframed=1, unframed_events=1)
            endpoint.fall_silent(0.3)
            asking = asyncio.ensure_future(async_ask(harness, "/once/x"))
            while not endpoint.received_headers:
                if harness.state.routes.config.version == 1 and harness.http.in_flight:
                    apply(harness, CHANGES[change])
                await asyncio.sleep(0)
            assert await asking == (200, b"id: 1\ndata: t1\n\n")

    asyncio.run(async_test())


async def async_ask(harness, path):
    async with harness.request(path, **DEADLINE) as answer:
        return answer.status, await answer.read()


def test_idle_connection_of_a_caller_is_kept_when_the_idle_timeout_changes():
    """Guards against requests that cross the close of their connection."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await harness.async_add("i-1", "plain")
            assert await async_ask(harness, "/once/x") == (200, b"done body")
            pooled = [p for ps in harness.session.connector._conns.values() for p in ps]
            apply(harness, CHANGES["idle"])
            await asyncio.sleep(0.5)
            assert await async_ask(harness, "/once/x") == (200, b"done body")
            assert pooled[0][0].is_connected()

    asyncio.run(async_test())


class ClosingProtocol(asyncio.Protocol):
    """Closes a connection when its next request arrives."""

    def __init__(self, handler) -> None:
        self._handler = handler
        self.connection_lost = handler.connection_lost

    def data_received(self, data: bytes) -> None:
        self._handler.transport.abort()


@pytest.mark.parametrize("attempts", [1, 2])
def test_request_that_crosses_the_close_of_a_pooled_connection(attempts):
    """Guards against requests lost at endpoints whose idle timeout was lowered."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            assert await async_ask(harness, "/again/x") == (200, b"done body")
            apply(harness, with_routes(attempts=attempts))
            (handler,) = harness.machines._handlers[endpoint.name].connections
            handler.transport.set_protocol(ClosingProtocol(handler))
            assert await async_ask(harness, "/again/x") == (200, b"done body")

    asyncio.run(async_test())
