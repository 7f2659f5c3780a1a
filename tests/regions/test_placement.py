"""Models for requests with home regions are loaded in these regions."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from chutelink.entry.demand import UNSERVED_VALID_S, DemandTable
from chutelink.entry.endpoints import EndpointTable
from chutelink.entry.load_tracker import LoadTracker
from chutelink.entry.messages import (
    HomeUsage,
    ModelUsage,
    decode_entry_message,
    encode_entry_message,
)
from chutelink.placing.changes import PlacementView
from chutelink.placing.placement import DemandPlacement
from chutelink.placing.residency import ModelResidency
from chutelink.regions.region_map import RegionMap

from ..placing.test_placement import make_engine, make_site

NOW_S = 100.0
REGIONS = RegionMap({"zone-a": "north", "zone-b": "south"})
SOUTH = ("south",)


def make_site_in(domain, name, models, **report):
    site = make_site(name, models, **report)
    record = msgspec.structs.replace(site.endpoint.record, failure_domain=domain)
    site.endpoint.record = record
    return site


def make_view(sites, uses, homes, now_s=NOW_S, **changes):
    demand = DemandTable()
    demand.take("d1", uses, now_s, homes)
    view = PlacementView(make_engine(), sites, {}, demand, 2, now_s, regions=REGIONS)
    return msgspec.structs.replace(view, **changes)


WAITING = [ModelUsage("m1", "", 1, 0.1, 1, 1)]
"""One request, so that the model does not count as busy and gets no replicas."""


def test_model_held_elsewhere_is_loaded_at_home():
    """Guards against requests that starve because only another region has the model."""
    sites = [
        make_site_in("zone-a", "i-1", {"m1": []}),
        make_site_in("zone-b", "i-2", {"m0": []}),
    ]
    homes = [HomeUsage("m1", "", SOUTH, 1)]
    (change,) = DemandPlacement().plan(make_view(sites, WAITING, homes))
    assert (change.endpoint, change.model) == ("i-2", "m1")
    loading = ("i-2", "m1", "")
    view = make_view(
        sites,
        WAITING,
        homes,
        loading={loading[1:]: 1},
        loading_at=frozenset({loading}),
    )
    assert not DemandPlacement().plan(view)


def test_missing_model_is_not_loaded_elsewhere():
    """Guards against a load of no use to the requests, which delays the right one."""
    sites = [
        make_site_in("zone-a", "i-1", {}, on_disk=("m1",)),
        make_site_in("zone-b", "i-2", {}, is_busy=True),
    ]
    homes = [HomeUsage("m1", "", SOUTH, 1)]
    changes = DemandPlacement().plan(make_view(sites, WAITING, homes))
    assert not any(change.model == "m1" for change in changes)


def test_adapter_held_elsewhere_is_loaded_at_home():
    """Guards against an adapter that counts as present because of another region."""
    sites = [
        make_site_in("zone-a", "i-1", {"m1": ["a1"]}),
        make_site_in("zone-b", "i-2", {"m1": []}),
    ]
    uses = [ModelUsage("m1", "a1", 1, 0.1, 1, 1)]
    view = make_view(sites, uses, [HomeUsage("m1", "a1", SOUTH, 1)])
    (change,) = DemandPlacement().plan(view)
    assert (change.endpoint, change.adapter) == ("i-2", "a1")


@pytest.mark.parametrize("is_home", [False, True])
def test_last_replica_at_home_is_no_spare(is_home):
    """Guards against an eviction that leaves the replicas where they are of no use."""
    sites = [
        make_site_in("zone-a", "i-1", {"m1": [], "m2": []}, is_busy=True),
        make_site_in("zone-b", "i-2", {"m1": [], "m2": []}, on_disk=("m5",)),
    ]
    uses = [
        ModelUsage("m1", "", 1, 0.02, 0, 0, 1),
        ModelUsage("m2", "", 1, 0.05, 0, 0, 1),
        ModelUsage("m5", "", 1, 0.1, 1, 1),
    ]
    homes = [HomeUsage("m1", "", SOUTH, 0, 1)] if is_home else []
    (change,) = DemandPlacement().plan(make_view(sites, uses, homes))
    assert change.unload_models == (("m2",) if is_home else ("m1",))


def test_model_that_is_served_elsewhere_counts_as_missing_at_home():
    """Guards against demand of other regions that hides a long denial."""
    demand = DemandTable()
    waiting = HomeUsage("m1", "", SOUTH, 1)
    key = ("m1", "", frozenset(SOUTH))
    for second in range(5):
        served = ModelUsage("m1", "", 1, 0.1, 0, 0, 1)
        demand.take("d1", [served], NOW_S + second, [waiting])
    assert demand.denied_at_home_s(NOW_S + 5) == {key: 5.0}
    demand.take("d1", [], NOW_S + 5, [msgspec.structs.replace(waiting, served=1)])
    assert demand.denied_at_home_s(NOW_S + 5) == {key: 0.0}
    assert demand.waiting_at_home(NOW_S + 6 + UNSERVED_VALID_S) == {}


@pytest.mark.parametrize(
    ("domain", "models", "is_overdue"),
    [("zone-b", {"m0": []}, True), ("zone-b", {"m1": []}, False), ("x", {}, False)],
)
def test_long_denial_at_home_justifies_evictions(domain, models, is_overdue):
    """Guards against starvation at a full home endpoint beside replicas elsewhere."""
    sites = [
        make_site_in("zone-a", "i-1", {"m1": []}),
        make_site_in(domain, "i-2", models),
    ]
    homes = [HomeUsage("m1", "", SOUTH, 1)]
    view = make_view(sites, [], homes, now_s=NOW_S - 5)
    view = msgspec.structs.replace(view, now_s=NOW_S)
    assert ModelResidency(view).is_overdue("m1") is is_overdue


def test_report_carries_the_home_regions_of_waiting_requests():
    """Guards against a wait that is never reported, or never ends."""

    async def async_test():
        loads = LoadTracker()
        homes = frozenset({"south", "east"})
        loads.begin_wait("m1", "", is_patient=True, homes=homes)
        loads.begin_wait("m1", "", is_patient=True)
        table = EndpointTable()
        report = loads.take("d1", table, [])
        sent = decode_entry_message(encode_entry_message(report), "d1")
        assert sent.homes == [HomeUsage("m1", "", ("east", "south"), 1)]
        loads.end_wait("m1", "", is_patient=True, homes=homes)
        loads.note_served("m1", "", homes)
        (usage,) = loads.take("d1", table, []).homes
        assert (usage.waiting, usage.served) == (0, 1)
        assert loads.take("d1", table, []).homes == []

    asyncio.run(async_test())
