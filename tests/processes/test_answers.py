"""Responses are complete and refusals are true, as seen by clients and endpoints."""

from __future__ import annotations

import asyncio

from standins.text import expected_text

from .deployment import CONNECTION_ERRORS, async_deploy, async_start_all
from .scenarios import (
    async_executions,
    async_run_with_service,
    async_stream,
    async_until_replicas,
)


def test_non_idempotent_request_is_sent_once(tmp_path):
    async def async_scenario(deployment):
        url = deployment.services["service-1"]
        for fault in ({"cut_answers": 1}, {"cut_before_run": 1}, {"wrong_ids": 1}):
            before = len(await async_executions(deployment))
            await deployment.async_set_faults(url, **fault)
            status, headers, _ = await deployment.async_call_service(
                "POST", "permits", body="x"
            )
            assert (status, headers["Chutelink-Outcome"]) == (502, "unknown")
            assert len(await async_executions(deployment)) - before <= 1
        deployment.processes["service-1"].kill()
        status, headers, _ = await deployment.async_call_service(
            "POST", "permits", body="x"
        )
        assert (status, headers["Chutelink-Outcome"]) == (503, "not-run")

    asyncio.run(async_run_with_service(tmp_path, async_scenario))


def test_responses_are_complete_and_match_their_requests(tmp_path):
    async def async_scenario(deployment):
        stop = asyncio.Event()

        async def async_inject():
            faults = [
                {"cut_answers": 2},
                {"wrong_ids": 2},
                {"late_answers": 2, "late_answer_s": 0.3},
                {"errors": 1},
            ]
            for round_number in range(10_000):
                if stop.is_set():
                    return
                for values in deployment.engines.values():
                    await deployment.async_set_faults(
                        values["url"], **faults[round_number % 4]
                    )
                await asyncio.sleep(0.1)

        counts = {"complete": 0, "refused": 0, "incomplete stream": 0}

        async def async_send_request(number):
            model, prompt = ("m", "n")[number % 2], f"prompt {number}"
            gateway = 1 + number % 2
            expected = expected_text(model, prompt, 5)
            if number % 3 == 0:
                status, text, has_end = await async_stream(
                    deployment, model, prompt, 5, gateway
                )
                if status == 200 and not has_end:
                    assert expected.startswith(text)
                    counts["incomplete stream"] += 1
                    return
            else:
                status, _, body = await deployment.async_complete(
                    model, prompt, gateway=gateway, max_tokens=5
                )
                text = body["choices"][0]["message"]["content"] if status == 200 else ""
            if status != 200:
                counts["refused"] += 1
                return
            assert text == expected
            counts["complete"] += 1

        injector = asyncio.ensure_future(async_inject())
        for start in range(0, 600, 40):
            await asyncio.gather(
                *(async_send_request(n) for n in range(start, start + 40))
            )
        stop.set()
        await injector
        assert counts["complete"] > 300, counts

    asyncio.run(async_run_with_service(tmp_path, async_scenario))


def test_cut_stream_resumes_on_another_engine(tmp_path):
    async def async_scenario():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            deployment.start_engine(2, "b")
            await async_start_all(deployment, gateways=1)
            fleet = deployment.fleet_text({"m": {"memory_mb": 40, "replicas": 2}})
            await deployment.async_apply(fleet, 0, "--wait")
            await deployment.async_until_served("m")
            await async_until_replicas(deployment, "m", 2)
            for number in range(4):
                for values in deployment.engines.values():
                    await deployment.async_set_faults(values["url"], cut_answers=0)
                name = f"engine-{1 + number % 2}"
                url = deployment.engines[name]["url"]
                await deployment.async_set_faults(url, cut_answers=1)
                for turn in range(4):
                    prompt = f"{number} {turn}"
                    result = await async_stream(deployment, "m", prompt, 8)
                    assert result == (200, expected_text("m", prompt, 8), True)

    asyncio.run(async_scenario())


def test_requests_refused_as_not_run_did_not_run(tmp_path):
    async def async_scenario(deployment):
        refused: list[str] = []

        async def async_send_request(number):
            try:
                status, headers, _ = await deployment.async_complete(
                    "m", f"p{number}", gateway=1 + number % 2
                )
            except CONNECTION_ERRORS:
                return
            if headers.get("Chutelink-Outcome") == "not-run":
                refused.append(headers["X-Request-Id"])

        for round_number in range(6):
            victim = deployment.processes[f"engine-{1 + round_number % 2}"]
            requests = [async_send_request(round_number * 100 + n) for n in range(100)]
            running = asyncio.gather(*requests)
            await asyncio.sleep(0.05)
            victim.freeze()
            await asyncio.sleep(1.2)
            victim.resume()
            await running
        reached = set(await deployment.async_received_ids())
        assert not reached & set(refused)

    asyncio.run(
        async_run_with_service(
            tmp_path,
            async_scenario,
            gateway_extra="valid_s = 1.0\nidle_timeout_s = 1.0\nmax_queue = 20\n",
        )
    )
