"""Rarely requested models are eventually loaded, however busy the others are."""

from __future__ import annotations

from chutelink.entry.demand import DemandTable, UsageAverage
from chutelink.entry.messages import ModelUsage
from chutelink.placing.changes import ChangeReason, PlacementView
from chutelink.placing.placement import DemandPlacement

from .test_placement import make_engine, make_rising_view, make_site

NOW_S = 100.0
COLD_LOAD_S = 4.0
STEADY = ("m0", "", 20, 0.1, 0)
"""Requests of a busy model during each second."""


def make_view(sites, busy, denied, *, denied_s=10.0, is_waiting=True, cold_loads=9):
    """Return a view in which requests for some models were rejected for a while."""
    demand = DemandTable()
    refused = [ModelUsage(model, "", 1, 0.01, 1, 1) for model in denied]
    demand.take("d1", refused, NOW_S - denied_s)
    waiting = int(is_waiting)
    again = [ModelUsage(model, "", 1, 0.01, waiting, waiting) for model in denied]
    uses = [ModelUsage(model, "", count, work_s, 0) for model, count, work_s in busy]
    demand.take("d1", again + uses, NOW_S)
    engine = make_engine(cold_load_s=COLD_LOAD_S)
    return PlacementView(engine, sites, {}, demand, cold_loads, NOW_S)


def plan(*args, **kwargs):
    return DemandPlacement().plan(make_view(*args, **kwargs))


def test_overdue_models_are_loaded_by_more_endpoints_at_once():
    """With three loads at a time, some models were rejected for a whole run."""
    sites = [make_site(f"i-{n}", {"m7": []}) for n in range(5)]
    rare = ["m3", "m4", "m5", "m6"]
    changes = plan(sites, [("m7", 900, 0.1)], rare)
    assert {change.model for change in changes} >= set(rare)
    recent = plan(sites, [("m7", 900, 0.1)], rare, denied_s=COLD_LOAD_S / 2)
    assert sum(change.model in rare for change in recent) == 3


def test_overdue_models_leave_an_endpoint_free_for_busy_ones():
    sites = [make_site(f"i-{n}", {"m7": []}) for n in range(4)]
    rare = ["m3", "m4", "m5", "m6"]
    changes = plan(sites, [("m7", 900, 0.1)], rare)
    assert sum(change.model in rare for change in changes) == 3


def test_no_second_replica_is_preloaded_while_a_model_is_rejected():
    """The replica evicted a rare model, blocked its endpoint and was then evicted."""
    sites = [
        make_site("i-1", {"m0": [], "m3": []}),
        make_site("i-2", {"m0": [], "m6": []}),
    ]
    rising = [("m3", "", 45, 0.1, 0)]
    reserve = DemandPlacement().plan(make_rising_view(sites, [STEADY], rising))
    assert any(c.reason is ChangeReason.PAIR and c.model == "m3" for c in reserve)
    view = make_rising_view(sites, [STEADY], rising)
    view.demand.take("d3", [ModelUsage("m5", "", 1, 0.01, 1, 1)], NOW_S - 2.0)
    view.demand.take("d3", [ModelUsage("m5", "", 0, 0.0, 0)], NOW_S)
    changes = DemandPlacement().plan(view)
    assert not any(change.reason is ChangeReason.PAIR for change in changes)


def test_overdue_model_evicts_a_redundant_replica():
    """Endpoints with three busy models idled while rare models were rejected."""
    sites = [make_site(f"i-{n}", {"m0": [], "m1": []}) for n in range(2)]
    busy = [("m0", 100, 0.1), ("m1", 100, 0.1)]
    change = plan(sites, busy, ["m5"])[0]
    assert change.model == "m5"
    assert change.unload_models[0] in ("m0", "m1")
    recent = plan(sites, busy, ["m5"], denied_s=COLD_LOAD_S / 2)
    assert not any(change.model == "m5" for change in recent)


def test_overdue_model_evicts_no_needed_replica():
    sites = [make_site(f"i-{n}", {"m0": [], "m1": []}) for n in range(2)]
    busy = [("m0", 100, 0.9), ("m1", 100, 0.9)]
    assert not any(c.model == "m5" for c in plan(sites, busy, ["m5"]))


