"""Generates the request arrivals of the two example deployments from a seed."""

from __future__ import annotations

import random

import msgspec

from chutelink.fleet import FleetSpec

BURST_FACTOR = 10.0
BURST_DURATION_RANGE_S = (60.0, 150.0)
MEAN_BURST_INTERVAL_S = 25.0
DOCUMENTS_PER_MODEL = 12
PREFIXES_PER_DOCUMENT = 4


class RequestShape(msgspec.Struct, frozen=True):
    """Request sizes of a class in tokens, and its relative share of the arrivals."""

    prompt_tokens: int
    output_tokens: int
    share: float


REQUEST_SHAPES = {
    "review": RequestShape(4000, 250, 1.0),
    "note": RequestShape(1500, 120, 1.5),
    "handover": RequestShape(8000, 400, 0.5),
    "report": RequestShape(3000, 250, 1.0),
    "quick": RequestShape(300, 40, 3.0),
}


class Arrival(msgspec.Struct, frozen=True):
    """One request; ``at_s`` is its arrival in virtual time."""

    at_s: float
    name: str
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[str, ...]


def make_arrivals(
    fleet: FleetSpec, seed: int, duration_s: float, rate_per_s: float
) -> list[Arrival]:
    """Return arrivals with random bursts of single models.

    Parameters
    ----------
    fleet : FleetSpec
        Defines the models and their request classes.
    seed : int
        The same seed gives the same arrivals.
    duration_s, rate_per_s : float
        Duration, and the total arrival rate outside bursts.
    """
    rng = random.Random(seed)
    models = sorted(fleet.models.values(), key=lambda model: model.name)
    base_weights = {
        m.name: REQUEST_SHAPES[m.request_class].share * rng.paretovariate(1.5)
        for m in models
    }
    bursts = _make_bursts(rng, list(base_weights), duration_s)
    scale = rate_per_s / sum(base_weights.values())
    arrivals = []
    for model in models:
        shape = REQUEST_SHAPES[model.request_class]
        peak_rate_per_s = base_weights[model.name] * scale * BURST_FACTOR
        at_s = rng.expovariate(peak_rate_per_s)
        while at_s < duration_s:
            is_burst = any(
                start_s <= at_s < end_s for start_s, end_s in bursts.get(model.name, ())
            )
            if is_burst or rng.random() < 1.0 / BURST_FACTOR:
                arrivals.append(_make_arrival(rng, model.name, shape, at_s))
            at_s += rng.expovariate(peak_rate_per_s)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _make_bursts(
    rng: random.Random, names: list[str], duration_s: float
) -> dict[str, list[tuple[float, float]]]:
    bursts: dict[str, list[tuple[float, float]]] = {}
    at_s = rng.uniform(0, MEAN_BURST_INTERVAL_S)
    while at_s < duration_s:
        end_s = at_s + rng.uniform(*BURST_DURATION_RANGE_S)
        bursts.setdefault(rng.choice(names), []).append((at_s, end_s))
        at_s += rng.expovariate(1.0 / MEAN_BURST_INTERVAL_S)
    return bursts


def _make_arrival(
    rng: random.Random, name: str, shape: RequestShape, at_s: float
) -> Arrival:
    document = rng.randrange(DOCUMENTS_PER_MODEL)
    prefixes = tuple(f"{name}/{document}/{i}" for i in range(PREFIXES_PER_DOCUMENT))
    tokens = max(1, int(shape.output_tokens * rng.uniform(0.5, 1.5)))
    return Arrival(at_s, name, shape.prompt_tokens, tokens, prefixes)
