"""The store loses the answer to a takeover of the lease.

The store refuses the holder for a moment; another daemon takes the lease and gives
orders. That one is stopped; the former holder takes the lease back. The answer to its
write is lost, so that it takes the lease once more.
"""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import Daemon, StoreGate, free_ports, run_case  # noqa: E402
from streams import async_start_servers, async_stream  # noqa: E402

LEASE_S = 3.0
"""The bound ``lease_ms``."""
MAX_REFUSED_S = 4.5
"""Length of `platform_down` in the site file; it ends as another daemon takes over."""
SECOND_HOLDER_S = 0.5
"""How long the second holder gives orders before it is stopped."""
ADAPTERS = 16
EVENTS = 10
REQUEST_PERIOD_S = 0.2
LOSES_ANSWER = os.environ.get("LOST", "1") != "0"
"""Leaves out the lost answer alone if it is false."""


async def async_case(fleet, record, has_trouble: bool) -> int:
    """Run the case."""
    servers = await async_start_servers(fleet, 1, ["tallinn-a"], adapters=ADAPTERS)
    try:
        await fleet.async_serve(fleet.store.make_app(), fleet.store_address)
        # In order of their names, in which they contend for the lease.
        zones = ["maardu-c", "tallinn-a"]
        fleet.daemons = [Daemon(fleet, n + 1, zone) for n, zone in enumerate(zones)]
        gate = StoreGate()
        first = fleet.daemons[0]
        host = f"{fleet.subnet}.1"
        first.store_address = f"{host}:{free_ports(host, 1)[0]}"
        await fleet.async_serve(fleet.store.make_app(gate), first.store_address)
        await first.async_start()
        while not first.holds_lease:
            await asyncio.sleep(0.05)
        for daemon in fleet.daemons[1:]:
            await daemon.async_start()
        await fleet.async_until_ready()
        await asyncio.sleep(LEASE_S)
        return await async_play(fleet, record, servers[0], gate, has_trouble)
    finally:
        for server in servers:
            await server.async_close()


async def async_ask(fleet, record, sent: list) -> None:
    """Ask the first daemon for one adapter after the other."""
    daemon = fleet.daemons[0]
    number = 0
    while True:
        model = f"m0/a{number % ADAPTERS + 1}"
        request = async_stream(record, daemon.front, f"r{number}", EVENTS, model)
        sent.append(asyncio.ensure_future(request))
        number += 1
        await asyncio.sleep(REQUEST_PERIOD_S)


async def async_play(fleet, record, server, gate, has_trouble: bool) -> int:
    """Hand the lease over twice; the answer of the second takeover is lost."""
    first = fleet.daemons[0]
    orders: list[tuple[float, dict]] = []
    sent: list[asyncio.Task] = []

    def note(_, event: dict) -> None:
        if "order" in event:
            orders.append((record.now_s, event["order"]))

    server.on_event = note
    asking = asyncio.ensure_future(async_ask(fleet, record, sent))
    try:
        await asyncio.sleep(2.0)
        if has_trouble:
            await async_hand_over(fleet, record, gate, first, orders)
        await asyncio.sleep(6.0)
    finally:
        asking.cancel()
    await asyncio.gather(*sent)
    for daemon in fleet.daemons:
        for line in daemon.log().splitlines():
            if re.search(r"event=lease_", line):
                record.write(f"log of {daemon.node}: {line[:200]}")
    return int(find_turn(record, orders))


async def async_hand_over(fleet, record, gate, first, orders) -> None:
    """Refuse the first holder until another one takes over, then stop that one."""
    second = fleet.daemons[1]
    record.write(f"the store refuses {first.node}")
    gate.is_shut = True
    async with asyncio.timeout(MAX_REFUSED_S):
        while not second.holds_lease:
            await asyncio.sleep(0.01)
    gate.is_shut = False
    record.write(f"the store serves {first.node} again; {second.node} has the lease")
    while not orders or orders[-1][1]["holder"] == first.node:
        await asyncio.sleep(0.02)
    await asyncio.sleep(SECOND_HOLDER_S)
    lost = 0

    def loses_answer(body: dict) -> bool:
        nonlocal lost
        is_lease = any(row["key"] == "placer" for row in body["set_keys"])
        is_release = len(fleet.store.writes) == writes + 1
        if not LOSES_ANSWER or lost or not is_lease or is_release:
            return False
        lost += 1
        record.write("the store has done a write to the lease; its answer is lost")
        return True

    writes = len(fleet.store.writes)
    fleet.store.loses_answer = loses_answer
    second.signal(signal.SIGTERM)


def find_turn(record, orders) -> bool:
    """Return whether a holder orders again, within the bound, after another one."""
    is_broken = False
    for index, (end_s, order) in enumerate(orders):
        holder = order["holder"]
        between = None
        for before_s, before in reversed(orders[:index]):
            if end_s - before_s >= LEASE_S:
                break
            if before["holder"] != holder:
                between = before
            elif between is not None:
                record.write(
                    f"{holder} ordered at {before_s:.3f} s, {between['holder']} after "
                    f"that, {holder} again at {end_s:.3f} s (fences {before['fence']}, "
                    f"{between['fence']}, {order['fence']})"
                )
                is_broken = True
                break
    return is_broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, async_case))
