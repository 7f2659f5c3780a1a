"""Starts entry daemons as the deploy file does, and ends all that was started."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

import aiohttp

from .store import Store
from .template import render

ROOT = Path(__file__).resolve().parents[2]
STORE_PORT = 8142
CALLER_PORT = 8149
READY_PORT = 8141
DIRECTORY_PORT = 8143
PEER_PORT = 8144
START_TIMEOUT_S = 20.0
HEARTBEAT_S = 1.2
BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "contact_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "back_ms": "250",
    "stretch_max_ms": "5000",
    "retry_ratio": "0.2",
    "budget_window_s": "10",
    "retry_slack": "54",
    "recovery_s": "12",
    "lease_ms": "3000",
    "thaw_slack_ms": "300",
    "ceiling_window_s": "5",
    "ceiling_excess": "1.1",
}
"""Bounds of the small deployments, as their sheets state them."""


class Record:
    """Writes what was sent, answered and run to a file, with times in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")


class Fleet:
    """A store, entry daemons at loopback addresses of their own, and servers."""

    def __init__(self, record: Record, daemons: int = 3) -> None:
        pid = os.getpid()
        self._subnet = f"127.{100 + pid % 100}.{pid // 100 % 250}"
        self._daemons = daemons
        self._directory = tempfile.TemporaryDirectory(prefix="chutelink-review-")
        self.directory = Path(self._directory.name)
        self.record = record
        self.store = Store()
        self.session: aiohttp.ClientSession | None = None
        self.processes: dict[str, subprocess.Popen] = {}
        self._heartbeats: dict[str, asyncio.Task[None]] = {}

    def address(self, number: int) -> str:
        """Return an address; 1 is the store's, and daemons begin at 10."""
        return f"{self._subnet}.{number}"

    def daemon_address(self, number: int) -> str:
        """Return the address of a daemon, counted from 0."""
        return self.address(10 + number)

    async def async_start(self, config: dict) -> None:
        """Start the store and the daemons, and wait until they are ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        await self.store.async_start(self.address(1), STORE_PORT)
        self.store.put("op", "config", config)
        await self.async_start_daemons()

    async def async_start_daemons(self) -> None:
        """Start all daemons, and wait until they are ready."""
        for number in range(self._daemons):
            self.start_daemon(number)
        async with asyncio.timeout(START_TIMEOUT_S):
            for number in range(self._daemons):
                while not await self._async_is_ready(number):
                    await asyncio.sleep(0.05)

    async def _async_is_ready(self, number: int) -> bool:
        url = f"http://{self.daemon_address(number)}:{READY_PORT}/api/ready"
        try:
            async with self.session.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    def _fields(self, number: int) -> dict[str, str | dict[str, str]]:
        ip = self.daemon_address(number)
        return {
            "node": f"front-{number}",
            "zone": f"zone-{number % 3}",
            "zones": {f"zone-{n}": "region" for n in range(3)},
            "ip": ip,
            "listen.front": f"{ip}:{CALLER_PORT}",
            "listen.ready": f"{ip}:{READY_PORT}",
            "listen.directory": f"{ip}:{DIRECTORY_PORT}",
            "listen.control": f"{ip}:{PEER_PORT}",
            "seeds": ",".join(
                f"{self.daemon_address(n)}:{PEER_PORT}" for n in range(3)
            ),
            "provider.address": f"{self.address(1)}:{STORE_PORT}",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "beat_interval_ms": "1200",
        } | {f"bounds.{name}": value for name, value in BOUNDS.items()}

    def start_daemon(self, number: int) -> None:
        """Start an entry daemon with the run command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        path = self.directory / f"front-{number}.ini"
        path.write_text(render(template, self._fields(number)))
        self.start(
            f"front-{number}",
            shlex.split(role["run"]),
            {"CHUTELINK_SETTINGS": str(path), **role["env"]},
        )

    def start(self, name: str, command: list[str], env: dict[str, str]) -> None:
        """Start a process at the root of the repository."""
        if command[0] == "python3":
            command = [sys.executable, *command[1:]]
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        log = (self.directory / f"{name}.log").open("a")
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env=kept | {"PYTHONPATH": "target/deps"} | env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        self.record.note(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def log_of(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def owner_of(self, host: str, port: int) -> str:
        """Return the process that has opened a connection, by its address and port."""
        packed = bytes(map(int, host.split(".")))[::-1].hex().upper()
        local = f"{packed}:{port:04X}"
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
        inodes = {line.split()[9] for line in lines if line.split()[1] == local}
        for name, process in self.processes.items():
            for link in Path(f"/proc/{process.pid}/fd").glob("*"):
                try:
                    target = os.readlink(link)
                except OSError:
                    # Closed meanwhile.
                    continue
                if target.removeprefix("socket:[").rstrip("]") in inodes:
                    return name
        return ""

    def register(self, server: str, make_entry: Callable[[], dict]) -> None:
        """Write a server's entry now and at each heartbeat."""
        self.forget(server)
        self._heartbeats[server] = asyncio.create_task(
            self._async_register(server, make_entry)
        )

    def forget(self, server: str) -> None:
        """End a server's heartbeats; its entry stays until it is removed."""
        task = self._heartbeats.pop(server, None)
        if task is not None:
            task.cancel()

    async def _async_register(
        self, server: str, make_entry: Callable[[], dict]
    ) -> None:
        sequence = 0
        while True:
            self.store.put("servers", server, {**make_entry(), "seq": sequence})
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1

    async def async_close(self) -> None:
        """End all processes that were started, and remove the temporary files."""
        for task in self._heartbeats.values():
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self.session is not None:
            await self.session.close()
        await self.store.async_stop()
        self._directory.cleanup()
