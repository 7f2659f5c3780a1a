"""Two servers crash one after the other, the second before it goes on with a stream.

A server is killed in the middle of an event. Its stream goes on at another server,
which answers without a length and is killed before its first event.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import run_case  # noqa: E402
from streams import ServerProcess, async_start_servers, async_stream  # noqa: E402

SERVERS = 12
"""Two of them are killed: a share of 0.17, as in the site file."""
STREAMS = 4
EVENTS = 20
ZONES = ["tallinn-a", "tallinn-b", "maardu-c"]


async def async_case(fleet, record, has_trouble: bool) -> int:
    """Run the case."""
    servers = await async_start_servers(fleet, SERVERS, ZONES)
    try:
        await fleet.async_start(ZONES)
        await asyncio.sleep(1.0)
        return await async_play(fleet, record, servers, has_trouble)
    finally:
        for server in servers:
            await server.async_close()


async def async_play(fleet, record, servers, has_trouble: bool) -> int:
    """Send streams, with the disruption if there is to be one."""
    daemon = fleet.daemons[0]
    broken: list[str] = []
    killed: list[ServerProcess] = []

    def kill(server: ServerProcess, event: dict) -> None:
        if not killed and "within" in event:
            broken.append(event["within"])
        elif not (len(killed) == 1 and event.get("head") in broken):
            return
        killed.append(server)
        server.proxy.close()
        server.crash()

    if has_trouble:
        for server in servers:
            server.on_event = kill
    answers = await asyncio.gather(
        *(async_stream(record, daemon.front, f"s{n}", EVENTS) for n in range(STREAMS))
    )
    for line in daemon.log().splitlines():
        if any(text in line for text in ("attempt_", "stream_")):
            record.write(f"log of {daemon.node}: {line[:240]}")
    wrong = [a for a in answers if a.is_complete and a.status == 200]
    wrong = [a for a in wrong if a.events != list(range(1, EVENTS + 1))]
    record.write(f"{len(wrong)} streams ended as complete before their last event")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, async_case))
