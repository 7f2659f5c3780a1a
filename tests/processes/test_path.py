"""Requests through a complete deployment, including refusals."""

from __future__ import annotations

import asyncio

from standins.text import expected_text

from .deployment import KEY, OTHER_KEY, async_deploy, async_start_all


def test_complete_deployment_and_refusals(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            deployment.start_engine(2, "b")
            deployment.start_service(1)
            await async_start_all(deployment)
            fleet = deployment.fleet_text(
                {"m": {"memory_mb": 40}, "other-m": {"memory_mb": 20}},
                adapters={"m-x": {"model": "m", "memory_mb": 5}},
            )
            code, answer = await deployment.async_apply(fleet, 0, "--wait")
            assert (code, answer["version"]) == (0, 1)
            await deployment.async_until_served("m", "m-x", "other-m")
            await _async_check_answers(deployment)
            await _async_check_refusals(deployment)
            await _async_check_operator(deployment)
            await deployment.async_assert_no_overcommit()

    asyncio.run(async_scenario())


async def _async_check_answers(deployment):
    status, headers, body = await deployment.async_complete("m-x", "P", max_tokens=6)
    assert status == 200
    assert headers["X-Request-Id"] == body["id"]
    content = body["choices"][0]["message"]["content"]
    assert content == expected_text("m-x", "P", 6)
    status, _, body = await deployment.async_call_service("GET", "lookup/7")
    assert (status, body["path"]) == (200, "/lookup/7")
    async with deployment.session.get(
        f"{deployment.gateway_url(1)}/v1/addresses",
        params={"model": "m"},
        headers={"Authorization": f"Bearer {KEY}"},
    ) as response:
        answer = await response.json()
    urls = {address["url"] for address in answer["addresses"]}
    assert urls == {deployment.gateway_url(1), deployment.gateway_url(2)}
    async with deployment.session.get(
        f"{deployment.gateway_url(1)}/v1/models",
        headers={"Authorization": f"Bearer {OTHER_KEY}"},
    ) as response:
        names = [model["id"] for model in (await response.json())["data"]]
    assert names == ["other-m"]


async def _async_check_refusals(deployment):
    async def async_status(model, key=KEY):
        status, headers, _ = await deployment.async_complete(model, key=key)
        assert headers["Content-Type"].startswith("application/problem+json")
        assert headers["Chutelink-Outcome"] == "not-run"
        assert int(headers["Retry-After"]) >= 1
        return status

    assert await async_status("none") == 404
    assert await async_status("m", key="wrong") == 401
    # Another caller can't tell a declared name from an undeclared one.
    assert await async_status("m", key=OTHER_KEY) == 403
    assert await async_status("none", key=OTHER_KEY) == 403
    for is_stream in (False, True):
        # A refusal by the engine is passed on and not retried elsewhere.
        body = {"model": "m", "prompt": "p", "temperature": 9, "stream": is_stream}
        async with deployment.session.post(
            f"{deployment.gateway_url(1)}/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {KEY}"},
        ) as response:
            assert response.status == 400
            assert "temperature" in await response.text()
    for body in (b"{", b'{"model": 3}', b'{"model": "m"}'):
        async with deployment.session.post(
            f"{deployment.gateway_url(1)}/v1/chat/completions",
            data=body,
            headers={"Authorization": f"Bearer {KEY}"},
        ) as response:
            assert response.status == 400
            assert (await response.json(content_type=None))["detail"]


async def _async_check_operator(deployment):
    code, status = await deployment.async_cli("status")
    assert code == 0
    assert [d["version"] for d in status["daemons"]] == [1, 1, 1, 1]
    assert status["replicas"]["m-x"] >= 1
    code, answer = await deployment.async_cli("explain", "m-x")
    assert (code, answer["model"]) == (0, "m")
    code, answer = await deployment.async_cli("history")
    assert [row["version"] for row in answer["versions"]] == [1]
