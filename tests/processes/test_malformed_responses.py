"""A service that sends a gateway something other than a response."""

from __future__ import annotations

import asyncio

from ..malformed_responses import BROKEN_ON_ALL_PATHS, SOUND, UNFRAMED_RARE
from ..raw_server import UNFRAMED, RawEndpoint, async_call_raw, async_raw_server
from ..relaying.test_malformed_responses import split_response
from .deployment import KEY, async_deploy, async_start_all
from .scenarios import ONE_MODEL

PATH = "/services/permits/permits"
UPLOAD_BYTES = 1_000_000
"""The most that a gateway takes."""
GATEWAY = f"valid_s = 1.0\nmax_body_bytes = {UPLOAD_BYTES}\n"
HEALTHY = SOUND["value_empty"]


def make_request(body: bytes = b"body") -> bytes:
    lines = [
        f"POST {PATH} HTTP/1.1",
        "Host: gateway",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def async_call(deployment, body: bytes = b"body") -> tuple[int, bytes, bytes]:
    data = await async_call_raw(deployment.gateway_url(1), make_request(body))
    return split_response(data)


async def async_until_served(deployment, server) -> None:
    """Wait until a gateway calls the service."""
    server.response = HEALTHY.data

    async def async_is_served() -> bool:
        return (await async_call(deployment))[0] == HEALTHY.status

    await deployment.async_until(async_is_served)


async def async_check(deployment, server) -> None:
    for name, response in BROKEN_ON_ALL_PATHS.items():
        await async_until_served(deployment, server)
        server.response = response
        status, head, _ = await async_call(deployment)
        assert status == 502, name
        assert b"chutelink-outcome: unknown" in head.lower(), name
        assert b"odd" not in head.lower(), name
    for name, case in SOUND.items():
        if name in UNFRAMED_RARE:
            # Gateways return no responses that end with their connections.
            continue
        await async_until_served(deployment, server)
        server.response = case.data
        status, _, body = await async_call(deployment)
        assert (status, body) == (case.status, case.body), name


async def async_check_early_response(deployment, server) -> None:
    await async_until_served(deployment, server)
    server.response, server.is_reset = UNFRAMED, True
    status, head, _ = await async_call(deployment, b"a" * UPLOAD_BYTES)
    assert status == 502
    assert b"chutelink-outcome: unknown" in head.lower()


def test_gateway_returns_responses_and_nothing_else(tmp_path):
    async def async_test():
        async with (
            async_deploy(tmp_path) as deployment,
            async_raw_server(server_type=RawEndpoint) as server,
        ):
            deployment.start_engine(1)
            deployment.services["raw"] = f"http://{server.address}"
            await async_start_all(
                deployment, gateways=1, directors=("a",), gateway_extra=GATEWAY
            )
            fleet = deployment.fleet_text(ONE_MODEL)
            code, _ = await deployment.async_apply(fleet, 0, "--wait")
            assert code == 0
            await async_check(deployment, server)
            await async_check_early_response(deployment, server)

    asyncio.run(async_test())
