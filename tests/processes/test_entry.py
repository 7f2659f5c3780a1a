"""Entry daemons as separate processes, under failures."""

from __future__ import annotations

import asyncio
import itertools

from .entry_deployment import CONNECTION_ERRORS, async_entry_deployment

EVENTS = 6
_IDS = itertools.count()


def new_id() -> str:
    return f"q{next(_IDS)}"


def stream_headers(model: str) -> dict[str, str]:
    return {"X_Model": model, "X_Token_Count": f"10,{EVENTS}"}


async def async_stream(deployment, number: int, model: str) -> tuple[int, bytes]:
    async with deployment.request(
        number, "/stream/x", new_id(), **stream_headers(model)
    ) as answer:
        return answer.status, await answer.read()


async def async_until_served(deployment, number: int, model: str) -> bytes:
    """Retry as clients do, as long as the daemon reports that nothing was run."""
    body = b""

    async def async_check() -> bool:
        nonlocal body
        try:
            status, body = await async_stream(deployment, number, model)
        except CONNECTION_ERRORS:
            return False
        assert status in (200, 503)
        return status == 200

    await deployment.async_until(async_check)
    return body


def run_test(test, tmp_path, daemons: int = 3) -> None:
    async def async_run():
        async with async_entry_deployment(tmp_path, daemons) as deployment:
            await test(deployment)

    asyncio.run(async_run())


def test_every_daemon_serves_every_model(tmp_path):
    async def async_test(deployment):
        for number in range(3):
            for model in ("m0", "m1", "m2", "m3"):
                body = await async_until_served(deployment, number, model)
                assert body.count(b"id: ") == EVENTS
            async with deployment.request(number, "/once/x", new_id()) as answer:
                assert answer.status == 200

    run_test(async_test, tmp_path)


def test_change_is_applied_everywhere_and_not_reverted(tmp_path):
    async def async_test(deployment):
        await deployment.async_configure(2, routes=[])

        async def async_is_gone() -> bool:
            statuses = []
            for number in range(3):
                async with deployment.request(number, "/once/x", new_id()) as answer:
                    statuses.append(answer.status)
            return statuses == [404, 404, 404]

        await deployment.async_until(async_is_gone)
        await deployment.async_configure(1)
        for _ in range(20):
            assert await async_is_gone()
            await asyncio.sleep(0.05)

    run_test(async_test, tmp_path)


def test_malformed_configuration_keeps_current_one(tmp_path):
    async def async_test(deployment):
        await deployment.async_configure(2, services="nothing")
        await deployment.async_configure(3, routes=[{"name": "half"}])
        await asyncio.sleep(1.5)
        async with deployment.request(0, "/once/x", new_id()) as answer:
            assert answer.status == 200

    run_test(async_test, tmp_path)


def test_stopping_daemon_leaves_addresses_and_completes_streams(tmp_path):
    async def async_test(deployment):
        sent = stream_headers("m0") | {"X_Token_Count": "10,200"}
        task = asyncio.ensure_future(
            deployment.request(0, "/stream/x", new_id(), **sent).__aenter__()
        )
        answer = await task
        deployment.processes["vm-0"].terminate()
        await deployment.async_until_all_listed([1, 2])
        body = await answer.read()
        assert body.count(b"id: ") == 200
        assert await deployment.processes["vm-0"].async_wait() == 0

    run_test(async_test, tmp_path)


def test_killed_placer_is_replaced(tmp_path):
    async def async_test(deployment):
        await async_until_served(deployment, 0, "m3")
        logs = {n: deployment.directory / f"vm-{n}.log" for n in range(3)}
        holder = next(n for n in logs if "lease_taken" in logs[n].read_text())
        deployment.processes[f"vm-{holder}"].kill()
        other = (holder + 1) % 3
        # The four models do not all fit in memory: loading one requires an order.
        endpoints = await deployment.async_endpoints()
        loaded = {m for e in endpoints.values() for m in e["models"]}
        missing_models = sorted({"m0", "m1", "m2", "m3"} - loaded) or ["m0"]
        await async_until_served(deployment, other, missing_models[0])
        orders = [o for e in endpoints.values() for o in e["orders"]]
        assert {order["fence"] for order in orders} <= {1}

    run_test(async_test, tmp_path)


def test_serving_continues_during_store_outage(tmp_path):
    async def async_test(deployment):
        await deployment.async_set_store_faults(is_out=True)
        await asyncio.sleep(1.0)
        status, _ = await async_stream(deployment, 0, "m0")
        assert status == 200
        deployment.processes["vm-2"].kill()
        deployment.start_daemon(2)

        async def async_is_ready() -> bool:
            return await deployment.async_is_ready(2)

        # The daemon gets the data from the other daemons instead of the store.
        await deployment.async_until(async_is_ready)
        status, _ = await async_stream(deployment, 2, "m0")
        assert status == 200

    run_test(async_test, tmp_path)


def test_all_daemons_recover_after_simultaneous_kill(tmp_path):
    async def async_test(deployment):
        await async_until_served(deployment, 0, "m2")
        for number in range(3):
            deployment.processes[f"vm-{number}"].kill()
        for number in range(3):
            deployment.start_daemon(number)
        await deployment.async_until_all_listed([0, 1, 2])
        for model in ("m0", "m1", "m2", "m3"):
            await async_until_served(deployment, 1, model)

    run_test(async_test, tmp_path)


def test_lost_history_triggers_full_read(tmp_path):
    async def async_test(deployment):
        await deployment.async_set_endpoint("i-plain0", state="draining")
        async with deployment.session.post(f"{deployment.store_url}/standin/forget"):
            pass
        await deployment.async_set_endpoint("i-plain1", state="draining")

        async def async_is_refused() -> bool:
            async with deployment.request(1, "/once/x", new_id()) as answer:
                return answer.status == 503

        await deployment.async_until(async_is_refused)

    run_test(async_test, tmp_path)


def test_change_arrives_after_store_connections_are_blackholed(tmp_path):
    """Only open connections are blackholed, without a reset; new ones work.

    The placer must keep working as well.
    """

    async def async_test():
        async with async_entry_deployment(tmp_path, has_proxy=True) as deployment:
            await async_until_served(deployment, 0, "m0")
            assert deployment.store_proxy.blackhole() > 0
            await deployment.async_configure(2, routes=[])

            async def async_all_answer(status: int) -> bool:
                for number in range(3):
                    async with deployment.request(
                        number, "/once/x", new_id()
                    ) as answer:
                        if answer.status != status:
                            return False
                return True

            await deployment.async_until(lambda: async_all_answer(404))
            assert deployment.store_proxy.blackhole() > 0
            await deployment.async_configure(3)
            await deployment.async_until(lambda: async_all_answer(200))
            for model in ("m1", "m2", "m3"):
                await async_until_served(deployment, 1, model)

    asyncio.run(async_test())
