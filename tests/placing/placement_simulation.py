"""Simulate placement in virtual time with few busy and many rarely requested models.

Requests wait and are rejected by the rules of the product. Endpoints execute one change
at a time, complete running requests before an unload, and keep copies on disk.
"""

from __future__ import annotations

import random
from collections import defaultdict

import msgspec

from chutelink.entry.config import EngineSpec, ModelSpec
from chutelink.entry.demand import DemandTable
from chutelink.entry.endpoints import Endpoint, EndpointRecord, EndpointState
from chutelink.entry.messages import ModelUsage
from chutelink.placing.changes import Change, PlacementView, Site
from chutelink.placing.cold_load_limiter import ColdLoadLimiter
from chutelink.placing.inventory import EndpointReport, Inventory
from chutelink.placing.placement import PlacementPolicy
from chutelink.relaying.model_wait import (
    HONORED_RETRY_SHARE,
    ModelWait,
    model_retry_delay_s,
    wait_until_s,
)

TICK_S = 0.05
DEMAND_REPORT_PERIOD_S = 0.2
"""Interval at which a daemon reports its demand."""
WEIGHTS_MB = 70.0
CAPACITY_MB = 230.0
COLD_S = 6.0
DISK_S = 1.2
MEMORY_S = 0.6
COPIES = 8
"""Number of weight copies that an endpoint keeps on its disk."""
UNLOAD_NOTICE_S = 0.03
READ_S = 0.03
STREAM_S = 1.5
BUSY_PATIENCE_S = 2.0
"""How long callers of busy models wait for the first event, by the protocol."""
RARE_DEADLINE_S = 20.0
WARM_UP_S = 12.0
"""Time that endpoints run before the first request."""
LOADS_PER_S = 1.6
LOADS_WINDOW_S = 5.0
LOADS_EXCESS = 1.1
BUSY_SHARES = (0.53, 0.2, 0.15, 0.12)


class _Waiting(msgspec.Struct):
    """A request that waits for its model, or that is retried at ``retry_at_s``."""

    model: str
    started_s: float
    requested_s: float
    retry_at_s: float | None = None
    is_retry: bool = False


class ModelAvailability(msgspec.Struct):
    """Request counts of a model, and how long it has been unavailable.

    ``since_s`` is the time of the first request that found no replica, None while the
    model is available or not requested; ``longest_s`` is the longest unavailability,
    including requests that are still waiting.
    """

    requested: int = 0
    served: int = 0
    first_s: float = 0.0
    last_s: float = 0.0
    since_s: float | None = None
    longest_s: float = 0.0


