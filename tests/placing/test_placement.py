"""Which models and adapters are loaded, and which are evicted."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from chutelink.entry.config import EngineSpec, ModelSpec
from chutelink.entry.demand import DemandTable
from chutelink.entry.endpoints import Endpoint, EndpointRecord, EndpointState
from chutelink.entry.messages import ModelUsage
from chutelink.placing.capacity import used_mb
from chutelink.placing.changes import ChangeReason, PlacementView, Site
from chutelink.placing.inventory import EndpointReport, Inventory
from chutelink.placing.placement import DemandPlacement, StaticPlacement
from chutelink.placing.residency import ModelResidency

MODELS = tuple(f"m{number}" for number in range(8))
ADAPTERS = ("a1", "a2", "a3")
WEIGHTS_MB = 90.0
ADAPTER_MB = 5.0


def make_engine(adapter_slots: int = 2, cold_load_s: float = 4.0) -> EngineSpec:
    models = {
        name: ModelSpec(name, WEIGHTS_MB, cold_load_s, 0.4, 0.8, ADAPTERS, ADAPTER_MB)
        for name in MODELS
    }
    return EngineSpec(8, 1000, 200.0, adapter_slots, 2.0, models)


def make_site(
    name: str, models: dict, now_s: float = 100.0, is_busy: bool = False, **report
) -> Site:
    held = {model: frozenset(adapters) for model, adapters in models.items()}
    record = EndpointRecord(name, "llm", "1:1", "zone-a", EndpointState.READY, 8, held)
    inventory = Inventory(name)
    inventory.apply_report(EndpointReport(0, is_busy, held, **report), now_s)
    return Site(Endpoint(record), inventory)


def make_view(sites, uses, now_s=100.0, cold_loads=2, engine=None) -> PlacementView:
    demand = DemandTable()
    demand.take("d1", [ModelUsage(*use) for use in uses], now_s)
    return PlacementView(engine or make_engine(), sites, {}, demand, cold_loads, now_s)


def plan(*args, **kwargs):
    return DemandPlacement().plan(make_view(*args, **kwargs))


def make_rising_view(sites, steady, rising) -> PlacementView:
    """Return a view after 30 s of steady uses per second and one report of others."""
    view = make_view(sites, [], now_s=70.0)
    for second in range(30):
        view.demand.take("d1", [ModelUsage(*use) for use in steady], 71.0 + second)
    view.demand.take("d2", [ModelUsage(*use) for use in rising], 100.0)
    return msgspec.structs.replace(view, now_s=100.0, cold_loads=9)


def test_static_policy_changes_nothing():
    view = make_view([make_site("i-1", {})], [("m1", "", 2, 0.1, 1)])
    assert StaticPlacement().plan(view) == []


def test_requested_model_is_loaded_from_the_fastest_copy():
    sites = [
        make_site("i-1", {"m0": []}),
        make_site("i-2", {"m5": []}, in_memory=frozenset({"m1"})),
        make_site("i-3", {"m6": []}, on_disk=frozenset({"m1"})),
    ]
    change = plan(sites, [("m1", "", 2, 0.1, 1)])[0]
    assert (change.endpoint, change.model, change.is_cold) == ("i-2", "m1", False)


def test_model_with_waiting_requests_is_never_evicted():
    sites = [make_site("i-1", {"m0": [], "m2": []})]
    uses = [("m1", "", 2, 0.1, 1), ("m0", "", 1, 0.1, 1), ("m2", "", 1, 0.1, 1)]
    assert plan(sites, uses) == []


def test_model_without_requests_is_evicted():
    sites = [make_site("i-1", {"m0": [], "m7": []})]
    uses = [("m1", "", 2, 0.1, 1), ("m0", "", 9, 0.9, 0)]
    change = plan(sites, uses)[0]
    assert change.unload_models == ("m7",)


def test_model_with_running_requests_is_evicted_last():
    site = make_site("i-1", {"m6": [], "m7": []})
    site.endpoint.by_ref["m6/a1"] += 1
    change = plan([site], [("m1", "", 2, 0.1, 1)])[0]
    assert change.unload_models == ("m7",)


def test_additional_replica_is_evicted_before_a_last_one():
    sites = [
        make_site("i-1", {"m0": [], "m2": []}),
        make_site("i-2", {"m0": [], "m3": []}),
    ]
    uses = [("m1", "", 2, 0.1, 1), ("m0", "", 1, 0.1, 0)]
    uses += [("m2", "", 6, 0.1, 0), ("m3", "", 6, 0.1, 0)]
    change = plan(sites, uses)[0]
    assert (change.model, change.unload_models) == ("m1", ("m0",))


def test_no_cold_load_when_the_rate_limit_is_used_up():
    sites = [make_site("i-1", {"m0": []})]
    assert plan(sites, [("m1", "", 2, 0.1, 1)], cold_loads=0) == []


def test_single_request_for_a_rare_model_justifies_no_cold_load():
    sites = [make_site("i-1", {"m5": []})]
    assert plan(sites, [("m1", "", 1, 0.1, 1)]) == []
    assert plan(sites, [("m1", "", 1, 0.1, 1, 1)])
    assert plan(sites, [("m1", "", 2, 0.1, 1)])


def test_rare_models_take_only_a_share_of_the_endpoints():
    sites = [make_site(f"i-{n}", {"m7": []}) for n in range(4)]
    uses = [(f"m{n}", "", 2, 0.1, 1) for n in range(3, 6)]
    busy = ("m7", "", 900, 0.1, 0)
    changes = plan(sites, [*uses, busy], cold_loads=9)
    assert sum(c.model in ("m3", "m4", "m5") for c in changes) == 2


def test_a_busy_models_adapters_are_not_blocked_by_a_replica():
    sites = [make_site("i-1", {"m0": []}), make_site("i-2", {"m5": []})]
    changes = plan(sites, [("m0", "", 30, 0.3, 0), ("m5", "", 60, 6.0, 0)])
    assert not any(c.endpoint == "i-1" and c.model == "m5" for c in changes)


def test_an_adapter_is_loaded_beside_its_model():
    sites = [make_site("i-1", {"m0": ["a2"]}), make_site("i-2", {"m1": []})]
    change = plan(sites, [("m0", "a1", 1, 0.1, 1)])[0]
    assert (change.endpoint, change.adapter) == ("i-1", "a1")


def test_idle_adapter_is_evicted():
    sites = [make_site("i-1", {"m0": ["a2", "a3"]})]
    change = plan(sites, [("m0", "a1", 1, 0.1, 1), ("m0", "a2", 1, 0.1, 0)])[0]
    assert change.unload_adapters == (("m0", "a3"),)


def test_adapter_in_use_is_not_evicted():
    site = make_site("i-1", {"m0": ["a2", "a3"]})
    site.endpoint.other_by_ref.update(["m0/a2", "m0/a3"])
    assert not any(c.adapter for c in plan([site], [("m0", "a1", 1, 0.1, 1)]))


def test_a_busy_model_gets_a_replica():
    sites = [make_site("i-1", {"m0": []}), make_site("i-2", {"m5": []})]
    changes = plan(sites, [("m0", "", 30, 3.0, 0)])
    assert any(c.model == "m0" and c.endpoint == "i-2" for c in changes)


def test_a_model_beside_a_busy_one_gets_a_replica_elsewhere():
    sites = [make_site("i-1", {"m0": [], "m4": []}), make_site("i-2", {"m7": []})]
    uses = [("m0", "", 30, 0.9, 0), ("m4", "", 30, 0.9, 0)]
    changes = plan(sites, uses)
    assert any(c.endpoint == "i-2" and c.model in ("m0", "m4") for c in changes)


def test_model_whose_rate_grows_is_loaded_before_its_requests_queue():
    """The replica was loaded only when the model's endpoint was already busy."""
    sites = [make_site("i-1", {"m0": [], "m3": []}), make_site("i-2", {"m0": []})]
    sites.append(make_site("i-3", {"m6": [], "m7": []}))
    busy = ("m0", "", 20, 0.1, 0)
    rising = make_rising_view(sites, [busy], [("m3", "", 12, 0.5, 0)])
    change = next(c for c in DemandPlacement().plan(rising) if not c.adapter)
    assert (change.endpoint, change.model) == ("i-3", "m3")
    assert change.reason is ChangeReason.NEXT
    steady = make_rising_view(sites, [busy, ("m3", "", 4, 0.5 / 3, 0)], [])
    assert all(change.adapter for change in DemandPlacement().plan(steady))


