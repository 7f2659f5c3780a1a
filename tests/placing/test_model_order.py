"""The order of models in the configuration says nothing about which are requested.

Guards against plans that guess demand from the neighbors of a model in that list.
"""

from __future__ import annotations

import random

import msgspec
import pytest

from chutelink.entry.config import EngineSpec, ModelSpec
from chutelink.entry.demand import DemandTable
from chutelink.entry.messages import ModelUsage
from chutelink.placing.changes import PlacementView
from chutelink.placing.placement import DemandPlacement
from chutelink.placing.residency import ModelResidency

from .test_placement import make_site

NOW_S = 100.0
NAMES = [f"m{number:02}" for number in range(14)]


def make_world(seed: int, *, has_demand: bool) -> PlacementView:
    """Return endpoints with random models, copies and, possibly, random demand."""
    rng = random.Random(seed)
    models = {
        name: ModelSpec(name, rng.choice((60.0, 90.0)), 4.0, 0.4, 0.8, ("a1",), 5.0)
        for name in NAMES
    }
    engine = EngineSpec(8, 1000, 200.0, 2, 2.0, models, rng.choice((0.0, 360.0)))
    sites = [
        make_site(
            f"i-{number}",
            {name: ["a1"][: rng.randrange(2)] for name in rng.sample(NAMES, 2)},
            on_disk=tuple(rng.sample(NAMES, rng.randrange(4))),
        )
        for number in range(rng.randint(2, 7))
    ]
    demand = DemandTable()
    if has_demand:
        busy = rng.sample(NAMES, rng.randint(1, 9))
        for step in range(3):
            uses = [
                ModelUsage(
                    name,
                    rng.choice(("", "a1")),
                    rng.choice((1, 3, 20)) * (step + 1),
                    rng.random(),
                    rng.choice((0, 0, 1, 2)),
                    rng.randrange(2),
                )
                for name in busy
            ]
            demand.take("d1", uses, NOW_S - 8.0 + 4.0 * step)
    cold_loads = rng.randint(0, 4)
    return PlacementView(engine, sites, {}, demand, cold_loads, NOW_S)


def decide(view: PlacementView, order: list[str]) -> tuple:
    """Return every decision for the world with its models listed in an order."""
    models = {name: view.engine.models[name] for name in order}
    view = msgspec.structs.replace(
        view, engine=msgspec.structs.replace(view.engine, models=models)
    )
    policy = DemandPlacement()
    changes = policy.plan(view)
    residency = ModelResidency(view)
    evictions = [
        residency.eviction_candidates(site, name, is_replica=is_replica)
        for site in view.sites
        for name in NAMES
        for is_replica in (False, True)
    ]
    reasons = [
        residency.retain_reason(site, model)
        for site in view.sites
        for model in site.inventory.models
    ]
    return changes, policy.declined, policy.retained, policy.queued, evictions, reasons


@pytest.mark.parametrize("has_demand", [False, True])
def test_order_of_models_in_the_configuration_changes_no_decision(has_demand):
    changed = set()
    for seed in range(30):
        view = make_world(seed, has_demand=has_demand)
        expected = decide(view, NAMES)
        rng = random.Random(seed)
        for _ in range(4):
            if decide(view, rng.sample(NAMES, len(NAMES))) != expected:
                changed.add(seed)
    assert not changed
