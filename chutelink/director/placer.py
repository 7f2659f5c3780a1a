"""Reconciles the endpoints in held failure domains with the placement plan."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mode import Service

from ..configuration import ConfigManager, Configuration
from ..const import PREFIX_STATE
from ..core import Application
from ..endpoints.monitor import EndpointMonitor
from ..exceptions import (
    ChutelinkError,
    LeaseNotHeld,
    PlatformUnavailable,
    TransactionConflict,
)
from ..fleet import FleetSpec
from ..fleet.model import EndpointSpec
from ..ids import EndpointName, FailureDomainName
from ..settings import DirectorSection
from ..steps import async_run_step
from ..store import TableService
from ..systems.load_limiter import LoadLimiter
from ..systems.placement import PlacementInput, Plan, make_placement
from ..systems.reconcile import Action, ReconcileInput, find_unexplained, next_action
from ..tables.endpoints import Endpoint, EndpointTable
from ..tables.ledger import ClaimState, LedgerRow
from ..tables.state import StateTable
from .health import HealthPublisher
from .leases import LeaseManager
from .orders import OrderExecutor
from .timer import OrderTimer

READ_INTERVAL_S = 0.5
TAKEOVER_PAUSE_S = 1.0
MIN_PLAN_INTERVAL_S = 0.5
PLAN_SHARE = 0.02
"""Maximum fraction of a core's time spent on planning for demand."""