def test_model_in_high_demand_gets_a_second_replica():
    sites = [make_site("i-1", {"m0": []}), make_site("i-2", {"m6": []})]
    change = plan(sites, [("m0", "", 6, 0.1, 0)])[0]
    assert (change.endpoint, change.model) == ("i-2", "m0")
    assert change.reason is ChangeReason.PAIR


def test_model_whose_share_grows_gets_a_second_replica():
    sites = [make_site(f"i-{n}", {"m0": [], "m1": []}) for n in (1, 2)]
    sites += [make_site("i-3", {"m3": [], "m2": []}), make_site("i-4", {"m6": []})]
    busy = ("m0", "", 20, 0.1, 0)
    rising = make_rising_view(sites, [busy], [("m3", "", 15, 0.1, 0)])
    change = DemandPlacement().plan(rising)[0]
    assert (change.endpoint, change.model) == ("i-4", "m3")
    assert change.reason is ChangeReason.PAIR
    steady = make_rising_view(sites, [busy, ("m3", "", 5, 0.1, 0)], [])
    assert all(change.adapter for change in DemandPlacement().plan(steady))


def test_replica_being_loaded_allows_no_eviction_of_another():
    sites = [make_site("i-1", {"m1": [], "m2": []}), make_site("i-2", {"m6": []})]
    sites[1].inventory.is_changing = True
    uses = [("m1", "", 1, 0.1, 0), ("m2", "", 1, 0.1, 1), ("m5", "", 2, 0.1, 1, 1)]
    view = make_view(sites, uses)
    view.loading[("m1", "")] = 1
    assert not any(change.unload_models for change in DemandPlacement().plan(view))


