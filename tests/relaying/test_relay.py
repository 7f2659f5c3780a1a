"""Buffered responses, from the view of callers and endpoints."""

from __future__ import annotations

import asyncio
import time

import pytest

from chutelink.relaying.upstream import CONNECT_TIMEOUT_S, _StrictConnector

from .relay_harness import async_relay_harness


def test_response_is_forwarded_unchanged():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            async with harness.request("/once/x?y=%2F") as answer:
                assert answer.status == 200
                assert await answer.read() == b"done body"
                assert answer.headers["X-Server-Seal"] == "seal-i-1"
            assert endpoint.received_headers[0]["X-Expect-Instance"] == "i-1"
            assert int(endpoint.received_headers[0]["X-Deadline-Ms"]) <= 3000

    asyncio.run(async_test())


def test_reserved_headers_of_callers_are_not_forwarded():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            reserved_headers = {
                "X_Hold": "h1",
                "x_pin_ms": "500",
                "Kv_From": "10.0.0.1:80/q",
            }
            reserved_headers |= {"X_Kv_Backup": "10.0.0.1:80", "X_Request_Urgency": "0"}
            async with harness.request("/once/x", **reserved_headers) as answer:
                assert answer.status == 200
            sent = {name.lower() for name in endpoint.received_headers[0]}
            names = {name.replace("_", "-").lower() for name in reserved_headers}
            assert not sent & names

    asyncio.run(async_test())


def test_requests_without_configuration_are_refused_as_not_run():
    async def async_test():
        async with (
            async_relay_harness() as harness,
            harness.request("/once/x") as answer,
        ):
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0

    asyncio.run(async_test())


def test_unknown_route_returns_404():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            async with harness.request("/nowhere/") as answer:
                assert answer.status == 404

    asyncio.run(async_test())


def test_request_that_was_not_run_is_retried_at_another_endpoint():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await harness.async_add("i-1", "plain")
            second = await harness.async_add("i-2", "plain")
            first.faults = type(first.faults)(refuse=1)
            second.faults = first.faults
            async with harness.request("/once/x") as answer:
                # Both refuse once, and the route allows two endpoints.
                assert answer.status == 503
            assert not first.runs and not second.runs
            async with harness.request("/once/x", "q2") as answer:
                assert answer.status == 200

    asyncio.run(async_test())


def test_non_idempotent_request_runs_once_if_response_is_lost():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await harness.async_add("i-1", "plain")
            second = await harness.async_add("i-2", "plain")
            first.faults = type(first.faults)(reset_unframed=1)
            second.faults = first.faults
            async with harness.request("/once/x") as answer:
                assert answer.status == 502
                assert "Retry-After" not in answer.headers
            assert len(first.runs) + len(second.runs) == 1

    asyncio.run(async_test())


def test_reset_of_body_without_length_is_not_treated_as_complete():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await harness.async_add("i-1", "plain")
            first.faults = type(first.faults)(reset_unframed=1)
            second = await harness.async_add("i-2", "plain")
            second.faults = first.faults
            async with harness.request("/again/x") as answer:
                assert answer.status == 502

    asyncio.run(async_test())


