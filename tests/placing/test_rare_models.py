"""Continuously requested models are eventually served, however many there are.

Guards against starvation: in a healthy system, all requests for some models were
rejected for a whole run, while models with no higher request rate were loaded and
evicted.
Models were loaded in the order of their number of waiting requests, then of their first
request, and only idle models were evicted. A rejected request left no trace, so the
next one started at the same position. Neither the order nor eviction considered how
long a model had been unserved, and preloaded models were never evicted.

The log showed ``placement_declined reason=no_room`` repeatedly for the same models;
``kept`` showed that most models were retained because of forecast demand.
"""

from __future__ import annotations

import pytest

from chutelink.entry.demand import UNSERVED_VALID_S, DemandTable
from chutelink.entry.messages import ModelUsage
from chutelink.placing.changes import PlacementView
from chutelink.placing.placement import DemandPlacement

from .placement_simulation import PlacementSimulation
from .test_placement import make_engine, make_site

RUN_S = 34.0
SEEDS = range(6)
MORE_SEEDS = range(6, 24)

MAX_UNSERVED_SHARE = 0.1
"""Share of continuously requested models that may go unserved, in addition to one.

The limit is set by the operators.
"""


def make_simulation_without_retries(
    rare_per_s: float, seed: int
) -> PlacementSimulation:
    return PlacementSimulation(
        DemandPlacement(),
        rare_per_s=rare_per_s,
        seed=seed,
        callers_retry=False,
        warm_up_s=0.0,
    )


@pytest.mark.parametrize("rare_per_s", [2.0, 5.0])
def test_every_continuously_requested_model_is_served(rare_per_s):
    unserved = {}
    for seed in SEEDS:
        simulation = PlacementSimulation(
            DemandPlacement(), rare_per_s=rare_per_s, seed=seed
        )
        simulation.run(RUN_S)
        unserved[seed] = simulation.never_served()
    assert not any(unserved.values()), unserved


@pytest.mark.parametrize("rare_per_s", [2.0, 5.0])
def test_every_model_is_served_without_retries_and_warm_up(rare_per_s):
    """Rejected callers don't retry, and requests start without a warm-up."""
    unserved = {}
    for seed in SEEDS:
        simulation = make_simulation_without_retries(rare_per_s, seed)
        simulation.run(RUN_S)
        unserved[seed] = simulation.never_served()
    assert not any(unserved.values()), unserved


@pytest.mark.parametrize("rare_per_s", [2.0, 5.0])
def test_none_is_never_served_where_callers_give_up_on_other_days(rare_per_s):
    """Repeats the previous test with more seeds, because six may pass by chance."""
    unserved = {}
    for seed in MORE_SEEDS:
        simulation = make_simulation_without_retries(rare_per_s, seed)
        simulation.run(RUN_S)
        unserved[seed] = simulation.never_served()
    assert not any(unserved.values()), unserved


def test_few_models_are_unserved_without_retries_and_warm_up():
    for seed in range(12):
        simulation = make_simulation_without_retries(5.0, seed)
        simulation.run(RUN_S)
        models = simulation.continuously_requested()
        assert len(simulation.never_served()) <= 1 + MAX_UNSERVED_SHARE * len(models), (
            seed
        )


def test_few_models_are_unserved_when_demand_exceeds_capacity():
    """Each of 22 rare models is requested about every 4 s; six endpoints hold 18.

    Of the models with waiting requests, the longest unserved one is loaded next.
    """
    for seed in range(12):
        simulation = PlacementSimulation(DemandPlacement(), rare_per_s=5.0, seed=seed)
        simulation.run(RUN_S)
        models = simulation.continuously_requested()
        assert len(simulation.never_served()) <= 1 + MAX_UNSERVED_SHARE * len(models), (
            seed
        )


def test_longest_unserved_model_is_loaded_first():
    """Even if another model has more waiting requests and was requested first."""
    demand = DemandTable()
    demand.take("d1", [ModelUsage("m4", "", 1, 0.1, 3, 3)], 90.0)
    demand.take("d1", [ModelUsage("m5", "", 1, 0.1, 1, 1)], 91.0)
    demand.take("d1", [ModelUsage("m4", "", 0, 0.0, 0, 0, 9)], 98.0)
    demand.take("d1", [ModelUsage("m4", "", 1, 0.1, 2, 2)], 99.0)
    demand.take("d1", [ModelUsage("m5", "", 1, 0.1, 1, 1)], 99.0)
    site = make_site("i-1", {"m6": []}, on_disk=("m4", "m5"))
    view = PlacementView(make_engine(), [site], {}, demand, 2, 100.0)
    assert [change.model for change in DemandPlacement().plan(view)] == ["m5"]


def test_unserved_time_outlives_its_request_and_ends_when_one_is_served():
    demand = DemandTable()
    demand.take("d1", [ModelUsage("m4", "", 1, 0.1, 1, 1)], 10.0)
    demand.take("d1", [ModelUsage("m4", "", 0, 0.0, 0)], 14.0)
    assert demand.denied_s(18.0) == {("m4", ""): 8.0}
    demand.take("d2", [ModelUsage("m4", "", 1, 0.1, 0, 0, 1)], 19.0)
    assert demand.denied_s(19.0) == {}


def test_unserved_time_expires_without_new_requests():
    demand = DemandTable()
    demand.take("d1", [ModelUsage("m4", "", 1, 0.1, 1, 1)], 10.0)
    assert demand.denied_s(10.0 + UNSERVED_VALID_S + 0.1) == {}
