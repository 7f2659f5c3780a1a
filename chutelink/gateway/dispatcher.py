"""Queue and dispatch: a tick runs when a request, a slot or a report arrives."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..core import Application
from ..fleet.model import Artifact, FleetSpec
from ..ids import EndpointName
from ..systems.admission import DrainRate, retry_after_s
from ..systems.queueing import Queueing, make_queueing
from ..systems.routing import Routing, make_routing, usable
from ..tables.endpoints import Endpoint, EndpointTable
from ..tables.requests import RequestQueue, WaitingRequest
from .refusals import Refusal, unavailable

TYPICAL_RELOAD_S = 5.0
MIN_WAIT_S = 0.001
REPORT_WAIT_S = 0.1
"""How long a request for a model that is not known to be loaded waits for reports."""
CONTRADICTED_WAIT_S = 1.0
"""How long one does that an endpoint refused: then the reports are known to be old."""
REPORT_POLL_S = 0.02
NOT_LOADED = "the model is not loaded now"


class Dispatcher:
    """Gives each request an endpoint, in the order of the queueing policy.

    Parameters
    ----------
    core : Application
        The owner.
    table : EndpointTable
        What is known of the endpoints.
    max_queue : int
        One more request than this is refused.
    request_timeout_s : float
        The longest that a request may wait.
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
        self._drain = DrainRate()
        self._routing: Routing | None = None
        self._queueing: Queueing | None = None
        self._policies: tuple | None = None
        self._fleet: FleetSpec | None = None
        self.async_refresh: Callable[[float], Awaitable[None]] = _async_keep_reports

    @property
    def queue_length(self) -> int:
        """How many requests wait."""
        return self._queue.size

    def waiting_by_model(self) -> dict[str, int]:
        """Return how many requests wait, by model."""
        return self._queue.waiting_by_model()

    def sync(self, fleet: FleetSpec) -> None:
        """Take the fleet in force, and its policies."""
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
        """Return what must be loaded to serve a name, as it is served now.

        While a new version is still being loaded, the one before goes on.
        """
        declared = fleet.needed_artifacts(name)
        if self._is_served(declared):
            return declared
        for row in self._table.engines():
            if not row.takes_new_work:
                continue
            held = tuple(_held_by_name(row, wanted) for wanted in declared)
            if None not in held:
                return held
        return declared

    def renew(self, request: WaitingRequest) -> None:
        """Let a request that was not run ask for what its model is served with now.

        Its version may just have been unloaded, while a newer one is loaded elsewhere.
        """
        if self._fleet is None:
            return
        artifacts = self.artifacts_for(self._fleet, request.name)
        if not artifacts or artifacts == request.artifacts:
            return
        request.artifacts = artifacts
        request.excluded = frozenset()

    async def async_renew(
        self, request: WaitingRequest, limit_s: float = CONTRADICTED_WAIT_S
    ) -> None:
        """Renew a request that was not run, with newer reports if it takes them.

        A model that has moved is loaded at an endpoint whose last report may be older.

        Parameters
        ----------
        request : WaitingRequest
            What no endpoint has begun.
        limit_s : float
            How long newer reports may be waited for.
        """
        self.renew(request)
        if self._is_served(request.artifacts, request.excluded):
            return
        end_s = self._core.clock() + limit_s
        refresh = asyncio.ensure_future(self.async_refresh(limit_s))
        try:
            while not refresh.done() and self._core.clock() < end_s:
                await asyncio.wait({refresh}, timeout=REPORT_POLL_S)
                self.renew(request)
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
            row.takes_new_work and row.name not in excluded
            for row in self._table.holders(artifacts)
        )

    async def async_acquire(self, request: WaitingRequest) -> Endpoint:
        """Wait for an endpoint with a free slot and take the slot.

        Raises
        ------
        Refusal
            No endpoint holds the model, the queue is full, or the target can't
            be met and the class says to refuse.
        """
        while True:
            name = await self._async_dispatch(request)
            if name is not None:
                return self._table.rows[name]
            request.dispatched = asyncio.get_running_loop().create_future()

    async def _async_dispatch(self, request: WaitingRequest) -> EndpointName | None:
        """Return an endpoint, or None if its last holder dropped the model."""
        if not request.excluded and not self._is_served(request.artifacts):
            await self.async_renew(request, REPORT_WAIT_S)
        now_s = self._core.clock()
        if not self._is_served(request.artifacts, request.excluded):
            title = "no other endpoint" if request.excluded else NOT_LOADED
            raise unavailable(title, TYPICAL_RELOAD_S)
        if self._queue.size >= self._max_queue:
            raise Refusal(429, "queue is full", retry_after_s=self._retry_after_s())
        if not request.may_be_late and request.slack_s(now_s) < 0:
            raise unavailable("the target can't be met", self._retry_after_s())
        self._queue.add(request)
        self._tick_group(request.artifacts)
        if not request.dispatched.done():
            await self._async_wait(request, now_s)
        return request.dispatched.result()

    async def _async_wait(self, request: WaitingRequest, now_s: float) -> None:
        limit_s = self._request_timeout_s - (now_s - request.arrived_s)
        if not request.may_be_late:
            limit_s = min(limit_s, request.slack_s(now_s))
        self._show()
        try:
            async with asyncio.timeout(max(limit_s, MIN_WAIT_S)):
                await request.dispatched
        except TimeoutError as error:
            if request.dispatched.done() and not request.dispatched.cancelled():
                return
            title = "the target can't be met"
            raise unavailable(title, self._retry_after_s()) from error
        except asyncio.CancelledError:
            self._give_back(request)
            raise
        finally:
            self._queue.remove(request)
            self._show()

    def _give_back(self, request: WaitingRequest) -> None:
        """Free a slot that a caller who has gone away was just given."""
        dispatched = request.dispatched
        if dispatched.done() and not dispatched.cancelled():
            name = dispatched.result()
            if name is not None:
                self.release(name)

    def release(self, name: EndpointName) -> None:
        """Give a slot back and let the next request have it."""
        row = self._table.rows.get(name)
        if row is None:
            return
        row.inflight -= 1
        self.tick(name)

    def tick(self, name: EndpointName) -> None:
        """Dispatch what waits for something that this endpoint holds."""
        row = self._table.rows.get(name)
        if row is None or not self._queue.size:
            return
        for artifacts in self._queue.groups():
            if row.loaded.issuperset(artifacts):
                self._tick_group(artifacts)
        self._return_unserved()

    def _return_unserved(self) -> None:
        """Wake at once what waits for a model that no endpoint serves any more."""
        for artifacts in self._queue.groups():
            for request in list(self._queue.group(artifacts)):
                if self._is_served(artifacts, request.excluded):
                    continue
                self._queue.remove(request)
                request.dispatched.set_result(None)

    def _tick_group(self, artifacts: tuple[Artifact, ...]) -> None:
        now_s = self._core.clock()
        holders = self._table.holders(artifacts)
        skipped: list[WaitingRequest] = []
        while group := [r for r in self._queue.group(artifacts) if r not in skipped]:
            request = self._queueing.select(group, now_s)
            candidates = usable(holders, request, now_s)
            row = self._routing.choose(candidates, request, now_s)
            if row is None and not request.excluded:
                return
            if row is None:
                skipped.append(request)
                continue
            self._queue.remove(request)
            row.inflight += 1
            self._drain.note(now_s)
            request.dispatched.set_result(row.name)

    def _retry_after_s(self) -> float:
        rate_per_s = self._drain.rate_per_s(self._core.clock())
        return retry_after_s(self._queue.size, rate_per_s)

    def _show(self) -> None:
        self._core.metrics.queue_length.set({}, self._queue.size)


async def _async_keep_reports(limit_s: float) -> None:
    """Leave the reports as they are: none can be requested."""


def _held_by_name(row: Endpoint, wanted: Artifact) -> Artifact | None:
    """Return any loaded version of an artifact's name."""
    found = [a for a in row.loaded if a.name == wanted.name]
    return max(found, default=None)