def test_needed_replica_is_not_evicted_for_a_rare_model():
    engine = msgspec.structs.replace(make_engine(), weights_mb=100.0)
    sites = [make_site(f"i-{n}", {"m1": []}) for n in range(3)]
    uses = [("m1", "", 30, 2.4, 0), ("m5", "", 1, 0.1, 1, 1)]
    changes = plan(sites, uses, engine=engine)
    assert not any(change.unload_models for change in changes)
    idle = [("m1", "", 30, 0.9, 0), ("m5", "", 1, 0.1, 1, 1)]
    assert plan(sites, idle, engine=engine)[0].unload_models == ("m1",)


def test_model_being_loaded_is_not_loaded_again():
    loading = make_site("i-1", {"m5": []})
    loading.inventory.models["m1"] = frozenset()
    loading.inventory.is_changing = True
    changes = plan([loading, make_site("i-2", {"m6": []})], [("m1", "", 1, 0.1, 1)])
    assert not any(c.model == "m1" and c.reason.value == "asked" for c in changes)


def test_no_cold_load_while_an_endpoint_with_a_copy_is_soon_free():
    soon = make_site("i-1", {"m5": []}, on_disk=("m1",))
    soon.inventory.is_changing = True
    other = make_site("i-2", {"m6": []})
    uses = [("m1", "", 2, 0.1, 1)]
    for free_in_s, is_loaded in ((0.5, False), (60.0, True)):
        site = msgspec.structs.replace(soon, free_in_s=free_in_s)
        changes = plan([site, other], uses)
        assert any(c.model == "m1" for c in changes) is is_loaded


