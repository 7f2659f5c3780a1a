"""Requests with an idempotency key run at most once, as counted by the services."""

from __future__ import annotations

import asyncio
import contextlib

from .deployment import CONNECTION_ERRORS
from .scenarios import async_executions, async_run_with_service


def test_concurrent_requests_with_same_key_run_once(tmp_path):
    async def async_scenario(deployment):
        url = deployment.services["service-1"]
        await deployment.async_set_faults(url, delay_s=0.3)
        for number in range(6):
            key = f"k{number}"
            answers = await asyncio.gather(
                *(
                    deployment.async_call_service(
                        "POST",
                        "permits",
                        gateway=1 + i % 2,
                        idempotency_key=key,
                        body="bay 4",
                    )
                    for i in range(4)
                )
            )
            assert [status for status, _, _ in answers] == [200] * 4
            assert len({answer["number"] for _, _, answer in answers}) == 1
            assert len(await async_executions(deployment, key)) == 1

    asyncio.run(async_run_with_service(tmp_path, async_scenario))


def test_key_is_not_run_again_after_its_gateway_dies(tmp_path):
    async def async_scenario(deployment):
        url = deployment.services["service-1"]
        await deployment.async_set_faults(url, delay_s=2.0)

        async def async_post(gateway):
            return await deployment.async_call_service(
                "POST", "permits", gateway=gateway, idempotency_key="k", body="x"
            )

        first = asyncio.ensure_future(async_post(1))
        await deployment.async_until(
            lambda: async_has_executions(deployment, "k"), timeout_s=5
        )
        deployment.processes["gateway-1"].kill()
        with contextlib.suppress(*CONNECTION_ERRORS):
            await first
        status, headers, _ = await async_post(2)
        assert headers["Chutelink-Outcome"] == "unknown"
        assert status >= 500
        status, headers, _ = await async_post(2)
        assert headers["Chutelink-Outcome"] == "unknown"
        assert len(await async_executions(deployment, "k")) == 1

    asyncio.run(async_run_with_service(tmp_path, async_scenario))


async def async_has_executions(deployment, key):
    return bool(await async_executions(deployment, key))


def test_table_outage_stops_only_keyed_requests(tmp_path):
    async def async_scenario(deployment):
        platform = deployment.platform_url
        await deployment.async_set_faults(platform, table_out=True, objects_out=True)
        status, headers, _ = await deployment.async_call_service(
            "POST", "permits", idempotency_key="k", body="x"
        )
        assert (status, headers["Chutelink-Outcome"]) == (503, "not-run")
        assert headers["Retry-After"]
        status, _, _ = await deployment.async_call_service("POST", "permits", body="y")
        assert status == 200
        status, _, _ = await deployment.async_complete("m")
        assert status == 200
        assert await async_executions(deployment, "k") == []
        await deployment.async_set_faults(platform, table_out=False, objects_out=False)

        async def async_is_done():
            status, _, _ = await deployment.async_call_service(
                "POST", "permits", idempotency_key="k", body="x"
            )
            return status == 200

        await deployment.async_until(async_is_done)
        assert len(await async_executions(deployment, "k")) == 1

    asyncio.run(async_run_with_service(tmp_path, async_scenario))


def test_claims_with_lost_replies_and_late_writes_run_at_most_once(tmp_path):
    async def async_scenario(deployment):
        platform = deployment.platform_url
        for number in range(6):
            fault = {"lose_replies": 1} if number % 2 else {"late_writes": 1}
            await deployment.async_set_faults(
                platform, late_write_s=0.2, write_prefix="claims/", **fault
            )
            key = f"k{number}"
            outcomes = []

            async def async_is_done(key=key, outcomes=outcomes):
                status, headers, _ = await deployment.async_call_service(
                    "POST", "permits", idempotency_key=key, body="x"
                )
                outcomes.append(headers.get("Chutelink-Outcome", "done"))
                return status == 200 or outcomes[-1] == "unknown"

            await deployment.async_until(async_is_done)
            runs = len(await async_executions(deployment, key))
            assert runs <= 1
            assert (outcomes[-1] != "done") or runs == 1

    asyncio.run(async_run_with_service(tmp_path, async_scenario))
