"""Base class of gateways and directors."""

from __future__ import annotations

import asyncio
import secrets
import time

import msgspec
from aiohttp import web
from mode import Service

from .configuration import ConfigManager
from .const import PREFIX_DAEMON
from .core import Application
from .endpoints.client import EndpointClient
from .endpoints.monitor import EndpointMonitor
from .exceptions import (
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from .ids import EndpointName
from .peers.mesh import Mesh
from .settings import DirectorSettings, GatewaySettings
from .steps import async_run_step
from .store import (
    Check,
    Platform,
    Vm,
    Write,
    async_commit,
    async_setup_platform,
)
from .tables.endpoints import EndpointTable
from .tables.members import Member, MemberTable, Role

REGISTER_RETRY_S = 2.0
JOIN_POLL_S = 0.05
PATH_STATUS = "/v1/status"


class DaemonRow(msgspec.Struct, frozen=True):
    """The row with which operators' tools find a daemon."""

    member: Member


class DaemonStatus(msgspec.Struct, frozen=True):
    """Status of a daemon, as reported to operators."""

    daemon: str
    role: Role
    vm: str
    failure_domain: str
    version: int
    confirmed: bool
    draining: bool
    members: list[Member]
    endpoints: dict[str, str]
    leases: list[str] = []
    quarantined: list[str] = []
    unplaced: list[str] = []


class Daemon(Application):
    """A daemon that joins its peers, follows the configuration and polls endpoints."""

    abstract = True
    role: Role

    def __init__(
        self, program: str, settings: GatewaySettings | DirectorSettings
    ) -> None:
        super().__init__(program, settings.daemon)
        self.settings = settings
        self.endpoints = EndpointTable()
        self.members = MemberTable(self._make_member())
        self.platform: Platform | None = None
        self.mesh: Mesh | None = None
        self.config_manager: ConfigManager | None = None
        self.client: EndpointClient | None = None
        self.monitor: EndpointMonitor | None = None
        self._registration_task: asyncio.Task | None = None
        self._is_registered = False

    def _make_member(self) -> Member:
        # Only compared with what peers know of this same daemon. If the clock was set
        # back, the mesh raises the incarnation above that.
        incarnation = time.time_ns() // 1_000_000
        return Member(
            self.daemon_id,
            self.role,
            self.daemon.vm,
            self.daemon.failure_domain,
            self.daemon.address,
            self.daemon.port,
            self.daemon.peer_port,
            self.boot_id,
            incarnation,
        )

    async def async_setup_parts(self) -> None:
        """Create the common services, then those of the role, and start them."""
        self.platform = async_setup_platform(self.session, self.settings.platform)
        self.mesh = Mesh(self, self.settings.peers, self.members)
        self.config_manager = ConfigManager(
            self, self.platform, self.mesh, self.settings.platform.poll_interval_s
        )
        self.client = EndpointClient(self.session, self.settings.endpoints)
        self.monitor = EndpointMonitor(
            self,
            self.client,
            self.platform,
            self.endpoints,
            self.settings.endpoints,
            self.is_watched,
        )
        self.monitor.on_vms = self._update_seeds
        self.config_manager.add_listener(self._on_config)
        await self.async_setup_role()
        for service in (self.mesh, self.config_manager, self.monitor):
            await self.add_runtime_dependency(service)
        self._registration_task = asyncio.ensure_future(self._async_register())

    async def async_setup_role(self) -> None:
        """Create the services of this role."""
        raise NotImplementedError

    def is_watched(self, name: EndpointName) -> bool:
        """Return whether this daemon polls an endpoint."""
        return True

    def on_fleet_change(self) -> None:
        """Update the services of this role after a change of the fleet in force."""

    def fill_status(self, status: DaemonStatus) -> DaemonStatus:
        """Add the fields of this role to a status."""
        return status

    def add_routes(self, app: web.Application) -> None:
        """Add the status route for operators."""
        app.router.add_get(PATH_STATUS, self._async_status)

    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.config_manager is not None and self.config_manager.fleet is not None

    async def on_stop(self) -> None:
        """Stop the registration and the endpoint client, which are not services."""
        if self._registration_task is not None:
            self._registration_task.cancel()
        if self.client is not None:
            await self.client.async_close()

    def _on_config(self) -> None:
        if self.config_manager.fleet is None:
            return
        self.endpoints.sync(self.config_manager.fleet)
        self.monitor.sync(frozenset(self.config_manager.drains.names))
        self.on_fleet_change()

    def _update_seeds(self, vms: list[Vm]) -> None:
        seeds = {f"{vm.address}:{port}" for vm in vms for port in vm.peer_ports}
        self.mesh.set_seeds(seeds)

    @Service.task
    async def _async_join(self) -> None:
        """Announce this daemon as alive to members once it is ready."""
        while not self.is_ready() and not self.should_stop:
            await self.sleep(JOIN_POLL_S)
        if self.is_ready() and not self.is_draining:
            self.mesh.announce_alive()

    async def _async_register(self) -> None:
        """Write the row with which operators' tools find this daemon."""
        while not self.should_stop and not self._is_registered:
            await async_run_step(
                self, self.events, "daemon.register", self._async_try_register
            )

    async def _async_try_register(self) -> None:
        key = PREFIX_DAEMON + self.daemon_id
        value = msgspec.to_builtins(DaemonRow(self.members.own))
        try:
            page = await self.platform.table.async_read(key)
            row = page.get(key)
            check = Check(key, row.version if row is not None else 0)
            await async_commit(self.platform.table, [check], [Write(key, value)])
            self._is_registered = True
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict):
            await asyncio.sleep(REGISTER_RETRY_S * self.rng.uniform(0.5, 1.5))

    async def _async_status(self, request: web.Request) -> web.Response:
        expected = f"Bearer {self.settings.platform.key}"
        given = request.headers.get("Authorization", "")
        if not secrets.compare_digest(given.encode(), expected.encode()):
            raise web.HTTPUnauthorized(text="operator key missing or wrong")
        status = DaemonStatus(
            daemon=self.daemon_id,
            role=self.role,
            vm=self.daemon.vm,
            failure_domain=self.daemon.failure_domain,
            version=self.config_manager.version,
            confirmed=self.config_manager.is_confirmed,
            draining=self.is_draining,
            members=list(self.members.rows.values()),
            endpoints={n: r.state.value for n, r in self.endpoints.rows.items()},
        )
        return web.Response(
            body=msgspec.json.encode(self.fill_status(status)),
            content_type="application/json",
        )
