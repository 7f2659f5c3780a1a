"""Placement by what changes are worth."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given

from chutelink.entry.changes import ChangeReason
from chutelink.entry.config import EngineSpec, ModelSpec
from chutelink.entry.placement import DemandPlacement, ValuePlacement
from chutelink.entry.valuation import ValueRound

from .test_placement import (
    WEIGHTS_MB,
    assert_within_bounds,
    make_site,
    make_view,
    views,
)


def make_engine(*names: str, weights_mb: float = 200.0) -> EngineSpec:
    """Return engines for a few models, without adapters."""
    models = {name: ModelSpec(name, WEIGHTS_MB, 4.0, 0.4, 0.8) for name in names}
    return EngineSpec(8, 1000, weights_mb, 2, 2.0, models)


def urgent(uses):
    """Let each arrival be one that has no time for a load."""
    return [(*use[:5], *(use[5:] or (0,)), use[2]) for use in uses]


def plan(sites, uses, *args, **fields):
    view = make_view(sites, urgent(uses), *args)
    return ValuePlacement().plan(msgspec.structs.replace(view, **fields))


def test_streams_that_fill_an_endpoint_get_another():
    """Prompts are read in no time, but the streams take all its places."""
    sites = [make_site("i-1", {"m0": []}), make_site("i-2", {"m7": []})]
    uses = [("m0", "", 30, 1.5, 0)]
    changes = plan(sites, uses, 100.0, 2, make_engine("m0", "m7"))
    assert [(c.endpoint, c.model) for c in changes] == [("i-2", "m0")]
    assert changes[0].reason is ChangeReason.BUSY


def test_a_busy_model_is_spread_over_all_endpoints_that_have_room():
    sites = [make_site(f"i-{n}", {"m0": []} if n == 0 else {}) for n in range(4)]
    changes = plan(sites, [("m0", "", 90, 6.0, 0)], 100.0, 9, make_engine("m0"))
    assert {c.endpoint for c in changes if c.model == "m0"} == {"i-1", "i-2", "i-3"}


def test_requests_with_time_for_a_load_need_no_second_endpoint():
    engine = make_engine("m0")
    sites = [make_site("i-1", {"m0": []}), make_site("i-2", {})]
    patient = ("m0", "", 30, 1.5, 0, 0, 30 * 0.8 / 20)
    view = make_view(sites, [patient], 100.0, 2, engine)
    assert ValuePlacement().plan(view) == []


def test_a_model_that_little_is_asked_of_stays_alone():
    sites = [make_site("i-1", {"m0": []}), make_site("i-2", {})]
    engine = make_engine("m0")
    assert plan(sites, [("m0", "", 1, 0.01, 0)], 100.0, 2, engine) == []


def test_the_only_endpoint_of_a_busy_model_is_backed_up_where_endpoints_are_lost():
    sites = [make_site("i-1", {"m0": []}), make_site("i-2", {})]
    args = (sites, [("m0", "", 30, 0.02, 0)], 100.0, 2, make_engine("m0"))
    assert plan(*args) == []
    changes = plan(*args, endpoint_losses_per_s=0.02)
    assert [(c.endpoint, c.model) for c in changes] == [("i-2", "m0")]


def test_all_models_of_a_lost_endpoint_are_loaded_in_one_plan():
    sites = [make_site(f"i-{n}", {f"m{n + 5}": []}) for n in range(3)]
    uses = [(f"m{n}", "", 20, 0.4, 0) for n in range(3)]
    changes = plan(sites, uses, 100.0, 9)
    assert {c.model for c in changes} >= {"m0", "m1", "m2"}
    assert len({c.endpoint for c in changes}) == 3


def test_a_waiting_model_is_loaded_where_a_copy_is_nearest():
    sites = [
        make_site("i-1", {"m0": []}),
        make_site("i-2", {"m5": []}, in_memory=frozenset({"m1"})),
        make_site("i-3", {"m6": []}, on_disk=("m1",)),
    ]
    change = plan(sites, [("m1", "", 1, 0.1, 1)])[0]
    assert (change.endpoint, change.model, change.is_cold) == ("i-2", "m1", False)


def test_a_model_with_work_waiting_is_never_given_up():
    sites = [make_site("i-1", {"m0": [], "m2": []})]
    uses = [("m1", "", 2, 0.1, 1), ("m0", "", 1, 0.1, 1), ("m2", "", 1, 0.1, 1)]
    assert plan(sites, uses) == []


def test_a_busy_models_last_endpoint_does_not_give_way_to_a_rare_one():
    engine = make_engine("m0", "m1", weights_mb=100.0)
    site = make_site("i-1", {"m0": []}, on_disk=("m1",))
    uses = urgent([("m0", "", 9, 0.3, 0), ("m1", "", 1, 0.1, 1)])
    view = make_view([site], uses)
    view = msgspec.structs.replace(view, engine=engine)
    assert ValuePlacement().plan(view) == []


def test_a_model_whose_streams_run_gives_way_last():
    site = make_site("i-1", {"m6": [], "m7": []}, on_disk=("m1",))
    site.endpoint.by_ref["m6/a1"] += 1
    change = plan([site], [("m1", "", 1, 0.1, 1)], stream_s=2.0)[0]
    assert change.unload_models == ("m7",)


def test_no_two_models_take_turns_at_one_endpoint():
    """As much is asked of one as of the other: a swap gains less than it costs."""
    engine = make_engine("m0", "m1", weights_mb=100.0)
    site = make_site("i-1", {"m0": []}, on_disk=("m0", "m1"))
    uses = urgent([("m0", "", 6, 0.1, 0), ("m1", "", 6, 0.1, 0)])
    view = make_view([site], uses)
    view = msgspec.structs.replace(view, engine=engine)
    assert ValuePlacement().plan(view) == []


def test_an_adapter_is_loaded_while_models_wait_for_their_endpoint():
    sites = [make_site("i-1", {"m0": ["a2"]}), make_site("i-2", {"m1": []})]
    change = plan(sites, [("m0", "a1", 1, 0.1, 1)])[0]
    assert (change.endpoint, change.adapter) == ("i-1", "a1")


def test_without_cold_loads_left_nothing_is_fetched():
    sites = [make_site("i-1", {"m0": []})]
    assert plan(sites, [("m1", "", 2, 0.1, 1)], 100.0, 0) == []


def test_before_any_demand_each_endpoint_fetches_at_most_one_model():
    models = {
        name: ModelSpec(name, WEIGHTS_MB, 4.0, 0.4, 0.8)
        for name in (f"m{n}" for n in range(16))
    }
    engine = EngineSpec(8, 1000, 200.0, 2, 2.0, models)
    kept = tuple(f"m{n}" for n in range(13))
    first = make_site("i-1", {"m0": [], "m11": []}, on_disk=kept)
    second = make_site("i-2", {"m0": [], "m12": []})
    view = make_view([first, second], [], 100.0, 9, engine)
    changes = ValuePlacement().plan(view)
    assert {c.model for c in changes} == {"m13", "m14"}
    assert {c.unload_models for c in changes} == {("m11",), ("m12",)}
    second.inventory.sequence = 2
    view = make_view([first, second], [], 100.0, 9, engine)
    assert len(ValuePlacement().plan(view)) == 1


@pytest.mark.parametrize("policy", [DemandPlacement(), ValuePlacement()])
@given(view=views())
def test_no_change_asks_for_more_than_an_endpoint_holds(policy, view):
    assert_within_bounds(policy.plan(view), view)


def test_each_option_is_weighed_once_after_a_change(monkeypatch):
    """Two daemons that placed weighed two equal options in turn for ever."""
    names = tuple(f"m{n}" for n in range(6))
    sites = [make_site(f"i-{n}", {}) for n in range(6)]
    uses = urgent([(name, "", 7, 0.7, 0) for name in names])
    weighed = []
    value = ValueRound._value

    def count(self, change, site):
        weighed.append(change)
        # Differs by rounding each time, as sums do that were taken apart and put back.
        return value(self, change, site) - 1e-12 * len(weighed)

    monkeypatch.setattr(ValueRound, "_value", count)
    view = make_view(sites, uses, 100.0, 9, make_engine(*names))
    changes = ValuePlacement().plan(view)
    assert len(changes) == len(sites)
    assert len(weighed) <= len(names) * len(sites) * (len(changes) + 1)


def test_a_patient_models_weights_are_fetched_where_no_endpoint_has_a_copy():
    """With a copy it is loaded when a request waits; without one that is too late."""
    engine = make_engine("m0", "m1")
    uses = [("m1", "", 2, 0.01, 1, 0, 2 * 0.8 / 5)]
    bare = [make_site("i-1", {"m0": []}), make_site("i-2", {})]
    view = make_view(bare, uses, 100.0, 2, engine)
    assert [c.is_cold for c in ValuePlacement().plan(view)] == [True]
    copied = [make_site("i-1", {"m0": []}, on_disk=("m1",)), make_site("i-2", {})]
    view = make_view(copied, uses, 100.0, 2, engine)
    assert [c.endpoint for c in ValuePlacement().plan(view)] == ["i-1"]