class PlacementSimulation:
    """Endpoints and requests under one placement policy.

    Parameters
    ----------
    policy : PlacementPolicy
        Plans the changes.
    models : int
        Number of models.
    endpoints : int
        Number of endpoints.
    rare_per_s : float
        Requests per second for rarely requested models.
    busy_per_s : float
        Requests per second for busy models.
    seed : int
        Seed of the random number generator.
    callers_retry : bool
        Whether callers retry once when told to; otherwise they give up.
    warm_up_s : float
        Time that endpoints run before the first request.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        *,
        models: int = 26,
        endpoints: int = 6,
        rare_per_s: float = 5.0,
        busy_per_s: float = 60.0,
        seed: int = 1,
        callers_retry: bool = True,
        warm_up_s: float = WARM_UP_S,
    ) -> None:
        self._policy = policy
        self._callers_retry = callers_retry
        self._warm_up_s = warm_up_s
        self._rng = random.Random(seed)
        names = [f"m{number:02}" for number in range(models)]
        spec = {
            name: ModelSpec(name, WEIGHTS_MB, COLD_S, MEMORY_S, DISK_S, (), 0.0)
            for name in names
        }
        self._engine = EngineSpec(
            8, COPIES * WEIGHTS_MB, CAPACITY_MB, 8, LOADS_PER_S, spec
        )
        self._names = names
        self._busy_per_s = busy_per_s
        self._rare_per_s = rare_per_s
        self._demand = DemandTable()
        self._limiter = ColdLoadLimiter(LOADS_PER_S, LOADS_WINDOW_S, LOADS_EXCESS)
        self._sites = [self._make_site(number) for number in range(endpoints)]
        self._changes: dict[str, tuple[Change, float | None]] = {}
        self._running: list[tuple[float, Endpoint, str]] = []
        self._waiting: list[_Waiting] = []
        self._arrivals: dict[str, int] = defaultdict(int)
        self._served: dict[str, int] = defaultdict(int)
        self._next_report_s = 0.0
        self.now_s = 0.0
        self.loads = 0
        self.availability: dict[str, ModelAvailability] = {}

    def _make_site(self, number: int) -> Site:
        name = f"i-{number}"
        first = (0, 1, 2) if number < 2 else (3 * number - 3, 3 * number - 2, 0)
        held = {self._names[index % len(self._names)]: frozenset() for index in first}
        record = EndpointRecord(name, "llm", "1:1", "a", EndpointState.READY, 48, held)
        inventory = Inventory(name)
        report = EndpointReport(0, False, dict(held), on_disk=tuple(held))
        inventory.apply_report(report, 0.0)
        return Site(Endpoint(record), inventory)

    def run(self, time_s: float) -> None:
        """Run the warm-up, if needed, and then requests for ``time_s`` seconds."""
        while self.now_s < self._warm_up_s + time_s:
            self.now_s += TICK_S
            self._end_streams()
            self._execute_changes()
            if self.now_s > self._warm_up_s:
                self._generate_requests()
            self._serve_waiting()
            if self.now_s >= self._next_report_s:
                self._report_demand()
            self._plan()

    def continuously_requested(self) -> dict[str, ModelAvailability]:
        """Return the models with at least four requests over more than 8 s."""
        return {
            name: state
            for name, state in self.availability.items()
            if state.requested >= 4 and state.last_s - state.first_s > 8.0
        }

    def never_served(self) -> list[str]:
        """Return the continuously requested models that were never served."""
        return [
            name for name, d in self.continuously_requested().items() if not d.served
        ]

    def _generate_requests(self) -> None:
        busy = self._names[: len(BUSY_SHARES)]
        rare = self._names[len(BUSY_SHARES) :]
        for _ in range(self._count(self._busy_per_s)):
            self._arrive(self._rng.choices(busy, BUSY_SHARES)[0])
        for _ in range(self._count(self._rare_per_s)):
            self._arrive(self._rng.choice(rare))

    def _count(self, per_s: float) -> int:
        mean = per_s * TICK_S
        return int(mean) + (self._rng.random() < mean - int(mean))

    def _arrive(self, name: str) -> None:
        self._arrivals[name] += 1
        state = self.availability.setdefault(
            name, ModelAvailability(first_s=self.now_s)
        )
        state.requested += 1
        state.last_s = self.now_s
        if not self._send(name):
            if state.since_s is None:
                state.since_s = self.now_s
            self._waiting.append(_Waiting(name, self.now_s, self.now_s))

    def _send(self, name: str) -> bool:
        rows = [s.endpoint for s in self._sites if s.endpoint.holds(name)]
        if not rows:
            return False
        row = min(rows, key=lambda row: row.requests)
        row.requests += 1
        row.by_ref[name] += 1
        self._running.append((self.now_s + STREAM_S, row, name))
        state = self.availability[name]
        state.served += 1
        if state.since_s is not None:
            state.longest_s = max(state.longest_s, self.now_s - state.since_s)
            state.since_s = None
        return True

    def _end_streams(self) -> None:
        ended = [run for run in self._running if run[0] <= self.now_s]
        self._running = [run for run in self._running if run[0] > self.now_s]
        for _, row, name in ended:
            row.requests -= 1
            row.by_ref[name] -= 1
            self._served[name] += 1

    def _serve_waiting(self) -> None:
        for state in self.availability.values():
            if state.since_s is not None:
                state.longest_s = max(state.longest_s, self.now_s - state.since_s)
        self._waiting = [w for w in self._waiting if not self._is_finished(w)]

    def _is_finished(self, waiting: _Waiting) -> bool:
        """Return whether a request was served or finally rejected."""
        if waiting.retry_at_s is not None:
            if self.now_s < waiting.retry_at_s:
                return False
            waiting.started_s, waiting.retry_at_s = self.now_s, None
        if self._send(waiting.model):
            return True
        wait = self._make_wait(waiting)
        if wait_until_s(wait) > self.now_s:
            return False
        is_busy = waiting.model in self._names[: len(BUSY_SHARES)]
        if waiting.is_retry or is_busy or not self._callers_retry:
            return True
        left_s = waiting.requested_s + RARE_DEADLINE_S - self.now_s
        waiting.retry_at_s = self.now_s + min(
            model_retry_delay_s(wait), HONORED_RETRY_SHARE * left_s
        )
        waiting.is_retry = True
        return False

    def _make_wait(self, waiting: _Waiting) -> ModelWait:
        is_busy = waiting.model in self._names[: len(BUSY_SHARES)]
        patience_s = BUSY_PATIENCE_S if is_busy else RARE_DEADLINE_S
        return ModelWait(
            now_s=self.now_s,
            started_s=waiting.started_s,
            last_s=waiting.requested_s + patience_s,
            read_s=READ_S,
            copy_load_s=DISK_S,
            cold_load_s=COLD_S,
            ready_s=self._ready_s(waiting.model),
        )

    def _ready_s(self, name: str) -> float | None:
        due = [
            due_s if due_s is not None else self.now_s + change.load_s
            for change, due_s in self._changes.values()
            if change.model == name
        ]
        return min(due, default=None)

    def _report_demand(self) -> None:
        self._next_report_s = self.now_s + DEMAND_REPORT_PERIOD_S
        busy = self._names[: len(BUSY_SHARES)]
        counts: dict[str, int] = defaultdict(int)
        for waiting in self._waiting:
            counts[waiting.model] += 1
        if self.now_s <= self._warm_up_s:
            return
        uses = [
            ModelUsage(
                name,
                "",
                self._arrivals[name],
                READ_S * self._arrivals[name],
                counts[name],
                0 if name in busy else counts[name],
                self._served[name],
            )
            for name in self.availability
        ]
        self._arrivals.clear()
        self._served.clear()
        self._demand.take("d1", uses, self.now_s)

    def _plan(self) -> None:
        loading: dict[tuple[str, str], int] = defaultdict(int)
        for change, _ in self._changes.values():
            loading[change.model, ""] += 1
        view = PlacementView(
            self._engine,
            self._sites,
            dict(loading),
            self._demand,
            self._limiter.available(self.now_s),
            self.now_s,
        )
        for change in self._policy.plan(view):
            site = self._site(change.endpoint)
            site.inventory.is_changing = True
            site.endpoint.closing = frozenset(change.unload_models)
            self._changes[change.endpoint] = (change, None)
            self.loads += 1
            if change.is_cold:
                self._limiter.record_start(self.now_s)

    def _site(self, name: str) -> Site:
        return next(s for s in self._sites if s.inventory.endpoint == name)

    def _execute_changes(self) -> None:
        for name, (change, due_s) in list(self._changes.items()):
            site = self._site(name)
            if due_s is None:
                if any(site.endpoint.running(m) for m in change.unload_models):
                    continue
                for model in change.unload_models:
                    site.inventory.models.pop(model, None)
                site.endpoint.models = dict(site.inventory.models)
                due_s = self.now_s + UNLOAD_NOTICE_S + change.load_s
                self._changes[name] = (change, due_s)
            elif self.now_s >= due_s:
                self._finish_change(site, change)

    def _finish_change(self, site: Site, change: Change) -> None:
        inventory = site.inventory
        inventory.models[change.model] = frozenset()
        copies = [m for m in inventory.on_disk if m != change.model] + [change.model]
        inventory.on_disk = tuple(copies[-COPIES:])
        inventory.is_changing = False
        site.endpoint.models = dict(inventory.models)
        site.endpoint.closing = frozenset()
        del self._changes[change.endpoint]
