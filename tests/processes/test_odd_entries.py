"""Entry daemons that read entries which another program wrote."""

from __future__ import annotations

import asyncio
import json

from ..odd_values import HUGE, encode_row, make_nested
from .entry_deployment import SERVICES, async_entry_deployment
from .test_entry import EVENTS, async_until_served, new_id

DAEMONS = 2
READ_S = 2.5
"""Longer than the time within which every daemon knows a change."""
ODD_FIELDS = [
    {"slots": HUGE},
    {"address": "999.0.0.1:80"},
    {"address": "127.0.0.1:0"},
    {"born": HUGE},
]


def make_row(service: str, fields: dict) -> str:
    row = {"service": service, "address": "127.0.0.1:9", "zone": "zone-a"}
    row |= {"version": "v1", "slots": 8, "state": "ready", "models": [{"name": "m0"}]}
    return encode_row(json.dumps(row | fields).encode())


def test_odd_entries_harm_no_other_endpoint(tmp_path):
    """Daemons ended on the nested ones, again at each start, or answered 500."""

    async def async_put(deployment, table, key, text):
        url = f"{deployment.store_url}/standin/rows/{table}/{key}"
        async with deployment.session.put(url, data=text) as answer:
            assert answer.status == 200

    async def async_test(deployment):
        await async_until_served(deployment, 0, "m0")
        nested = encode_row(make_nested(20_000))
        for table, key in (("servers", "odd"), ("op", "odd"), ("op", "config")):
            await async_put(deployment, table, key, nested)
        for number, fields in enumerate(ODD_FIELDS):
            for name, service in SERVICES.items():
                row = make_row(service, fields)
                await async_put(deployment, "servers", f"odd-{name}-{number}", row)
        await asyncio.sleep(READ_S)
        for number in range(DAEMONS):
            for _ in range(10):
                body = await async_until_served(deployment, number, "m0")
                assert body.count(b"id: ") == EVENTS
                async with deployment.request(number, "/once/x", new_id()) as answer:
                    assert answer.status == 200

    async def async_run():
        async with async_entry_deployment(tmp_path, DAEMONS) as deployment:
            await async_test(deployment)

    asyncio.run(async_run())
