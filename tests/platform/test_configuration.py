"""The operators' configuration, decoded or refused whole."""

from __future__ import annotations

import pytest

from chutelink.entry.config import RouteKind, RouteTable
from chutelink.exceptions import ConfigInvalid
from chutelink.platform.configuration import decode_config
from standins.prepared_config import make_config

SERVICES = {"llm": "s-llm", "plain": "s-plain"}


def decode(**changes):
    return decode_config(make_config(7, SERVICES) | changes)


def test_units_and_names_are_the_products():
    config = decode()
    route = next(r for r in config.routes if r.name == "r-stream")
    assert (route.timeout_s, route.objective_s) == (4.0, 0.8)
    assert route.kind is RouteKind.STREAMING and route.is_repeatable
    engine = config.services["s-llm"].engine
    assert engine.models["m0"].adapters == ("a1", "a2", "a3")
    # Without times of their own, copies are as slow as the weight store.
    assert engine.models["m0"].memory_load_s == 0.1


def test_routes_may_be_split_by_weight():
    split = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "backends": [
            {"service": "s-llm", "weight": 90},
            {"service": "s-plain", "weight": 10},
        ],
    }
    weights = [w.weight for w in decode(routes=[split]).routes[0].services]
    assert weights == [90, 10]


def test_the_longest_prefix_wins():
    base = {"host": "h", "kind": "idempotent", "timeout_ms": 1000, "service": "s-llm"}
    routes = [
        base | {"name": "short", "prefix": "/a/"},
        base | {"name": "long", "prefix": "/a/b/"},
    ]
    table = RouteTable(decode(routes=routes))
    assert table.find("H:80", "/a/b/c").name == "long"
    assert table.find("h", "/a/c").name == "short"
    assert table.find("h", "/b/") is None
    assert table.find("other", "/a/") is None


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": "none"},
        {"services": []},
        {"version": "x"},
        {"routes": [{"name": "r"}]},
    ],
)
def test_what_is_malformed_is_refused_whole(changes):
    with pytest.raises(ConfigInvalid):
        decode(**changes)


def test_unknown_kinds_are_refused():
    config = make_config(7, SERVICES)
    config["routes"][0]["kind"] = "sometimes"
    with pytest.raises(ConfigInvalid):
        decode_config(config)


def test_unknown_fields_are_ignored():
    assert decode(something="new").version == 7
