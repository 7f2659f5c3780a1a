"""Starts entry daemons as the platform does, beside a stand-in of the platform.

The store and the servers run in the process of the script; each daemon is a process
of its own, with the run command and the settings template of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent.parent
METRICS_PORT = 9464
READY_TIMEOUT_S = 15.0
STORE_ANSWER_S = 0.004
FIELDS = {
    "zones": {"tallinn-a": "ee-north", "tallinn-b": "ee-north", "maardu-c": "ee-north"},
    "limits.cpu_share": "0.537",
    "limits.cores": "2",
    "beat_interval_ms": "1200",
    "bounds.grace_s": "8",
    "bounds.drain_ms": "2000",
    "bounds.contact_ms": "3000",
    "bounds.config_apply_ms": "2000",
    "bounds.lease_ms": "3000",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_slack": "56",
    "bounds.budget_window_s": "10",
    "bounds.ceiling_window_s": "5",
    "bounds.ceiling_excess": "1.1",
}
"""Settings of the small deployment `kylmavaht`, as its page states them."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Time since the start of the script."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now_s:8.3f} {text}\n")
        self._file.flush()


def render(template: str, fields: dict) -> str:
    """Fill in a settings template as the deploy page describes it."""

    def render_section(match: re.Match) -> str:
        value = fields.get(match[2])
        if isinstance(value, dict) and match[1] == "#":
            return "".join(
                match[3].replace("{{@}}", key).replace("{{.}}", entry)
                for key, entry in value.items()
            )
        is_shown = bool(value) is (match[1] == "#")
        return match[3].replace("{{.}}", value or "") if is_shown else ""

    sections = r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}"
    template = re.sub(sections, render_section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields[match[1]], template)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, unless it is closed."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class StoreGate:
    """Turns the callers of one address of the store away while ``is_shut``."""

    def __init__(self) -> None:
        self.is_shut = False

    @property
    def middleware(self) -> Callable:
        """The middleware, which answers 503 while the gate is shut."""

        @web.middleware
        async def async_check(request: web.Request, handler: Callable):
            if self.is_shut:
                return web.Response(status=503)
            return await handler(request)

        return async_check


