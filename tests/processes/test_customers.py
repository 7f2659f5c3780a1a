"""Keys and quotas while daemons are killed, frozen and restarted."""

from __future__ import annotations

import asyncio
import time

from .entry_deployment import CONNECTION_ERRORS, async_entry_deployment
from .test_entry import new_id

WINDOW_S = 4.0
RATE_PER_S = 20.0
MAX_IN_WINDOW = (RATE_PER_S * WINDOW_S + RATE_PER_S) * 1.1 + 10
"""Requests allowed in any window by the bounds that the daemons start with."""
FLOOD_S = 14.0
CLIENTS_PER_DAEMON = 4
"""Concurrent clients per daemon; together they request several times the quota."""
LIMITED_CUSTOMER = {"name": "limited", "keys": ["key-1"]}
LIMITED_CUSTOMER |= {"rate_per_s": RATE_PER_S, "burst": RATE_PER_S}
UNLIMITED_CUSTOMER = {"name": "free", "keys": ["key-2"]}


async def async_send_request(deployment, number: int, key: str) -> int:
    """Return the status, or 0 if the daemon did not respond."""
    try:
        async with deployment.request(
            number, "/again/x", new_id(), Authorization=f"Bearer {key}"
        ) as answer:
            await answer.read()
            return answer.status
    except CONNECTION_ERRORS:
        return 0


def test_quota_holds_in_every_window_under_faults(tmp_path):
    """Daemons lose their usage counts when killed, and hold old ones after a freeze.

    When all are killed at once, no daemon is left to ask for the usage.
    """
    admitted_s: list[float] = []
    statuses: list[int] = []

    async def async_flood(deployment, number: int) -> None:
        end_s = time.monotonic() + FLOOD_S
        while time.monotonic() < end_s:
            sent_s = time.monotonic()
            status = await async_send_request(deployment, number, "key-1")
            if status == 200:
                admitted_s.append(sent_s)
            await asyncio.sleep(0.02 if status else 0.2)

    async def async_send_unlimited(deployment) -> None:
        end_s = time.monotonic() + FLOOD_S
        while time.monotonic() < end_s:
            statuses.append(await async_send_request(deployment, 0, "key-2"))
            await asyncio.sleep(0.1)

    async def async_inject_faults(deployment) -> None:
        await asyncio.sleep(4)
        deployment.processes["vm-1"].kill()
        deployment.start_daemon(1)
        await asyncio.sleep(2)
        deployment.processes["vm-2"].freeze()
        await asyncio.sleep(2)
        deployment.processes["vm-2"].resume()
        await asyncio.sleep(1)
        for number in (0, 1, 2):
            deployment.processes[f"vm-{number}"].kill()
            deployment.start_daemon(number)

    async def async_test():
        async with async_entry_deployment(tmp_path) as deployment:
            await deployment.async_configure(
                2, tenants=[LIMITED_CUSTOMER, UNLIMITED_CUSTOMER]
            )

            async def async_is_known() -> bool:
                asked = [async_send_request(deployment, n, "nobodys") for n in range(3)]
                return await asyncio.gather(*asked) == [401, 401, 401]

            await deployment.async_until(async_is_known)
            floods = [
                async_flood(deployment, number)
                for number in range(3)
                for _ in range(CLIENTS_PER_DAEMON)
            ]
            await asyncio.gather(
                *floods,
                async_send_unlimited(deployment),
                async_inject_faults(deployment),
            )

    asyncio.run(async_test())
    admitted_s.sort()
    max_admitted = max(
        sum(s <= t < s + WINDOW_S for t in admitted_s) for s in admitted_s
    )
    assert max_admitted <= MAX_IN_WINDOW
    # At least half of the rate is used, although daemons are down at times.
    assert len(admitted_s) > 0.5 * RATE_PER_S * FLOOD_S
    assert 429 not in statuses
    assert 401 not in statuses
    logs = b"".join(path.read_bytes() for path in tmp_path.glob("*.log"))
    assert b"key-1" not in logs and b"nobodys" not in logs
