"""Shared setup and helpers for tests that run a deployment."""

from __future__ import annotations

import msgspec

from .deployment import KEY, async_deploy, async_start_all

ONE_MODEL = {"m": {"memory_mb": 40}}


async def async_run_with_service(directory, async_scenario, **options):
    async with async_deploy(directory) as deployment:
        deployment.start_engine(1)
        deployment.start_engine(2, "b")
        deployment.start_service(1)
        await async_start_all(deployment, **options)
        fleet = deployment.fleet_text(ONE_MODEL | {"n": {"memory_mb": 20}})
        code, _ = await deployment.async_apply(fleet, 0, "--wait")
        assert code == 0
        await deployment.async_until_served("m", "n")
        for number in range(1, options.get("gateways", 2) + 1):
            await deployment.async_until_served("m", gateway=number)
            await async_until_service(deployment, number)
        await async_scenario(deployment)
        await deployment.async_assert_no_overcommit()


async def async_until_service(deployment, gateway):
    async def async_is_up():
        status, _, _ = await deployment.async_call_service(
            "GET", "lookup/1", gateway=gateway
        )
        return status == 200

    await deployment.async_until(async_is_up)


async def async_executions(deployment, key=None):
    url = deployment.services["service-1"]
    found = await deployment.async_get(f"{url}/standin/executions")
    return [e for e in found if key is None or e["idempotency_key"] == key]


async def async_until_replicas(deployment, model, count):
    async def async_has_replicas():
        _, status = await deployment.async_cli("status")
        return status["replicas"].get(model, 0) >= count

    await deployment.async_until(async_has_replicas)


async def async_stream(deployment, model, prompt, max_tokens, gateway=1):
    """Return the status, the text, and whether the stream had its end mark."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": True,
    }
    text, has_end = "", False
    async with deployment.session.post(
        f"{deployment.gateway_url(gateway)}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {KEY}"},
    ) as response:
        if response.status != 200:
            return response.status, "", False
        async for line in response.content:
            line = line.strip()
            if line == b"data: [DONE]":
                has_end = True
            elif line.startswith(b"data: {") and b"choices" in line:
                choice = msgspec.json.decode(line[6:])["choices"][0]
                text += choice["delta"]["content"]
        return response.status, text, has_end
