"""Monitoring of endpoints through polling with a byte budget, and the VM list."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

from mode import Service

from ..core import Application
from ..exceptions import EndpointFailed, PlatformUnavailable
from ..ids import EndpointName
from ..settings import EndpointsSection
from ..steps import async_run_step
from ..store import Platform, Vm, VmState
from ..tables.endpoints import EndpointTable
from .client import EndpointClient, is_engine

VM_LIST_INTERVAL_S = 1.0
VM_LIST_BUDGET_BYTES_S = 2000
BYTES_PER_VM = 90
INITIAL_REPORT_BYTES = 400
HEADER_BYTES = 300


class EndpointMonitor(Service):
    """Updates the endpoint table from endpoint reports and the VM list.

    Parameters
    ----------
    core : Application
        The application that owns this service.
    client : EndpointClient
        Client for the endpoints.
    platform : Platform
        Provides the VM list.
    table : EndpointTable
        Table to update.
    settings : EndpointsSection
        Polling interval and byte budget.
    is_watched : callable
        Returns whether this process monitors an endpoint.
    """

    def __init__(
        self,
        core: Application,
        client: EndpointClient,
        platform: Platform,
        table: EndpointTable,
        settings: EndpointsSection,
        is_watched: Callable[[EndpointName], bool] = lambda name: True,
    ) -> None:
        super().__init__()
        self._core = core
        self._client = client
        self._platform = platform
        self._table = table
        self._settings = settings
        self._is_watched = is_watched
        self._pollers: dict[EndpointName, asyncio.Task] = {}
        self._report_requests: dict[EndpointName, asyncio.Event] = {}
        self._mean_bytes = float(INITIAL_REPORT_BYTES)
        self._leaving_vms: frozenset[str] = frozenset()
        self._vm_count = 0
        self._drained: frozenset[str] = frozenset()
        self._round: asyncio.Future | None = None
        self._round_started_s = float("-inf")
        self.on_change: Callable[[EndpointName], None] = lambda name: None
        self.on_vms: Callable[[list[Vm]], None] = lambda vms: None

    def sync(self, drained: frozenset[str]) -> None:
        """Start and stop pollers after the fleet or the drained names changed."""
        self._drained = drained
        self._table.note_departures(self._leaving_vms, drained)
        watched = {name for name in self._table.rows if self._is_watched(name)}
        for name in self._pollers.keys() - watched:
            self._pollers.pop(name).cancel()
            self._report_requests.pop(name, None)
        for name in watched - self._pollers.keys():
            self._report_requests[name] = asyncio.Event()
            poller = asyncio.ensure_future(self._async_poll_loop(name))
            self._pollers[name] = poller

    async def on_stop(self) -> None:
        """Stop all polling."""
        for poller in self._pollers.values():
            poller.cancel()

    def interval_s(self) -> float:
        """Return the interval between polls of one endpoint.

        It is extended if necessary so that all polls together stay within the budget.
        """
        bytes_per_round = len(self._pollers) * self._mean_bytes
        budget_interval_s = bytes_per_round / self._settings.poll_budget_bytes_s
        return max(self._settings.poll_interval_s, budget_interval_s)

    async def _async_poll_loop(self, name: EndpointName) -> None:
        poll = functools.partial(self.async_poll, name)
        await asyncio.sleep(self.interval_s() * self._core.rng.random())
        while not self.should_stop:
            await async_run_step(self, self._core.events, "endpoint.poll", poll)
            pause_s = self.interval_s() * self._core.rng.uniform(0.8, 1.0)
            await self._async_wait(name, pause_s)

    async def _async_wait(self, name: EndpointName, pause_s: float) -> None:
        """Wait until the next poll is due or a report is requested."""
        report_request = self._report_requests[name]
        try:
            async with asyncio.timeout(pause_s):
                await report_request.wait()
        except TimeoutError:
            return
        report_request.clear()

    def request_report(self, name: EndpointName) -> None:
        """Poll an endpoint immediately because its state has changed."""
        report_request = self._report_requests.get(name)
        if report_request is not None:
            report_request.set()

    async def async_poll(self, name: EndpointName) -> bool:
        """Poll one endpoint immediately; return whether it responded."""
        row = self._table.rows.get(name)
        if row is None:
            return False
        state = row.state
        asked_s = self._core.clock()
        try:
            if is_engine(row.spec):
                report, size = await self._client.async_report(row.spec)
                self._table.note_report(name, report, asked_s, self._core.clock())
            else:
                size = await self._client.async_check_health(row.spec)
                self._table.note_service_alive(name, self._core.clock())
        except EndpointFailed as error:
            self._table.note_report_failure(name)
            self._core.events.debug("report_failed", error=error)
        else:
            self._mean_bytes += 0.05 * (size + HEADER_BYTES - self._mean_bytes)
        if row.state is not state:
            self._core.events.info(
                "endpoint_state", endpoint=name, state=row.state.value
            )
        self.on_change(name)
        return row.report_failures == 0

    async def async_refresh(self, limit_s: float) -> None:
        """Wait for a round of polls that started after this call.

        Concurrent calls share a round. Rounds start at least one interval apart, so
        that all polls together stay within twice the budget.

        Parameters
        ----------
        limit_s : float
            Return immediately if the next round cannot start within this time.
        """
        called_s = self._core.clock()
        while self._round_started_s < called_s:
            if self._round is None or self._round.done():
                next_s = self._round_started_s + self.interval_s()
                pause_s = max(0.0, next_s - self._core.clock())
                if pause_s > limit_s:
                    return
                await asyncio.sleep(pause_s)
                if self._round is None or self._round.done():
                    self._start_round()
            await asyncio.shield(self._round)

    def _start_round(self) -> None:
        self._round_started_s = self._core.clock()
        self._round = asyncio.gather(*map(self.async_poll, self._pollers))
        self._core.events.debug("reports_requested", endpoints=len(self._pollers))

    @Service.task
    async def _async_vm_loop(self) -> None:
        while not self.should_stop:
            await async_run_step(
                self, self._core.events, "vms.poll", self._async_poll_vms
            )
            size_bytes = self._vm_count * BYTES_PER_VM
            budget_interval_s = size_bytes / VM_LIST_BUDGET_BYTES_S
            await self.sleep(max(VM_LIST_INTERVAL_S, budget_interval_s))

    async def _async_poll_vms(self) -> None:
        self._vm_count = 0
        try:
            vms = await self._platform.vms.async_list()
        except PlatformUnavailable as error:
            self._core.events.warning("vm_list_failed", error=error)
            return
        self._vm_count = len(vms)
        self._update_vms(vms)

    def _update_vms(self, vms: list[Vm]) -> None:
        leaving = frozenset(vm.id for vm in vms if vm.state is VmState.LEAVING)
        if leaving != self._leaving_vms:
            self._leaving_vms = leaving
            self._core.events.info("vms_leaving", vms=",".join(sorted(leaving)))
            self._table.note_departures(leaving, self._drained)
        self.on_vms(vms)
