"""Simulated engines, gateways and requests for runs in virtual time."""

from __future__ import annotations

import random
from collections import OrderedDict

import msgspec

from chutelink.fleet import EndpointSpec, FleetSpec
from chutelink.ids import BootId, FencingNumber
from chutelink.systems.queueing import make_queueing
from chutelink.systems.routing import make_routing
from chutelink.tables.endpoints import (
    ArtifactState,
    EndpointReport,
    EndpointTable,
    ReportedArtifact,
)
from chutelink.tables.ledger import ClaimState, LedgerRow
from chutelink.tables.requests import RequestQueue, WaitingRequest

from .workload import Arrival

PREFILL_TOKENS_PER_S = 8000.0
STEP_S = 0.02
CACHED_PREFIXES = 96


class Engine:
    """An engine with slots, a load-dependent step time and a prefix cache."""

    def __init__(self, spec: EndpointSpec) -> None:
        self.spec = spec
        self.row = LedgerRow(spec.name, spec.accelerators, spec.memory_mb)
        self.running = 0
        self.waiting: list = []
        self.requests_by_model: dict[str, int] = {}
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.reports: list[tuple[float, EndpointReport]] = []

    def step_s(self) -> float:
        """Return the time per token at the current number of running requests."""
        return STEP_S * (1 + self.running / self.spec.slots)

    def prefill_s(self, arrival: Arrival) -> float:
        """Return the prefill time of a prompt, and add its prefixes to the cache."""
        cached = sum(prefix in self.cache for prefix in arrival.prefixes)
        uncached_share = 1.0 - cached / (len(arrival.prefixes) + 1)
        for prefix in arrival.prefixes:
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        while len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return arrival.prompt_tokens * uncached_share / PREFILL_TOKENS_PER_S

    def report(self) -> EndpointReport:
        """Return the engine's report: its artifacts, load and cached prefixes."""
        states = {
            ClaimState.LOADING: ArtifactState.LOADING,
            ClaimState.LOADED: ArtifactState.LOADED,
            ClaimState.UNLOADING: ArtifactState.DRAINING,
        }
        artifacts = tuple(
            ReportedArtifact(
                claim.artifact.name,
                claim.artifact.version,
                states[claim.state],
                claim.accelerators,
                claim.memory_mb,
                FencingNumber(1),
            )
            for claim in self.row.claims
        )
        return EndpointReport(
            BootId("b"),
            running=self.running,
            waiting=len(self.waiting),
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            step_s=STEP_S,
            artifacts=artifacts,
            cached_prefixes=tuple(self.cache),
        )


class Gateway:
    """The endpoint table, request queue and policies of one gateway."""

    def __init__(self, fleet: FleetSpec, domain: str, rng: random.Random) -> None:
        self.table = EndpointTable()
        self.table.sync(fleet)
        self.queue = RequestQueue()
        self.routing = make_routing(fleet.options.routing, domain, rng)
        self.queueing = make_queueing(fleet.options.queueing)


class InFlightRequest(msgspec.Struct, eq=False):
    """A request from its arrival to its completion, with the gateway that took it."""

    arrival: Arrival
    waiting: WaitingRequest
    gateway: Gateway
