"""All daemons are killed while the last server of a software version leaves.

Callers resume the streams that this version began; a server of another one goes on.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import run_case  # noqa: E402
from streams import (  # noqa: E402
    ServerProcess,
    async_start_server,
    async_start_servers,
    async_stream,
)

STREAMS = 5
MAX_MIXED = 2
"""Streams of two versions that the rule allows."""
EVENTS = 80
OTHERS = 8
"""Servers that have been replaced before; the last of nine is replaced now."""
MODEL = "m1"
"""Held by the last server and by the one that replaces it; the others hold m0."""
EVENT_S = "0.035"
DRAIN_FROM_S = 0.5
KILL_S = 2.5
LEAVE_S = 4.0
"""It says 0.5 s after the streams began that it leaves, and serves for 3.5 s more."""
DOWN_S = 2.0
RESUME_S = 0.8
ZONES = ["tallinn-a", "tallinn-b", "maardu-c"]


async def async_case(fleet, record, has_trouble: bool) -> int:
    """Run the case."""
    servers = await async_start_servers(fleet, OTHERS, ZONES, version="v2")
    old = ServerProcess(fleet, "i-old", "tallinn-a", [MODEL])
    new = ServerProcess(fleet, "i-new", "tallinn-b", [MODEL])
    new.version = "v2"
    servers += [old, new]
    try:
        await async_start_server(old, "--event-s", EVENT_S)
        await fleet.async_start(ZONES)
        await asyncio.sleep(4.0)
        return await async_play(fleet, record, old, new, has_trouble)
    finally:
        for server in servers:
            await server.async_close()


async def async_resume(fleet, record, number: int, answer) -> bool:
    """Resume a stream; return whether it then holds events of two versions."""
    extra = f"Last-Event-Id: {answer.events[-1]}\r\nResumes: s{number}\r\n"
    address = fleet.daemons[number % 3].front
    name = f"again{number}"
    again = await async_stream(record, address, name, EVENTS, MODEL, extra)
    versions = sorted({*answer.versions, *again.versions})
    record.write(f"stream s{number} holds events of {versions}")
    return len(versions) > 1


async def async_play(fleet, record, old, new, has_trouble: bool) -> int:
    """Replace the server during some streams; kill the daemons if there is trouble."""
    began_s = record.now_s

    async def async_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, began_s + at_s - record.now_s))

    async def async_leave() -> None:
        await async_start_server(new, "--event-s", EVENT_S)
        record.write(f"server {new.name} of {new.version} is ready")
        await async_until(DRAIN_FROM_S)
        old.state = "draining"
        old.register()
        record.write(f"server {old.name} of {old.version} says that it leaves")
        await async_until(LEAVE_S)
        old.leave()

    leaving = asyncio.ensure_future(async_leave())
    sent = [
        asyncio.ensure_future(
            async_stream(record, fleet.daemons[n % 3].front, f"s{n}", EVENTS, MODEL)
        )
        for n in range(STREAMS)
    ]
    if has_trouble:
        await async_until(KILL_S)
        for daemon in fleet.daemons:
            daemon.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for daemon in fleet.daemons:
            await daemon.process.wait()
            await daemon.async_start()
        await fleet.async_until_ready()
        await asyncio.sleep(RESUME_S)
    first = await asyncio.gather(*sent)
    await leaving
    broken = [
        (number, answer)
        for number, answer in enumerate(first)
        if answer.events and not answer.is_complete
    ]
    resumed = await asyncio.gather(
        *(async_resume(fleet, record, *entry) for entry in broken)
    )
    mixed = sum(resumed)
    for daemon in fleet.daemons:
        for line in daemon.log().splitlines():
            if "event=resumption" in line:
                record.write(f"log of {daemon.node}: {line[:240]}")
    record.write(f"{mixed} streams hold events of two versions, {MAX_MIXED} allowed")
    return int(mixed > MAX_MIXED)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, async_case))
