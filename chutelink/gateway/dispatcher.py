"""Request queue and dispatch to endpoints.

Requests are dispatched when one arrives, when a slot is released and when an
endpoint's report arrives.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..core import Application
from ..fleet.model import Artifact, FleetSpec
from ..ids import EndpointName
from ..systems.admission import DrainRate, retry_after_s
from ..systems.queueing import Queueing, make_queueing
from ..systems.routing import Routing, make_routing, usable_endpoints
from ..tables.endpoints import Endpoint, EndpointTable
from ..tables.requests import RequestQueue, WaitingRequest
from .refusals import Refusal, unavailable

TYPICAL_LOAD_S = 5.0
"""``Retry-After`` for a model that is not loaded: a typical load time."""
MIN_WAIT_S = 0.001
REPORT_WAIT_S = 0.1
"""How long a request waits for new reports if none lists its model as loaded."""
STALE_REPORT_WAIT_S = 1.0
"""The same for a request that an endpoint refused: its report was out of date."""
REPORT_POLL_S = 0.02
NOT_LOADED = "the model is not loaded now"


class Dispatcher:
    """Assigns endpoints to requests in the order of the queueing policy.

    Parameters
    ----------
    core : Application
        Application that owns the dispatcher.
    table : EndpointTable
        Known state of the endpoints.
    max_queue : int
        Maximum number of queued requests; further requests are refused.
    request_timeout_s : float
        Maximum time from the arrival of a request to its dispatch.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        max_queue: int,
        request_timeout_s: float,
    ) -> None:
        self._core = core
        self._table = table
        self._max_queue = max_queue
        self._request_timeout_s = request_timeout_s
        self._queue = RequestQueue()
        self._drain_rate = DrainRate()
        self._routing: Routing | None = None
        self._queueing: Queueing | None = None
        self._policies: tuple | None = None
        self._fleet: FleetSpec | None = None
        self.async_refresh_reports: Callable[[float], Awaitable[None]] = (
            _async_skip_refresh
        )

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return self._queue.size

    def waiting_by_model(self) -> dict[str, int]:
        """Return the number of queued requests by model."""
        return self._queue.waiting_by_model()

    def sync(self, fleet: FleetSpec) -> None:
        """Apply the active fleet and its routing and queueing policies."""
        self._fleet = fleet
        policies = (fleet.options.routing, fleet.options.queueing)
        if policies == self._policies:
            return
        self._policies = policies
        self._routing = make_routing(
            fleet.options.routing, self._core.daemon.failure_domain, self._core.rng
        )
        self._queueing = make_queueing(fleet.options.queueing)

    def artifacts_for(self, fleet: FleetSpec, name: str) -> tuple[Artifact, ...]:
        """Return the artifacts that must be loaded to serve a model name now.

        While a new version is still being loaded, requests use the loaded one.
        """
        declared = fleet.needed_artifacts(name)
        if self._is_served(declared):
            return declared
        for row in self._table.engines():
            if not row.accepts_requests:
                continue
            loaded = tuple(_loaded_version(row, each) for each in declared)
            if None not in loaded:
                return loaded
        return declared

    def refresh_artifacts(self, request: WaitingRequest) -> None:
        """Update the artifacts of a request that was not run.

        Its version may just have been unloaded while a newer one is loaded at
        another endpoint. Endpoints that were excluded for the old artifacts may be
        used again.
        """
        if self._fleet is None:
            return
        artifacts = self.artifacts_for(self._fleet, request.name)
        if not artifacts or artifacts == request.artifacts:
            return
        request.artifacts = artifacts
        request.excluded = frozenset()

    async def async_refresh_artifacts(
        self, request: WaitingRequest, max_wait_s: float = STALE_REPORT_WAIT_S
    ) -> None:
        """Update the artifacts of a request that was not run, polling if needed.

        A model that has moved may be loaded at an endpoint whose last report is
        older than the move; new reports are then requested from the endpoints.

        Parameters
        ----------
        request : WaitingRequest
            A request that no endpoint has started.
        max_wait_s : float
            How long to wait for new reports.
        """
        self.refresh_artifacts(request)
        if self._is_served(request.artifacts, request.excluded):
            return
        end_s = self._core.clock() + max_wait_s
        refresh = asyncio.ensure_future(self.async_refresh_reports(max_wait_s))
        try:
            while not refresh.done() and self._core.clock() < end_s:
                await asyncio.wait({refresh}, timeout=REPORT_POLL_S)
                self.refresh_artifacts(request)
                if self._is_served(request.artifacts, request.excluded):
                    return
        finally:
            refresh.cancel()

    def _is_served(
        self,
        artifacts: tuple[Artifact, ...],
        excluded: frozenset[EndpointName] = frozenset(),
    ) -> bool:
        return any(
            row.accepts_requests and row.name not in excluded
            for row in self._table.holders(artifacts)
        )

    async def async_acquire(self, request: WaitingRequest) -> Endpoint:
        """Wait for an endpoint with a free slot and reserve the slot.

        Raises
        ------
        Refusal
            No endpoint has the model loaded, the queue is full, or the latency
            target can't be met and the request class refuses late requests.
        """
        while True:
            name = await self._async_dispatch(request)
            if name is not None:
                return self._table.rows[name]
            request.dispatched = asyncio.get_running_loop().create_future()

    async def _async_dispatch(self, request: WaitingRequest) -> EndpointName | None:
        """Return an endpoint, or None if no endpoint serves the model any more."""
        if not request.excluded and not self._is_served(request.artifacts):
            await self.async_refresh_artifacts(request, REPORT_WAIT_S)
        now_s = self._core.clock()
        if not self._is_served(request.artifacts, request.excluded):
            title = "no other endpoint" if request.excluded else NOT_LOADED
            raise unavailable(title, TYPICAL_LOAD_S)
        if self._queue.size >= self._max_queue:
            raise Refusal(429, "queue is full", retry_after_s=self._retry_after_s())
        if not request.may_be_late and request.slack_s(now_s) < 0:
            raise unavailable("the target can't be met", self._retry_after_s())
        self._queue.add(request)
        self._dispatch_groups([request.artifacts])
        if not request.dispatched.done():
            await self._async_wait(request, now_s)
        return request.dispatched.result()

    async def _async_wait(self, request: WaitingRequest, now_s: float) -> None:
        limit_s = self._request_timeout_s - (now_s - request.arrived_s)
        if not request.may_be_late:
            limit_s = min(limit_s, request.slack_s(now_s))
        self._update_queue_metric()
        try:
            async with asyncio.timeout(max(limit_s, MIN_WAIT_S)):
                await request.dispatched
        except TimeoutError as error:
            if request.dispatched.done() and not request.dispatched.cancelled():
                return
            title = "the target can't be met"
            raise unavailable(title, self._retry_after_s()) from error
        except asyncio.CancelledError:
            self._release_if_dispatched(request)
            raise
        finally:
            self._queue.remove(request)
            self._update_queue_metric()

    def _release_if_dispatched(self, request: WaitingRequest) -> None:
        """Release the slot of a request that was cancelled just after dispatch."""
        dispatched = request.dispatched
        if dispatched.done() and not dispatched.cancelled():
            name = dispatched.result()
            if name is not None:
                self.release(name)

    def release(self, name: EndpointName) -> None:
        """Release a slot and dispatch the next request to it."""
        row = self._table.rows.get(name)
        if row is None:
            return
        row.inflight -= 1
        self.dispatch_waiting(name)

    def dispatch_waiting(self, name: EndpointName) -> None:
        """Dispatch queued requests whose artifacts this endpoint has loaded."""
        row = self._table.rows.get(name)
        if row is None or not self._queue.size:
            return
        self._dispatch_groups(
            [each for each in self._queue.groups() if row.loaded.issuperset(each)]
        )
        self._wake_unserved()

    def _wake_unserved(self) -> None:
        """Wake requests for models that no endpoint serves any more.

        They are dispatched anew or refused at once, instead of at their timeout.
        """
        for artifacts in self._queue.groups():
            for request in self._undispatched(artifacts):
                if self._is_served(artifacts, request.excluded):
                    continue
                self._queue.remove(request)
                request.dispatched.set_result(None)

    def _dispatch_groups(self, groups: list[tuple[Artifact, ...]]) -> None:
        """Dispatch requests in the order of the queueing policy across all groups.

        One group after the other, a standing queue for one model would take all slots
        of an endpoint that serves several.
        """
        now_s = self._core.clock()
        waiting = [r for artifacts in groups for r in self._undispatched(artifacts)]
        while waiting:
            request = self._queueing.select(waiting, now_s)
            waiting.remove(request)
            holders = self._table.holders(request.artifacts)
            candidates = usable_endpoints(holders, request, now_s)
            row = self._routing.choose(candidates, request, now_s)
            if row is None:
                if not request.excluded:
                    artifacts = request.artifacts
                    waiting = [r for r in waiting if r.artifacts != artifacts]
                continue
            self._queue.remove(request)
            row.inflight += 1
            self._drain_rate.record(now_s)
            request.dispatched.set_result(row.name)

    def _undispatched(self, artifacts: tuple[Artifact, ...]) -> list[WaitingRequest]:
        """Return the requests of a group, except those that were just cancelled.

        A cancelled request leaves the queue only when its task runs.
        """
        return [r for r in self._queue.group(artifacts) if not r.dispatched.done()]

    def _retry_after_s(self) -> float:
        rate_per_s = self._drain_rate.rate_per_s(self._core.clock())
        return retry_after_s(self._queue.size, rate_per_s)

    def _update_queue_metric(self) -> None:
        self._core.metrics.queue_length.set({}, self._queue.size)


async def _async_skip_refresh(max_wait_s: float) -> None:
    """Return without new reports; the default until a monitor is connected."""


def _loaded_version(row: Endpoint, artifact: Artifact) -> Artifact | None:
    """Return the loaded version of an artifact that sorts last, or None."""
    versions = [a for a in row.loaded if a.name == artifact.name]
    return max(versions, default=None)
