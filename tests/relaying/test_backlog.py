"""Which requests wait, or are refused, because endpoints are busy."""

from __future__ import annotations

import asyncio

import pytest

from .relay_harness import RelayHarness, async_relay_harness

STREAM = {"X_Model": "m0", "X_Token_Count": "10,2", "X_Deadline_Ms": "4000"}
OBJECTIVE_S = 0.8
PATIENCE_S = 4 * OBJECTIVE_S


async def async_send_to_busy_endpoint(
    harness: RelayHarness, expected_s: float, path: str = "/stream/x"
) -> tuple[int, float]:
    """Return the status and Retry-After where the first byte takes ``expected_s``."""
    harness.dispatcher._policy.expected_s = lambda *_: expected_s
    async with harness.request(path, **STREAM) as response:
        await response.read()
        return response.status, float(response.headers.get("Retry-After", 0))


@pytest.mark.parametrize("expected_s", [0.5, 1.0, 2.5])
def test_request_that_can_be_served_before_its_caller_leaves_is_not_refused(expected_s):
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await harness.async_add("i-1", "llm", {"m0": []})
            status, _ = await async_send_to_busy_endpoint(harness, expected_s)
            assert status == 200

    asyncio.run(async_test())


def test_request_whose_caller_would_leave_first_is_refused_with_time_of_backlog():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "llm", {"m0": []})
            status, delay_s = await async_send_to_busy_endpoint(harness, 3.9)
            assert status == 503
            assert 3.9 - PATIENCE_S <= delay_s <= 4.0 / 3
            assert not endpoint.runs

    asyncio.run(async_test())


def test_request_waits_for_a_permit_that_is_valid_before_its_caller_leaves():
    """The permit of the second request becomes valid later than the objective."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "llm", {"m0": []})
            endpoint.faults = type(endpoint.faults)(limit_per_s=1.1)
            for number in range(2):
                async with harness.request("/stream/x", f"q{number}", **STREAM) as sent:
                    assert sent.status == 200
            started_s = harness.core.clock()
            async with harness.request("/stream/x", "q2", **STREAM) as response:
                assert response.status == 200
            assert harness.core.clock() - started_s > OBJECTIVE_S

    asyncio.run(async_test())


@pytest.mark.parametrize("deadline_ms", ["4000", "600"])
def test_request_waits_for_capacity_while_its_caller_has_the_time(deadline_ms):
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await harness.async_add("i-1", "llm", {"m0": []})
            free_s = harness.core.clock() + 1.0

            def delay_s(*_: object) -> float:
                return max(0.0, free_s - harness.core.clock())

            harness.state.prefill_table.prefill_delay_s = delay_s
            headers = STREAM | {"X_Deadline_Ms": deadline_ms}
            async with harness.request("/stream/x", **headers) as response:
                assert response.status == 200
            is_after = harness.core.clock() >= free_s
            assert is_after == (deadline_ms == "4000")

    asyncio.run(async_test())


@pytest.mark.parametrize("headers", [{}, {"Last_Event_Id": "1"}])
def test_request_that_has_not_run_yet_is_refused_like_a_first_try(headers):
    """Also one that an endpoint rejected, and a stream that its caller resumes."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoints = [
                await harness.async_add(f"i-{number}", "llm", {"m0": []})
                for number in range(2)
            ]
            for endpoint in endpoints:
                endpoint.faults = type(endpoint.faults)(refuse=0 if headers else 1)
            is_busy_at_once = bool(headers)

            def expected_s(*_: object) -> float:
                rejected = sum(endpoint.faults.refuse == 0 for endpoint in endpoints)
                return 3.9 if is_busy_at_once or rejected else 0.1

            harness.dispatcher._policy.expected_s = expected_s
            async with harness.request("/stream/x", **STREAM, **headers) as response:
                assert response.status == 503
            assert not any(endpoint.runs for endpoint in endpoints)
            refused = [endpoint.faults.refuse for endpoint in endpoints]
            assert sorted(refused) == ([0, 0] if headers else [0, 1])

    asyncio.run(async_test())


def test_stream_is_not_sent_again_while_its_caller_waits_for_the_first_event():
    """Both endpoints are busy, and begin the stream before the caller leaves."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoints = [
                await harness.async_add(f"i-{number}", "llm", {"m0": []})
                for number in range(2)
            ]
            for endpoint in endpoints:
                endpoint.faults = type(endpoint.faults)(work_s=2.5 * OBJECTIVE_S)
            async with harness.request("/stream/x", **STREAM) as response:
                assert response.status == 200
            assert sorted(len(endpoint.runs) for endpoint in endpoints) == [0, 1]

    asyncio.run(async_test())
