"""A small configuration for the stand-in of the prepared machines."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

MODEL_COUNT = 4


def make_config(
    version: int,
    services: dict[str, str],
    anonymous: tuple[str, ...] = (),
    *,
    home_regions: Mapping[str, Sequence[str]] | None = None,
    cold_s: float = 0.0,
    cold_per_s: float = 0.0,
    **changes: object,
) -> dict:
    """Return an operator configuration with one route of each kind.

    ``services`` maps ``llm`` and ``plain`` to the names of their services. Routes
    listed in ``anonymous`` need no API key. ``home_regions`` maps names of routes and
    customers to regions. With ``cold_s`` and ``cold_per_s``, endpoints of all services
    are cold after a start. ``changes`` replaces top-level fields.
    """
    engine = {
        "slots": 8,
        "kv_capacity": 100_000,
        "weights_mb": 200.0,
        "adapter_slots": 2,
        "loads_per_s": 50.0,
        "models": [
            {"name": f"m{n}", "weights_mb": 90.0, "load_s": 0.1, "adapters": 3}
            for n in range(MODEL_COUNT)
        ],
    }
    common = {"host": "a.example", "timeout_ms": 4000, "slo_ms": 800}
    routes = [
        {
            **common,
            "name": "r-stream",
            "prefix": "/stream/",
            "kind": "streaming",
            "service": services["llm"],
            "attempts": 2,
            "resumable": True,
            "sticky": True,
            "priority": 1,
        },
        {
            **common,
            "name": "r-once",
            "prefix": "/once/",
            "kind": "non_idempotent",
            "service": services["plain"],
            "attempts": 2,
        },
        {
            **common,
            "name": "r-again",
            "prefix": "/again/",
            "kind": "idempotent",
            "service": services["plain"],
            "attempts": 2,
        },
    ]
    for route in routes:
        route["anonymous"] = route["name"] in anonymous
    config = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": services["llm"], "max_conns": 100, "engine": engine},
            {"name": services["plain"], "max_conns": 100},
        ],
        "limits": {"header_bytes": 16384, "body_bytes": 100_000},
    }
    if cold_s and cold_per_s:
        for service in config["services"]:
            service.update(cold_s=cold_s, cold_per_s=cold_per_s)
    config |= changes
    for field in ("routes", "tenants"):
        if home_regions and field in config:
            config[field] = [
                _with_home_regions(entry, home_regions) for entry in config[field]
            ]
    return config


def _with_home_regions(entry: dict, home_regions: Mapping[str, Sequence[str]]) -> dict:
    regions = home_regions.get(entry["name"])
    return entry if regions is None else entry | {"home_regions": list(regions)}
