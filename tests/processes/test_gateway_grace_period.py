"""Requests that outlast the grace period of their gateway end with an answer.

A gateway used to wait for them until the platform killed it, so that their callers
got neither an answer nor a statement whether they may have run.
"""

from __future__ import annotations

import asyncio
import contextlib

from chutelink.const import HEADER_IDEMPOTENCY_KEY, HEADER_OUTCOME

from .deployment import CONNECTION_ERRORS, GATEWAY_PORT, KEY
from .scenarios import async_executions, async_run_with_service

GRACE_S = 5.0
WORK_S = 30.0
UNTIL_SENT_S = 1.0
STREAM_TOKENS = 10_000
REQUESTS = 50
"""More than two engines run at once."""
CUT = "cut"
GATEWAY_SETTINGS = f"valid_s = 1.0\ngrace_s = {GRACE_S}\n"


async def async_outcome(deployment, path: str, body: object, **headers: str) -> str:
    """Return how a request ended, as its caller sees it."""
    url = f"{deployment.gateway_url(1)}{path}"
    headers["Authorization"] = f"Bearer {KEY}"
    try:
        async with deployment.session.post(url, json=body, headers=headers) as answer:
            content = await answer.read()
    except CONNECTION_ERRORS:
        return CUT
    if answer.status != 200:
        return f"{answer.status} {answer.headers[HEADER_OUTCOME]}"
    has_error = b"event: error" in content and b'"outcome":"unknown"' in content
    return "error event" if has_error else CUT


async def async_outcome_of_unfinished(deployment) -> str:
    """Return how a request ended whose body is not sent in full."""
    reader, writer = await asyncio.open_connection(
        f"{deployment.subnet}.11", GATEWAY_PORT
    )
    writer.write(
        "POST /services/permits/x HTTP/1.1\r\nHost: gateway\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 10\r\n\r\nx".encode()
    )
    answer = (await reader.read()).decode()
    writer.close()
    if not answer:
        return CUT
    is_not_run = f"{HEADER_OUTCOME}: not-run" in answer
    return f"{answer.split()[1]} {'not-run' if is_not_run else 'unknown'}"


async def async_stop(process) -> int:
    """Stop a process as a platform does, which kills it after the grace period."""
    process.terminate()
    with contextlib.suppress(TimeoutError):
        return await process.async_wait(GRACE_S)
    process.kill()
    return await process.async_wait()


def test_requests_that_outlast_the_grace_period_end_with_an_answer(tmp_path):
    async def async_scenario(deployment):
        service = deployment.services["service-1"]
        await deployment.async_set_faults(service, delay_s=WORK_S)
        completion = {"model": "m", "prompt": "p", "max_tokens": STREAM_TOKENS}
        stream = completion | {"stream": True}
        keyed = {HEADER_IDEMPOTENCY_KEY: "k"}
        requests = [
            async_outcome(deployment, "/services/permits/x", "plain"),
            async_outcome(deployment, "/services/permits/x", "keyed", **keyed),
            async_outcome(deployment, "/v1/completions", completion),
            async_outcome(deployment, "/v1/completions", stream),
            async_outcome_of_unfinished(deployment),
        ]
        tasks = [asyncio.ensure_future(request) for request in requests]
        await asyncio.sleep(UNTIL_SENT_S)
        assert not any(task.done() for task in tasks)
        code = await async_stop(deployment.processes["gateway-1"])
        *answers, stream_end, unfinished = await asyncio.gather(*tasks)
        assert answers == ["502 unknown"] * 3
        assert (stream_end, unfinished) == ("error event", "503 not-run")
        assert code == 0
        status, headers, _ = await deployment.async_call_service(
            "POST", "x", gateway=2, idempotency_key="k", body='"keyed"'
        )
        assert (status, headers[HEADER_OUTCOME]) == (502, "unknown")
        assert len(await async_executions(deployment, "k")) == 1

    asyncio.run(
        async_run_with_service(tmp_path, async_scenario, gateway_extra=GATEWAY_SETTINGS)
    )


def test_requests_queued_at_the_end_of_the_grace_period_are_not_run(tmp_path):
    """Guards against queued requests that end as unknown, or sent ones as not run."""

    async def async_scenario(deployment):
        late = {"late_answers": 10 * REQUESTS, "late_answer_s": WORK_S}
        for engine in deployment.engines.values():
            await deployment.async_set_faults(engine["url"], **late)
        completion = {"model": "m", "prompt": "p"}
        received = len(await deployment.async_received_ids())
        tasks = [
            asyncio.ensure_future(
                async_outcome(deployment, "/v1/completions", completion)
            )
            for _ in range(REQUESTS)
        ]
        await asyncio.sleep(UNTIL_SENT_S)
        assert not any(task.done() for task in tasks)
        assert await async_stop(deployment.processes["gateway-1"]) == 0
        outcomes = await asyncio.gather(*tasks)
        assert set(outcomes) == {"502 unknown", "503 not-run"}
        received = len(await deployment.async_received_ids()) - received
        assert outcomes.count("502 unknown") == received

    asyncio.run(
        async_run_with_service(tmp_path, async_scenario, gateway_extra=GATEWAY_SETTINGS)
    )