def test_no_second_replica_is_loaded_while_a_model_is_overdue():
    sites = [
        make_site("i-1", {"m0": [], "m1": []}),
        make_site("i-2", {"m1": []}, on_disk=("m0",)),
    ]
    busy = [("m0", 100, 0.1), ("m1", 100, 0.1)]
    pairs = plan(sites, busy, [])
    assert any(c.reason is ChangeReason.PAIR and c.model == "m0" for c in pairs)
    changes = plan(sites, busy, ["m5"], cold_loads=0)
    assert not any(change.reason is ChangeReason.PAIR for change in changes)


def test_model_whose_callers_gave_up_is_loaded_for_later_requests():
    """Between requests, the model did not count as requested and was never loaded."""
    sites = [make_site("i-1", {"m7": []})]
    busy = [("m7", 900, 0.1)]
    changes = plan(sites, busy, ["m5"], is_waiting=False)
    assert [change.model for change in changes] == ["m5"]


def test_model_with_waiting_requests_precedes_one_whose_callers_gave_up():
    demand = DemandTable()
    demand.take("d1", [ModelUsage("m5", "", 2, 0.01, 1, 1)], NOW_S - 10.0)
    demand.take("d1", [ModelUsage("m5", "", 0, 0.0, 0)], NOW_S - 6.0)
    demand.take("d1", [ModelUsage("m4", "", 2, 0.01, 1, 1)], NOW_S)
    sites = [make_site("i-1", {"m7": []})]
    view = PlacementView(make_engine(), sites, {}, demand, 9, NOW_S)
    assert [change.model for change in DemandPlacement().plan(view)] == ["m4"]


def make_unserved_view(denied_s: float) -> PlacementView:
    """Return a view with a model that was loaded after its callers gave up.

    Another model has waiting requests and has been unserved for ``denied_s``.
    """
    demand = DemandTable()
    demand.take("d1", [ModelUsage("m5", "", 2, 0.01, 1, 1)], NOW_S - 8.0)
    demand.take("d1", [ModelUsage("m5", "", 0, 0.0, 0)], NOW_S - 4.0)
    demand.take("d1", [ModelUsage("m4", "", 2, 0.01, 1, 1)], NOW_S - denied_s)
    demand.take("d1", [ModelUsage("m4", "", 1, 0.01, 1, 1)], NOW_S)
    demand.take("d1", [ModelUsage("m7", "", 900, 0.1, 0)], NOW_S)
    sites = [make_site("i-1", {"m7": [], "m5": []})]
    return PlacementView(make_engine(), sites, {}, demand, 9, NOW_S)


def test_model_loaded_too_late_is_retained_for_its_next_request():
    """The model was evicted unused, so it was missing again for its next caller."""
    kept = DemandPlacement().plan(make_unserved_view(6.0))
    assert not any(change.unload_models for change in kept)
    changes = DemandPlacement().plan(make_unserved_view(9.0))
    assert ("m4", ("m5",)) in [(c.model, c.unload_models) for c in changes]


def test_starved_model_evicts_one_whose_demand_is_only_projected():
    """Models that were expected to be requested were never evicted."""
    sites = [make_site("i-1", {"m0": [], "m1": []})]
    changes = {}
    for denied_s in (1.5 * COLD_LOAD_S, 3 * COLD_LOAD_S):
        view = make_rising_view(sites, [STEADY], [("m1", "", 2, 0.01, 0)])
        denied = ModelUsage("m5", "", 1, 0.01, 1, 1)
        view.demand.uses["m5", ""] = UsageAverage(updated_s=NOW_S - denied_s)
        view.demand.uses["m5", ""].denied_since_s = NOW_S - denied_s
        view.demand.uses["m5", ""].last_arrival_s = NOW_S - 1.0
        view.demand.take("d3", [denied], NOW_S)
        changes[denied_s] = DemandPlacement().plan(view)
    overdue, starved = changes.values()
    assert [(c.model, c.unload_models) for c in starved] == [("m5", ("m1",))]
    assert not any(change.model == "m5" for change in overdue)


def test_model_removed_from_the_configuration_is_not_loaded():
    sites = [make_site("i-1", {"m7": []})]
    changes = plan(sites, [("m7", 900, 0.1)], ["gone"], is_waiting=False)
    assert not any(change.model == "gone" for change in changes)