def test_endpoint_with_copies_is_awaited_by_one_model_only():
    """A model waited for an endpoint that others got, and was never loaded."""
    soon = make_site("i-1", {"m5": []}, on_disk=("m1", "m2"))
    soon.inventory.is_changing = True
    sites = [msgspec.structs.replace(soon, free_in_s=0.5), make_site("i-2", {"m6": []})]
    changes = plan(sites, [("m1", "", 3, 0.1, 2), ("m2", "", 2, 0.1, 1)])
    assert [(c.endpoint, c.model) for c in changes] == [("i-2", "m2")]


def test_cold_load_does_not_evict_the_only_copy_of_a_model():
    engine = msgspec.structs.replace(make_engine(), disk_copies_mb=2 * WEIGHTS_MB)
    sites = [
        make_site("i-1", {"m6": []}, on_disk=("m4", "m6")),
        make_site("i-2", {"m7": []}, on_disk=("m6", "m7")),
    ]
    change = plan(sites, [("m1", "", 2, 0.1, 1)], engine=engine)[0]
    assert (change.endpoint, change.model) == ("i-2", "m1")


def test_models_without_a_copy_are_prefetched_before_any_demand():
    """A surplus replica yields first, then a model with another copy."""
    kept = tuple(f"m{n}" for n in range(14))
    models = {
        name: ModelSpec(name, WEIGHTS_MB, 4.0, 0.4, 0.8) for name in (*kept, "m14")
    }
    engine = EngineSpec(8, 1000, 200.0, 2, 2.0, models)
    first = make_site("i-1", {"m0": [], "m1": []}, on_disk=kept)
    for held, victim in (("m0", "m0"), ("m11", "m11")):
        sites = [first, make_site("i-2", {held: [], "m12": []})]
        changes = plan(sites, [], engine=engine, cold_loads=9)
        assert [(c.model, c.unload_models) for c in changes] == [("m14", (victim,))]
        assert changes[0].reason is ChangeReason.SPREAD


def test_model_is_not_prefetched_over_the_only_copy_of_another():
    """Endpoints fetched models in turn without end before any request."""
    engine = msgspec.structs.replace(make_engine(), disk_copies_mb=2 * WEIGHTS_MB)
    held = {"m0": [], "m1": []}
    sites = [make_site("i-1", held, on_disk=("m0", "m1"))]
    assert plan(sites, [], engine=engine, cold_loads=9) == []
    larger = msgspec.structs.replace(engine, disk_copies_mb=3 * WEIGHTS_MB)
    changes = plan(sites, [], engine=larger, cold_loads=9)
    assert [change.model for change in changes] == ["m2"]


def test_last_replica_is_not_evicted_before_any_demand():
    """Only a surplus replica yields to a model of which endpoints have a copy."""
    sites = [
        make_site("i-1", {"m0": [], "m1": []}, on_disk=MODELS),
        make_site("i-2", {"m0": [], "m2": []}, on_disk=MODELS),
    ]
    changes = plan(sites, [], cold_loads=9)
    assert [(c.model, c.unload_models) for c in changes] == [("m3", ("m0",))]
    sites[1] = make_site("i-2", {"m3": [], "m2": []}, on_disk=MODELS)
    assert plan(sites, [], cold_loads=9) == []


def test_changing_endpoint_gets_no_other_change():
    site = make_site("i-1", {"m0": []})
    site.inventory.is_changing = True
    assert plan([site], [("m1", "", 2, 0.1, 1)]) == []


@st.composite
def views(draw):
    sites = []
    for number in range(draw(st.integers(1, 4))):
        models = draw(
            st.dictionaries(
                st.sampled_from(MODELS),
                st.lists(st.sampled_from(ADAPTERS), max_size=1),
                max_size=2,
            )
        )
        sites.append(make_site(f"i-{number}", models))
    uses = draw(
        st.lists(
            st.tuples(
                st.sampled_from(MODELS),
                st.sampled_from(("", *ADAPTERS)),
                st.integers(0, 20),
                st.floats(0, 3),
                st.integers(0, 3),
            ),
            max_size=8,
        )
    )
    return make_view(sites, uses, cold_loads=draw(st.integers(0, 3)))