class Store:
    """The platform's metadata store, as `PROTOCOL.md` describes it."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.rows: dict[tuple[str, str], dict] = {}
        self.version = 0
        self._history: list[dict] = []
        self._changed = asyncio.Event()
        self.writes: list[tuple[float, dict]] = []
        self.loses_answer: Callable[[dict], bool] = lambda body: False
        """Returns whether the answer of a write that was done is lost."""

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator and the servers do."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._commit([(table, key, data)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._commit([(table, key, None)])

    def _commit(self, changes: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, value in changes:
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            if value is None:
                self.rows.pop((table, key), None)
                row |= {"value": "", "tombstone": True}
            else:
                row["value"] = value
                self.rows[table, key] = row
            self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def make_app(self, gate: StoreGate | None = None) -> web.Application:
        """Return the HTTP application; a gate may turn its callers away."""
        middlewares = [] if gate is None else [gate.middleware]
        app = web.Application(middlewares=middlewares)
        app.router.add_get("/api/rows-get", self._async_get)
        app.router.add_get("/api/rows-feed", self._async_feed)
        app.router.add_post("/api/rows-tx", self._async_transact)
        return app

    def _page(self, rows: list[dict]) -> web.Response:
        now_ms = round(time.monotonic() * 1000)
        page = {"rows": rows, "ver": self.version, "now_ms": now_ms, "truncated": False}
        return web.json_response(page)

    async def _async_get(self, request: web.Request) -> web.Response:
        await asyncio.sleep(STORE_ANSWER_S)
        query = request.query
        low, high = query.get("from", ""), query.get("to", "\U0010ffff" * 4)
        found = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and low <= key < high
        ]
        return self._page(found)

    async def _async_feed(self, request: web.Request) -> web.Response:
        await asyncio.sleep(STORE_ANSWER_S)
        after = int(request.query["after"])
        end_s = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            changed = [
                row
                for row in self._history
                if row["ver"] > after and row["table"] == request.query["table"]
            ]
            left_s = end_s - time.monotonic()
            if changed or left_s <= 0:
                return self._page(changed)
            event = self._changed
            try:
                await asyncio.wait_for(event.wait(), left_s)
            except TimeoutError:
                continue

    async def _async_transact(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        await asyncio.sleep(2 * STORE_ANSWER_S)
        for check in body["expected_rev"]:
            row = self.rows.get((check["table"], check["key"]))
            if (row["ver"] if row else 0) != check["ver"]:
                rows = [row] if row else []
                return web.json_response(
                    {"rows": rows, "ver": self.version, "now_ms": 0}, status=412
                )
        changes = [(e["table"], e["key"], e["value"]) for e in body["set_keys"]]
        changes += [(e["table"], e["key"], None) for e in body["remove"]]
        self._commit(changes)
        self.writes.append((self._record.now_s, body))
        if self.loses_answer(body):
            # Nothing further is delivered on this connection.
            await asyncio.sleep(3600)
        return web.json_response(
            {"rows": [], "ver": self.version, "now_ms": time.monotonic() * 1000}
        )


class Daemon:
    """One entry daemon: its addresses, its settings and its process."""

    def __init__(self, fleet: Fleet, number: int, zone: str) -> None:
        self.fleet = fleet
        self.node = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"{fleet.subnet}.{10 + number}"
        ports = fleet.ports
        self.front = f"{self.ip}:{ports[0]}"
        self.ready = f"{self.ip}:{ports[1]}"
        self.control = f"{self.ip}:{ports[2]}"
        self.directory = f"{self.ip}:{ports[3]}"
        self.store_address = fleet.store_address
        self.process: asyncio.subprocess.Process | None = None

    async def async_start(self) -> None:
        """Write the settings file and start the process."""
        fleet = self.fleet
        role = fleet.deploy["roles"]["entry"]
        fields = FIELDS | {
            "node": self.node,
            "ip": self.ip,
            "zone": self.zone,
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "listen.directory": self.directory,
            "seeds": ",".join(d.control for d in fleet.daemons[:3]),
            "provider.address": self.store_address,
        }
        path = fleet.folder / f"{self.node}.ini"
        path.write_text(render((ROOT / role["template"]).read_text(), fields))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(fleet.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CHUTELINK_SETTINGS": str(path),
            **role.get("env", {}),
        }
        log = (fleet.folder / f"{self.node}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        fleet.record.write(f"started {self.node} at {self.front}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.fleet.record.write(f"sent {number.name} to {self.node}")
        self.process.send_signal(number)

    def log(self) -> str:
        """Return what the daemon has logged."""
        return (self.fleet.folder / f"{self.node}.log").read_text(errors="replace")

    @property
    def holds_lease(self) -> bool:
        """Whether the daemon took the lease and hasn't lost it since."""
        log = self.log()
        return log.rfind("event=lease_taken") > log.rfind("event=lease_lost")

    async def async_is_ready(self) -> bool:
        """Ask the daemon whether it is ready, as the platform does."""
        host, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        try:
            line = await asyncio.wait_for(reader.readline(), 1.0)
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()
        return b" 200 " in line


class Fleet:
    """A store, and the daemons that use it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.subnet = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.ports = free_ports(f"{self.subnet}.1", 5)
        self.store = Store(record)
        self.store_address = f"{self.subnet}.1:{self.ports[4]}"
        self.daemons: list[Daemon] = []
        self._runners: list[web.AppRunner] = []

    async def async_serve(self, app: web.Application, address: str) -> None:
        """Serve an application of the stand-in."""
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), reuse_address=True).start()
        self._runners.append(runner)

    async def async_start(self, zones: list[str]) -> None:
        """Start the store and one daemon in each listed zone."""
        await self.async_serve(self.store.make_app(), self.store_address)
        self.daemons = [Daemon(self, n + 1, zone) for n, zone in enumerate(zones)]
        for daemon in self.daemons:
            await daemon.async_start()
        await self.async_until_ready()

    async def async_until_ready(self) -> None:
        """Wait until all daemons are ready."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not all([await d.async_is_ready() for d in self.daemons]):
            if time.monotonic() > end_s:
                raise RuntimeError("the daemons didn't become ready")
            await asyncio.sleep(0.1)

    async def async_close(self) -> None:
        """End all processes and remove the temporary folder."""
        for daemon in self.daemons:
            process = daemon.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for runner in self._runners:
            await runner.cleanup()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def run_case(folder: Path, async_case: Callable[[Fleet, Record, bool], object]) -> int:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begin, {'with' if has_trouble else 'without'} the disruption")

    async def async_run() -> int:
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(115):
                return await async_case(fleet, record, has_trouble)
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await fleet.async_close()

    result = asyncio.run(async_run())
    texts = {0: "the rule held", 1: "the rule was broken", 2: "not run"}
    record.write(f"end: {texts[result]}")
    print(texts[result])
    return result
