"""Fakes that a run in virtual time is made of: engines, gateways, requests."""

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
    HeldArtifact,
)
from chutelink.tables.ledger import ClaimState, LedgerRow
from chutelink.tables.requests import RequestQueue, WaitingRequest

from .workload import Arrival

PREFILL_TOKENS_PER_S = 8000.0
STEP_S = 0.02
CACHED_PREFIXES = 96


class Engine:
    """An engine: slots, batches that slow down, and a prefix cache."""

    def __init__(self, spec: EndpointSpec) -> None:
        self.spec = spec
        self.row = LedgerRow(spec.name, spec.accelerators, spec.memory_mb)
        self.running = 0
        self.waiting: list = []
        self.by_model: dict[str, int] = {}
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.reports: list[tuple[float, EndpointReport]] = []

    def step_s(self) -> float:
        """Return how long a token takes with what runs now."""
        return STEP_S * (1 + self.running / self.spec.slots)

    def prefill_s(self, arrival: Arrival) -> float:
        """Return how long a prompt is read, and keep its beginnings."""
        cached = sum(prefix in self.cache for prefix in arrival.prefixes)
        share = 1.0 - cached / (len(arrival.prefixes) + 1)
        for prefix in arrival.prefixes:
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        while len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return arrival.prompt_tokens * share / PREFILL_TOKENS_PER_S

    def report(self) -> EndpointReport:
        """Return what the engine holds and has under way."""
        states = {
            ClaimState.LOADING: ArtifactState.LOADING,
            ClaimState.LOADED: ArtifactState.LOADED,
            ClaimState.UNLOADING: ArtifactState.DRAINING,
        }
        held = tuple(
            HeldArtifact(
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
            artifacts=held,
            cached_prefixes=tuple(self.cache),
        )


class Gateway:
    """The tables and systems of one gateway."""

    def __init__(self, fleet: FleetSpec, domain: str, rng: random.Random) -> None:
        self.table = EndpointTable()
        self.table.sync(fleet)
        self.queue = RequestQueue()
        self.routing = make_routing(fleet.options.routing, domain, rng)
        self.queueing = make_queueing(fleet.options.queueing)


class Flight(msgspec.Struct, eq=False):
    """A request with where it came from."""

    arrival: Arrival
    waiting: WaitingRequest
    gateway: Gateway
