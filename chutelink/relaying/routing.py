"""Endpoint selection. Pure functions of in-memory tables, without I/O."""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec

from ..entry.endpoints import Endpoint
from ..ids import AdapterName, FailureDomainName, ModelName
from ..learning.durations import DurationTable
from ..learning.health import HealthTable
from ..learning.prefixes import PrefixTable
from ..learning.speeds import SpeedTable

CROSS_DOMAIN_ROUND_TRIP_S = 0.003
"""Additional time of a call to another failure domain: one round trip."""
DEFAULT_OBJECTIVE_S = 1.0
"""Assumed for requests without an objective."""


class RoutingRequest(msgspec.Struct, frozen=True):
    """The properties of a request that endpoint selection uses.

    ``chain`` has a hash for each prefix of the prompt, ``chain_tokens`` the number of
    tokens in each prefix. ``objective_s`` is the objective for the time to the first
    byte, 0 where it is unknown.
    """

    model: ModelName
    adapter: AdapterName
    prompt_tokens: int
    chain: tuple[int, ...]
    chain_tokens: tuple[int, ...]
    failure_domain: FailureDomainName
    objective_s: float = 0.0
    output_tokens: int = 0


class PrefixChoice(msgspec.Struct, frozen=True):
    """Prompt tokens that the chosen endpoint is expected to read, and to hold.

    ``best_other_tokens`` is the largest number held at another eligible endpoint.
    """

    read_tokens: int
    held_tokens: int
    best_other_tokens: int

    @property
    def read_in_vain_tokens(self) -> int:
        """Tokens to read although another eligible endpoint holds them."""
        return max(0, self.best_other_tokens - self.held_tokens)


class RoutingPolicy(ABC):
    """Selects an endpoint for a request."""

    @abstractmethod
    def choose(
        self, rows: list[Endpoint], request: RoutingRequest, now_s: float
    ) -> Endpoint | None:
        """Return the best endpoint, or None if ``rows`` is empty."""

    def expected_s(self, row: Endpoint, request: RoutingRequest, now_s: float) -> float:
        """Return the expected time to the first byte; 0 where it is unknown."""
        return 0.0

    def uncached_read_s(
        self, row: Endpoint, request: RoutingRequest, now_s: float
    ) -> float:
        """Return the expected prefill time of the prompt; 0 where it is unknown."""
        return 0.0

    def prefix_choice(
        self,
        row: Endpoint,
        rows: list[Endpoint],
        request: RoutingRequest,
        now_s: float,
    ) -> PrefixChoice | None:
        """Return what the chosen and the other ``rows`` hold; None if not weighed."""
        return None


class LeastRequests(RoutingPolicy):
    """Baseline policy: fewest requests in flight per batch slot."""

    def choose(
        self, rows: list[Endpoint], request: RoutingRequest, now_s: float
    ) -> Endpoint | None:
        """Return the least loaded endpoint."""
        return min(
            rows,
            key=lambda row: (row.total_requests / row.record.slots, row.record.id),
            default=None,
        )


class LeastLoss(RoutingPolicy):
    """Minimizes the expected loss, in requests, of this request and of others.

    The loss of a request covers a late first byte, a failure and pauses in its
    stream. The more requests an endpoint has in flight, the more streams pause: the
    new one and those already there. Counting both avoids sending all requests to the
    one endpoint without recent pauses, while others with the same model have free
    slots.

    Parameters
    ----------
    health : HealthTable
        Recent failures and response times of endpoints.
    prefixes : PrefixTable
        Prompt prefixes that endpoints are assumed to have cached.
    speeds : SpeedTable
        Prefill speeds.
    durations : DurationTable
        Durations of streams.
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
        self, rows: list[Endpoint], request: RoutingRequest, now_s: float
    ) -> Endpoint | None:
        """Return the endpoint with the least expected loss."""
        return min(
            self._usable(rows, now_s),
            key=lambda row: (self._loss(row, request, now_s), row.record.id),
            default=None,
        )

    def _usable(self, rows: list[Endpoint], now_s: float) -> list[Endpoint]:
        """Return the endpoints without recent failures, or all if there are none."""
        usable = [
            row for row in rows if self._health.is_available(row.record.id, now_s)
        ]
        return usable or rows

    def expected_s(self, row: Endpoint, request: RoutingRequest, now_s: float) -> float:
        """Return the expected time to the first byte if the request doesn't fail."""
        if not request.model:
            queued = row.total_requests / max(1, row.record.slots)
            return queued * self._health.typical_s(row.record.id)
        reading_s = self.uncached_read_s(row, request, now_s)
        reading_s += row.reading_s + row.other_reading_s
        reading_s *= self._speeds.endpoint_factor(row.record.id)
        return reading_s + self._slot_wait_s(row, request.model)

    def _slot_wait_s(self, row: Endpoint, model: ModelName) -> float:
        """Return the expected wait for a free slot in a full batch."""
        slots = max(1, row.record.slots)
        ahead = row.total_requests + 1 - slots
        return max(0, ahead) * self._durations.mean_s(model) / slots

    def _loss(self, row: Endpoint, request: RoutingRequest, now_s: float) -> float:
        endpoint = row.record.id
        objective_s = request.objective_s or DEFAULT_OBJECTIVE_S
        expected_s = self.expected_s(row, request, now_s)
        if row.record.failure_domain != request.failure_domain:
            expected_s += CROSS_DOMAIN_ROUND_TRIP_S
        loss = self._health.failure_share(endpoint, now_s)
        if not request.model:
            return loss + expected_s / objective_s
        loss += (expected_s / objective_s) ** 2
        occupancy = row.total_requests / max(1, row.record.slots)
        weight = self.uncached_read_s(row, request, now_s) / self._speeds.typical_read_s
        return loss + _pause_loss(occupancy, weight)

    def uncached_read_s(
        self, row: Endpoint, request: RoutingRequest, now_s: float
    ) -> float:
        """Return the prefill time of the part of the prompt that is not cached."""
        held = self.held_tokens(row, request, now_s)
        return self._speeds.read_s(request.model, request.prompt_tokens - held)

    def held_tokens(self, row: Endpoint, request: RoutingRequest, now_s: float) -> int:
        """Return how many leading tokens of the prompt are most likely cached."""
        parts = self._prefixes.cached_parts(row.record.id, request.chain, now_s)
        return request.chain_tokens[parts - 1] if parts else 0


def _pause_loss(occupancy: float, weight: float) -> float:
    """Return how many streams an additional one makes pause for too long.

    The share of streams that pause grows with the batch occupancy like the blocking
    probability of a single line (Erlang B formula). The first term is the loss of the
    new stream, the second that of the existing ones, which grows with the length of
    the prompt that is processed between their tokens.
    """
    own_loss = occupancy / (1.0 + occupancy)
    others_loss = occupancy / (1.0 + occupancy) ** 2
    return own_loss + weight * others_loss
