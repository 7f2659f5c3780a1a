"""Model servers as processes, each behind a proxy, and callers of streams."""

from __future__ import annotations

import asyncio
import json
import re
import sys
import zlib
from collections.abc import Callable
from pathlib import Path

from harness import ROOT, Fleet, Record, free_ports, reset

SERVER = Path(__file__).resolve().parent / "server.py"
HOST = "ficu95.example"


class Proxy:
    """Passes connections on to a server, until it is told to refuse them."""

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        self.host, self.port, self._target = host, port, target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.connections = 0
        self.delay_s: Callable[[bytes], float] = lambda data: 0.0
        """Returns how long data of a caller is held up on its way."""
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address that the server registers."""
        return f"{self.host}:{self.port}"

    async def async_accept(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._async_pass_on, self.host, self.port, reuse_address=True
        )

    def close(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def refuse(self) -> None:
        """Refuse new connections, and reset the open ones."""
        self.close()
        for writer in list(self._writers):
            reset(writer.transport)

    async def _async_pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            upstream, sink = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer.transport)
            return
        self._writers |= {writer, sink}

        async def async_copy(
            source: asyncio.StreamReader, target: asyncio.StreamWriter
        ) -> None:
            try:
                while data := await source.read(65536):
                    if target is sink and (delay_s := self.delay_s(data)):
                        await asyncio.sleep(delay_s)
                    target.write(data)
                    await target.drain()
            except OSError:
                reset(target.transport)
                return
            # The end of the sender's connection, as it was received.
            target.close()

        try:
            await asyncio.gather(async_copy(reader, sink), async_copy(upstream, writer))
        finally:
            self._writers -= {writer, sink}


class ServerProcess:
    """A model server's process and its proxy."""

    def __init__(self, fleet: Fleet, name: str, zone: str, models: list[str]) -> None:
        self.fleet, self.name, self.zone, self.models = fleet, name, zone, models
        self.proxy: Proxy | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.on_event: Callable[[ServerProcess, dict], None] = lambda server, e: None
        self.version, self.state = "v1", "ready"
        self._reader: asyncio.Task | None = None

    async def async_start(self, host: str, port: int, proxy_port: int, *args) -> None:
        """Start the process, and register it once it listens."""
        command = [sys.executable, str(SERVER), "--host", host, "--port", str(port)]
        command += ["--id", self.name, "--version", self.version]
        command += [*args, "--models", *self.models]
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        await self.process.stdout.readline()
        self._reader = asyncio.ensure_future(self._async_read())
        self.proxy = Proxy(host, proxy_port, (host, port))
        await self.proxy.async_accept()
        self.register()

    async def _async_read(self) -> None:
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            self.fleet.record.write(f"server {line.decode().strip()}")
            self.on_event(self, event)

    def register(self) -> None:
        """Write the entry of the server, which is ready."""
        models = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        entry = {
            "service": "vaatleja-llm",
            "address": self.proxy.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "models": models,
            "seq": 0,
        }
        self.fleet.store.put("servers", self.name, entry)

    def leave(self) -> None:
        """Remove the entry, and end the process."""
        self.fleet.record.write(f"server {self.name} has left")
        self.fleet.store.remove("servers", self.name)
        self.proxy.close()
        self.process.terminate()

    def crash(self) -> None:
        """Kill the process; its address accepts nothing from then on."""
        self.fleet.record.write(f"killed server {self.name}")
        self.process.kill()

    async def async_close(self) -> None:
        """End the process."""
        if self.proxy is not None:
            self.proxy.refuse()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        if self._reader is not None:
            await self._reader


async def async_start_server(server: ServerProcess, *args: str) -> None:
    """Start a server on free ports."""
    host = f"{server.fleet.subnet}.2"
    await server.async_start(host, *free_ports(host, 2), *args)


async def async_start_servers(
    fleet: Fleet,
    count: int,
    zones: list[str],
    *args: str,
    adapters: int = 0,
    version: str = "v1",
) -> list[ServerProcess]:
    """Write the configuration, and start servers that hold the model."""
    fleet.store.put("op", "config", make_config(2, adapters))
    servers = [
        ServerProcess(fleet, f"i-{n}", zones[n % len(zones)], ["m0"])
        for n in range(count)
    ]
    for server in servers:
        server.version = version
        await async_start_server(server, *args)
    return servers


def make_config(models: int, adapters: int = 0) -> dict:
    """Return a configuration with a stream that may be resumed, as on the sheet."""
    engine = {
        "slots": 64,
        "kv_capacity": 254071,
        "weights_mb": 220000.0,
        "adapter_slots": 5,
        "loads_per_s": 2.1,
        "models": [
            {
                "name": f"m{n}",
                "weights_mb": 72700.0,
                "load_s": 4.2,
                "warm_s": 0.4,
                "disk_s": 0.84,
                "adapters": adapters,
                "adapter_mb": 66.0,
            }
            for n in range(models)
        ],
    }
    route = {
        "name": "driver-query",
        "host": HOST,
        "prefix": "/query/",
        "kind": "streaming",
        "service": "vaatleja-llm",
        "attempts": 2,
        "timeout_ms": 15000,
        "slo_ms": 1500,
        "gap_target_ms": 400,
        "priority": 0,
        "resumable": True,
        "sticky": True,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": "vaatleja-llm", "max_conns": 370, "engine": engine}],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class StreamAnswer:
    """What a caller received of a stream."""

    def __init__(self) -> None:
        self.status = 0
        self.has_seal = False
        self.is_complete = False
        self.events: list[int] = []
        self.versions: list[str] = []
        self.error = ""

    def __str__(self) -> str:
        events = f"{len(self.events)} events of {','.join(self.versions) or '-'}"
        if self.events:
            events += f" ({self.events[0]} to {self.events[-1]})"
        end = "complete" if self.is_complete else f"not complete {self.error}"
        return f"status {self.status}, seal {self.has_seal}, {events}, {end}"


async def async_stream(
    record: Record,
    address: str,
    name: str,
    events: int,
    model: str = "m0",
    extra: str = "",
) -> StreamAnswer:
    """Request a stream on a new connection, and read it to its end."""
    answer = StreamAnswer()
    host, _, port = address.rpartition(":")
    part = f"{zlib.crc32(name.encode()):08x}"
    head = (
        f"POST /query/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n"
        f"X-Deadline-Ms: 15000\r\nX-Model: {model}\r\n"
        f"X-Token-Count: 826,{events * 5}\r\n"
        f"X-Prompt-Prefix: 5c1e07a2:119,{part}:707\r\n"
        f"{extra}Content-Length: 5\r\n\r\nquery"
    )
    record.write(f"caller sends {name} to {address}, {events} events expected")
    body = b""
    try:
        async with asyncio.timeout(15):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode())
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            answer.status = int(lines[0].split()[1])
            answer.has_seal = any(x.lower().startswith("x-server-seal") for x in lines)
            is_chunked = any("chunked" in line.lower() for line in lines)
            length = next(
                (
                    int(x.split(":")[1])
                    for x in lines
                    if x.lower()[:15] == "content-length:"
                ),
                None,
            )
            if is_chunked:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    body += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            elif length is not None:
                body = await reader.readexactly(length)
            answer.is_complete = is_chunked or length is not None
            writer.close()
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        answer.error = repr(error)
    found = re.findall(rb"(?m)^id: (\d+)\ndata: (\w+)\n\n", body)
    answer.events = [int(number) for number, _ in found]
    answer.versions = sorted({version.decode() for _, version in found})
    record.write(f"caller got {name}: {answer}")
    return answer
