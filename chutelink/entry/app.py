"""Application object of the entry daemon: creates and connects its components."""

from __future__ import annotations

import asyncio
import socket

import msgspec
from aiohttp import web
from mode import Service

from ..coldstart.grants import ColdGrantManager
from ..const import TABLE_CONFIG, TABLE_ENDPOINTS, TABLE_QUARANTINE
from ..core import Application
from ..customers.buckets import QuotaBounds
from ..customers.sharing import QuotaSharing
from ..customers.web import CustomerHandlers
from ..eligibility.checker import EligibilityChecker
from ..eligibility.model import NO_REQUIREMENTS
from ..evacuation.const import freshness_bound_s
from ..evacuation.rule import EvacuationRule
from ..evacuation.suspension import SuspensionGate
from ..evacuation.table import EvacuationTable
from ..ids import DaemonId, EndpointId, FailureDomainName
from ..limits.permits import PermitManager
from ..origins.manager import OriginManager
from ..origins.persistence import OriginPersistence
from ..origins.stream_store import StreamStore
from ..peers.mesh import Mesh
from ..placing.lease import PlacerLease
from ..placing.placement import DemandPlacement
from ..placing.placer import Placer
from ..quarantine.persistence import PREFIX_HOLDS, QuarantinePersistence
from ..quarantine.probe import ConnectProbe
from ..quarantine.service import Quarantine
from ..quarantine.web import QuarantineHandlers
from ..reachability.monitor import PartitionMonitor
from ..reachability.probe import VerifiedProbe
from ..reachability.relay_client import RelayClient
from ..regions.homes import HomeRegions
from ..regions.region_map import RegionMap
from ..regions.rule import HomeRegionRule
from ..relaying.retry_budget import RetryBudgetShare
from ..relaying.upstream import Upstream
from ..serving.connection import HeadLimits
from ..serving.listening import bind_socket
from ..serving.pool import PortShares
from ..serving.port import HttpPort
from ..settings import EntrySettings
from ..steps import async_run_step
from ..tables.members import MemberState, MemberTable
from ..watching.registrations import WatchedRegistrations
from ..watching.table_state import RowChange
from ..watching.timing import cap_timeout
from ..watching.watch import StoreWatch
from .adapter import Handler, PlatformAdapter
from .caller_server import make_caller_server
from .config import CallerLimits
from .demand import DemandTable
from .directory import Directory, count_candidates
from .http import CallerServer
from .load_tracker import LoadTracker
from .membership import PreviousFleet, Registration, make_member, port_of
from .message_router import MessageRouter
from .pending import PendingTable
from .state import EntryState

MS_PER_S = 1000.0
JOIN_POLL_S = 0.02
LOAD_REPORT_PERIOD_S = 0.2
"""Interval of load reports to other daemons, which bounds how stale routing data is."""
CACHED_ADDRESS_FACTOR = 3
"""Some callers cache a directory response for this many times its validity."""
SHUTDOWN_MARGIN_S = 0.8
"""Part of the grace period that is reserved for shutting down."""
DRAIN_POLL_S = 0.05
REFUSE_WAITING_LEAD_S = 0.5
"""Time before the drain deadline at which requests that wait are refused."""
REFUSAL_ITERATIONS = 10
"""Iterations of the event loop in which requests are read and refused."""
CACHE_TIME_MARGIN = 1.1
"""Factor by which draining waits longer than callers cache addresses."""
QUARANTINE_WAIT_S = 1.5
"""Time after a start for which readiness waits for the quarantine table.

This allows two attempts to read it. The store may be partially unavailable, and
serving does not depend on that table.
"""
MIN_LAPSE_HEARTBEATS = 2
"""Minimum number of heartbeats an endpoint misses before its registration lapses.

A registration lapses after three intervals, and the last heartbeat that arrived may
precede a store outage by up to one interval.
"""
MAX_LAPSE_HEARTBEATS = 4
"""Heartbeat intervals after which a terminated endpoint's registration has lapsed."""


