"""Measures the time to parse a fleet file and to plan placement, by endpoints."""

from __future__ import annotations

import time
import tracemalloc

import msgspec

from chutelink.fleet import parse_fleet
from chutelink.ids import FencingNumber
from chutelink.systems.packing import pack_minimum_replicas
from chutelink.systems.placement import PlacementInput, make_placement
from chutelink.tables.ledger import Claim, ClaimState, LedgerRow

from .slopes import Point

ENDPOINT_SIZES = (20, 80, 320, 670)
MODELS_PER_ENDPOINT = 220 / 670
ENDPOINT_PORT = 8100


def fleet_text(endpoints: int, host_of) -> str:
    """Return a fleet file with the planned ratio of models to endpoints."""
    parts = [f"[failure_domain d{n}]\n" for n in range(5)]
    for number in range(endpoints):
        parts.append(
            f"[endpoint e{number}]\nurl = http://{host_of(number)}:{ENDPOINT_PORT}\n"
            f"failure_domain = d{number % 5}\nvm = v{number}\naccelerators = 8\n"
            "memory_mb = 80000\n"
        )
    for number in range(max(1, int(endpoints * MODELS_PER_ENDPOINT))):
        parts.append(f"[model m{number}]\nmemory_mb = 30000\nreplicas = 2\n")
    return "\n".join(parts)


def measure_parse() -> list[Point]:
    """Measure the parse time and the size of a fleet file by endpoints."""
    points = []
    for size in ENDPOINT_SIZES:
        text = fleet_text(size, lambda n: f"127.0.{91 + n // 250}.{1 + n % 250}")
        started_s = time.perf_counter()
        for _ in range(3):
            parse_fleet(text, check_memory=False)
        elapsed_ms = (time.perf_counter() - started_s) / 3 * 1000
        points.append(Point("parse of a file, ms by endpoints", size, elapsed_ms))
        points.append(Point("size of a file, bytes by endpoints", size, len(text)))
    return points


def measure_plan() -> list[Point]:
    """Measure the time of a placement plan and the size of the ledger by endpoints."""
    points = []
    for size in ENDPOINT_SIZES:
        text = fleet_text(size, lambda n: f"127.0.{91 + n // 250}.{1 + n % 250}")
        fleet = parse_fleet(text, check_memory=False).unwrap()
        tracemalloc.start()
        rows = _ledger_rows(fleet)
        held_kb = tracemalloc.get_traced_memory()[0] / 1000
        tracemalloc.stop()
        demand = {name: 50.0 * (i % 3) for i, name in enumerate(fleet.models)}
        placement_input = PlacementInput(fleet, rows, frozenset(rows), demand)
        placement = make_placement(fleet.options)
        started_s = time.perf_counter()
        placement.plan(placement_input)
        elapsed_ms = (time.perf_counter() - started_s) * 1000
        points.append(Point("placement plan, ms by endpoints", size, elapsed_ms))
        points.append(Point("ledger in memory, KB by endpoints", size, held_kb))
        row_bytes = sum(len(msgspec.json.encode(row)) for row in rows.values())
        points.append(Point("ledger rows, bytes by endpoints", size, row_bytes))
    return points


def _ledger_rows(fleet) -> dict[str, LedgerRow]:
    rows = {}
    for name, models in pack_minimum_replicas(fleet).assignment.items():
        spec = fleet.endpoints[name]
        row = LedgerRow(name, spec.accelerators, spec.memory_mb)
        claims = tuple(
            Claim(
                fleet.models[model].artifact,
                "model",
                (index % spec.accelerators,),
                fleet.models[model].memory_mb,
                ClaimState.LOADED,
                FencingNumber(index),
            )
            for index, model in enumerate(sorted(models))
        )
        rows[name] = msgspec.structs.replace(row, claims=claims)
    return rows
