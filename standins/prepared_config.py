"""A small configuration for the stand-in of the prepared machines."""

from __future__ import annotations


def make_config(
    version: int,
    services: dict[str, str],
    anonymous: tuple[str, ...] = (),
    **changes: object,
) -> dict:
    """Return an operator configuration with one route of each kind.

    ``services`` maps ``llm`` and ``plain`` to the names of their services. Routes
    listed in ``anonymous`` need no API key. ``changes`` replaces top-level fields.
    """
    engine = {
        "slots": 8,
        "kv_capacity": 100_000,
        "weights_mb": 200.0,
        "adapter_slots": 2,
        "loads_per_s": 50.0,
        "models": [
            {"name": f"m{n}", "weights_mb": 90.0, "load_s": 0.1, "adapters": 3}
            for n in range(4)
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
    return config | changes