class EntryApp(Application):
    """Serves callers on one VM, and places models while it holds the placer lease.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    adapter : PlatformAdapter
        Implements the platform's protocols.
    caller_listener : socket.socket, optional
        Socket that is already listening for callers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adapter: PlatformAdapter,
        caller_listener: socket.socket | None = None,
    ) -> None:
        peer_port = port_of(settings.entry.peer_listen)
        daemon = msgspec.structs.replace(settings.daemon, peer_port=peer_port)
        super().__init__("chutelink-entry", daemon)
        self.settings = settings
        self._created_s = self.clock()
        self._is_first_start: bool | None = None
        self._adapter = adapter
        self._caller_listener = caller_listener
        self.members = MemberTable(make_member(self, settings.entry))
        self._probe = VerifiedProbe(
            ConnectProbe(), lambda address: self.partition.async_check(address)
        )
        self.quarantine = Quarantine(self, self._probe)
        lapse_s = MAX_LAPSE_HEARTBEATS * settings.entry.endpoint_heartbeat_ms / MS_PER_S
        self.known = EntryState(
            self,
            adapter,
            self.quarantine,
            lapse_s,
            is_weighing_prefixes=settings.entry.prefix_weighing,
        )
        self.partition = PartitionMonitor(
            self, self.known.endpoints, self.known.health, ConnectProbe()
        )
        self.partition.on_changed = lambda: self.loads.urgent.set()
        self.demand = DemandTable()
        self.pending = PendingTable()
        self.loads = LoadTracker()
        entry = settings.entry
        self.retry_budget = RetryBudgetShare(
            entry.retry_ratio, entry.retry_slack, entry.retry_window_s
        )
        self.regions = RegionMap(settings.regions)
        self.homes = HomeRegions(self, self.regions)
        self.directory = Directory(
            self.members, entry.address_valid_s, self.regions, self.homes
        )
        bounds = QuotaBounds(
            entry.quota_window_s, entry.quota_excess_share, entry.quota_slack
        )
        self.permits = PermitManager(self)
        self.evacuations = EvacuationTable(self)
        self.evacuations.on_changed = self._handle_endpoints_changed
        self.evacuations.on_ended = self.known.cold.mark_unknown
        self.cold_grants = ColdGrantManager(self, self.known.endpoints, self.known.cold)
        home_rule = HomeRegionRule(self.regions)
        home_rule.on_unmapped = lambda domain: self.events.warning(
            "failure_domain_without_region", failure_domain=domain
        )
        self.eligibility = EligibilityChecker(
            (EvacuationRule(self.evacuations), home_rule)
        )
        self.eligibility.on_ineligible = lambda reason: (
            self.metrics.ineligible_endpoints.inc({"reason": reason.value})
        )
        self.origins = OriginManager(self, self.known.endpoints.versions)
        self.quotas = QuotaSharing(self, bounds, is_lending=entry.quota_lending)
        self.mesh: Mesh | None = None
        self.watch: StoreWatch | None = None
        self.quarantine_persistence: QuarantinePersistence | None = None
        self.origin_persistence: OriginPersistence | None = None
        self.stream_store: StreamStore | None = None
        self.lease: PlacerLease | None = None
        self.placer: Placer | None = None
        self.callers: CallerServer | None = None
        self.router: MessageRouter | None = None
        self._upstream: Upstream | None = None
        self._caller_port: HttpPort | None = None
        self._ports: list[HttpPort] = []

    async def async_setup_parts(self) -> None:
        """Create and connect the components, then start them."""
        entry = self.settings.entry
        bound_s = min(entry.config_apply_ms, entry.drain_ms) / MS_PER_S
        config_bound_s = min(bound_s, freshness_bound_s(entry.evacuate_ms / MS_PER_S))
        table = self._adapter.make_table(
            self.session,
            cap_timeout(self, self.settings.platform, config_bound_s),
            lambda retry: self.events.record(
                "store_read_retried", **msgspec.structs.asdict(retry)
            ),
        )
        presence = self._adapter.make_presence_check(
            self.session, self.known.find_service
        )
        self._upstream = Upstream(presence, self.clock, entry.max_answer_bytes)
        self.mesh = Mesh(self, self.settings.peers, self.members)
        self.router = MessageRouter(
            self,
            self.mesh,
            self.directory,
            self.known,
            self.demand,
            self.pending,
            self.retry_budget,
            self.quarantine,
            self.quotas.manager,
        )
        self.quarantine.send = self.router.send
        self.quotas.manager.send = self.router.reply
        self.quotas.manager.linked = self.mesh.linked_members
        self._setup_permits()
        self._setup_origins()
        self._upstream.relays = RelayClient(
            self,
            self.partition,
            self.members,
            self.router.partitioned_peers,
            self.mesh.linked_members,
            self.regions,
        )
        self.mesh.on_broadcast = self.router.handle_broadcast
        self.mesh.on_direct = self.router.handle_direct
        self.mesh.on_members_changed = self.router.choose_links
        bounds_s = {
            TABLE_CONFIG: config_bound_s,
            TABLE_ENDPOINTS: bound_s,
            TABLE_QUARANTINE: entry.quarantine_apply_ms / MS_PER_S,
        }
        outage_s = MIN_LAPSE_HEARTBEATS * entry.endpoint_heartbeat_ms / MS_PER_S
        self.watch = StoreWatch(
            self, table, bounds_s, self.rank, self.router.send, outage_s
        )
        self.watch.isolated_until_s = self.mesh.isolated_until_s
        self.origins.registrations_age_s = lambda: (
            self.watch.knowledge(TABLE_ENDPOINTS).age_s
        )
        self.eligibility.is_outdated = SuspensionGate(
            self,
            lambda: self.watch.knowledge(TABLE_CONFIG),
            lambda: self.watch.is_store_failing,
            freshness_bound_s(entry.evacuate_ms / MS_PER_S),
        ).is_outdated
        self.quarantine_persistence = QuarantinePersistence(
            self, table, self.quarantine, self.rank
        )
        self.watch.on_row = self._apply_row
        self.watch.on_superseded = self.known.note_superseded_row
        self.watch.on_missed = self._handle_missed
        self.watch.on_restored = self._handle_restored
        self.watch.reply = self.router.reply
        self.watch.compact = self._adapter.compact_row
        self.watch.outlasts_restore = lambda key: (
            self._adapter.decode_evacuated_domain(key) is not None
        )
        gap_s = self.settings.entry.holder_gap_ms / MS_PER_S
        self.origin_persistence = OriginPersistence(
            self,
            table,
            self.origins,
            self.rank,
            lambda: self.watch.era,
            WatchedRegistrations(self.watch),
            lambda: self._is_first_start,
        )
        self.stream_store = StreamStore(
            self, table, self.origins, self.rank, lambda: self.watch.era
        )
        self.lease = PlacerLease(self, table, self.rank, gap_s, self.router.send)
        self.lease.is_deferring = self._is_deferring_placement
        self._setup_cold_grants()
        self.directory.is_partitioned = self._is_partitioned
        self._setup_placer()
        self.callers = make_caller_server(
            self, self._adapter.make_header_codec(), self._upstream
        )
        self.router.watch = self.watch
        self.router.lease = self.lease
        self.router.placer = self.placer
        self.known.on_config = self._apply_config
        self.known.on_endpoints = self._handle_endpoints_changed
        for part in (
            self.mesh,
            self.watch,
            self.quarantine_persistence,
            self.origin_persistence,
            self.stream_store,
            self.lease,
            self.placer,
        ):
            await self.add_runtime_dependency(part)
        peer_address = self.members.own.peer_address
        registration = Registration(
            self,
            table,
            self.mesh,
            peer_address,
            self.members.own.capacity,
            era=lambda: self.watch.era,
        )
        registration.on_previous_fleet = self._apply_previous_fleet
        registration.on_registered = self.quotas.note_registered
        self.add_future(registration.async_run())

    def _setup_permits(self) -> None:
        self.router.permits = self.permits
        self.permits.send = self.router.reply
        self.permits.linked = self.mesh.linked_members
        self.permits.serving = lambda: self.router.serving
        self.permits.is_eligible = self._is_eligible
        self.pending.is_eligible = self._is_eligible

    def _is_eligible(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint may get any requests."""
        row = self.known.endpoints.rows.get(endpoint)
        now_s = self.clock()
        return row is None or not self.eligibility.reason(row, NO_REQUIREMENTS, now_s)

    def _setup_cold_grants(self) -> None:
        self.router.cold_grants = self.cold_grants
        self.cold_grants.granter.lease = self.lease
        self.cold_grants.send = self.router.reply
        self.cold_grants.linked = self.mesh.linked_members
        self.cold_grants.holder = lambda: self.router.placer_id

    def _setup_origins(self) -> None:
        self.router.origins = self.origins
        self.origins.send = self.router.reply
        self.origins.linked = self.mesh.linked_members
        self.origins.is_alone = self.mesh.is_alone
        self.origins.domains = self._serving_domains

    def _serving_domains(self) -> dict[DaemonId, FailureDomainName]:
        """Return the daemons that serve callers, with their failure domains."""
        rows = self.members.rows
        return {id: rows[id].failure_domain for id in self.router.serving & rows.keys()}

    def _setup_placer(self) -> None:
        self.placer = Placer(
            self,
            self.lease,
            self._adapter.make_engine_client(self.session),
            self.known.endpoints,
            self.demand,
            self.known.health,
            self.pending,
            DemandPlacement(),
            self.router.send,
        )
        self.placer.probe = self._probe
        self.placer.partition = self.partition
        self.placer.eligibility = self.eligibility
        self.placer.is_cold = self.known.cold.is_cold
        self.placer.regions = self.regions
        self.placer.cold_load_limiters.window_s = self.settings.entry.cold_load_window_s
        self.placer.cold_load_limiters.excess = self.settings.entry.cold_load_excess

    async def _async_listen(self) -> None:
        """Listen for operators, callers, address lookups and readiness checks."""
        await super()._async_listen()
        entry = self.settings.entry
        listener = self._caller_listener or _bind(entry.caller_listen)
        shares = PortShares()
        self._caller_port = await self._async_serve(
            "callers", self.callers.async_handle, listener, shares.callers
        )
        directory = self._adapter.make_directory_handler(self.directory)
        listener = _bind(entry.directory_listen)
        await self._async_serve("directory", directory, listener, shares.directory)
        ready = self._adapter.make_ready_handler(self.is_serving)
        listener = _bind(entry.ready_listen)
        await self._async_serve("ready", ready, listener, shares.ready)

    async def _async_serve(
        self, name: str, handler: Handler, listener: socket.socket, share: float
    ) -> HttpPort:
        """Accept connections on a bound socket, with a share of the descriptors."""
        port = await self.serving.async_open_port(
            web.Server(handler, handler_cancellation=True),
            self.serving.make_pool(name, share),
            listener,
            access_log=None,
            auto_decompress=False,
        )
        self._ports.append(port)
        return port

    @property
    def memory_mb(self) -> float:
        """Memory that the process may take."""
        return self.settings.entry.memory_mb

    @property
    def max_descriptors(self) -> int:
        """Descriptors that the process may have, 0 if only the system limits them."""
        return self.settings.entry.max_descriptors

    def head_limits(self) -> HeadLimits:
        """Return the configured limits of requests' heads."""
        routes = self.known.routes
        limits = CallerLimits() if routes is None else routes.config.limits
        return HeadLimits(limits.max_header_bytes, limits.header_timeout_s)

    def add_routes(self, app: web.Application) -> None:
        """Add the HTTP routes for operators."""
        key = self.settings.platform.key
        QuarantineHandlers(self.quarantine, key).add_routes(app)
        CustomerHandlers(self.quotas.manager, self.daemon_id, key).add_routes(app)

    def is_ready(self) -> bool:
        """Return whether the routes and endpoints are known.

        The quarantine table must be known as well, unless reading it takes longer
        than ``QUARANTINE_WAIT_S``.
        """
        if self.watch is None or self.known.routes is None:
            return False
        if not self.watch.has_read(TABLE_CONFIG, TABLE_ENDPOINTS):
            return False
        is_late = self.clock() - self._created_s > QUARANTINE_WAIT_S
        return is_late or self.watch.has_read(TABLE_QUARANTINE)

    def is_serving(self) -> bool:
        """Return whether callers may use this daemon."""
        return self.is_ready() and not self.is_draining

    def rank(self) -> int:
        """Return this daemon's rank among the live daemons, starting at 0.

        Daemons on large VMs come first: they read the store on behalf of the others
        and place models.
        """
        own = self.members.own
        return sum(
            (-member.capacity, member.id) < (-own.capacity, own.id)
            for member in self.members.rows.values()
            if member.state is MemberState.ALIVE
        )

    def _is_deferring_placement(self) -> bool:
        """Return whether another daemon should place models.

        This is the case if it reaches endpoints and this daemon reaches none.
        """
        return self.partition.is_partitioned and any(
            member.state is MemberState.ALIVE and not self._is_partitioned(member.id)
            for member in self.members.rows.values()
        )

    def _is_partitioned(self, daemon: DaemonId) -> bool:
        """Return whether a daemon is known to reach no endpoint."""
        if daemon == self.daemon_id:
            return self.partition.is_partitioned
        return self.router.partitioned_peers.is_partitioned(daemon, self.clock())

    def _apply_row(self, change: RowChange) -> None:
        if change.key.startswith(PREFIX_HOLDS):
            self.quarantine_persistence.apply_row(
                change.key, change.value, is_restored=change.is_restored
            )
            return
        evacuated = self._adapter.decode_evacuated_domain(change.key)
        if evacuated is not None:
            self.evacuations.apply_row(evacuated, change)
            return
        self.known.apply_row(change)

    def _handle_missed(self, table: str, is_restored: bool) -> None:
        if table == TABLE_ENDPOINTS:
            self.origins.note_missed(is_restored=is_restored)

    def _handle_restored(self, table: str, keys: set[str]) -> None:
        if table == TABLE_QUARANTINE:
            self.quarantine_persistence.note_restored(keys)

    def _apply_config(self) -> None:
        config = self.known.routes.config
        self.homes.update(config)
        # Home regions determine which daemons serve, and where requests may wait.
        self.router.choose_links()
        self.pending.signal()
        self.placer.config = config
        self.quotas.update(self.router.serving, self.members)
        self.quotas.update_customers(config.customers)

    def _apply_previous_fleet(self, previous: PreviousFleet) -> None:
        self._is_first_start = previous.is_first_start
        self.origins.note_served(previous.daemons)
        entry = self.settings.entry
        if entry.quota_slack > 0 or entry.quota_excess_share > 0:
            serving = count_candidates(previous.capacities)
            self.quotas.set_former_fleet(serving, previous.own_began_ago_s)

    def _handle_endpoints_changed(self) -> None:
        self.pending.signal()
        self.placer.wake()

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply reloaded settings; listen addresses can't change while running."""
        self.settings = settings

    @Service.task
    async def _async_join(self) -> None:
        """Announce this daemon to callers once it can serve them."""
        while not self.is_ready() and not self.should_stop:
            await self.sleep(JOIN_POLL_S)
        if self.is_ready() and not self.is_draining:
            self.mesh.announce_alive()
            self.events.info("ready", version=self.known.routes.config.version)

    @Service.task
    async def _async_report_load(self) -> None:
        """Send load reports periodically, and immediately for urgent changes."""
        while not self.should_stop:
            try:
                async with asyncio.timeout(LOAD_REPORT_PERIOD_S):
                    await self.loads.urgent.wait()
            except TimeoutError:
                pass
            self.loads.urgent.clear()
            await async_run_step(self, self.events, "load.update", self._update_tables)
            await async_run_step(self, self.events, "load.report", self._report_load)

    def _update_tables(self) -> None:
        self.quotas.update(self.router.serving, self.members)
        self.known.expire()
        self.known.update_prefixes()
        self.known.cold.update()
        self.origins.update()
        self.known.endpoints.forget_silent(self.clock())

    def _report_load(self) -> None:
        report = self.loads.take(
            self.daemon_id,
            self.known.endpoints,
            self.known.health.unreachable(self.clock()),
            is_partitioned=self.partition.is_partitioned,
        )
        if report is not None:
            self.router.send(report)

    async def async_drain(self) -> None:
        """Drain: leave the directory, then refuse connections, then finish requests."""
        grace_end_s = self.drain_requested_s + self.settings.entry.grace_s
        grace_end_s -= SHUTDOWN_MARGIN_S
        self.callers.set_shutdown_deadline(grace_end_s)
        self.mesh.announce_leaving()
        await self.lease.async_release()
        cache_s = CACHED_ADDRESS_FACTOR * self.settings.entry.address_valid_s
        cache_end_s = min(grace_end_s, self.clock() + cache_s * CACHE_TIME_MARGIN)
        while self.clock() < cache_end_s:
            await asyncio.sleep(DRAIN_POLL_S)
        for port in self._ports:
            await port.async_stop_accepting()
        while self._caller_port.close_idle() and self.clock() < grace_end_s:
            if self.clock() > grace_end_s - REFUSE_WAITING_LEAD_S:
                self.callers.stop_waiting()
            await asyncio.sleep(DRAIN_POLL_S)
        await self._async_refuse_received()
        left = self.callers.in_flight
        self.callers.end_requests()
        await self._async_close_answered()
        self.events.info("drained", left=left)

    async def _async_refuse_received(self) -> None:
        """Refuse the requests that wait, or have not been read, at the drain deadline.

        A process without processor time passes the deadline before it has done so.
        """
        self.callers.stop_waiting()
        await self._async_close_answered()

    async def _async_close_answered(self) -> None:
        """Close connections as the responses to their requests are written."""
        for _ in range(REFUSAL_ITERATIONS):
            self._caller_port.close_idle()
            await asyncio.sleep(0)

    async def on_shutdown(self) -> None:
        """Close listeners and connections after the components have stopped."""
        for port in self._ports:
            port.close()
        await self.partition.async_close()
        if self._upstream is not None:
            await self._upstream.async_close()
        await super().on_shutdown()


def _bind(listen: str) -> socket.socket:
    return bind_socket(listen.rpartition(":")[0], port_of(listen))
