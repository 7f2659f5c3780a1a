"""Routing policies that choose an endpoint for a request."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

from ..fleet.model import RoutingPolicy
from ..tables.endpoints import Endpoint
from ..tables.requests import WaitingRequest

REMOTE_DOMAIN_PENALTY_S = 0.001
CHARACTERS_PER_TOKEN = 4


def usable_endpoints(
    rows: list[Endpoint], request: WaitingRequest, now_s: float
) -> list[Endpoint]:
    """Return the endpoints that accept new requests and were not yet tried.

    Endpoints that failed recently are excluded unless there are no others.
    """
    found = [
        row for row in rows if row.accepts_requests and row.name not in request.excluded
    ]
    return [row for row in found if row.excluded_until_s <= now_s] or found


class Routing(ABC):
    """Policy that chooses among endpoints with a free slot."""

    def choose(
        self, rows: list[Endpoint], request: WaitingRequest, now_s: float
    ) -> Endpoint | None:
        """Return the endpoint to use, or None if none has a free slot."""
        free = [row for row in rows if row.free_slots() > 0]
        return self._pick(free, request, now_s) if free else None

    @abstractmethod
    def _pick(
        self, rows: list[Endpoint], request: WaitingRequest, now_s: float
    ) -> Endpoint:
        """Return one of the rows; ``rows`` is not empty."""


class ExpectedTimeRouting(Routing):
    """Chooses the endpoint with the least expected time to first token.

    Parameters
    ----------
    failure_domain : str
        The gateway's failure domain; other domains get a small time penalty.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain

    def _pick(
        self, rows: list[Endpoint], request: WaitingRequest, now_s: float
    ) -> Endpoint:
        return min(rows, key=lambda row: (self.expected_s(row, request), row.name))

    def expected_s(self, row: Endpoint, request: WaitingRequest) -> float:
        """Return the expected time to first token at an endpoint, in seconds."""
        if row.report is None:
            return float("inf")
        load = row.estimated_load()
        waiting = max(0, load - row.spec.slots)
        prefill_s = self._prefill_s(row, request)
        is_local = row.spec.failure_domain == self._failure_domain
        domain_penalty_s = 0.0 if is_local else REMOTE_DOMAIN_PENALTY_S
        load_delay_s = row.report.step_s * load / max(1, row.spec.slots)
        return domain_penalty_s + load_delay_s + (1 + waiting) * prefill_s

    def _prefill_s(self, row: Endpoint, request: WaitingRequest) -> float:
        cached = 0
        for depth, prefix in enumerate(request.prefixes, start=1):
            if prefix in row.cached_prefixes:
                cached = depth
        share = 1.0 - cached / (len(request.prefixes) + 1)
        return request.prompt_tokens * share / row.report.prefill_tokens_per_s


class RoundRobinRouting(Routing):
    """Baseline that uses the endpoints in turn."""

    def __init__(self) -> None:
        self._index = 0

    def _pick(
        self, rows: list[Endpoint], request: WaitingRequest, now_s: float
    ) -> Endpoint:
        self._index += 1
        return rows[self._index % len(rows)]


class LeastOutstandingRouting(Routing):
    """Baseline that chooses the endpoint with the fewest requests of this gateway."""

    def _pick(
        self, rows: list[Endpoint], request: WaitingRequest, now_s: float
    ) -> Endpoint:
        return min(rows, key=lambda row: (row.inflight, row.name))


class TwoChoicesRouting(Routing):
    """Baseline that chooses the less loaded of two random endpoints."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def _pick(
        self, rows: list[Endpoint], request: WaitingRequest, now_s: float
    ) -> Endpoint:
        candidates = self._rng.sample(rows, min(2, len(rows)))
        return min(candidates, key=lambda row: (row.estimated_load(), row.name))


def make_routing(
    policy: RoutingPolicy, failure_domain: str, rng: random.Random
) -> Routing:
    """Return the routing policy selected in the fleet file."""
    if policy is RoutingPolicy.ROUND_ROBIN:
        return RoundRobinRouting()
    if policy is RoutingPolicy.LEAST_OUTSTANDING:
        return LeastOutstandingRouting()
    if policy is RoutingPolicy.TWO_CHOICES:
        return TwoChoicesRouting(rng)
    return ExpectedTimeRouting(failure_domain)
