"""Measures the placement planning time of the entry daemon by deployment size."""

from __future__ import annotations

import random
import time

import msgspec

from chutelink.entry.config import EngineSpec, ModelSpec
from chutelink.entry.demand import DemandTable
from chutelink.entry.endpoints import Endpoint, EndpointRecord, EndpointState
from chutelink.entry.messages import ModelUsage
from chutelink.ids import (
    AdapterName,
    DaemonId,
    EndpointId,
    FailureDomainName,
    ModelName,
    ServiceName,
)
from chutelink.placing.changes import PlacementView, Site
from chutelink.placing.inventory import EndpointReport, Inventory
from chutelink.placing.placement import DemandPlacement

SEED = 1
NOW_S = 100.0
REPEATS = 5
MODELS_PER_ENDPOINT = 3
DISK_COPIES_PER_ENDPOINT = 6
MESSAGES = 200
USES_PER_MESSAGE = 5
DAEMONS = 16
BUSY_MODELS = 40
"""Number of models that receive at least four fifths of the requests."""
COLD_LOADS = 3


class PlanSize(msgspec.Struct, frozen=True):
    """Number of endpoints and models of a deployment."""

    endpoints: int
    models: int


DEPLOYMENT_SIZES = (
    PlanSize(9, 39),
    PlanSize(30, 131),
    PlanSize(70, 305),
    PlanSize(200, 220),
)
"""Both current deployments, both grown ones, and one with more endpoints."""


def _make_engine(size: PlanSize, rng: random.Random) -> EngineSpec:
    models = {}
    for number in range(size.models):
        name = ModelName(f"m{number}")
        weights_mb = rng.choice((65_100.0, 72_700.0))
        adapters = tuple(AdapterName(f"a{n}") for n in range(rng.choice((0, 7, 11))))
        models[name] = ModelSpec(name, weights_mb, 4.0, 0.4, 0.8, adapters, 30.0)
    return EngineSpec(64, 250_000, 220_000.0, 8, 8.5, models, disk_copies_mb=440_000.0)


def _make_site(number: int, models: list[ModelName], rng: random.Random) -> Site:
    loaded = dict.fromkeys(rng.sample(models, MODELS_PER_ENDPOINT), frozenset())
    record = EndpointRecord(
        EndpointId(f"i-{number}"),
        ServiceName("llm"),
        "127.0.0.1:1",
        FailureDomainName("a"),
        EndpointState.READY,
        64,
        loaded,
    )
    inventory = Inventory(record.id)
    copies = tuple(rng.sample(models, DISK_COPIES_PER_ENDPOINT))
    inventory.apply_report(EndpointReport(0, False, loaded, on_disk=copies), NOW_S)
    return Site(Endpoint(record), inventory)


def make_view(size: PlanSize, rng: random.Random) -> PlacementView:
    """Return a view with high demand in which every endpoint is free.

    This is the worst case for planning time; usually few endpoints are free.
    """
    engine = _make_engine(size, rng)
    models = list(engine.models)
    demand = DemandTable()
    for message in range(MESSAGES):
        uses = [
            ModelUsage(
                rng.choice(models[:BUSY_MODELS] if rng.random() < 0.8 else models),
                AdapterName(rng.choice(("", "a1", "a2"))),
                arrivals=1,
                work_s=0.2,
                waiting=rng.choice((0, 0, 0, 1)),
            )
            for _ in range(USES_PER_MESSAGE)
        ]
        demand.take(DaemonId(f"d{message % DAEMONS}"), uses, NOW_S)
    sites = [_make_site(number, models, rng) for number in range(size.endpoints)]
    return PlacementView(engine, sites, {}, demand, COLD_LOADS, NOW_S)


def run_plans() -> None:
    """Measure the planning time of each size and print a table."""
    print("| endpoints | models | changes | ms per plan |")
    print("| --- | --- | --- | --- |")
    for size in DEPLOYMENT_SIZES:
        view = make_view(size, random.Random(SEED))
        started_s = time.perf_counter()
        for _ in range(REPEATS):
            changes = DemandPlacement().plan(view)
        took_ms = (time.perf_counter() - started_s) / REPEATS * 1000
        print(f"| {size.endpoints} | {size.models} | {len(changes)} | {took_ms:.1f} |")
