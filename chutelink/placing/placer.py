"""The placer service: read reports, plan, send orders and announce placements."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable

from mode import Service

from ..core import Application
from ..eligibility.checker import EligibilityChecker
from ..eligibility.model import NO_REQUIREMENTS
from ..entry.config import EngineSpec, RoutingConfig
from ..entry.demand import DemandTable
from ..entry.endpoints import Endpoint, EndpointTable
from ..entry.messages import PlacementUpdate, PlacerHeartbeat
from ..entry.pending import PendingTable
from ..exceptions import ChutelinkError, EndpointSilent
from ..ids import EndpointId, ServiceName
from ..learning.health import HealthTable
from ..quarantine.probe import ConnectProbe, EndingProbe, ProbeResult
from ..reachability.monitor import PartitionMonitor
from ..regions.region_map import RegionMap
from ..steps import FAILED_STEP_PAUSE_S, async_run_step
from .announcer import ANNOUNCE_PERIOD_S, Announcer
from .change_tracker import ChangeTracker
from .changes import Change, PlacementView, Site
from .cold_load_limiter import ColdLoadLimiters
from .decline_log import DeclineLog
from .inventory import EngineClient, Inventory
from .lease import PlacerLease
from .load_backoff import LoadBackoff
from .load_forecast import forecast_loads
from .orders import UNLOAD_NOTICE_S, OrderSender
from .overload import mark_overloaded
from .placement import PlacementPolicy

TICK_S = 0.05
RECHECK_PERIOD_S = 0.15
"""Minimum interval between reports of an endpoint that other daemons can't reach."""
DOWN_RETRY_S = 0.4
MAX_REPORT_SILENCE_S = 3.0
"""How long an endpoint that accepts connections may send no report.

A process that is stopped for a moment keeps its models, while loading them elsewhere
takes seconds.
"""
"""Interval at which an endpoint that does not respond is polled."""
REPORT_PERIOD_S = 4.0
"""Interval of reports, each of which an endpoint has to answer beside its requests.

Orders keep the inventory up to date in between. The loss of an endpoint shows in failed
requests, or in its registration, which expires within this time.
"""
BUSY_REPORT_PERIOD_S = 0.3
"""Interval of reports while an endpoint is busy or its last report is outdated."""
FIRST_TERM = 1
"""The lowest term; it has no previous holder."""
FAILED_CHANGE_DELAY_S = 0.3
"""Delay before an endpoint gets another change after a failed one."""


