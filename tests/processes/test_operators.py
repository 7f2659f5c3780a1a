"""Configuration changes under races, lost replies, outages and restarts."""

from __future__ import annotations

import asyncio

from .deployment import async_deploy, async_start_all

ONE_MODEL = {"m": {"memory_mb": 40}}
TWO_MODELS = {"m": {"memory_mb": 40}, "n": {"memory_mb": 20}}


async def async_versions(deployment, count):
    """Return the active versions of all daemons that respond, checking their number."""
    _, status = await deployment.async_cli("status")
    versions = [d["version"] for d in status["daemons"]]
    assert len(versions) == count, status
    return versions


def test_conflicting_applies_and_lost_replies(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            await async_start_all(deployment, directors=("a",))
            one = deployment.fleet_text(ONE_MODEL, domains=("a",))
            two = deployment.fleet_text(TWO_MODELS, domains=("a",))
            (tmp_path / "one.ini").write_text(one)
            (tmp_path / "two.ini").write_text(two)
            results = await asyncio.gather(
                *(
                    deployment.async_cli(
                        "apply", str(tmp_path / name), "--base", "0", "--wait"
                    )
                    for name in ("one.ini", "two.ini", "one.ini", "two.ini")
                )
            )
            codes = sorted(code for code, _ in results)
            assert codes == [0, 3, 3, 3]
            assert await async_versions(deployment, 3) == [1, 1, 1]
            # The reply is lost after the write was committed.
            await deployment.async_set_faults(
                deployment.platform_url, lose_replies=1, write_prefix="applies/"
            )
            code, answer = await deployment.async_apply(two, 1, "--wait")
            assert (code, answer["version"]) == (0, 2)
            # The write is still in flight when the command gives up on it.
            await deployment.async_set_faults(
                deployment.platform_url, late_writes=1, late_write_s=0.5
            )
            code, answer = await deployment.async_apply(one, 2)
            assert code == 1
            assert "not accepted" in answer["error"]
            await asyncio.sleep(1.0)
            assert await async_versions(deployment, 3) == [2, 2, 2]
            code, answer = await deployment.async_apply(one, 2, "--wait")
            assert (code, answer["version"]) == (0, 3)

    asyncio.run(async_scenario())


def test_restarted_and_frozen_daemons_catch_up_during_outage(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            await async_start_all(deployment, gateways=3, directors=("a",))
            one = deployment.fleet_text(ONE_MODEL, domains=("a",))
            two = deployment.fleet_text(TWO_MODELS, domains=("a",))
            code, _ = await deployment.async_apply(one, 0, "--wait")
            assert code == 0
            await deployment.async_until_served("m")
            frozen = deployment.processes["gateway-2"]
            frozen.freeze()
            code, answer = await deployment.async_apply(two, 1)
            assert (code, answer["version"]) == (0, 2)
            await deployment.async_until_served("n")
            await deployment.async_set_faults(
                deployment.platform_url, table_out=True, objects_out=True
            )
            deployment.processes["gateway-1"].kill()
            deployment.start_gateway(1)
            # During the table outage, the new daemon gets the version from its peers.
            await deployment.async_until_served("n", gateway=1)
            # The frozen daemon resumes during the outage and catches up the same way.
            frozen.resume()
            await deployment.async_until_served("n", gateway=2)
            await deployment.async_set_faults(
                deployment.platform_url, table_out=False, objects_out=False
            )

            async def async_is_confirmed():
                _, status = await deployment.async_cli("status")
                found = [(d["version"], d["confirmed"]) for d in status["daemons"]]
                return found == [(2, True)] * 4

            await deployment.async_until(async_is_confirmed)

    asyncio.run(async_scenario())


def test_fleet_exceeding_memory_is_rejected_without_effect(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            await async_start_all(deployment, gateways=1, directors=("a",))
            fleet = deployment.fleet_text({"m": {"memory_mb": 400}}, domains=("a",))
            code, answer = await deployment.async_apply(fleet, 0)
            assert code == 2
            assert "memory" in answer["problems"][0]
            code, status = await deployment.async_cli("status")
            assert status["version"] == 0

    asyncio.run(async_scenario())


def test_apply_resume_reports_outcome(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            await async_start_all(deployment, gateways=1, directors=("a",))
            fleet = deployment.fleet_text(ONE_MODEL, domains=("a",))
            code, answer = await deployment.async_apply(fleet, 0)
            assert code == 0
            code, again = await deployment.async_cli(
                "apply", "--resume", answer["apply_id"]
            )
            assert (code, again["version"]) == (0, 1)
            code, never = await deployment.async_cli("apply", "--resume", "0" * 32)
            assert code == 1
            assert "never will" in never["error"]

    asyncio.run(async_scenario())
