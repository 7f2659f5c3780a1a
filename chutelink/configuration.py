"""The configuration in force, read from the table service or received from peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from mode import Service
from returns.result import Success

from .const import KEY_CONFIG_HEAD, KEY_DRAINS, PREFIX_CONTROL
from .core import Application
from .exceptions import InvariantViolated, PlatformUnavailable
from .fleet import FleetSpec, hash_fleet, parse_fleet
from .ids import NO_VERSION, ApplyId, ConfigVersion
from .peers.mesh import Mesh
from .peers.messages import ConfigBody
from .steps import async_run_step
from .store import Platform, RowPage, decode_value


class ConfigHead(msgspec.Struct, frozen=True):
    """The row that names the committed version."""

    version: ConfigVersion
    hash: str
    apply_id: ApplyId


class Drains(msgspec.Struct, frozen=True):
    """The row that lists the endpoints and VMs that operators drain."""

    names: tuple[str, ...] = ()


class Configuration(msgspec.Struct, frozen=True):
    """A fleet file with its version and parsed content."""

    version: ConfigVersion
    hash: str
    text: str
    fleet: FleetSpec


class ConfigManager(Service):
    """Puts committed versions into force; the version never decreases.

    Parameters
    ----------
    core : Application
        Application that provides the log, metrics and random numbers.
    platform : Platform
        Platform that stores the committed versions.
    mesh : Mesh
        Peers, which may learn of a newer version earlier.
    poll_interval_s : float
        Interval at which the head is read.
    """

    def __init__(
        self, core: Application, platform: Platform, mesh: Mesh, poll_interval_s: float
    ) -> None:
        super().__init__()
        self._core = core
        self._platform = platform
        self._mesh = mesh
        self._poll_interval_s = poll_interval_s
        self.current: Configuration | None = None
        self.drains = Drains()
        self._confirmed = NO_VERSION
        self._control_version = 0
        self._head: ConfigHead | None = None
        self._wake = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        mesh.config_version = lambda: self.version
        mesh.config_body = self._make_body
        mesh.on_config_version = self._on_peer_version
        mesh.on_config_body = self._on_peer_body

    @property
    def version(self) -> ConfigVersion:
        """The version in force, 0 if there is none."""
        return self.current.version if self.current is not None else NO_VERSION

    @property
    def fleet(self) -> FleetSpec | None:
        """The fleet in force, None if there is none."""
        return self.current.fleet if self.current is not None else None

    @property
    def is_confirmed(self) -> bool:
        """Whether the table service has confirmed the version in force."""
        return self.current is not None and self._confirmed >= self.current.version

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes of the fleet or the drains."""
        self._listeners.append(listener)

    @Service.task
    async def _async_poll_loop(self) -> None:
        while not self.should_stop:
            await async_run_step(
                self, self._core.events, "config.poll", self._async_try_poll
            )
            pause_s = self._poll_interval_s * self._core.rng.uniform(0.8, 1.0)
            await self._async_wait(pause_s)

    async def _async_try_poll(self) -> None:
        try:
            await self._async_poll()
        except PlatformUnavailable as error:
            self._core.events.warning("config_poll_failed", error=error)
            self._request_from_peers()

    async def _async_wait(self, pause_s: float) -> None:
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), pause_s)
        except TimeoutError:
            return

    async def _async_poll(self) -> None:
        table = self._platform.table
        page = await table.async_read(PREFIX_CONTROL, self._control_version)
        self._update_drains(page)
        head = decode_value(page.get(KEY_CONFIG_HEAD), ConfigHead) or self._head
        self._head = head
        if head is not None and head.version > self.version:
            await self._async_fetch(head)
        if head is not None and head.version <= self.version:
            self._confirmed = max(self._confirmed, head.version)
        # Only advanced after the body was fetched, so that a failed fetch is retried.
        self._control_version = max(self._control_version, page.version)
        self._update_metrics()

    def _update_drains(self, page: RowPage) -> None:
        drains = decode_value(page.get(KEY_DRAINS), Drains)
        if drains is None or drains == self.drains:
            return
        self.drains = drains
        self._notify_listeners()

    async def _async_fetch(self, head: ConfigHead) -> None:
        """Fetch and activate a committed version, from the object store or a peer."""
        try:
            body = await self._platform.objects.async_get(head.hash)
        except PlatformUnavailable:
            self._mesh.request_config(head.version)
            raise
        if body is None:
            raise PlatformUnavailable(
                "object of the committed version is missing",
                step="config.fetch",
                peer=head.hash,
            )
        # A copy from a peer may have come into force during the fetch.
        if head.version > self.version:
            # A text with replaced characters doesn't match its hash.
            text = body.decode(errors="replace")
            self._activate(ConfigBody(head.version, head.hash, text))

    def _request_from_peers(self) -> None:
        if self._mesh.highest_peer_version() > self.version:
            self._mesh.request_config(ConfigVersion(self.version + 1))

    def _on_peer_version(self, version: ConfigVersion) -> None:
        """Poll at once for a newer version, and request it from peers as well."""
        self._mesh.request_config(version)
        self._wake.set()

    def _on_peer_body(self, body: ConfigBody) -> None:
        if body.version > self.version:
            self._activate(body)

    def _activate(self, body: ConfigBody) -> None:
        if hash_fleet(body.text) != body.hash:
            self._core.metrics.violations.inc({"step": "config.hash"})
            self._core.events.error("config_hash_wrong", version=body.version)
            return
        result = parse_fleet(body.text, f"version-{body.version}", check_memory=False)
        if not isinstance(result, Success):
            self._core.events.error(
                "config_unreadable", version=body.version, problem=result.failure()[0]
            )
            return
        self._check_version_increases(body.version)
        self.current = Configuration(
            body.version, body.hash, body.text, result.unwrap()
        )
        self._core.events.info(
            "config_in_force", version=body.version, confirmed=self.is_confirmed
        )
        self._update_metrics()
        self._mesh.announce_config()
        self._notify_listeners()

    def _check_version_increases(self, version: ConfigVersion) -> None:
        if version > self.version:
            return
        self._core.metrics.violations.inc({"step": "config.version"})
        raise InvariantViolated(
            f"version {version} is not newer than {self.version}",
            step="config.version",
        )

    def _make_body(self) -> ConfigBody | None:
        if self.current is None:
            return None
        return ConfigBody(self.current.version, self.current.hash, self.current.text)

    def _update_metrics(self) -> None:
        self._core.metrics.config_version.set({}, self.version)
        self._core.metrics.config_confirmed.set({}, int(self.is_confirmed))

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
