"""Decoding of the operators' configuration, which is accepted or rejected whole."""

from __future__ import annotations

import pytest

from chutelink.entry.config import RouteKind, RouteTable
from chutelink.exceptions import ConfigInvalid
from chutelink.platform.configuration import decode_config
from standins.prepared_config import make_config

from ..odd_values import HUGE

SERVICES = {"llm": "s-llm", "plain": "s-plain"}


def decode(**changes):
    return decode_config(make_config(7, SERVICES) | changes)


def test_units_and_names_are_converted():
    config = decode()
    route = next(r for r in config.routes if r.name == "r-stream")
    assert (route.timeout_s, route.objective_s) == (4.0, 0.8)
    assert route.kind is RouteKind.STREAMING and route.is_repeatable
    engine = config.services["s-llm"].engine
    assert engine.models["m0"].adapters == ("a1", "a2", "a3")
    # Local copies without a load time of their own default to the weight store's.
    assert engine.models["m0"].memory_load_s == 0.1


def test_route_with_weighted_backends():
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


def test_longest_prefix_wins():
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
def test_malformed_configuration_is_rejected(changes):
    with pytest.raises(ConfigInvalid):
        decode(**changes)


OUT_OF_BOUNDS = [
    (("version",), 2**60),
    (("routes", 0, "timeout_ms"), 1e300),
    (("routes", 0, "priority"), HUGE),
    (("routes", 0, "name"), "r" * 257),
    (("routes", 0, "backends"), [{"service": "s-llm", "weight": -1}]),
    (("services", 0, "max_conns"), HUGE),
    (("services", 0, "engine", "slots"), HUGE),
    (("services", 0, "engine", "models", 0, "adapters"), 10**12),
    (("limits",), {"body_bytes": HUGE}),
    (("tenants",), [{"name": "c", "rate_per_s": 1e300, "keys": ["k"]}]),
]


@pytest.mark.parametrize(("path", "value"), OUT_OF_BOUNDS, ids=lambda part: "")
def test_configuration_out_of_bounds_is_rejected(path, value):
    """Such a number raised OverflowError for requests, or took all memory."""
    config = part = make_config(7, SERVICES)
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    with pytest.raises(ConfigInvalid):
        decode_config(config)


def test_unknown_route_kind_is_rejected():
    config = make_config(7, SERVICES)
    config["routes"][0]["kind"] = "sometimes"
    with pytest.raises(ConfigInvalid):
        decode_config(config)


def test_unknown_field_is_ignored():
    assert decode(something="new").version == 7


def test_home_regions_of_routes_and_customers_are_decoded():
    """Guards against an empty list that is read as no restriction."""
    routes = make_config(7, SERVICES)["routes"]
    routes[0]["home_regions"], routes[1]["home_regions"] = ["a", "b", "a"], []
    tenants = [{"name": "c", "home_regions": ["a"]}, {"name": "d"}]
    config = decode(routes=routes, tenants=tenants)
    assert [r.home_regions for r in config.routes] == [{"a", "b"}, set(), None]
    homes = {name: c.home_regions for name, c in config.customers.items()}
    assert homes == {"c": {"a"}, "d": None}


@pytest.mark.parametrize("homes", ["a", [1], {"a": 1}, [None]])
def test_malformed_home_regions_are_rejected(homes):
    """Guards against restrictions that are dropped because they can't be read."""
    routes = make_config(7, SERVICES)["routes"]
    with pytest.raises(ConfigInvalid):
        decode(routes=[routes[0] | {"home_regions": homes}])
    with pytest.raises(ConfigInvalid):
        decode(tenants=[{"name": "c", "home_regions": homes}])
