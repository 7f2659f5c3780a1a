"""Starts the project's entry daemons as the deploy file does, beside a stand-in.

Only loopback addresses are used. All processes are ended by their ids.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = 6
"""Ports that the stand-in and the daemons use, besides that of the metrics."""
METRICS_PORT = 9464
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def _find_ports(addresses: list[str]) -> int:
    """Return the first of some ports that are free at all addresses."""
    for first in range(20000 + os.getpid() % 5000, 32000, PORTS):
        bound = []
        try:
            for address in addresses:
                for port in (*range(first, first + PORTS), METRICS_PORT):
                    bound.append(socket.socket())
                    bound[-1].bind((address, port))
        except OSError:
            continue
        finally:
            for each in bound:
                each.close()
        return first
    raise CannotRun("no free ports")


def _render(template: str, fields: dict[str, str]) -> str:
    """Render the settings template with plain values, as the platform does."""

    def section(match: re.Match) -> str:
        value = fields.get(match[2], "")
        is_shown = bool(value) is (match[1] == "#")
        return match[3].replace("{{.}}", value) if is_shown else ""

    pattern = r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}"
    template = re.sub(pattern, section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: fields[m[1]], template)


class Rig:
    """A stand-in of the platform with its servers, and entry daemons."""

    def __init__(self, daemons: int, case: Path) -> None:
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        pid = os.getpid()
        self.subnet = f"127.{100 + pid % 100}.{pid // 100 % 250}"
        self.daemons = daemons
        names = [self.platform, *map(self.address, range(daemons))]
        self.store_port = _find_ports(names)
        self.front_port = self.store_port + 1
        self.ready_port = self.store_port + 2
        self.directory_port = self.store_port + 3
        self.control_port = self.store_port + 4
        self.processes: dict[str, subprocess.Popen] = {}
        self.session: aiohttp.ClientSession | None = None
        self.started_s = time.monotonic()
        self._record = (case / "record.txt").open("w")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["entry"]

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")

    def address(self, number: int) -> str:
        """Return the address of a daemon."""
        return f"{self.subnet}.{10 + number}"

    @property
    def platform(self) -> str:
        """Address of the platform stand-in."""
        return f"{self.subnet}.1"

    def spawn(self, name: str, command: list[str], env: dict[str, str]) -> None:
        """Start a process; its output goes to the temporary folder."""
        log = (self.folder / f"{name}.log").open("ab")
        base = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=base | env, stdout=log, stderr=log
        )

    def spawn_platform(self, program: Path, *options: str) -> None:
        """Start the stand-in of the platform and of its servers."""
        path = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        command = [sys.executable, str(program), "--address", self.platform]
        command += ["--port", str(self.store_port), *options]
        self.spawn("platform", command, {"PYTHONPATH": path})

    def spawn_daemon(self, number: int, store: str | None = None) -> None:
        """Start a daemon with the run command of the deploy file."""
        ip = self.address(number)
        fields = {
            "node": f"front-{number}",
            "zone": "zone-a",
            "ip": ip,
            "@": "zone-a",
            ".": "region-a",
            "seeds": f"{self.address(0)}:{self.control_port}",
            "provider.address": f"{store or self.platform}:{self.store_port}",
            "listen.front": f"{ip}:{self.front_port}",
            "listen.ready": f"{ip}:{self.ready_port}",
            "listen.directory": f"{ip}:{self.directory_port}",
            "listen.control": f"{ip}:{self.control_port}",
            "limits.cpu_share": "1.0",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "bounds.grace_s": "8",
            "bounds.drain_ms": "2000",
            "bounds.contact_ms": "3000",
            "bounds.config_apply_ms": "2000",
            "bounds.lease_ms": "3000",
            "beat_interval_ms": "1200",
            "bounds.retry_ratio": "0.2",
            "bounds.retry_slack": "54",
            "bounds.budget_window_s": "10",
            "bounds.ceiling_window_s": "5",
            "bounds.ceiling_excess": "1.1",
        }
        path = self.folder / f"front-{number}.ini"
        template = (ROOT / self.role["template"]).read_text()
        path.write_text(_render(template, fields))
        run = self.role["run"].split()
        env = {"PYTHONPATH": str(ROOT / "target" / "deps")} | self.role.get("env", {})
        self.spawn(f"front-{number}", run, env | {"CHUTELINK_SETTINGS": str(path)})

    async def async_until(self, check, limit_s: float, what: str) -> None:
        """Wait until a check holds."""
        end_s = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > end_s:
                raise CannotRun(what)
            await asyncio.sleep(0.05)

    async def async_get(self, url: str) -> tuple[int, bytes]:
        """Return status and body, status 0 without an answer."""
        limit = aiohttp.ClientTimeout(total=2)
        try:
            async with self.session.get(url, timeout=limit) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    async def async_is_ready(self, number: int) -> bool:
        """Return whether a daemon says that it is ready."""
        url = f"http://{self.address(number)}:{self.ready_port}/api/ready"
        return (await self.async_get(url))[0] == 200

    async def async_all_listed(self) -> bool:
        """Return whether each daemon lists all daemons."""
        query = "name=a.example&region=region-a&zone=zone-a"
        for number in range(self.daemons):
            base = f"http://{self.address(number)}:{self.directory_port}"
            status, body = await self.async_get(f"{base}/api/resolve?{query}")
            if status != 200 or len(json.loads(body)["addresses"]) != self.daemons:
                return False
        return True

    async def async_start(self, program: Path, *options: str) -> None:
        """Start everything, and wait until all daemons serve."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.spawn_platform(program, *options)
        url = f"http://{self.platform}:{self.store_port}/api/rows-get?table=op"

        async def async_has_store() -> bool:
            return (await self.async_get(url))[0] == 200

        await self.async_until(async_has_store, 15, "the stand-in didn't start")
        for number in range(self.daemons):
            self.spawn_daemon(number)
        await self.async_until(self.async_all_listed, 25, "the daemons didn't start")
        self.note(f"started: platform stand-in and {self.daemons} entry daemons")

    async def async_control(self, method: str, path: str, body: object = None) -> bytes:
        """Call the control interface of the stand-in."""
        url = f"http://{self.platform}:{self.store_port}{path}"
        async with self.session.request(method, url, json=body) as answer:
            if answer.status != 200:
                raise CannotRun(f"{path}: {answer.status}")
            return await answer.read()

    async def async_close(self) -> None:
        """End all processes and remove the temporary folder."""
        if self.session is not None:
            await self.session.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def run_case(case: Path, daemons: int, async_play) -> int:
    """Play a case; ``async_play`` returns whether the rule held."""

    async def async_run() -> int:
        rig = Rig(daemons, case)
        try:
            async with asyncio.timeout(110):
                has_held = await async_play(rig)
        except Exception as error:
            rig.note(f"could not run: {error!r}")
            raise
        finally:
            await rig.async_close()
        return HELD if has_held else BROKEN

    try:
        return asyncio.run(async_run())
    except Exception:
        # Python's own exit code for an error would say that the rule was broken.
        traceback.print_exc()
        return NOT_RUN
