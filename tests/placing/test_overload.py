"""Models of endpoints that name a limit below what is requested of them."""

from __future__ import annotations

import pytest

from chutelink.entry.demand import DemandTable
from chutelink.entry.news import ModelUse
from chutelink.placing.overload import without_overloaded

from .placing_world import NOBODY, ScriptedEngine, World, run, skip_pauses
from .test_placement import make_site

ARRIVALS = 6
"""Two a second, as averages over three seconds go."""


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    skip_pauses(monkeypatch)


def make_demand(*models):
    demand = DemandTable()
    demand.take("d1", [ModelUse(m, "", ARRIVALS, 0.2, 0) for m in models], 100.0)
    return demand


def make_limited(name, models, limit_per_s):
    site = make_site(name, models)
    site.endpoint.limit.note(limit_per_s, 100.0)
    return site


def names(sites):
    return [site.inventory.endpoint for site in sites]


def test_an_endpoint_whose_limit_is_below_its_demand_does_not_count():
    sites = [make_limited("i-1", {"m0": []}, 1.0), make_site("i-2", {"m1": []})]
    assert names(without_overloaded(sites, make_demand("m0"), 100.0)) == ["i-2"]


def test_an_endpoint_whose_limit_covers_its_demand_counts():
    sites = [make_limited("i-1", {"m0": []}, 2.5), make_site("i-2", {"m1": []})]
    assert names(without_overloaded(sites, make_demand("m0"), 100.0)) == ["i-1", "i-2"]


def test_it_does_not_count_again_because_another_holds_its_models():
    sites = [make_limited("i-1", {"m0": []}, 1.5), make_site("i-2", {"m0": []})]
    assert names(without_overloaded(sites, make_demand("m0"), 100.0)) == ["i-2"]


def test_all_count_where_most_are_limited():
    sites = [make_limited(f"i-{n}", {"m0": []}, 1.0) for n in range(3)]
    sites.append(make_site("i-3", {"m1": []}))
    assert without_overloaded(sites, make_demand("m0"), 100.0) == sites


def test_a_model_whose_endpoint_names_a_limit_is_loaded_elsewhere():
    async def async_test():
        world = World(("m0", "m5"))
        others = [ScriptedEngine(("m7",)), ScriptedEngine(("m6",))]
        for number, engine in enumerate(others):
            world.add(f"i-{number + 2}", engine)
        await world.async_start()
        world.table.rows[NOBODY].limit.note(0.5, world.core.now_s)
        for _ in range(6):
            uses = [ModelUse("m5", "", 1, 0.05, 1), ModelUse("m0", "", 20, 0.3, 0)]
            world.demand.take("d1", uses, world.core.now_s)
            await world.async_tick(0.5)
        assert any("m5" in engine.models for engine in others)
        assert "m5" in world.engine.models

    run(async_test)
