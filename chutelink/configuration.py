"""The configuration in force: from the table service, or from peers meanwhile."""

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
from .store import Platform, RowPage, decode_value


class ConfigHead(msgspec.Struct, frozen=True):
    """The row that says which version is committed."""

    version: ConfigVersion
    hash: str
    apply_id: ApplyId


class Drains(msgspec.Struct, frozen=True):
    """The row that names what operators drain: endpoints and VMs."""

    names: tuple[str, ...] = ()


class Configuration(msgspec.Struct, frozen=True):
    """A whole fleet file with its version."""

    version: ConfigVersion
    hash: str
    text: str
    fleet: FleetSpec


class ConfigKeeper(Service):
    """Brings committed versions in force; a version never goes down.

    Parameters
    ----------
    core : Application
        The owner.
    platform : Platform
        Where the committed version is.
    mesh : Mesh
        Peers that may know of a newer version sooner.
    poll_interval_s : float
        How often the head is read.
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
        mesh.config_body = self._as_body
        mesh.on_config_version = self._on_peer_version
        mesh.on_config_body = self._on_peer_body

    @property
    def version(self) -> ConfigVersion:
        """The version in force, 0 for none."""
        return self.current.version if self.current is not None else NO_VERSION

    @property
    def fleet(self) -> FleetSpec | None:
        """The fleet in force, if any."""
        return self.current.fleet if self.current is not None else None

    @property
    def is_confirmed(self) -> bool:
        """Whether the table service has been seen to hold this version."""
        return self.current is not None and self._confirmed >= self.current.version

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the fleet or of the drains."""
        self._listeners.append(listener)

    @Service.task
    async def _async_poll_loop(self) -> None:
        while not self.should_stop:
            try:
                await self._async_poll()
            except PlatformUnavailable as error:
                self._core.events.warning("config_poll_failed", error=error)
                self._ask_peers()
            pause_s = self._poll_interval_s * self._core.rng.uniform(0.8, 1.0)
            await self._async_pause(pause_s)

    async def _async_pause(self, pause_s: float) -> None:
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), pause_s)
        except TimeoutError:
            return

    async def _async_poll(self) -> None:
        table = self._platform.table
        page = await table.async_read(PREFIX_CONTROL, self._control_version)
        self._take_drains(page)
        head = decode_value(page.get(KEY_CONFIG_HEAD), ConfigHead) or self._head
        self._head = head
        if head is not None and head.version > self.version:
            await self._async_fetch(head)
        if head is not None and head.version <= self.version:
            self._confirmed = max(self._confirmed, head.version)
        # Only advanced once the body is in: a failed fetch is tried again.
        self._control_version = max(self._control_version, page.version)
        self._show()

    def _take_drains(self, page: RowPage) -> None:
        drains = decode_value(page.get(KEY_DRAINS), Drains)
        if drains is None or drains == self.drains:
            return
        self.drains = drains
        self._notify()

    async def _async_fetch(self, head: ConfigHead) -> None:
        """Bring a committed version in force, by the object store or a peer."""
        try:
            body = await self._platform.objects.async_get(head.hash)
        except PlatformUnavailable:
            self._mesh.request_config(head.version)
            raise
        if body is None:
            raise PlatformUnavailable(
                "body is missing", step="config.fetch", peer=head.hash
            )
        # A peer's copy may have come in force while this one was on its way.
        if head.version > self.version:
            self._put(ConfigBody(head.version, head.hash, body.decode()))

    def _ask_peers(self) -> None:
        if self._mesh.highest_peer_version() > self.version:
            self._mesh.request_config(ConfigVersion(self.version + 1))

    def _on_peer_version(self, version: ConfigVersion) -> None:
        """Hear of a newer version: look at once, and ask the peer as well."""
        self._mesh.request_config(version)
        self._wake.set()

    def _on_peer_body(self, body: ConfigBody) -> None:
        if body.version > self.version:
            self._put(body)

    def _put(self, body: ConfigBody) -> None:
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
        self._check_rises(body.version)
        self.current = Configuration(
            body.version, body.hash, body.text, result.unwrap()
        )
        self._core.events.info(
            "config_in_force", version=body.version, confirmed=self.is_confirmed
        )
        self._show()
        self._mesh.announce_config()
        self._notify()

    def _check_rises(self, version: ConfigVersion) -> None:
        if version > self.version:
            return
        self._core.metrics.violations.inc({"step": "config.version"})
        raise InvariantViolated(
            f"version {version} after {self.version}", step="config.version"
        )

    def _as_body(self) -> ConfigBody | None:
        if self.current is None:
            return None
        return ConfigBody(self.current.version, self.current.hash, self.current.text)

    def _show(self) -> None:
        self._core.metrics.config_version.set({}, self.version)
        self._core.metrics.config_confirmed.set({}, int(self.is_confirmed))

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