class Placer(Service):
    """Plans placements and executes one action at a time at each endpoint.

    Parameters
    ----------
    core : Application
        The application that owns the placer.
    config_manager : ConfigManager
        Provides the configuration in force.
    table : TableService
        Table that stores ledger and health rows.
    endpoints : EndpointTable
        Reports of the watched endpoints.
    monitor : EndpointMonitor
        Polls an endpoint for a new report after each order.
    leases : LeaseManager
        Provides the failure domains that this director holds.
    executor : OrderExecutor
        Executes the actions.
    state : StateTable
        Ledger and health rows.
    settings : DirectorSection
        Intervals, timeouts and load limits.
    waiting : callable
        Returns the requests waiting in a failure domain's gateways, by model.
    """

    def __init__(
        self,
        core: Application,
        config_manager: ConfigManager,
        table: TableService,
        endpoints: EndpointTable,
        monitor: EndpointMonitor,
        leases: LeaseManager,
        executor: OrderExecutor,
        state: StateTable,
        settings: DirectorSection,
        waiting: Callable[[FailureDomainName, float], dict[str, int]],
    ) -> None:
        super().__init__()
        self._core = core
        self._config_manager = config_manager
        self._table = table
        self._endpoints = endpoints
        self._monitor = monitor
        self._leases = leases
        self._executor = executor
        self.state_table = state
        self._settings = settings
        self._load_limiter = LoadLimiter(settings.loads_per_s, settings.loads_at_once)
        self._step_tasks: dict[EndpointName, asyncio.Task] = {}
        self._timer = OrderTimer(core.clock, settings.order_lateness_s)
        self._health = HealthPublisher(core, table, endpoints, leases, state, waiting)
        self._last_step_s: dict[EndpointName, float] = {}
        self._held_since: dict[FailureDomainName, float] = {}
        self._last_read_s = float("-inf")
        self.plan = Plan({}, [])
        self._plan_basis: tuple[int, frozenset[EndpointName]] | None = None
        self._planned_changes = -1
        self._next_plan_s = float("-inf")
        self.quarantined: set[EndpointName] = set()

    @Service.task
    async def _async_loop(self) -> None:
        while not self.should_stop:
            await async_run_step(
                self, self._core.events, "placement.tick", self._async_try_tick
            )
            await self.sleep(self._settings.tick_interval_s)

    async def _async_try_tick(self) -> None:
        try:
            await self._async_tick()
        except PlatformUnavailable as error:
            self._core.events.warning("placement_paused", error=error)
        except ChutelinkError as error:
            self._core.events.error("placement_failed", error=error)

    async def _async_tick(self) -> None:
        # The whole tick uses one configuration, although another one may come
        # into force while a read is in progress.
        current = self._config_manager.current
        held = self._settled_domains()
        if current is None or not held:
            return
        fleet = current.fleet
        await self._async_read()
        for domain in held:
            await self._health.async_publish(fleet, domain)
        self._update_plan(current)
        self._load_limiter.set_share(len(held), len(fleet.failure_domains))
        steps = [
            step
            for spec in fleet.engines()
            if spec.failure_domain in held
            and (step := self._next_step(fleet, spec)) is not None
        ]
        # First replicas of models are loaded before additional ones.
        steps.sort(key=lambda step: step[1].is_load and not step[1].is_first_replica)
        loading = self._count_loading(fleet, held)
        for spec, action in steps:
            if action.is_load:
                if not self._load_limiter.try_start(self._core.clock(), loading):
                    continue
                loading += 1
            self._start_action(spec, action)

    def _settled_domains(self) -> list[FailureDomainName]:
        """Return the held failure domains, except those that were just taken.

        The last order of the previous holder may still be in transit. A short
        pause lets it arrive before the endpoint's report is used.
        """
        held = self._leases.held()
        now_s = self._core.clock()
        for name in self._held_since.keys() - set(held):
            del self._held_since[name]
        for name in held:
            self._held_since.setdefault(name, now_s)
        return [n for n in held if now_s - self._held_since[n] >= TAKEOVER_PAUSE_S]

    async def _async_read(self) -> None:
        now_s = self._core.clock()
        if now_s - self._last_read_s < READ_INTERVAL_S and self.state_table.is_read:
            return
        page = await self._table.async_read(PREFIX_STATE, self.state_table.version)
        for row in page.rows:
            self.state_table.put_row(row)
        self.state_table.version = max(self.state_table.version, page.version)
        self.state_table.is_read = True
        self._last_read_s = now_s

    def _update_plan(self, current: Configuration) -> None:
        """Recompute the plan if its inputs have changed.

        A new configuration or a new set of usable endpoints is planned
        immediately. Other changes are delayed to limit the time that planning
        takes to ``PLAN_SHARE``.
        """
        fleet = current.fleet
        basis = (current.version, self.state_table.usable())
        now_s = self._core.clock()
        is_due = (
            self.state_table.changes != self._planned_changes
            and now_s >= self._next_plan_s
        )
        if basis == self._plan_basis and not is_due:
            return
        self._plan_basis = basis
        self._planned_changes = self.state_table.changes
        placement = make_placement(fleet.options)
        self.plan = placement.plan(
            PlacementInput(
                fleet,
                self.state_table.rows(),
                self.state_table.usable(),
                self.state_table.demand(),
            )
        )
        elapsed_s = self._core.clock() - now_s
        self._next_plan_s = now_s + max(MIN_PLAN_INTERVAL_S, elapsed_s / PLAN_SHARE)
        self._core.metrics.unplaced.set({}, len(self.plan.unplaced))

    def _next_step(
        self, fleet: FleetSpec, spec: EndpointSpec
    ) -> tuple[EndpointSpec, Action] | None:
        row = self._endpoints.rows.get(spec.name)
        is_seen = row is not None and row.report is not None
        if spec.name in self._step_tasks or not is_seen or row.report_failures:
            return None
        if row.report_asked_s <= self._last_step_s.get(spec.name, float("-inf")):
            return None
        stored = self.state_table.ledger.get(spec.name)
        if stored is None:
            self._spawn(spec.name, self._executor.async_create_row(spec))
            return None
        size = (stored.row.accelerators, stored.row.memory_mb)
        if size != (spec.accelerators, spec.memory_mb) and not stored.row.claims:
            self._spawn(spec.name, self._executor.async_resize(spec, stored))
            return None
        self._update_quarantine(spec.name, row, stored.row.boot_id)
        expired = self._timer.expired(spec.name, stored.row)
        if expired:
            self._spawn(spec.name, self._executor.async_expire(spec, expired))
            return None
        inputs = ReconcileInput(
            row=stored.row,
            report=row.report,
            fleet=fleet,
            desired=frozenset(self._desired_models(fleet, spec.name)),
            ledger=self.state_table.rows(),
            usable=self.state_table.usable(),
            due=self._timer.due(spec.name, stored.row, row.report),
        )
        if self._changes_ledger(stored.row, row):
            self._spawn(spec.name, self._executor.async_apply_report(spec, row.report))
            return None
        action = next_action(inputs)
        return None if action is None else (spec, action)

    def _desired_models(self, fleet: FleetSpec, name: EndpointName) -> set[str]:
        """Return the planned models, or the current ones if there is no plan."""
        if name in self.plan.assignment:
            return self.plan.assignment[name]
        row = self.state_table.ledger[name].row
        return {
            claim.artifact.name
            for claim in row.claims
            if claim.artifact.name in fleet.models
            and claim.state is not ClaimState.UNLOADING
        }

    def _update_quarantine(
        self, name: EndpointName, row: Endpoint, boot_id: str
    ) -> None:
        stored = self.state_table.ledger[name]
        is_same_boot = row.report.boot_id == boot_id
        unexplained = find_unexplained(stored.row, row.report) if is_same_boot else []
        if unexplained and name not in self.quarantined:
            self.quarantined.add(name)
            self._core.events.error(
                "endpoint_quarantined", endpoint=name, artifact=unexplained[0]
            )
        elif not unexplained:
            self.quarantined.discard(name)
        self._core.metrics.quarantined.set({}, len(self.quarantined))

    def _changes_ledger(self, ledger_row: LedgerRow, row: Endpoint) -> bool:
        """Return whether applying the report would change the ledger row."""
        if row.report.boot_id != ledger_row.boot_id:
            return False
        held = {h.artifact for h in row.report.artifacts}
        for claim in ledger_row.claims:
            is_loaded = claim.artifact in row.loaded
            if claim.state is ClaimState.LOADING and is_loaded:
                return True
            if claim.state is ClaimState.LOADED and not is_loaded:
                return True
            is_gone = claim.artifact not in held and not claim.has_pending_load
            if claim.state is ClaimState.UNLOADING and is_gone:
                return True
        return False

    def _count_loading(self, fleet: FleetSpec, held: list[FailureDomainName]) -> int:
        return sum(
            claim.state is ClaimState.LOADING
            for spec in fleet.engines()
            if spec.failure_domain in held and spec.name in self.state_table.ledger
            for claim in self.state_table.ledger[spec.name].row.claims
        )

    def _start_action(self, spec: EndpointSpec, action: Action) -> None:
        boot_id = self._endpoints.rows[spec.name].report.boot_id
        self._spawn(spec.name, self._async_run_action(spec, action, boot_id))

    async def _async_run_action(
        self, spec: EndpointSpec, action: Action, boot_id
    ) -> None:
        try:
            await self._executor.async_execute(spec, action, boot_id)
        finally:
            self._last_step_s[spec.name] = self._core.clock()
        await self._monitor.async_poll(spec.name)

    def _spawn(self, name: EndpointName, coroutine) -> None:
        task = asyncio.ensure_future(self._async_run_task(name, coroutine))
        self._step_tasks[name] = task

    async def _async_run_task(self, name: EndpointName, coroutine) -> None:
        try:
            await coroutine
        except TransactionConflict:
            self._request_reread()
        except LeaseNotHeld as error:
            self._core.events.warning("step_without_lease", error=error)
        except ChutelinkError as error:
            self._core.events.warning("step_failed", endpoint=name, error=error)
            self._request_reread()
        finally:
            self._step_tasks.pop(name, None)

    def _request_reread(self) -> None:
        """Make the next tick read all rows again."""
        self.state_table.reset_version()

    async def async_wait_for_tasks(self) -> None:
        """Wait for the actions in progress."""
        tasks = list(self._step_tasks.values())
        if tasks:
            await asyncio.wait(tasks, timeout=self._settings.order_timeout_s * 3)
