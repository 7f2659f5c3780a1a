"""Whole answers, as callers and endpoints see them."""

from __future__ import annotations

import asyncio

from .world import async_world


def test_an_answer_is_passed_on_unchanged():
    async def async_test():
        async with async_world() as world:
            world.configure()
            endpoint = await world.async_add("i-1", "plain")
            async with world.request("/once/x?y=%2F") as answer:
                assert answer.status == 200
                assert await answer.read() == b"done body"
                assert answer.headers["X-Server-Seal"] == "seal-i-1"
            assert endpoint.seen[0]["X-Expect-Instance"] == "i-1"
            assert int(endpoint.seen[0]["X-Deadline-Ms"]) <= 3000

    asyncio.run(async_test())


def test_what_only_this_system_may_ask_of_endpoints_is_not_passed_on():
    async def async_test():
        async with async_world() as world:
            world.configure()
            endpoint = await world.async_add("i-1", "plain")
            asked = {"X_Hold": "h1", "x_pin_ms": "500", "Kv_From": "10.0.0.1:80/q"}
            asked |= {"X_Kv_Backup": "10.0.0.1:80", "X_Request_Urgency": "0"}
            async with world.request("/once/x", **asked) as answer:
                assert answer.status == 200
            sent = {name.lower() for name in endpoint.seen[0]}
            names = {name.replace("_", "-").lower() for name in asked}
            assert not sent & names

    asyncio.run(async_test())


def test_without_a_configuration_requests_are_refused_as_not_run():
    async def async_test():
        async with async_world() as world, world.request("/once/x") as answer:
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0

    asyncio.run(async_test())


def test_an_unknown_route_is_not_found():
    async def async_test():
        async with async_world() as world:
            world.configure()
            async with world.request("/nowhere/") as answer:
                assert answer.status == 404

    asyncio.run(async_test())


def test_a_request_that_was_not_run_is_sent_elsewhere():
    async def async_test():
        async with async_world() as world:
            world.configure()
            first = await world.async_add("i-1", "plain")
            second = await world.async_add("i-2", "plain")
            first.faults = type(first.faults)(refuse=1)
            second.faults = first.faults
            async with world.request("/once/x") as answer:
                # Both refuse once, and the route allows two endpoints.
                assert answer.status == 503
            assert not first.runs and not second.runs
            async with world.request("/once/x", "q2") as answer:
                assert answer.status == 200

    asyncio.run(async_test())


def test_non_idempotent_work_runs_once_when_its_answer_is_lost():
    async def async_test():
        async with async_world() as world:
            world.configure()
            first = await world.async_add("i-1", "plain")
            second = await world.async_add("i-2", "plain")
            first.faults = type(first.faults)(reset_unframed=1)
            second.faults = first.faults
            async with world.request("/once/x") as answer:
                assert answer.status == 502
                assert "Retry-After" not in answer.headers
            assert len(first.runs) + len(second.runs) == 1

    asyncio.run(async_test())


def test_a_body_without_a_length_that_is_reset_is_not_taken_for_whole():
    async def async_test():
        async with async_world() as world:
            world.configure()
            first = await world.async_add("i-1", "plain")
            first.faults = type(first.faults)(reset_unframed=1)
            second = await world.async_add("i-2", "plain")
            second.faults = first.faults
            async with world.request("/again/x") as answer:
                assert answer.status == 502

    asyncio.run(async_test())


def test_idempotent_work_is_repeated_after_an_error():
    async def async_test():
        async with async_world() as world:
            world.configure()
            first = await world.async_add("i-1", "plain")
            second = await world.async_add("i-2", "plain")
            first.faults = type(first.faults)(errors=1)
            async with world.request("/again/x") as answer:
                assert answer.status == 200
            assert len(second.runs) == 1

    asyncio.run(async_test())


def test_an_error_of_every_endpoint_is_passed_on():
    async def async_test():
        async with async_world() as world:
            world.configure()
            first = await world.async_add("i-1", "plain")
            first.faults = type(first.faults)(errors=2)
            async with world.request("/again/x") as answer:
                assert answer.status == 500
                assert await answer.read() == b"own error"
                assert answer.headers["X-Server-Seal"] == "seal-i-1"

    asyncio.run(async_test())


def test_an_answer_to_another_request_is_never_passed_on():
    async def async_test():
        async with async_world() as world:
            world.configure()
            first = await world.async_add("i-1", "plain")
            first.faults = type(first.faults)(foreign=1)
            async with world.request("/once/x") as answer:
                assert answer.status == 502
                assert "X-Server-Seal" not in answer.headers

    asyncio.run(async_test())


def test_a_body_over_the_limit_is_refused_unread():
    async def async_test():
        async with async_world() as world:
            world.configure(limits={"body_bytes": 2})
            endpoint = await world.async_add("i-1", "plain")
            async with world.request("/once/x") as answer:
                assert answer.status == 413
            assert not endpoint.runs

    asyncio.run(async_test())


def test_headers_over_the_limit_are_refused():
    async def async_test():
        async with async_world() as world:
            world.configure(limits={"header_bytes": 200})
            await world.async_add("i-1", "plain")
            async with world.request("/once/x", X_Long="x" * 300) as answer:
                assert answer.status == 431

    asyncio.run(async_test())


def test_a_request_ends_at_its_routes_time_limit():
    async def async_test():
        async with async_world() as world:
            world.configure()
            endpoint = await world.async_add("i-1", "plain")
            endpoint.faults = type(endpoint.faults)(mute=1)
            async with world.request("/once/x", X_Deadline_Ms="100") as answer:
                assert answer.status == 504
            await asyncio.sleep(0.05)
            assert endpoint.cancelled == ["q1"]

    asyncio.run(async_test())


def test_an_endpoint_stops_work_when_its_caller_leaves():
    async def async_test():
        async with async_world() as world:
            world.configure()
            endpoint = await world.async_add("i-1", "plain")
            endpoint.faults = type(endpoint.faults)(mute=1)
            task = asyncio.ensure_future(world.request("/again/x").__aenter__())
            while not endpoint.runs:
                await asyncio.sleep(0.01)
            task.cancel()
            while not endpoint.cancelled:
                await asyncio.sleep(0.01)
            assert endpoint.cancelled == ["q1"]

    asyncio.run(async_test())


def test_a_draining_endpoint_gets_no_new_requests():
    async def async_test():
        async with async_world() as world:
            world.configure()
            first = await world.async_add("i-1", "plain")
            second = await world.async_add("i-2", "plain")
            first.state = "draining"
            world.show(first)
            for number in range(5):
                async with world.request("/once/x", f"q{number}") as answer:
                    assert answer.status == 200
            assert not first.runs and len(second.runs) == 5

    asyncio.run(async_test())


def test_work_that_may_be_repeated_outlives_a_kept_connection_that_falls_silent():
    """New connections work; only the time limit of the first try shows it."""

    async def async_test():
        async with async_world() as world:
            world.configure()
            endpoint = await world.async_add("i-1", "plain")
            async with world.request("/again/x", "q1") as answer:
                assert answer.status == 200
            endpoint.faults = type(endpoint.faults)(mute=1)
            async with world.request("/again/x", "q2", X_Deadline_Ms="600") as answer:
                assert answer.status == 200
            assert endpoint.runs == ["q1", "q2", "q2"]

    asyncio.run(async_test())