@given(views())
def test_no_change_exceeds_the_capacity_of_an_endpoint(view):
    changes = DemandPlacement().plan(view)
    sites = {site.inventory.endpoint: site for site in view.sites}
    assert len({change.endpoint for change in changes}) == len(changes)
    assert sum(change.is_cold for change in changes) <= view.cold_loads
    waiting = {model for model, _ in view.demand.waiting(view.now_s)}
    for change in changes:
        inventory = sites[change.endpoint].inventory
        for model in change.unload_models:
            assert model not in waiting
            del inventory.models[model]
        for model, adapter in change.unload_adapters:
            inventory.models[model] -= {adapter}
        held = inventory.models.get(change.model, frozenset())
        inventory.models[change.model] = held | ({change.adapter} - {""})
        assert used_mb(inventory, view.engine) <= view.engine.weights_mb
        assert inventory.adapters <= view.engine.adapter_slots


def test_least_recently_requested_rare_model_is_evicted_first():
    """Both were requested within seconds, so neither has zero demand."""
    engine = msgspec.structs.replace(make_engine(), weights_mb=290.0)
    models = {"m0": [], "m5": [], "m6": []}
    site = make_site("i-1", models, now_s=102.0, on_disk=("m4",))
    uses = [("m5", "", 2, 0.1, 0), ("m6", "", 1, 0.1, 0)]
    view = make_view([site], uses, engine=engine)
    for at_s, model, waiting in ((100.5, "m6", 0), (102.0, "m4", 1)):
        busy = ModelUsage("m0", "", 200, 1.0, 0)
        uses = [busy, ModelUsage(model, "", 1, 0.1, waiting)]
        view.demand.take("d1", uses, at_s)
    later = msgspec.structs.replace(view, now_s=102.0)
    assert ModelResidency(later).eviction_candidates(site, "m4", is_replica=False) == [
        "m5",
        "m6",
    ]


def test_adapter_with_waiting_requests_is_not_evicted_for_another():
    """Two adapters, just loaded and not requested again yet, evicted each other."""
    site = make_site("i-1", {"m0": ["a2", "a3"]})
    uses = [("m0", "a2", 1, 0.1, 1), ("m0", "a3", 1, 0.1, 1), ("m0", "a1", 1, 0.1, 1)]
    view = make_view([site], uses, now_s=100.0)
    later = msgspec.structs.replace(view, now_s=100.5)
    assert not any(change.adapter for change in DemandPlacement().plan(later))


def test_second_preloaded_replica_is_evicted_for_a_requested_model():
    sites = [make_site(f"i-{n}", {"m0": [], "m3": []}) for n in (1, 2)]
    sites[1].inventory.on_disk = ("m6",)
    uses = [("m0", "", 30, 0.3, 0), ("m6", "", 1, 0.1, 1)]
    change = next(c for c in plan(sites, uses) if not c.adapter)
    assert (change.model, change.unload_models) == ("m6", ("m3",))


def test_cold_replica_does_not_make_a_warm_one_dispensable():
    """The endpoint takes only few requests, but is not replaced for some seconds."""
    sites = [make_site(f"i-{n}", {"m0": [], "m3": []}) for n in (1, 2)]
    sites[1].inventory.on_disk = ("m6",)
    uses = [("m0", "", 30, 0.3, 0), ("m3", "", 6, 0.3, 0), ("m6", "", 1, 0.1, 1)]
    warm = plan(sites, uses)
    assert ("i-2", ("m3",)) in [(c.endpoint, c.unload_models) for c in warm]
    sites[0] = msgspec.structs.replace(sites[0], is_cold=True)
    changes = plan(sites, uses)
    assert not any(c.endpoint == "i-2" and c.unload_models for c in changes)
    assert all(change.adapter for change in changes)


def test_model_missing_from_the_configuration_is_evicted():
    """Endpoints still hold two replicas after a configuration removed the model."""
    sites = [make_site(f"i-{n}", {"dropped": []}) for n in (1, 2)]
    changes = plan(sites, [("m1", "", 2, 0.1, 1, 1)])
    assert any(change.model == "m1" for change in changes)
