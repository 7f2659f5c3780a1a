"""Runs entry daemons as real processes on loopback, with a stand-in platform."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from standins.prepared_config import make_config

from .blackhole_proxy import BlackholeProxy
from .deployment import (
    CONNECTION_ERRORS,
    DEFAULT_TIMEOUT_S,
    Process,
    limit_descriptors,
)

ROOT = Path(__file__).parent.parent.parent
BIN = Path(os.sys.executable).parent
STORE_PORT = 7000
BASE_PORT = 7100
CONTROL_PORT = BASE_PORT + 9
SERVICES = {"llm": "llm", "plain": "plain"}
_SUBNETS = itertools.count()


def render(template: str, fields: dict[str, str | dict[str, str]]) -> str:
    """Render a settings template as the platform does.

    A ``#`` section is kept if its field has a value, a ``^`` section if it has none.
    For a table, a ``#`` section is rendered once for each entry.
    """

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


class EntryDeployment:
    """A store with endpoints, and entry daemons, each at its own loopback address."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        # Concurrent test runs have different process ids, and so different networks.
        second, third = 230 + os.getpid() % 25, os.getpid() // 25 + next(_SUBNETS)
        self.subnet = f"127.{second}.{third % 250}"
        self.processes: dict[str, Process] = {}
        self.session: aiohttp.ClientSession | None = None
        self.store_proxy: BlackholeProxy | None = None
        self.regions: dict[str, str] = {}
        """The region of each failure domain; if empty, there is only zone-a."""
        self.domains: dict[int, str] = {}
        """Failure domains of daemons; the others are spread over all domains."""
        self.cpu_shares: dict[int, float] = {}
        """Processor shares of daemons; the others have 1."""
        self.memory_mb = 300
        """Memory that the settings of each daemon allow."""
        self.descriptor_limit: int | None = None
        """Open file descriptors that each daemon may have, None for the default."""

    @property
    def store_url(self) -> str:
        return f"http://{self.subnet}.1:{STORE_PORT}"

    def address(self, number: int) -> str:
        return f"{self.subnet}.{10 + number}"

    @property
    def store_host(self) -> str:
        """Host at which daemons reach the store, directly or through the proxy."""
        return f"{self.subnet}.1" if self.store_proxy is None else f"{self.subnet}.2"

    def store_host_of(self, number: int) -> str:
        """Return the host at which a daemon reaches the store."""
        return self.store_host

    async def async_start_proxy(self, make_proxy: type[BlackholeProxy]) -> None:
        """Start a proxy between the daemons and the store."""
        self.store_proxy = make_proxy(
            f"{self.subnet}.2", STORE_PORT, f"{self.subnet}.1"
        )
        await self.store_proxy.async_start()

    def start(self, name: str, command: list[str]) -> Process:
        log = self.directory / f"{name}.log"
        self.processes[name] = Process(name, command, log)
        return self.processes[name]

    def start_store(self) -> None:
        program = str(BIN / "chutelink-standin-machines")
        options = ["--address", f"{self.subnet}.1", "--port", str(STORE_PORT)]
        if self.regions:
            places = [f"{name}:{region}" for name, region in self.regions.items()]
            options += ["--domains", ",".join(places)]
        self.start("store", [program, *options])

    def write_settings(self, number: int) -> Path:
        """Write a daemon's settings file."""
        ip = self.address(number)
        zones = list(self.regions) or ["zone-a"]
        fields = {
            "node": f"vm-{number}",
            "zone": self.domains.get(number, zones[number % len(zones)]),
            "zones": self.regions,
            "ip": ip,
            "listen.control": f"{ip}:{CONTROL_PORT}",
            "seeds": f"{self.address(0)}:{CONTROL_PORT}",
            "provider.address": f"{self.store_host_of(number)}:{STORE_PORT}",
            "listen.front": f"{ip}:{BASE_PORT}",
            "listen.ready": f"{ip}:{BASE_PORT + 1}",
            "listen.directory": f"{ip}:{BASE_PORT + 2}",
            "bounds.grace_s": "8",
            "limits.cpu_share": str(self.cpu_shares.get(number, 1.0)),
            "limits.cores": "2",
            "limits.memory_mb": str(self.memory_mb),
            "bounds.drain_ms": "2000",
            "bounds.contact_ms": "3000",
            "bounds.config_apply_ms": "2000",
            "bounds.evacuate_ms": "5000",
            "bounds.lease_ms": "3000",
            "bounds.retry_ratio": "0.2",
            "bounds.retry_slack": "50",
            "bounds.budget_window_s": "10",
            "bounds.ceiling_window_s": "5",
            "bounds.ceiling_excess": "1.1",
            "bounds.quota_window_s": "4",
            "bounds.quota_excess": "0.1",
            "bounds.quota_slack": "10",
        }
        template = (ROOT / "deploy" / "entry.ini").read_text()
        path = self.directory / f"vm-{number}.ini"
        path.write_text(render(template, fields))
        return path

    def start_daemon(self, number: int) -> Process:
        path = self.write_settings(number)
        command = [*self.daemon_program(number), "--settings", str(path)]
        command = limit_descriptors(command, self.descriptor_limit)
        return self.start(f"vm-{number}", command)

    def daemon_program(self, number: int) -> list[str]:
        """Return the program of a daemon, with options if it needs any."""
        return [str(BIN / "chutelink-entry")]

    async def async_start_daemons(self, count: int) -> None:
        """Start daemons, and wait until each lists all of them."""
        for number in range(count):
            self.start_daemon(number)
        await self.async_until_all_listed(list(range(count)))

    async def async_get(self, url: str) -> tuple[int, bytes]:
        async with self.session.get(url) as answer:
            return answer.status, await answer.read()

    async def async_is_ready(self, number: int) -> bool:
        url = f"http://{self.address(number)}:{BASE_PORT + 1}/api/ready"
        try:
            status, _ = await self.async_get(url)
        except CONNECTION_ERRORS:
            return False
        return status == 200

    async def async_addresses(self, number: int) -> list[str]:
        path = "/api/resolve?name=a.example&region=r&zone=zone-a"
        url = f"http://{self.address(number)}:{BASE_PORT + 2}{path}"
        status, body = await self.async_get(url)
        return json.loads(body)["addresses"] if status == 200 else []

    async def async_until(self, check, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        async with asyncio.timeout(timeout_s):
            while not await check():
                await asyncio.sleep(0.05)

    async def async_until_all_listed(self, daemons: list[int]) -> None:
        """Wait until each of these daemons returns the addresses of all of them."""

        async def async_check() -> bool:
            try:
                address_lists = [await self.async_addresses(n) for n in daemons]
            except CONNECTION_ERRORS:
                return False
            return all(len(a) == len(daemons) for a in address_lists)

        await self.async_until(async_check)

    def request(
        self,
        number: int,
        path: str,
        request_id: str,
        body: bytes = b"body",
        **headers: str,
    ):
        sent = {"Host": "a.example", "X-Request-Id": request_id}
        sent |= {"X-Deadline-Ms": "3000"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{self.address(number)}:{BASE_PORT}{path}"
        return self.session.post(url, data=body, headers=sent)

    async def async_configure(self, version: int, **changes: object) -> None:
        config = make_config(version, SERVICES) | changes
        async with self.session.put(
            f"{self.store_url}/standin/config", json=config
        ) as answer:
            assert answer.status == 200

    async def async_set_store_faults(self, **faults: object) -> None:
        url = f"{self.store_url}/standin/faults"
        async with self.session.post(url, json=faults) as answer:
            assert answer.status == 200

    async def async_control_store(self, action: str) -> None:
        url = f"{self.store_url}/standin/{action}"
        async with self.session.post(url) as answer:
            assert answer.status == 200

    async def async_put_row(self, table: str, key: str, text: str) -> None:
        url = f"{self.store_url}/standin/rows/{table}/{key}"
        async with self.session.put(url, data=text) as answer:
            assert answer.status == 200

    async def async_remove_row(self, table: str, key: str) -> None:
        url = f"{self.store_url}/standin/rows/{table}/{key}"
        async with self.session.delete(url) as answer:
            assert answer.status == 200

    async def async_evacuate(self, domain: str) -> None:
        url = f"{self.store_url}/standin/evacuations/{domain}"
        async with self.session.put(url) as answer:
            assert answer.status == 200

    async def async_take_back(self, domain: str) -> None:
        url = f"{self.store_url}/standin/evacuations/{domain}"
        async with self.session.delete(url) as answer:
            assert answer.status == 200

    async def async_arrivals(self) -> dict[str, list]:
        _, body = await self.async_get(f"{self.store_url}/standin/arrivals")
        return json.loads(body)

    async def async_set_endpoint(
        self, name: str, state: str = "ready", **faults
    ) -> None:
        url = f"{self.store_url}/standin/endpoints/{name}?state={state}"
        async with self.session.post(url, json=faults) as answer:
            assert answer.status == 200

    async def async_endpoints(self) -> dict[str, dict]:
        _, body = await self.async_get(f"{self.store_url}/standin/endpoints")
        return json.loads(body)

    async def async_close(self) -> None:
        await self.session.close()
        if self.store_proxy is not None:
            await self.store_proxy.async_close()
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.kill()


@asynccontextmanager
async def async_entry_deployment(
    directory: Path,
    daemons: int = 3,
    *,
    has_proxy: bool = False,
    make_proxy: type[BlackholeProxy] = BlackholeProxy,
    regions: dict[str, str] | None = None,
) -> AsyncIterator[EntryDeployment]:
    deployment = EntryDeployment(directory)
    deployment.regions = regions or {}
    deployment.session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True)
    )
    try:
        deployment.start_store()
        if has_proxy:
            await deployment.async_start_proxy(make_proxy)
        await deployment.async_start_daemons(daemons)
        yield deployment
    finally:
        await deployment.async_close()
