"""Choose the endpoint of a request. Pure: works on tables."""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec

from ..entry.endpoints import Endpoint
from ..ids import AdapterName, FailureDomainName, ModelName
from ..learning.durations import DurationTable
from ..learning.health import HealthTable
from ..learning.prefixes import PrefixTable
from ..learning.speeds import SpeedTable

FAR_COST_S = 0.003
"""Crossing to another failure domain: a round trip, and its bytes are charged."""
DEFAULT_OBJECTIVE_S = 1.0
"""For requests that name no objective."""


class Candidate(msgspec.Struct, frozen=True):
    """What is known of a request when its endpoint is chosen.

    ``chain`` has a hash for each beginning of the prompt, ``chain_tokens`` how
    many tokens each beginning has. ``objective_s`` is the time to the first byte
    that is left, 0 where it is not known.
    """

    model: ModelName
    adapter: AdapterName
    prompt_tokens: int
    chain: tuple[int, ...]
    chain_tokens: tuple[int, ...]
    failure_domain: FailureDomainName
    objective_s: float = 0.0


class RoutingPolicy(ABC):
    """Orders endpoints for a request."""

    @abstractmethod
    def choose(
        self, rows: list[Endpoint], request: Candidate, now_s: float
    ) -> Endpoint | None:
        """Return the best endpoint, or None when there is none."""

    def expected_s(self, row: Endpoint, request: Candidate, now_s: float) -> float:
        """Return the expected time to the first byte; 0 where it is not known."""
        return 0.0

    def own_read_s(self, row: Endpoint, request: Candidate, now_s: float) -> float:
        """Return how long the prompt takes to read; 0 where it is not known."""
        return 0.0


class LeastRequests(RoutingPolicy):
    """Baseline: fewest requests under way for the places that it has."""

    def choose(
        self, rows: list[Endpoint], request: Candidate, now_s: float
    ) -> Endpoint | None:
        """Return the least loaded endpoint."""
        return min(
            rows,
            key=lambda row: (row.total_requests / row.record.slots, row.record.id),
            default=None,
        )


class LeastLoss(RoutingPolicy):
    """Least expected loss, in requests: one's own, and what others lose by it.

    A request loses by a late first byte, by a failure, and by pauses in its stream;
    the more an endpoint has under way, the more streams pause, its own and those
    that are there already. Guards against sending everything to the one endpoint
    that has not paused lately, while others with the same model have places.

    Parameters
    ----------
    health : HealthTable
        How endpoints have answered lately.
    prefixes : PrefixTable
        Which prompts they have read lately.
    speeds : SpeedTable
        How fast they read.
    durations : DurationTable
        How long streams take.
    """

    def __init__(
        self,
        health: HealthTable,
        prefixes: PrefixTable,
        speeds: SpeedTable,
        durations: DurationTable,
    ) -> None:
        self._health = health
        self._prefixes = prefixes
        self._speeds = speeds
        self._durations = durations

    def choose(
        self, rows: list[Endpoint], request: Candidate, now_s: float
    ) -> Endpoint | None:
        """Return the endpoint with the least expected loss."""
        usable = [row for row in rows if self._health.is_open(row.record.id, now_s)]
        return min(
            usable or rows,
            key=lambda row: (self._loss(row, request, now_s), row.record.id),
            default=None,
        )

    def expected_s(self, row: Endpoint, request: Candidate, now_s: float) -> float:
        """Return the expected time to the first byte, without failures."""
        if not request.model:
            queued = row.total_requests / max(1, row.record.slots)
            return queued * self._health.typical_s(row.record.id)
        reading_s = self.own_read_s(row, request, now_s)
        reading_s += row.reading_s + row.other_reading_s
        reading_s *= self._speeds.endpoint_factor(row.record.id)
        return reading_s + self._place_wait_s(row, request.model)

    def _place_wait_s(self, row: Endpoint, model: ModelName) -> float:
        """Return how long it takes until a place in a full batch is free."""
        slots = max(1, row.record.slots)
        ahead = row.total_requests + 1 - slots
        return max(0, ahead) * self._durations.mean_s(model) / slots

    def _loss(self, row: Endpoint, request: Candidate, now_s: float) -> float:
        endpoint = row.record.id
        objective_s = request.objective_s or DEFAULT_OBJECTIVE_S
        expected_s = self.expected_s(row, request, now_s)
        if row.record.failure_domain != request.failure_domain:
            expected_s += FAR_COST_S
        loss = self._health.failure_share(endpoint, now_s)
        if not request.model:
            return loss + expected_s / objective_s
        loss += (expected_s / objective_s) ** 2
        occupancy = row.total_requests / max(1, row.record.slots)
        weight = self.own_read_s(row, request, now_s) / self._speeds.typical_read_s
        return loss + _pause_loss(occupancy, weight)

    def own_read_s(self, row: Endpoint, request: Candidate, now_s: float) -> float:
        """Return how long the prompt takes to read, less what is kept of it."""
        parts = self._prefixes.cached_parts(row.record.id, request.chain, now_s)
        cached = request.chain_tokens[parts - 1] if parts else 0
        return self._speeds.read_s(request.model, request.prompt_tokens - cached)


def _pause_loss(occupancy: float, weight: float) -> float:
    """Return how many streams pause too long by one more at an endpoint.

    The share that does grows with the part of the batch in use like the share of
    calls that find a single line busy (Erlang's loss formula). The first term is the
    new stream's own, the second what the others lose, which grows with the length
    of the prompt that is read between their tokens.
    """
    own = occupancy / (1.0 + occupancy)
    others = occupancy / (1.0 + occupancy) ** 2
    return own + weight * others