class Placer(Service):
    """Plans and executes placement changes while this daemon holds the lease.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    lease : PlacerLease
        Determines whether orders may be sent.
    client : EngineClient
        Client for reports and orders.
    table : EndpointTable
        The endpoints.
    demand : DemandTable
        Request rates and waiting requests.
    health : HealthTable
        Recent response behavior of endpoints.
    pending : PendingTable
        Announced loads, including those of previous lease holders.
    policy : PlacementPolicy
        Plans changes.
    send : callable
        Broadcasts a message to all daemons, including this one.
    """

    def __init__(
        self,
        core: Application,
        lease: PlacerLease,
        client: EngineClient,
        table: EndpointTable,
        demand: DemandTable,
        health: HealthTable,
        pending: PendingTable,
        policy: PlacementPolicy,
        send: Callable[[PlacementUpdate | PlacerHeartbeat], None],
    ) -> None:
        super().__init__()
        self._core = core
        self._lease = lease
        self._order_sender = OrderSender(
            core, lease, client, table, self._engine_of, self._is_eligible
        )
        self._table = table
        self._demand = demand
        self._health = health
        self._policy = policy
        self._announcer = Announcer(core, table, send)
        self._inventories: dict[EndpointId, Inventory] = {}
        self._tracker = ChangeTracker(pending)
        self.cold_load_limiters = ColdLoadLimiters(core, pending)
        self._announced_s = float("-inf")
        self._wake = asyncio.Event()
        self._decline_log = DeclineLog(core)
        self._load_backoff = LoadBackoff()
        self.probe: EndingProbe = ConnectProbe()
        self.partition: PartitionMonitor | None = None
        self.eligibility = EligibilityChecker()
        """Endpoints that it excludes get no orders, and their models are loaded
        elsewhere."""
        self.is_cold: Callable[[Endpoint], bool] = lambda row: False
        """Returns whether an endpoint takes only few requests for some seconds."""
        self.regions = RegionMap()
        self._term = 0
        self.config: RoutingConfig | None = None

    def wake(self) -> None:
        """Trigger the next planning pass immediately."""
        self._wake.set()

    def recheck_endpoints(self, endpoints: list[EndpointId]) -> None:
        """Poll endpoints that other daemons can't reach, unless just polled."""
        now_s = self._core.clock()
        for endpoint in endpoints:
            inventory = self._inventories.get(endpoint)
            if inventory is None or inventory.is_down or inventory.is_changing:
                continue
            if now_s - inventory.read_s > RECHECK_PERIOD_S:
                inventory.read_s = float("-inf")
                self.wake()

    @Service.task
    async def _async_loop(self) -> None:
        while not self.should_stop:
            if self._lease.is_held and self.config is not None:
                await async_run_step(
                    self, self._core.events, "placer.tick", self._async_tick
                )
            await self._async_wait()

    async def _async_wait(self) -> None:
        try:
            async with asyncio.timeout(TICK_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _async_tick(self) -> None:
        if self._lease.term != self._term:
            self._start_term()
        self._sync_inventories()
        self._read_reports()
        if self._lease.may_order and not self._is_partitioned():
            for service, engine in self._engines():
                self._plan(service, engine)
        if self._core.clock() - self._announced_s >= ANNOUNCE_PERIOD_S:
            self.announce()

    def _start_term(self) -> None:
        """Discard state of an earlier term, as other holders may have sent orders."""
        self._term = self._lease.term
        self._inventories.clear()
        self._tracker.clear()
        self.cold_load_limiters.clear()
        self._announcer.reset()

    def _engine_of(self, service: ServiceName) -> EngineSpec | None:
        spec = self.config.services.get(service)
        return None if spec is None else spec.engine

    def _engines(self) -> list[tuple[ServiceName, EngineSpec]]:
        return [
            (name, service.engine)
            for name, service in self.config.services.items()
            if service.engine is not None
        ]

    def _sync_inventories(self) -> None:
        engines = {name for name, _ in self._engines()}
        wanted = {
            row.record.id: row.record.born_ms
            for row in self._table.rows.values()
            if row.record.service in engines and row.is_ready
        }
        for endpoint, born_ms in wanted.items():
            known = self._inventories.get(endpoint)
            if known is None or known.born_ms < born_ms:
                self._inventories[endpoint] = Inventory(endpoint, born_ms)
        for endpoint in self._inventories.keys() - wanted.keys():
            del self._inventories[endpoint]

    def _read_reports(self) -> None:
        """Poll the endpoints whose last report is old, each in a separate task."""
        now_s = self._core.clock()
        for inventory in self._inventories.values():
            is_urgent = inventory.is_busy or inventory.is_outdated
            period_s = BUSY_REPORT_PERIOD_S if is_urgent else REPORT_PERIOD_S
            if inventory.is_changing or now_s - inventory.read_s < period_s:
                continue
            if now_s < inventory.retry_after_s:
                continue
            inventory.is_changing = True
            refresh = functools.partial(self._async_refresh, inventory)
            self._start_step("placer.report", refresh)

    def _start_step(self, step: str, action: Callable[[], Awaitable[None]]) -> None:
        self.add_future(async_run_step(self, self._core.events, step, action))

    def _defer(self, inventory: Inventory) -> None:
        """Let an endpoint pause after a failed step, and read its report again."""
        inventory.retry_after_s = self._core.clock() + FAILED_STEP_PAUSE_S
        inventory.read_s = float("-inf")

    async def _async_refresh(self, inventory: Inventory) -> None:
        try:
            await self._order_sender.async_report(inventory)
        except ChutelinkError as error:
            if not await self._async_may_be_running(inventory, error):
                inventory.is_down = True
            inventory.retry_after_s = self._core.clock() + DOWN_RETRY_S
            self._core.events.record(
                "report_failed", endpoint=inventory.endpoint, error=error
            )
        except Exception:
            # Logged by the step; without a pause the next tick would repeat it.
            self._defer(inventory)
            raise
        finally:
            inventory.is_changing = False
        self.wake()

    async def _async_may_be_running(
        self, inventory: Inventory, error: ChutelinkError
    ) -> bool:
        """Return whether an endpoint without a report may still hold its models."""
        if await self._async_is_partitioned(inventory.endpoint):
            return True
        now_s = self._core.clock()
        if inventory.silent_since_s is None:
            inventory.silent_since_s = now_s
        row = self._table.rows.get(inventory.endpoint)
        if not isinstance(error, EndpointSilent) or row is None:
            return False
        if now_s - inventory.silent_since_s >= MAX_REPORT_SILENCE_S:
            return False
        result = await self.probe.async_probe(row.record.address)
        return result is ProbeResult.ACCEPTED

    def _is_partitioned(self) -> bool:
        return self.partition is not None and self.partition.is_partitioned

    async def _async_is_partitioned(self, endpoint: EndpointId) -> bool:
        """Return whether no endpoint is reachable, after a failed call to one."""
        row = self._table.rows.get(endpoint)
        if self.partition is None or row is None:
            return False
        return await self.partition.async_check(row.record.address)

    def _plan(self, service: ServiceName, engine: EngineSpec) -> None:
        now_s = self._core.clock()
        sites = mark_overloaded(self._sites(service), self._demand, now_s)
        if not sites or not all(site.inventory.is_known for site in sites):
            # Models on endpoints that have not reported would be loaded again.
            return
        limiter = self.cold_load_limiters.get(
            service,
            engine.cold_loads_per_s,
            is_first_term=self._term == FIRST_TERM,
        )
        view = PlacementView(
            engine=engine,
            sites=sites,
            loading=self._tracker.loading(
                self._inventories, self._is_eligible_endpoint
            ),
            demand=self._demand,
            cold_loads=limiter.available(now_s),
            cold_load_in_s=limiter.next_start_in_s(now_s),
            now_s=now_s,
            paused_until_s=self._load_backoff.paused_until_s(now_s),
            loading_at=self._tracker.loading_at(),
            regions=self.regions,
        )
        for change in self._policy.plan(view):
            if change.is_cold:
                limiter.record_start(now_s)
            self._start_change(change)
        forecast_s = forecast_loads(view, self._policy.queued)
        self._tracker.set_queued(service, forecast_s, now_s)
        self._decline_log.log(view, self._policy.declined, self._policy.retained)

    def _sites(self, service: ServiceName) -> list[Site]:
        """Return the service's responsive endpoints with their known state."""
        sites = []
        now_s = self._core.clock()
        rows = self._table.of_service(service, now_s)
        for row in self.eligibility.eligible(rows, NO_REQUIREMENTS, now_s):
            endpoint = row.record.id
            inventory = self._inventories.get(endpoint)
            if inventory is None or inventory.is_down:
                continue
            paused_share = self._health.paused_share(endpoint)
            free_in_s = self._tracker.free_in_s(inventory, now_s)
            is_cold = self.is_cold(row)
            sites.append(Site(row, inventory, paused_share, free_in_s, is_cold=is_cold))
        return sites

    def _is_eligible(self, row: Endpoint) -> bool:
        """Return whether an endpoint may get orders."""
        now_s = self._core.clock()
        return self.eligibility.reason(row, NO_REQUIREMENTS, now_s) is None

    def _is_eligible_endpoint(self, endpoint: EndpointId) -> bool:
        row = self._table.rows.get(endpoint)
        return row is None or self._is_eligible(row)

    def _start_change(self, change: Change) -> None:
        inventory = self._inventories[change.endpoint]
        inventory.is_changing = True
        unload_s = UNLOAD_NOTICE_S * bool(change.unload_models)
        ready_s = self._core.clock() + change.load_s + unload_s
        self._tracker.begin(change, ready_s)
        self._core.events.record(
            "placement_begun",
            endpoint=change.endpoint,
            model=change.model,
            adapter=change.adapter,
            reason=change.reason.value,
            unload=",".join(change.unload_models),
            unload_adapters=len(change.unload_adapters),
            load_s=change.load_s,
            cold=change.is_cold,
            sequence=inventory.sequence,
            term=self._term,
        )
        execute = functools.partial(self._async_execute, change, inventory)
        self._start_step("placer.order", execute)

    async def _async_execute(self, change: Change, inventory: Inventory) -> None:
        row = self._table.rows.get(change.endpoint)
        try:
            if row is not None:
                row.closing = frozenset(change.unload_models)
                self.announce()
                await self._order_sender.async_execute(change, inventory, row)
                self._load_backoff.record_success(change.model)
        except ChutelinkError as error:
            inventory.retry_after_s = self._core.clock() + FAILED_CHANGE_DELAY_S
            inventory.read_s = float("-inf")
            has_ended = await self._async_has_exited(row)
            if has_ended:
                self._load_backoff.record_exit(change.model, self._core.clock())
            self._core.events.record(
                "placement_failed",
                endpoint=change.endpoint,
                model=change.model,
                adapter=change.adapter,
                has_ended=has_ended,
                error=error,
            )
        except Exception:
            # Logged by the step; without a pause the next tick would repeat it.
            self._defer(inventory)
            raise
        finally:
            if row is not None:
                row.closing = frozenset()
            self._tracker.end(change)
            inventory.is_changing = False
        self.announce()
        self.wake()

    async def _async_has_exited(self, row: Endpoint) -> bool:
        """Return whether the endpoint process that was executing a change has exited.

        An endpoint that announced its departure, or that is unregistered but still
        accepts connections, does not count as exited.
        """
        if self._table.is_replaced(row.record):
            return True
        if not row.is_ready:
            return False
        result = await self.probe.async_probe(row.record.address)
        return result is ProbeResult.REFUSED

    def announce(self) -> None:
        """Announce to all daemons what endpoints hold and which loads are pending."""
        if not self._lease.is_held:
            return
        now_s = self._core.clock()
        self._announced_s = now_s
        self._announcer.announce(
            self._term,
            self._inventories.values(),
            self._tracker.pending_loads(now_s),
            self._tracker.queued_loads(now_s),
        )
