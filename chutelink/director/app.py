"""Director application: creates the components and connects them."""

from __future__ import annotations

from ..daemon import Daemon, DaemonStatus
from ..endpoints.notifications import TOPIC_LOADED, EndpointLoaded, encode_loaded
from ..ids import EndpointName, FailureDomainName
from ..settings import DirectorSettings
from ..tables.members import MemberState, Role
from ..tables.state import StateTable
from .leases import LeaseManager
from .orders import OrderExecutor
from .placer import Placer


class DirectorApp(Daemon):
    """Director daemon for the failure domains whose leases it holds."""

    role = Role.DIRECTOR

    def __init__(self, settings: DirectorSettings) -> None:
        super().__init__("chutelink-director", settings)
        self.leases: LeaseManager | None = None
        self.placer: Placer | None = None
        self._watched_domains: frozenset[str] = frozenset()

    async def async_setup_role(self) -> None:
        """Create the lease manager, the order executor and the placer."""
        settings = self.settings.director
        table = self.platform.table
        state = StateTable()
        self.leases = LeaseManager(self, table, settings)
        executor = OrderExecutor(
            self, table, self.client, self.leases, state, settings.order_timeout_s
        )
        self.placer = Placer(
            self,
            self.config_manager,
            table,
            self.endpoints,
            self.monitor,
            self.leases,
            executor,
            state,
            settings,
            self.mesh.queues.waiting,
        )
        executor.on_loaded = self._announce_loaded
        self.leases.on_change = self._update_watched
        self.leases.has_director = self._has_director
        for component in (self.leases, self.placer):
            await self.add_runtime_dependency(component)

    def is_watched(self, name: EndpointName) -> bool:
        """Return whether this director holds the endpoint's failure domain."""
        spec = self.endpoints.rows[name].spec
        return spec.failure_domain in self._watched_domains

    def on_fleet_change(self) -> None:
        """Contend for the leases of all failure domains in the current fleet."""
        self.leases.sync(sorted(self.config_manager.fleet.failure_domains))

    def _announce_loaded(self, name: EndpointName) -> None:
        """Tell gateways that an endpoint has loaded an artifact.

        They read the endpoint's report before another copy is unloaded.
        """
        self.mesh.broadcast(encode_loaded(EndpointLoaded(name)), TOPIC_LOADED)

    def _has_director(self, failure_domain: FailureDomainName) -> bool:
        """Return whether a director in the failure domain itself is alive."""
        return any(
            member.state is MemberState.ALIVE
            and member.failure_domain == failure_domain
            for member in self.members.live(Role.DIRECTOR)
        )

    def _update_watched(self) -> None:
        """Restrict polling to the endpoints in the held failure domains."""
        held = frozenset(self.leases.held())
        if held == self._watched_domains:
            return
        self._watched_domains = held
        self.monitor.sync(frozenset(self.config_manager.drains.names))

    def fill_status(self, status: DaemonStatus) -> DaemonStatus:
        """Add held leases, quarantined endpoints and unplaced models."""
        status_fields = {
            "leases": sorted(self.leases.held()),
            "quarantined": sorted(self.placer.quarantined),
            "unplaced": sorted(self.placer.plan.unplaced),
        }
        return DaemonStatus(
            **{f: getattr(status, f) for f in status.__struct_fields__} | status_fields
        )

    async def async_drain(self) -> None:
        """Wait for orders in progress, then release the leases."""
        self.mesh.announce_leaving()
        self.leases.is_releasing = True
        await self.placer.stop()
        await self.placer.async_wait_for_tasks()
        await self.leases.async_release()
