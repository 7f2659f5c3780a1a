"""Discrete-event simulation: real decision code on simulated components."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from chutelink.fleet import Artifact, ArtifactKind, FleetSpec
from chutelink.ids import FencingNumber
from chutelink.systems.ledger import choose_accelerators
from chutelink.systems.packing import pack_minimum_replicas
from chutelink.systems.placement import PlacementInput, make_placement
from chutelink.systems.routing import usable_endpoints
from chutelink.tables.ledger import Claim, ClaimState
from chutelink.tables.requests import WaitingRequest

from .simulated_components import Engine, Gateway, InFlightRequest
from .workload import Arrival

REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.3
PLACEMENT_INTERVAL_S = 1.0
DEMAND_SMOOTHING = 0.2
PREFILL_TOKENS_PER_S = 8000.0
LOADS_PER_S = 2.0
LOADS_AT_ONCE = 8
LOAD_BASE_S = 3.0
LOAD_MB_PER_S = 4000.0
DRAIN_S = 2.0
GATEWAYS = 2


class Outcome(msgspec.Struct):
    """Results of a simulation."""

    accelerators: int
    requests: int = 0
    attained: int = 0
    refused: int = 0
    loads: int = 0
    unloads: int = 0
    by_class: dict[str, list[int]] = {}

    @property
    def attainment(self) -> float:
        """Share of the requests whose first token met the deadline."""
        return self.attained / max(1, self.requests)

    @property
    def attainment_per_accelerator(self) -> float:
        """Attainment divided by the number of accelerators, in percent."""
        return 100 * self.attainment / self.accelerators

    @property
    def moves(self) -> int:
        """Loads and unloads after the initial placement."""
        return self.loads + self.unloads

    @property
    def worst_class(self) -> float:
        """Lowest attainment of any request class."""
        return min(a / max(1, n) for a, n in self.by_class.values())


class Simulation:
    """Simulates a fleet that serves a list of arrivals.

    Parameters
    ----------
    fleet : FleetSpec
        Defines the policies and the sizes.
    arrivals : list of Arrival
        Sorted by time.
    seed : int
        For the random choices of gateways and routing.
    """

    def __init__(self, fleet: FleetSpec, arrivals: list[Arrival], seed: int) -> None:
        self._fleet = fleet
        self._arrivals = arrivals
        rng = random.Random(seed)
        self._rng = rng
        self._engines = {spec.name: Engine(spec) for spec in fleet.engines()}
        domains = sorted(fleet.failure_domains)
        self._gateways = [
            Gateway(fleet, domains[i % len(domains)], rng) for i in range(GATEWAYS)
        ]
        self._placement = make_placement(fleet.options)
        self._demand: dict[str, float] = {}
        self._events: list = []
        self._sequence = itertools.count()
        self._loading = 0
        self._load_tokens = 1.0
        self._now_s = 0.0
        accelerators = sum(spec.accelerators for spec in fleet.engines())
        self.outcome = Outcome(accelerators=accelerators, by_class={})

    def run(self) -> Outcome:
        """Run until 30 s after the last arrival and return the results."""
        self._place_initially()
        for arrival in self._arrivals:
            self._schedule(arrival.at_s, self._arrive, arrival)
        self._schedule(0.0, self._report_all)
        self._schedule(PLACEMENT_INTERVAL_S, self._place)
        end_s = self._arrivals[-1].at_s + 30.0
        while self._events and self._events[0][0] <= end_s:
            self._now_s, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        return self.outcome

    def _schedule(self, at_s: float, callback: Callable, *arguments: object) -> None:
        event = (at_s, next(self._sequence), callback, arguments)
        heapq.heappush(self._events, event)

    def _place_initially(self) -> None:
        for name, models in pack_minimum_replicas(self._fleet).assignment.items():
            for model in sorted(models):
                self._claim(self._engines[name], model, ClaimState.LOADED)

    def _claim(self, engine: Engine, name: str, state: ClaimState) -> bool:
        model = self._fleet.models[name]
        adapters = self._fleet.adapters_of(name)
        size_mb = model.memory_mb + sum(a.memory_mb for a in adapters)
        chosen = choose_accelerators(engine.row.free_mb(), model.accelerators, size_mb)
        if chosen is None:
            return False
        claim = Claim(
            model.artifact, ArtifactKind.MODEL, chosen, size_mb, state, FencingNumber(1)
        )
        engine.row = msgspec.structs.replace(
            engine.row, claims=(*engine.row.claims, claim)
        )
        return True

    def _set_claim(self, engine: Engine, artifact: Artifact, state: ClaimState | None):
        claims = []
        for claim in engine.row.claims:
            if claim.artifact == artifact and state is None:
                continue
            if claim.artifact == artifact:
                claim = msgspec.structs.replace(claim, state=state)
            claims.append(claim)
        engine.row = msgspec.structs.replace(engine.row, claims=tuple(claims))

    def _report_all(self) -> None:
        """Deliver each engine's newest report that is at least ``REPORT_LAG_S`` old.

        The gateways miss changes of the prefix cache between two reports.
        """
        for name, engine in self._engines.items():
            engine.reports.append((self._now_s, engine.report()))
            while (
                len(engine.reports) > 1
                and engine.reports[1][0] <= self._now_s - REPORT_LAG_S
            ):
                engine.reports.pop(0)
            report = engine.reports[0][1]
            for gateway in self._gateways:
                gateway.table.note_report(name, report, self._now_s, self._now_s)
        for gateway in self._gateways:
            for artifacts in gateway.queue.groups():
                self._dispatch(gateway, artifacts)
        self._schedule(self._now_s + REPORT_INTERVAL_S, self._report_all)

    def _arrive(self, arrival: Arrival) -> None:
        gateway = self._rng.choice(self._gateways)
        model = self._fleet.models[arrival.name]
        request_class = self._fleet.request_classes[model.request_class]
        self.outcome.requests += 1
        self.outcome.by_class.setdefault(request_class.name, [0, 0])[1] += 1
        waiting = WaitingRequest(
            request_id="",
            caller="",
            name=arrival.name,
            artifacts=(model.artifact,),
            request_class=request_class,
            arrived_s=self._now_s,
            deadline_s=self._now_s + request_class.target_s,
            expected_s=arrival.prompt_tokens / PREFILL_TOKENS_PER_S,
            prompt_tokens=arrival.prompt_tokens,
            prefixes=arrival.prefixes,
            dispatched=None,
        )
        in_flight = InFlightRequest(arrival, waiting, gateway)
        waiting.dispatched = in_flight
        gateway.queue.add(waiting)
        if not waiting.may_be_late:
            limit_s = max(0.0, waiting.slack_s(self._now_s))
            self._schedule(self._now_s + limit_s, self._expire, in_flight)
        self._dispatch(gateway, waiting.artifacts)

    def _expire(self, in_flight: InFlightRequest) -> None:
        if in_flight.gateway.queue.remove(in_flight.waiting):
            self.outcome.refused += 1

    def _dispatch(self, gateway: Gateway, artifacts: tuple[Artifact, ...]) -> None:
        holders = gateway.table.holders(artifacts)
        while group := gateway.queue.group(artifacts):
            request = gateway.queueing.select(group, self._now_s)
            candidates = usable_endpoints(holders, request, self._now_s)
            row = gateway.routing.choose(candidates, request, self._now_s)
            if row is None:
                return
            gateway.queue.remove(request)
            row.inflight += 1
            self._accept(self._engines[row.name], request.dispatched)

    def _accept(self, engine: Engine, in_flight: InFlightRequest) -> None:
        model = in_flight.arrival.name
        engine.requests_by_model[model] = engine.requests_by_model.get(model, 0) + 1
        if engine.running < engine.spec.slots:
            self._start(engine, in_flight)
            return
        priority = -in_flight.waiting.request_class.priority
        heapq.heappush(engine.waiting, (priority, next(self._sequence), in_flight))

    def _start(self, engine: Engine, in_flight: InFlightRequest) -> None:
        engine.running += 1
        first_s = self._now_s + engine.prefill_s(in_flight.arrival) + engine.step_s()
        if first_s <= in_flight.waiting.deadline_s:
            self.outcome.attained += 1
            name = in_flight.waiting.request_class.name
            self.outcome.by_class[name][0] += 1
        done_s = first_s + in_flight.arrival.output_tokens * engine.step_s()
        self._schedule(done_s, self._finish, engine, in_flight)

    def _finish(self, engine: Engine, in_flight: InFlightRequest) -> None:
        engine.running -= 1
        engine.requests_by_model[in_flight.arrival.name] -= 1
        if engine.waiting:
            self._start(engine, heapq.heappop(engine.waiting)[2])
        row = in_flight.gateway.table.rows[engine.spec.name]
        row.inflight -= 1
        for artifacts in in_flight.gateway.queue.groups():
            if row.loaded.issuperset(artifacts):
                self._dispatch(in_flight.gateway, artifacts)

    def _place(self) -> None:
        self._schedule(self._now_s + PLACEMENT_INTERVAL_S, self._place)
        self._load_tokens = min(LOADS_PER_S, self._load_tokens + LOADS_PER_S)
        for model in self._fleet.models:
            current_demand = sum(
                e.requests_by_model.get(model, 0) for e in self._engines.values()
            )
            artifacts = (self._fleet.models[model].artifact,)
            current_demand += sum(len(g.queue.group(artifacts)) for g in self._gateways)
            previous_demand = self._demand.get(model, 0.0)
            self._demand[model] = previous_demand + DEMAND_SMOOTHING * (
                current_demand - previous_demand
            )
        placement_input = PlacementInput(
            self._fleet,
            {name: engine.row for name, engine in self._engines.items()},
            frozenset(self._engines),
            self._demand,
        )
        plan = self._placement.plan(placement_input)
        for name, models in sorted(plan.assignment.items()):
            self._reconcile(self._engines[name], models)

    def _reconcile(self, engine: Engine, models: set[str]) -> None:
        for claim in engine.row.claims:
            is_assigned = claim.artifact.name in models
            if is_assigned or claim.state is not ClaimState.LOADED:
                continue
            self._set_claim(engine, claim.artifact, ClaimState.UNLOADING)
            self.outcome.unloads += 1
            self._schedule(
                self._now_s + DRAIN_S, self._set_claim, engine, claim.artifact, None
            )
        held = {claim.artifact.name for claim in engine.row.claims}
        for model in sorted(models - held):
            if self._load_tokens < 1 or self._loading >= LOADS_AT_ONCE:
                return
            if not self._claim(engine, model, ClaimState.LOADING):
                continue
            self._load_tokens -= 1
            self._loading += 1
            self.outcome.loads += 1
            size_mb = self._fleet.models[model].memory_mb
            done_s = self._now_s + LOAD_BASE_S + size_mb / LOAD_MB_PER_S
            self._schedule(done_s, self._finish_load, engine, model)

    def _finish_load(self, engine: Engine, model: str) -> None:
        self._loading -= 1
        artifact = self._fleet.models[model].artifact
        self._set_claim(engine, artifact, ClaimState.LOADED)