@pytest.mark.parametrize(("path", "runs"), [("/again/x", 2), ("/once/x", 1)])
def test_body_without_length_cut_off_by_a_crash_is_not_complete(path, runs):
    """Guards against partial bodies that are passed on as successes."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoints = [await harness.async_add(name, "plain") for name in "ab"]
            for endpoint in endpoints:
                endpoint.faults = type(endpoint.faults)(crash_unframed=1)
            async with harness.request(path) as answer:
                assert answer.status == 502
            assert sum(len(endpoint.runs) for endpoint in endpoints) == runs

    asyncio.run(async_test())


def test_idempotent_request_is_retried_after_server_error():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await harness.async_add("i-1", "plain")
            second = await harness.async_add("i-2", "plain")
            first.faults = type(first.faults)(errors=1)
            async with harness.request("/again/x") as answer:
                assert answer.status == 200
            assert len(second.runs) == 1

    asyncio.run(async_test())


def test_server_error_is_forwarded_if_every_endpoint_fails():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await harness.async_add("i-1", "plain")
            first.faults = type(first.faults)(errors=2)
            async with harness.request("/again/x") as answer:
                assert answer.status == 500
                assert await answer.read() == b"own error"
                assert answer.headers["X-Server-Seal"] == "seal-i-1"

    asyncio.run(async_test())


def test_response_to_another_request_is_never_forwarded():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await harness.async_add("i-1", "plain")
            first.faults = type(first.faults)(foreign=1)
            async with harness.request("/once/x") as answer:
                assert answer.status == 502
                assert "X-Server-Seal" not in answer.headers

    asyncio.run(async_test())


def test_body_over_limit_is_refused_without_dispatch():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure(limits={"body_bytes": 2})
            endpoint = await harness.async_add("i-1", "plain")
            async with harness.request("/once/x") as answer:
                assert answer.status == 413
            assert not endpoint.runs

    asyncio.run(async_test())


def test_headers_over_limit_are_refused():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure(limits={"header_bytes": 200})
            await harness.async_add("i-1", "plain")
            async with harness.request("/once/x", X_Long="x" * 300) as answer:
                assert answer.status == 431

    asyncio.run(async_test())


def test_request_times_out_at_deadline():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            endpoint.faults = type(endpoint.faults)(mute=1)
            async with harness.request("/once/x", X_Deadline_Ms="100") as answer:
                assert answer.status == 504
            await asyncio.sleep(0.05)
            assert endpoint.cancelled == ["q1"]

    asyncio.run(async_test())


@pytest.mark.parametrize("path", ["/once/x", "/again/x", "/stream/x"])
def test_deadline_while_connecting_refuses_the_request_as_not_run(path, monkeypatch):
    """Guards against an unknown outcome of requests that were never sent."""

    async def async_connect(*arguments):
        await asyncio.sleep(3600)

    monkeypatch.setattr(_StrictConnector, "_create_connection", async_connect)

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await harness.async_add("i-1", "plain")
            await harness.async_add("i-2", "llm", {"m0": []})
            sent = {"X_Deadline_Ms": "300"}
            sent |= {"X_Model": "m0"} if path == "/stream/x" else {}
            async with harness.request(path, **sent) as answer:
                assert answer.status == 503
                assert b"not-run" in await answer.read()

    asyncio.run(async_test())


def test_endpoint_request_is_cancelled_if_caller_disconnects():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            endpoint.faults = type(endpoint.faults)(mute=1)
            task = asyncio.ensure_future(harness.request("/again/x").__aenter__())
            while not endpoint.runs:
                await asyncio.sleep(0.01)
            task.cancel()
            while not endpoint.cancelled:
                await asyncio.sleep(0.01)
            assert endpoint.cancelled == ["q1"]

    asyncio.run(async_test())


def test_draining_endpoint_gets_no_new_requests():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await harness.async_add("i-1", "plain")
            second = await harness.async_add("i-2", "plain")
            first.state = "draining"
            harness.register(first)
            for number in range(5):
                async with harness.request("/once/x", f"q{number}") as answer:
                    assert answer.status == 200
            assert not first.runs and len(second.runs) == 5

    asyncio.run(async_test())


def test_repeatable_request_survives_unresponsive_pooled_connection():
    """New connections work; only the timeout of the first attempt detects it."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            async with harness.request("/again/x", "q1") as answer:
                assert answer.status == 200
            endpoint.faults = type(endpoint.faults)(mute=1)
            async with harness.request("/again/x", "q2", X_Deadline_Ms="600") as answer:
                assert answer.status == 200
            assert endpoint.runs == ["q1", "q2", "q2"]

    asyncio.run(async_test())


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
def test_stall_while_connecting_does_not_make_an_endpoint_unreachable(
    path, monkeypatch
):
    """Guards against refusals after this process stood still."""
    async_create = _StrictConnector._create_connection

    async def async_stall_and_connect(*arguments):
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, CONNECT_TIMEOUT_S + 0.1)
        return await async_create(*arguments)

    monkeypatch.setattr(_StrictConnector, "_create_connection", async_stall_and_connect)

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            async with harness.request(path) as answer:
                assert answer.status == 200
            assert endpoint.runs == ["q1"]

    asyncio.run(async_test())
