"""Stand-in for the prepared machines: their store and endpoints in one process.

Each endpoint listens on a port of its own, and faults are injected over HTTP.
chutelink/platform/ implements the client side of the same protocols.
"""

from __future__ import annotations

import asyncio
import time

import msgspec
from aiohttp import web

from .metadata_store import MetadataStore, StoreSnapshot
from .prepared_config import MODEL_COUNT, make_config
from .prepared_control import ControlApi
from .prepared_endpoint import EndpointStandin, ServiceSettings, Successor
from .web import make_parser, serve

DOMAINS = "zone-a,zone-a"
"""Failure domains, each with an engine and a plain server."""
REGISTRATION_INTERVAL_S = 1.2
EVACUATION_PREFIX = "evacuate/"
REWRITE_DELAY_S = 0.5
"""Delay after which operators and endpoints rewrite rows that the store has lost."""


class Evacuation(msgspec.Struct):
    """Evacuation of a failure domain, on the monotonic clock of the process.

    ``acked_s`` is when the operators were told that the row is written; ``removed_s``
    is when its removal began, None before.
    """

    domain: str
    acked_s: float
    removed_s: float | None = None


class PreparedMachines:
    """The metadata store and its endpoints."""

    def __init__(self) -> None:
        self.store = MetadataStore()
        self.endpoints: dict[str, EndpointStandin] = {}
        """Endpoints by the id of their first process."""
        self._servers: dict[str, asyncio.Server] = {}
        self._handlers: dict[str, web.Server] = {}
        self._restart_tasks: set[asyncio.Task[None]] = set()
        self.restart_delay_s = 0.3
        """How long an endpoint stays down after a request has crashed it."""
        self.config: dict | None = None
        """The configuration that the operators wrote last."""
        self.evacuations: list[Evacuation] = []
        self._registration_task: asyncio.Task[None] | None = None

    async def async_add(self, endpoint: EndpointStandin, host: str) -> None:
        """Start an endpoint on a free port and register it."""
        server = await self._async_listen(endpoint, host, 0)
        port = server.sockets[0].getsockname()[1]
        endpoint.address = f"{host}:{port}"
        endpoint.on_crash = self.crash
        self.endpoints[endpoint.name] = endpoint
        self._configure_endpoints()
        self.register(endpoint.name)

    async def _async_listen(
        self, endpoint: EndpointStandin, host: str, port: int
    ) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        http_server = endpoint.make_server()
        server = await loop.create_server(http_server, host, port, reuse_address=True)
        self._servers[endpoint.first_name] = server
        self._handlers[endpoint.first_name] = http_server
        return server

    def crash(self, endpoint: EndpointStandin) -> None:
        """Crash an endpoint with all its connections, and start its successor."""
        if endpoint.faults.successor is not Successor.DELAYED:
            self._replace(endpoint)
            return
        self._end_process(endpoint)
        endpoint.restart()
        self._schedule_restart(endpoint)

    def _replace(self, endpoint: EndpointStandin) -> None:
        """Replace a crashed process while its address is served on."""
        old_id = endpoint.name
        endpoint.restart()
        if endpoint.faults.successor is Successor.NEW_ID:
            endpoint.name = f"{endpoint.first_name}-{endpoint.process_number}"
            loop = asyncio.get_running_loop()
            loop.call_later(self.restart_delay_s, self.store.remove, "servers", old_id)
        self.register(endpoint.first_name)
        self._abort_connections(endpoint)

    def upgrade(
        self,
        endpoint: EndpointStandin,
        software_version: str,
        *,
        keeps_models: bool = False,
    ) -> None:
        """Replace an endpoint's process by one of another software version.

        One that starts with its models has a new id.
        """
        self._end_process(endpoint)
        endpoint.upgrade(software_version, keeps_models=keeps_models)
        if keeps_models:
            self.store.remove("servers", endpoint.name)
            endpoint.name = f"{endpoint.first_name}-{endpoint.process_number}"
        self._schedule_restart(endpoint)

    def _end_process(self, endpoint: EndpointStandin) -> None:
        self._servers[endpoint.first_name].close()
        self._abort_connections(endpoint)

    def _abort_connections(self, endpoint: EndpointStandin) -> None:
        for handler in self._handlers[endpoint.first_name].connections:
            if handler.transport is not None:
                handler.transport.abort()

    def _schedule_restart(self, endpoint: EndpointStandin) -> None:
        task = asyncio.ensure_future(self._async_restart(endpoint))
        self._restart_tasks.add(task)
        task.add_done_callback(self._restart_tasks.discard)

    async def _async_restart(self, endpoint: EndpointStandin) -> None:
        await asyncio.sleep(self.restart_delay_s)
        host, _, port = endpoint.address.rpartition(":")
        await self._async_listen(endpoint, host, int(port))
        endpoint.cold.restart()
        self.register(endpoint.first_name)

    def register(self, name: str) -> None:
        """Write the registration of an endpoint, named by its first id."""
        endpoint = self.endpoints[name]
        self.store.put("servers", endpoint.name, endpoint.registration())

    def remove(self, name: str) -> None:
        """Stop an endpoint, named by its first id, and remove its registration."""
        endpoint = self.endpoints[name]
        self._end_process(endpoint)
        self.store.remove("servers", endpoint.name)

    def fall_silent(self, target: str, duration_s: float) -> int:
        """Make an endpoint or a failure domain silent; return how many endpoints."""
        endpoints = self._find(target)
        for endpoint in endpoints:
            endpoint.fall_silent(duration_s)
        return len(endpoints)

    def _find(self, target: str) -> list[EndpointStandin]:
        """Return the endpoints of a failure domain, or the one with a first id."""
        endpoints = self.endpoints.values()
        return [e for e in endpoints if target in (e.first_name, e.domain)]

    def configure(self, config: dict) -> int:
        """Write a configuration as the operators do and return its row version."""
        self.config = config
        self._configure_endpoints()
        return self.store.put("op", "config", config)

    def _configure_endpoints(self) -> None:
        """Apply the services' settings; register periodically if any may be cold."""
        try:
            services = msgspec.convert(
                (self.config or {}).get("services", []), list[ServiceSettings]
            )
        except msgspec.ValidationError:
            # Tests write malformed configurations; the last valid one stays in force.
            return
        by_name = {service.name: service for service in services}
        for endpoint in self.endpoints.values():
            endpoint.configure(by_name.get(endpoint.service, ServiceSettings("")))
        may_be_cold = any(e.cold.cold_s for e in self.endpoints.values())
        if may_be_cold and self._registration_task is None:
            self._registration_task = asyncio.create_task(self._async_register_all())

    async def _async_register_all(self) -> None:
        """Write the registrations periodically, as ``cold_left_ms`` changes."""
        while True:
            await asyncio.sleep(REGISTRATION_INTERVAL_S)
            for name, endpoint in self.endpoints.items():
                if endpoint.cold.cold_s and self._servers[name].is_serving():
                    self.register(name)

    def make_cold(self, target: str, *, restarts: bool) -> int:
        """Make an endpoint or a failure domain cold; return how many endpoints."""
        endpoints = self._find(target)
        for endpoint in endpoints:
            if restarts and self._servers[endpoint.first_name].is_serving():
                self.crash(endpoint)
            elif not restarts:
                endpoint.cold.restart()
                self.register(endpoint.first_name)
        return len(endpoints)

    def evacuate(self, domain: str) -> Evacuation:
        """Write the row that evacuates a failure domain, as the operators do."""
        self.store.put("op", EVACUATION_PREFIX + domain, {})
        self.evacuations.append(Evacuation(domain, time.monotonic()))
        return self.evacuations[-1]

    def take_back(self, domain: str) -> None:
        """Remove the row of an evacuated failure domain."""
        for evacuation in self.evacuations:
            if evacuation.domain == domain and evacuation.removed_s is None:
                evacuation.removed_s = time.monotonic()
        self.store.remove("op", EVACUATION_PREFIX + domain)

    def _rewrite_evacuations(self) -> None:
        """Write the rows that an older copy of the store lacks; remove the others."""
        for domain, latest in {e.domain: e for e in self.evacuations}.items():
            if latest.removed_s is None:
                self.store.put("op", EVACUATION_PREFIX + domain, {})
            else:
                self.store.remove("op", EVACUATION_PREFIX + domain)

    async def async_restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a store snapshot, then rewrite the operators' and endpoints' rows."""
        self.store.restore(snapshot)
        await asyncio.sleep(REWRITE_DELAY_S)
        if self.config is not None:
            self.configure(self.config)
        self._rewrite_evacuations()
        for name in self.endpoints:
            self.register(name)

    async def async_close(self) -> None:
        """Cancel pending restarts and stop all endpoints."""
        if self._registration_task is not None:
            self._registration_task.cancel()
        for task in self._restart_tasks:
            task.cancel()
        for server in self._servers.values():
            server.close()


def _make_app(address: str, domains: str) -> web.Application:
    machines = PreparedMachines()
    app = web.Application()
    machines.store.add_routes(app)
    ControlApi(machines).add_routes(app)

    async def async_start(app: web.Application) -> None:
        for number, text in enumerate(domains.split(",")):
            domain, _, region = text.partition(":")
            place = (domain, region)
            models = {f"m{(2 * number + n) % MODEL_COUNT}": [] for n in range(2)}
            engine = EndpointStandin(f"i-llm{number}", "llm", models, 0.1, *place)
            await machines.async_add(engine, address)
            plain = EndpointStandin(f"i-plain{number}", "plain", {}, 0.1, *place)
            await machines.async_add(plain, address)
        services = {"llm": "llm", "plain": "plain"}
        machines.configure(make_config(1, services))

    app.on_startup.append(async_start)
    return app


def main() -> int:
    """Run the stand-in for the prepared machines."""
    parser = make_parser("Stand-in for the prepared machines' platform.")
    parser.add_argument(
        "--domains", default=DOMAINS, help="failure domains, as DOMAIN or DOMAIN:REGION"
    )
    args = parser.parse_args()
    return serve(_make_app(args.address, args.domains), args.address, args.port)
