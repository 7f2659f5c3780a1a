"""Endpoint selection that weighs held prompt prefixes against waits and memory."""

from __future__ import annotations

import msgspec

from ..entry.endpoints import Endpoint
from ..learning.durations import DurationTable
from ..learning.health import HealthTable
from ..learning.prefixes import PrefixTable
from ..learning.speeds import SpeedTable
from .routing import (
    DEFAULT_OBJECTIVE_S,
    LeastLoss,
    PrefixChoice,
    RoutingPolicy,
    RoutingRequest,
)


def make_routing_policy(
    health: HealthTable,
    prefixes: PrefixTable,
    speeds: SpeedTable,
    durations: DurationTable,
    *,
    is_weighing: bool,
) -> RoutingPolicy:
    """Return the policy for the setting ``prefix_weighing``."""
    kind = PrefixWeighing if is_weighing else LeastLoss
    return kind(health, prefixes, speeds, durations)


class PrefixWeighing(LeastLoss):
    """Adds the engine time that a choice costs others to the expected loss.

    An engine that reads a prompt can't read others then. If its memory is full,
    the tokens that it newly keeps displace others, which have to be read again as
    often as evicted tokens were so far. Both times are counted relative to the
    objective. A held prefix saves either.
    """

    def choose(
        self, rows: list[Endpoint], request: RoutingRequest, now_s: float
    ) -> Endpoint | None:
        """Return the endpoint with the least expected loss.

        What a full endpoint holds doesn't count while another one has a free slot.
        """
        rows = self._usable(rows, now_s)
        has_free_slot = any(_has_free_slot(row) for row in rows)
        unheld = request
        if has_free_slot and request.chain:
            unheld = msgspec.structs.replace(request, chain=(), chain_tokens=())

        def key(row: Endpoint) -> tuple[float, str]:
            weighed = request if _has_free_slot(row) else unheld
            return self._loss(row, weighed, now_s), row.record.id

        return min(rows, key=key, default=None)

    def _loss(self, row: Endpoint, request: RoutingRequest, now_s: float) -> float:
        loss = super()._loss(row, request, now_s)
        if not request.model:
            return loss
        objective_s = request.objective_s or DEFAULT_OBJECTIVE_S
        return loss + self._engine_s(row, request, now_s) / objective_s

    def _engine_s(self, row: Endpoint, request: RoutingRequest, now_s: float) -> float:
        """Return the prefill time of the prompt and of what it displaces."""
        endpoint = row.record.id
        unheld = request.prompt_tokens - self.held_tokens(row, request, now_s)
        lost = self._prefixes.lost_tokens(endpoint, unheld + request.output_tokens)
        read_s = self._speeds.read_s(request.model, unheld + lost)
        return read_s * self._speeds.endpoint_factor(endpoint)

    def prefix_choice(
        self,
        row: Endpoint,
        rows: list[Endpoint],
        request: RoutingRequest,
        now_s: float,
    ) -> PrefixChoice | None:
        """Return what the chosen endpoint and the best other one hold of a prompt."""
        if not request.model:
            return None
        others = (
            self.held_tokens(other, request, now_s)
            for other in rows
            if other is not row
        )
        held = self.held_tokens(row, request, now_s)
        return PrefixChoice(request.prompt_tokens - held, held, max(others, default=0))


def _has_free_slot(row: Endpoint) -> bool:
    return row.total_requests < row.record.slots
