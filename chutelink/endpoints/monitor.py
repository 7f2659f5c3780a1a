"""Watch endpoints: polls within a budget of bytes, and the VM list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mode import Service

from ..core import Application
from ..exceptions import EndpointFailed, PlatformUnavailable
from ..ids import EndpointName
from ..settings import EndpointsSection
from ..store import Platform, Vm, VmState
from ..tables.endpoints import EndpointTable
from .client import EndpointClient, is_engine

VM_LIST_INTERVAL_S = 1.0
VM_LIST_BUDGET_BYTES_S = 2000
BYTES_PER_VM = 90
INITIAL_REPORT_BYTES = 400
HEADER_BYTES = 300


class EndpointMonitor(Service):
    """Fills the endpoint table from reports and from the VM list.

    Parameters
    ----------
    core : Application
        The owner.
    client : EndpointClient
        To ask the endpoints.
    platform : Platform
        For the VM list.
    table : EndpointTable
        Filled by this service.
    settings : EndpointsSection
        Interval and budget.
    is_watched : callable
        Whether an endpoint is this process's to watch.
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
        self._requested: dict[EndpointName, asyncio.Event] = {}
        self._mean_bytes = float(INITIAL_REPORT_BYTES)
        self._leaving_vms: frozenset[str] = frozenset()
        self._drained: frozenset[str] = frozenset()
        self._round: asyncio.Future | None = None
        self._round_asked_s = float("-inf")
        self.on_change: Callable[[EndpointName], None] = lambda name: None
        self.on_vms: Callable[[list[Vm]], None] = lambda vms: None

    def sync(self, drained: frozenset[str]) -> None:
        """Start and stop polling after a change of the fleet or the drains."""
        self._drained = drained
        self._table.note_departures(self._leaving_vms, drained)
        watched = {name for name in self._table.rows if self._is_watched(name)}
        for name in self._pollers.keys() - watched:
            self._pollers.pop(name).cancel()
            self._requested.pop(name, None)
        for name in watched - self._pollers.keys():
            self._requested[name] = asyncio.Event()
            poller = asyncio.ensure_future(self._async_poll_loop(name))
            self._pollers[name] = poller

    async def on_stop(self) -> None:
        """Stop all polling."""
        for poller in self._pollers.values():
            poller.cancel()

    def interval_s(self) -> float:
        """Return the pause between polls of one endpoint.

        It is stretched so that all polls together keep to the budget.
        """
        bytes_per_round = len(self._pollers) * self._mean_bytes
        budget_s = bytes_per_round / self._settings.poll_budget_bytes_s
        return max(self._settings.poll_interval_s, budget_s)

    async def _async_poll_loop(self, name: EndpointName) -> None:
        await asyncio.sleep(self.interval_s() * self._core.rng.random())
        while not self.should_stop:
            await self.async_poll(name)
            pause_s = self.interval_s() * self._core.rng.uniform(0.8, 1.0)
            await self._async_pause(name, pause_s)

    async def _async_pause(self, name: EndpointName, pause_s: float) -> None:
        """Let the time between polls pass, or less if a report is requested."""
        requested = self._requested[name]
        try:
            async with asyncio.timeout(pause_s):
                await requested.wait()
        except TimeoutError:
            return
        requested.clear()

    def request_report(self, name: EndpointName) -> None:
        """Bring the next poll of an endpoint forward: it has changed."""
        requested = self._requested.get(name)
        if requested is not None:
            requested.set()

    async def async_poll(self, name: EndpointName) -> bool:
        """Ask one endpoint for its report now; return whether it answered."""
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
        """Return when all endpoints were asked for reports after this call.

        Concurrent calls share a round of polls. Rounds begin an interval apart, so
        that all polls together keep to twice the budget.

        Parameters
        ----------
        limit_s : float
            Returns at once where a round could only begin later than this.
        """
        called_s = self._core.clock()
        while self._round_asked_s < called_s:
            if self._round is None or self._round.done():
                next_s = self._round_asked_s + self.interval_s()
                pause_s = max(0.0, next_s - self._core.clock())
                if pause_s > limit_s:
                    return
                await asyncio.sleep(pause_s)
                if self._round is None or self._round.done():
                    self._begin_round()
            await asyncio.shield(self._round)

    def _begin_round(self) -> None:
        self._round_asked_s = self._core.clock()
        self._round = asyncio.gather(*map(self.async_poll, self._pollers))
        self._core.events.debug("reports_requested", endpoints=len(self._pollers))

    @Service.task
    async def _async_vm_loop(self) -> None:
        while not self.should_stop:
            vms: list[Vm] = []
            try:
                vms = await self._platform.vms.async_list()
                self._take_vms(vms)
            except PlatformUnavailable as error:
                self._core.events.warning("vm_list_failed", error=error)
            stretch_s = len(vms) * BYTES_PER_VM / VM_LIST_BUDGET_BYTES_S
            await self.sleep(max(VM_LIST_INTERVAL_S, stretch_s))

    def _take_vms(self, vms: list[Vm]) -> None:
        leaving = frozenset(vm.id for vm in vms if vm.state is VmState.LEAVING)
        if leaving != self._leaving_vms:
            self._leaving_vms = leaving
            self._core.events.info("vms_leaving", vms=",".join(sorted(leaving)))
            self._table.note_departures(leaving, self._drained)
        self.on_vms(vms)
