"""Endpoints and daemons that leave while clients keep sending requests."""

from __future__ import annotations

import asyncio
import time

import aiohttp

from standins.text import expected_text

from .deployment import CONNECTION_ERRORS, KEY
from .scenarios import async_run_with_service, async_until_replicas


def test_leaving_endpoint_receives_no_new_requests(tmp_path):
    async def async_scenario(deployment):
        await deployment.async_set_vms()
        fleet = deployment.fleet_text({"m": {"memory_mb": 40, "replicas": 2}})
        await deployment.async_apply(fleet, 1, "--wait")
        await async_until_replicas(deployment, "m", 2)
        stop = asyncio.Event()
        failures: list[int] = []
        answered = 0

        async def async_load():
            nonlocal answered
            while not stop.is_set():
                status, _, _ = await deployment.async_complete("m", max_tokens=1)
                answered += 1
                if status != 200:
                    failures.append(status)

        async def async_until_answered(count):
            target = answered + count

            async def async_is_answered():
                return answered >= target

            await deployment.async_until(async_is_answered)

        async def async_gateways_know():
            _, status = await deployment.async_cli("status")
            found = [d["endpoints"]["engine-1"] for d in status["daemons"]]
            gateways = [d["role"] == "gateway" for d in status["daemons"]]
            return all(
                state == "leaving"
                for state, is_gateway in zip(found, gateways, strict=True)
                if is_gateway
            )

        workers = [asyncio.ensure_future(async_load()) for _ in range(8)]
        await async_until_answered(100)
        await deployment.async_set_vms(leaving=("vm-engine-1",))
        await deployment.async_until(async_gateways_know)
        # More than the number of requests that may be in flight.
        await async_until_answered(50)
        url = deployment.engines["engine-1"]["url"]
        before = len(await deployment.async_get(f"{url}/standin/requests"))
        await async_until_answered(400)
        after = len(await deployment.async_get(f"{url}/standin/requests"))
        stop.set()
        await asyncio.gather(*workers)
        assert before == after
        assert before > 0
        assert failures == []

    asyncio.run(async_run_with_service(tmp_path, async_scenario))


class AddressCache:
    """A client that looks up gateway addresses and caches them while they are valid."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._urls = [deployment.gateway_url(1), deployment.gateway_url(2)]
        self._until_s = 0.0

    async def async_url(self):
        if time.monotonic() >= self._until_s:
            for url in list(self._urls):
                if await self._async_refresh(url):
                    break
        return self._urls[0]

    async def _async_refresh(self, url):
        asked_s = time.monotonic()
        try:
            async with self._deployment.session.get(
                f"{url}/v1/addresses",
                params={"model": "m"},
                headers={"Authorization": f"Bearer {KEY}"},
            ) as response:
                if response.status != 200:
                    return False
                answer = await response.json()
        except CONNECTION_ERRORS:
            return False
        self._urls = [a["url"] for a in answer["addresses"]]
        self._until_s = asked_s + answer["valid_s"]
        return True


def test_rolling_restart_under_load_fails_no_request(tmp_path):
    async def async_scenario(deployment):
        stop = asyncio.Event()
        failures, done = [], []

        async def async_load(number):
            addresses = AddressCache(deployment)
            body = {"model": "m", "prompt": f"w{number}", "max_tokens": 20}
            expected = expected_text("m", f"w{number}", 20)
            while not stop.is_set():
                url = await addresses.async_url()
                try:
                    async with deployment.session.post(
                        f"{url}/v1/completions",
                        json=body,
                        headers={"Authorization": f"Bearer {KEY}"},
                    ) as response:
                        answer = await response.json(content_type=None)
                        is_complete = response.status == 200
                        is_complete = (
                            is_complete and answer["choices"][0]["text"] == expected
                        )
                        (done if is_complete else failures).append(answer)
                except aiohttp.ClientError as error:
                    failures.append(repr(error))

        workers = [asyncio.ensure_future(async_load(n)) for n in range(8)]
        await asyncio.sleep(0.5)
        for name in ("gateway-1", "director-1", "gateway-2", "director-2"):
            process = deployment.processes[name]
            process.terminate()
            assert await process.async_wait() == 0
            number = int(name[-1])
            restart = (
                deployment.start_gateway
                if name.startswith("gateway")
                else deployment.start_director
            )
            restart(number, "ab"[number - 1])
            url = (
                deployment.gateway_url(number)
                if name.startswith("gateway")
                else deployment.director_url(number)
            )
            await deployment.async_until_up(f"{url}/readyz")
            await asyncio.sleep(1.5)
        stop.set()
        await asyncio.gather(*workers)
        assert failures == []
        assert len(done) > 100

    asyncio.run(async_run_with_service(tmp_path, async_scenario))
