"""Runs a deployment as real processes on loopback, with fault injection."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import os
import re
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import msgspec

BIN = Path(sys.executable).parent
KEY = "caller-key"
OTHER_KEY = "other-key"
PLATFORM_PORT = 7000
ENDPOINT_PORT = 8000
GATEWAY_PORT = 7100
DIRECTOR_PORT = 7200
DEFAULT_TIMEOUT_S = 40.0
KB_PER_MB = 1024
DAEMON_PROGRAMS = ("chutelink-gateway", "chutelink-director")
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)
_SUBNETS = itertools.count()


class Process:
    """A child process, signalled only by its process id."""

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self.log = log
        with log.open("ab") as stream:
            self._log_from = stream.tell()
            self._popen = subprocess.Popen(command, stdout=stream, stderr=stream)

    def send(self, number: signal.Signals) -> None:
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        self._popen.wait()

    def terminate(self) -> None:
        self.send(signal.SIGTERM)

    def freeze(self) -> None:
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        self.send(signal.SIGCONT)

    @property
    def has_started(self) -> bool:
        """Whether the process has logged that it accepts signals and requests."""
        return b"event=started" in self.log.read_bytes()[self._log_from :]

    @property
    def is_running(self) -> bool:
        return self._popen.poll() is None

    @property
    def peak_memory_mb(self) -> float:
        """Peak resident memory of the running process."""
        status = Path(f"/proc/{self._popen.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / KB_PER_MB

    @property
    def open_descriptors(self) -> int:
        """Number of open file descriptors of the running process."""
        return len(list(Path(f"/proc/{self._popen.pid}/fd").iterdir()))

    async def async_wait(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> int:
        async with asyncio.timeout(timeout_s):
            while self._popen.poll() is None:
                await asyncio.sleep(0.02)
        return self._popen.returncode


def limit_descriptors(command: list[str], limit: int | None) -> list[str]:
    """Return a command that runs another with a limit of its open descriptors."""
    if limit is None:
        return command
    return ["bash", "-c", f'ulimit -n {limit}; exec "$@"', "bash", *command]


def key_hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


class Deployment:
    """A platform, endpoints and daemons on their own loopback network."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        number = next(_SUBNETS)
        self.subnet = f"127.{30 + os.getpid() % 200}.{number % 250}"
        self.processes: dict[str, Process] = {}
        self.session: aiohttp.ClientSession | None = None
        self.engines: dict[str, dict] = {}
        self.services: dict[str, str] = {}
        self.vms: list[dict] = []
        self.descriptor_limit: int | None = None
        """Open file descriptors that each daemon may have, None for the default."""

    @property
    def platform_url(self) -> str:
        return f"http://{self.subnet}.1:{PLATFORM_PORT}"

    def gateway_url(self, number: int) -> str:
        return f"http://{self.subnet}.{10 + number}:{GATEWAY_PORT}"

    def director_url(self, number: int) -> str:
        return f"http://{self.subnet}.{10 + number}:{DIRECTOR_PORT}"

    def start(self, name: str, *command: str) -> Process:
        log = self.directory / f"{name}.log"
        arguments = [str(BIN / command[0]), *command[1:]]
        is_daemon = command[0] in DAEMON_PROGRAMS
        limit = self.descriptor_limit if is_daemon else None
        process = Process(name, limit_descriptors(arguments, limit), log)
        self.processes[name] = process
        return process

    def start_platform(self, *options: str) -> Process:
        return self.start(
            "platform",
            "chutelink-standin-platform",
            *("--address", f"{self.subnet}.1", "--port", str(PLATFORM_PORT)),
            *("--load-s", "0.1", "--loads-per-s", "50", "--vm-lag-s", "0.5"),
            *options,
        )

    def start_engine(
        self,
        number: int,
        domain: str = "a",
        *,
        memory_mb: int = 100,
        accelerators: int = 1,
        checks_fencing: bool = True,
        options: tuple[str, ...] = (),
    ) -> Process:
        name = f"engine-{number}"
        address = f"{self.subnet}.{20 + number}"
        self.engines[name] = {
            "url": f"http://{address}:{ENDPOINT_PORT}",
            "failure_domain": domain,
            "vm": f"vm-{name}",
            "memory_mb": memory_mb,
            "accelerators": accelerators,
            "checks_fencing": str(checks_fencing).lower(),
        }
        flags = [] if checks_fencing else ["--ignore-fencing"]
        return self.start(
            name,
            "chutelink-standin-endpoint",
            *("--address", address, "--port", str(ENDPOINT_PORT)),
            *("--memory-mb", str(memory_mb), "--accelerators", str(accelerators)),
            *("--step-s", "0.005", "--weights-url", self.platform_url),
            *flags,
            *options,
        )

    def start_service(self, number: int) -> Process:
        name = f"service-{number}"
        address = f"{self.subnet}.{40 + number}"
        self.services[name] = f"http://{address}:{ENDPOINT_PORT}"
        return self.start(
            name,
            "chutelink-standin-service",
            *("--address", address, "--port", str(ENDPOINT_PORT)),
        )

    def _daemon_settings(self, name: str, number: int, domain: str, port: int) -> str:
        return f"""\
[daemon]
id = {name}
vm = vm-entry-{number}
failure_domain = {domain}
address = {self.subnet}.{10 + number}
port = {port}
peer_port = {port + 1}
peer_key = peer-key
drain_margin_s = 0.5

[platform]
url = {self.platform_url}
key = platform-key
timeout_s = 1.0
poll_interval_s = 0.5

[peers]
seeds = {self.subnet}.11:{GATEWAY_PORT + 1}, {self.subnet}.12:{GATEWAY_PORT + 1}

[endpoints]
order_key = order-key
"""

    def start_gateway(
        self, number: int, domain: str = "a", extra: str = "valid_s = 1.0\n"
    ) -> Process:
        name = f"gateway-{number}"
        path = self.directory / f"{name}.ini"
        text = self._daemon_settings(name, number, domain, GATEWAY_PORT)
        path.write_text(f"{text}\n[gateway]\n{extra}")
        return self.start(name, "chutelink-gateway", "--settings", str(path))

    def start_director(
        self, number: int, domain: str = "a", extra: str = ""
    ) -> Process:
        name = f"director-{number}"
        path = self.directory / f"{name}.ini"
        text = self._daemon_settings(name, number, domain, DIRECTOR_PORT)
        load_limits = "loads_per_s = 50\nloads_at_once = 100\nlease_s = 2.0\n"
        path.write_text(f"{text}\n[director]\n{load_limits}{extra}")
        return self.start(name, "chutelink-director", "--settings", str(path))

    def fleet_text(
        self,
        models: dict[str, dict],
        *,
        adapters: dict[str, dict] | None = None,
        options: str = "",
        domains: tuple[str, ...] = ("a", "b"),
        without: tuple[str, ...] = (),
        caller: str = "",
    ) -> str:
        sections = [("fleet", {})] if not options else []
        text = f"[fleet]\n{options}\n" if options else ""
        sections += [(f"failure_domain {name}", {}) for name in domains]
        sections += [
            (f"endpoint {name}", values)
            for name, values in self.engines.items()
            if name not in without
        ]
        for name, url in self.services.items():
            values = {"url": url, "kind": "service", "vm": f"vm-{name}"}
            sections.append((f"endpoint {name}", values | {"failure_domain": "a"}))
        sections += [(f"model {name}", values) for name, values in models.items()]
        for name, values in (adapters or {}).items():
            sections.append((f"adapter {name}", values))
        if self.services:
            names = ", ".join(self.services)
            sections.append(("service permits", {"endpoints": names}))
        sections.append(
            (
                "caller main",
                {"key_sha256": key_hash(KEY), "models": "*", "services": "*"},
            )
        )
        sections.append(
            ("caller other", {"key_sha256": key_hash(OTHER_KEY), "models": "other-*"})
        )
        for title, values in sections:
            lines = [f"{key} = {value}" for key, value in values.items()]
            text += "\n".join([f"[{title}]", *lines, "", ""])
        return text + caller

    async def async_cli(self, *arguments: str) -> tuple[int, dict]:
        settings = self.directory / "operator.ini"
        settings.write_text(
            f"[platform]\nurl = {self.platform_url}\nkey = platform-key\n"
            "timeout_s = 1.0\n"
        )
        process = await asyncio.create_subprocess_exec(
            str(BIN / "chutelink"),
            *("--settings", str(settings), "--json", *arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        return process.returncode, msgspec.json.decode(output)

    async def async_apply(self, text: str, base: int, *arguments: str):
        path = self.directory / f"fleet-{base}.ini"
        path.write_text(text)
        return await self.async_cli("apply", str(path), "--base", str(base), *arguments)

    async def async_set_faults(self, url: str, **faults: object) -> None:
        async with self.session.post(f"{url}/standin/faults", json=faults) as response:
            assert response.status == 200

    async def async_get(self, url: str):
        async with self.session.get(url) as response:
            return await response.json(content_type=None)

    async def async_set_vms(self, leaving: tuple[str, ...] = ()) -> None:
        vms = [
            {
                "id": values["vm"],
                "failure_domain": values["failure_domain"],
                "state": "leaving" if values["vm"] in leaving else "live",
            }
            for values in self.engines.values()
        ]
        async with self.session.put(
            f"{self.platform_url}/standin/vms", json=vms
        ) as response:
            assert response.status == 200

    async def async_complete(
        self,
        model: str,
        prompt: str = "hello",
        *,
        gateway: int = 1,
        key: str = KEY,
        max_tokens: int = 4,
        headers: dict | None = None,
    ) -> tuple[int, dict, dict]:
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
        }
        async with self.session.post(
            f"{self.gateway_url(gateway)}/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
        ) as response:
            content = await response.json(content_type=None)
            return response.status, response.headers, content

    async def async_call_service(
        self,
        method: str,
        path: str,
        *,
        gateway: int = 1,
        idempotency_key: str = "",
        body: str = "",
    ) -> tuple[int, dict, dict]:
        headers = {"Authorization": f"Bearer {KEY}"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        async with self.session.request(
            method,
            f"{self.gateway_url(gateway)}/services/permits/{path}",
            headers=headers,
            data=body,
        ) as response:
            content = await response.json(content_type=None)
            return response.status, response.headers, content

    async def async_until(
        self,
        async_condition: Callable[[], Awaitable[bool]],
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    if await async_condition():
                        return
                except CONNECTION_ERRORS:
                    pass
                await asyncio.sleep(0.05)

    async def async_until_up(self, url: str) -> None:
        async def async_is_up() -> bool:
            async with self.session.get(url) as response:
                return response.status < 500

        await self.async_until(async_is_up)

    async def async_until_served(self, *models: str, gateway: int = 1) -> None:
        for model in models:

            async def async_is_served(model: str = model) -> bool:
                status, _, _ = await self.async_complete(model, gateway=gateway)
                return status == 200

            await self.async_until(async_is_served)

    async def async_engine_stats(self) -> dict[str, dict]:
        return {
            name: await self.async_get(f"{values['url']}/standin/account")
            for name, values in self.engines.items()
            if self.processes[name].is_running
        }

    async def async_assert_no_overcommit(self) -> None:
        for name, stats in (await self.async_engine_stats()).items():
            assert stats["overcommits"] == [], (name, stats)

    async def async_received_ids(self) -> list[str]:
        """Return the ids of all requests that reached an engine."""
        found: list[str] = []
        for values in self.engines.values():
            found += await self.async_get(f"{values['url']}/standin/requests")
        return found

    def stop_all(self) -> None:
        for process in self.processes.values():
            process.resume()
            process.kill()


@asynccontextmanager
async def async_deploy(directory: Path) -> AsyncIterator[Deployment]:
    """Yield a deployment, and kill its processes on exit."""
    deployment = Deployment(directory)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        deployment.session = session
        try:
            yield deployment
        finally:
            deployment.stop_all()


async def async_start_all(
    deployment: Deployment,
    *,
    gateways: int = 2,
    directors: tuple[str, ...] = ("a", "b"),
    director_extra: str = "",
    gateway_extra: str = "valid_s = 1.0\n",
) -> None:
    """Start the stand-in platform and the daemons, and wait until they respond."""
    deployment.start_platform()
    await deployment.async_until_up(f"{deployment.platform_url}/standin/counts")
    for number in range(1, gateways + 1):
        domain = "ab"[(number - 1) % 2]
        deployment.start_gateway(number, domain, gateway_extra)
    for number, domain in enumerate(directors, start=1):
        deployment.start_director(number, domain, director_extra)
    for number in range(1, gateways + 1):
        await deployment.async_until_up(f"{deployment.gateway_url(number)}/healthz")
    for number in range(1, len(directors) + 1):
        await deployment.async_until_up(f"{deployment.director_url(number)}/healthz")
