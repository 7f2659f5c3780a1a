"""Models stay reachable, and failures stay isolated."""

from __future__ import annotations

import asyncio

from .deployment import OTHER_KEY, async_deploy, async_start_all, key_hash
from .scenarios import async_run_with_service, async_until_replicas


class Probe:
    """Sends requests for a model continuously, and collects the failures."""

    def __init__(self, deployment, model):
        self._deployment = deployment
        self._model = model
        self._stop = asyncio.Event()
        self.failures = []
        self.answered = 0
        self._task = asyncio.ensure_future(self._async_run())

    async def _async_run(self):
        while not self._stop.is_set():
            status, _, body = await self._deployment.async_complete(
                self._model, f"probe {self.answered}", max_tokens=3
            )
            if status == 200:
                self.answered += 1
            else:
                self.failures.append(body)
            await asyncio.sleep(0.005)

    async def async_stop(self):
        self._stop.set()
        await self._task


async def async_claims(deployment, name):
    _, answer = await deployment.async_cli("explain", name)
    return [
        (claim["endpoint"], claim["artifact"]["version"], claim["state"])
        for claim in answer["claims"]
    ]


def test_model_update_without_downtime(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            deployment.start_engine(2, "b")
            await async_start_all(deployment, gateways=1)
            one = deployment.fleet_text({"m": {"memory_mb": 60}})
            await deployment.async_apply(one, 0, "--wait")
            await deployment.async_until_served("m")
            probe = Probe(deployment, "m")
            for base, version in ((1, 2), (2, 3)):
                text = deployment.fleet_text(
                    {"m": {"memory_mb": 60, "version": version}}
                )
                code, _ = await deployment.async_apply(text, base, "--wait")
                assert code == 0

                async def async_is_migrated(version=version):
                    claims = await async_claims(deployment, "m")
                    return [(v, s) for _, v, s in claims] == [(str(version), "loaded")]

                await deployment.async_until(async_is_migrated)
            await probe.async_stop()
            assert probe.failures == []
            assert probe.answered > 50
            await deployment.async_assert_no_overcommit()

    asyncio.run(async_scenario())


def test_models_of_lost_engine_are_placed_elsewhere(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            deployment.start_engine(2, "b")
            await async_start_all(deployment, gateways=1)
            models = {name: {"memory_mb": 20} for name in ("m", "n", "o")}
            await deployment.async_apply(deployment.fleet_text(models), 0, "--wait")
            await deployment.async_until_served("m", "n", "o")
            holder = (await async_claims(deployment, "m"))[0][0]
            deployment.processes[holder].kill()

            async def async_is_refused():
                status, headers, _ = await deployment.async_complete("m")
                if status == 200:
                    return False
                assert headers["Chutelink-Outcome"] in ("not-run", "unknown")
                return True

            await deployment.async_until(async_is_refused)
            await deployment.async_until_served("m", "n", "o")
            await deployment.async_assert_no_overcommit()

    asyncio.run(async_scenario())


def test_retries_do_not_overload_failing_engines(tmp_path):
    async def async_scenario(deployment):
        fleet = deployment.fleet_text({"m": {"memory_mb": 40, "replicas": 2}})
        await deployment.async_apply(fleet, 1, "--wait")
        await async_until_replicas(deployment, "m", 2)
        before = len(await deployment.async_received_ids())
        for values in deployment.engines.values():
            await deployment.async_set_faults(values["url"], errors=100_000)
        sent = 200
        for start in range(0, sent, 20):
            await asyncio.gather(
                *(deployment.async_complete("m", f"p{start + n}") for n in range(20))
            )
        reached = len(await deployment.async_received_ids()) - before
        # Retries: at most a tenth of the requests, plus the reserve of an idle gateway.
        assert reached <= sent * 1.1 + 10

    asyncio.run(async_run_with_service(tmp_path, async_scenario))


def test_flood_of_one_caller_does_not_affect_another(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1, options=("--slots", "4"))
            await async_start_all(deployment, gateways=1, directors=("a",))
            flood_key = "flood-key"
            flood = (
                f"[caller flood]\nkey_sha256 = {key_hash(flood_key)}\nmodels = *\n"
                "rate_per_s = 5\nburst = 5\n"
            )
            fleet = deployment.fleet_text(
                {"m": {"memory_mb": 40}}, domains=("a",), caller=flood
            )
            await deployment.async_apply(fleet, 0, "--wait")
            await deployment.async_until_served("m")
            stop = asyncio.Event()
            flooded = []

            async def async_flood():
                while not stop.is_set():
                    status, headers, _ = await deployment.async_complete(
                        "m", key=flood_key
                    )
                    flooded.append((status, headers.get("Retry-After")))

            workers = [asyncio.ensure_future(async_flood()) for _ in range(16)]
            for number in range(60):
                status, _, _ = await deployment.async_complete("m", f"q{number}")
                assert status == 200
            stop.set()
            await asyncio.gather(*workers)
            refused = [after for status, after in flooded if status == 429]
            assert len(refused) > len(flooded) / 2
            assert all(refused)
            status, _, _ = await deployment.async_complete("m", key=OTHER_KEY)
            assert status == 403

    asyncio.run(async_scenario())


def test_model_update_without_downtime_with_old_reports(tmp_path):
    """A gateway used to refuse requests for a model whose load was not reported yet."""

    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            settings_of = deployment._daemon_settings

            def slow_settings(name, *arguments):
                text = settings_of(name, *arguments)
                return text + "poll_interval_s = 2.0\n" * name.startswith("gateway")

            deployment._daemon_settings = slow_settings
            deployment.start_engine(1)
            deployment.start_engine(2, "b")
            await async_start_all(deployment, gateways=1)
            models = {"m": {"memory_mb": 60}}
            await deployment.async_apply(deployment.fleet_text(models), 0, "--wait")
            await deployment.async_until_served("m")
            probe = Probe(deployment, "m")
            models["m"]["version"] = 2
            await deployment.async_apply(deployment.fleet_text(models), 1, "--wait")

            async def async_is_migrated():
                claims = await async_claims(deployment, "m")
                return [(v, s) for _, v, s in claims] == [("2", "loaded")]

            await deployment.async_until(async_is_migrated)
            answered = probe.answered

            async def async_is_served_after_update():
                return probe.answered > answered + 100

            await deployment.async_until(async_is_served_after_update)
            await probe.async_stop()
            assert probe.failures == []

    asyncio.run(async_scenario())
