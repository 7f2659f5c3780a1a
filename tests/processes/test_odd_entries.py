"""Entry daemons that read entries which another program wrote."""

from __future__ import annotations

import asyncio
import json

from chutelink.const import (
    TABLE_LEASES,
    TABLE_MEMBERS,
    TABLE_ORIGINS,
    TABLE_QUARANTINE,
)

from ..odd_values import HUGE, encode_row, make_nested
from .entry_deployment import SERVICES
from .test_entry import EVENTS, async_until_served, new_id, run_test

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

    async def async_test(deployment):
        await async_until_served(deployment, 0, "m0")
        nested = encode_row(make_nested(20_000))
        for table, key in (("servers", "odd"), ("op", "odd"), ("op", "config")):
            await deployment.async_put_row(table, key, nested)
        for number, fields in enumerate(ODD_FIELDS):
            for name, service in SERVICES.items():
                row = make_row(service, fields)
                await deployment.async_put_row("servers", f"odd-{name}-{number}", row)
        await asyncio.sleep(READ_S)
        for number in range(DAEMONS):
            for _ in range(10):
                body = await async_until_served(deployment, number, "m0")
                assert body.count(b"id: ") == EVENTS
                async with deployment.request(number, "/once/x", new_id()) as answer:
                    assert answer.status == 200

    run_test(async_test, tmp_path, DAEMONS)


OWN_TABLES = (TABLE_MEMBERS, TABLE_LEASES, TABLE_QUARANTINE, TABLE_ORIGINS)
ODD_VALUES = [
    HUGE,
    "text",
    {"peer_address": "10.0.0.1:99999", "capacity": 1e308},
    {"peer_address": "999.0.0.1:7109", "capacity": -1},
    {"peer_address": 7, "started_s": HUGE},
]


def test_odd_entries_of_own_tables_harm_no_other_row(tmp_path):
    """Daemons ended on such rows, or did not find each other after a start."""

    async def async_test(deployment):
        await async_until_served(deployment, 0, "m0")
        values = [json.dumps(value).encode() for value in ODD_VALUES]
        for table in OWN_TABLES:
            for number, value in enumerate([make_nested(20_000), *values]):
                row = encode_row(b'{"write_id": "w", "value": %b}' % value)
                await deployment.async_put_row(table, f"odd-{number}", row)
        await asyncio.sleep(READ_S)
        for number in range(DAEMONS):
            deployment.processes[f"vm-{number}"].kill()
            deployment.start_daemon(number)
        await deployment.async_until_all_listed(list(range(DAEMONS)))
        for number in range(DAEMONS):
            await async_until_served(deployment, number, "m0")

    run_test(async_test, tmp_path, DAEMONS)
