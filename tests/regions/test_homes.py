"""Home regions of requests, and errors in their configuration."""

from __future__ import annotations

from types import SimpleNamespace

from chutelink.eligibility.checker import EligibilityChecker
from chutelink.eligibility.model import (
    NO_REQUIREMENTS,
    IneligibleReason,
    Requirements,
)
from chutelink.platform.configuration import decode_config
from chutelink.regions.homes import HomeRegions
from chutelink.regions.region_map import RegionMap
from chutelink.regions.rule import HomeRegionRule

from ..fakes import make_core

REGIONS = RegionMap({"zone-a": "north", "zone-b": "south", "zone-c": "south"})
ELSEWHERE = IneligibleReason.OUTSIDE_HOME_REGIONS


def make_config(routes=None, customers=None, version=1):
    """Return a configuration; ``routes`` and ``customers`` are names with homes."""
    config = {
        "version": version,
        "services": [{"name": "plain"}],
        "routes": [
            {"name": name, "host": f"{name}.example", "prefix": "/", "timeout_ms": 1}
            | {"kind": "idempotent", "service": "plain", "home_regions": homes}
            for name, homes in (routes or {"r": None}).items()
        ],
    }
    if customers is not None:
        config["tenants"] = [
            {"name": name, "home_regions": homes} for name, homes in customers.items()
        ]
    return decode_config(config)


def make_homes(config):
    core = make_core()
    core.errors = []
    core.events.error = lambda event, **fields: core.errors.append(fields)
    homes = HomeRegions(core, REGIONS)
    homes.update(config)
    return homes, core.errors


def requirements_of(homes, config, customer=None):
    named = None if customer is None else config.customers[customer]
    return homes.requirements(config.routes[0], named)


def test_both_the_route_and_the_customer_limit_the_regions():
    """Guards against a customer's homes that widen those of the route."""
    config = make_config({"r": ["north", "south"]}, {"c": ["south", "east"], "d": None})
    homes, _ = make_homes(config)
    assert requirements_of(homes, config, "c").home_regions == {"south"}
    assert requirements_of(homes, config, "d").home_regions == {"north", "south"}
    assert requirements_of(homes, config).home_regions == {"north", "south"}
    free = make_config({"r": None, "s": ["north"]}, {"c": None})
    homes, errors = make_homes(free)
    assert requirements_of(homes, free, "c") is NO_REQUIREMENTS
    assert errors == []


def test_old_and_new_homes_bind_a_request_that_waits_during_a_change():
    """Guards against a body sent to a region that either version forbids."""
    old = make_config({"r": ["north", "south"]})
    homes, _ = make_homes(old)
    for changed, expected in (
        ({"r": ["south"]}, {"south"}),
        ({"r": None}, {"north", "south"}),
        ({"r": ["east"]}, set()),
        ({"other": ["north"]}, {"north", "south"}),
    ):
        homes.update(make_config(changed))
        assert requirements_of(homes, old).home_regions == expected
    homes.update(make_config({"r": None}))
    free = make_config({"r": None})
    homes.update(make_config({"r": ["north"]}))
    assert requirements_of(homes, free).home_regions == {"north"}


def test_configuration_errors_are_reported_with_route_and_customer():
    """Guards against an error that rejects the configuration or goes unnoticed."""
    config = make_config(
        {"empty": [], "unknown": ["east"], "r": ["north"], "s": ["south", "east"]},
        {"c": ["south"], "d": []},
    )
    _, errors = make_homes(config)
    found = {(e["route"], e["customer"]) for e in errors}
    assert found == {("empty", ""), ("unknown", ""), ("s", ""), ("", "d"), ("r", "c")}
    assert len(errors) == len(found)


def test_directory_uses_the_homes_of_a_hosts_routes_and_of_all_customers():
    """Guards against callers that are sent to a region that some request excludes."""
    routes = {"r": ["north", "south"], "s": None}
    homes, _ = make_homes(make_config(routes, {"c": ["south", "east"], "d": None}))
    assert homes.is_configured
    assert homes.common_to_host("R.example:80") == {"south"}
    assert homes.common_to_host("s.example") == {"south", "east"}
    homes.update(make_config(routes, {"d": None}))
    assert homes.is_configured
    assert homes.common_to_host("r.example") == {"north", "south"}
    assert homes.common_to_host("s.example") is None
    homes.update(make_config({"r": None}))
    assert not homes.is_configured


def make_row(domain):
    return SimpleNamespace(record=SimpleNamespace(failure_domain=domain))


def test_endpoints_elsewhere_or_without_a_region_are_excluded():
    """Guards against requests to a failure domain that the settings lack."""
    rule = HomeRegionRule(REGIONS)
    unmapped = []
    rule.on_unmapped = unmapped.append
    checker = EligibilityChecker((rule,))
    rows = [make_row(domain) for domain in ("zone-a", "zone-b", "zone-x", "zone-x")]
    south = Requirements(frozenset({"south"}))
    assert checker.eligible(rows, south, 0.0) == [rows[1]]
    assert unmapped == ["zone-x"]
    assert checker.eligible(rows, NO_REQUIREMENTS, 0.0) is rows


def test_requests_are_refused_where_no_endpoint_is_at_home():
    """Guards against waits until the deadline for an endpoint that never comes."""
    checker = EligibilityChecker((HomeRegionRule(REGIONS),))
    nowhere = Requirements(frozenset())
    south = Requirements(frozenset({"south"}))
    assert checker.common_reason([make_row("zone-a")], nowhere, 0.0) is ELSEWHERE
    assert checker.common_reason([make_row("zone-a")], south, 0.0) is ELSEWHERE
    assert checker.common_reason([], south, 0.0) is ELSEWHERE
    assert checker.common_reason([make_row("zone-c")], south, 0.0) is None
