"""A request on its way to endpoints."""

from __future__ import annotations

import random

import msgspec
from multidict import CIMultiDict

from ..customers.gate import Admission
from ..entry.config import Route, ServiceSpec
from ..entry.dialect import RequestMeta
from ..ids import EndpointId, Fingerprint, ServiceName
from ..watching.followed import Knowledge
from .routing import Candidate

LAST_URGENCY = 9
OBJECTIVES_PER_URGENCY_S = 1.5
"""Requests whose objectives differ by this much differ by one step of urgency."""


class Exchange(msgspec.Struct, eq=False):
    """A request with its body, its route, and what became of it so far.

    ``deadline_s`` is on this daemon's clock: the earlier of the caller's and the
    route's. ``fingerprint`` is the same for all attempts that ask for the same with
    the same content; ``caller`` is the address that it came from, and ``is_trial``
    says that it may run once though it has ended endpoints. ``tried`` has the
    endpoints that it was sent to; ``first_event_s`` is the time from the start to a
    stream's first event, ``expected_s`` what was expected of the endpoint chosen
    last, ``longest_pause_s`` between two events;
    ``admission`` names the customer and what it was counted for;
    ``knowledge`` is how recent the list of endpoints was that it was chosen from.
    """

    meta: RequestMeta
    route: Route
    service: ServiceSpec
    method: str
    target: str
    host: str
    headers: CIMultiDict[str]
    body: bytes
    started_s: float
    deadline_s: float
    candidate: Candidate
    fingerprint: Fingerprint = Fingerprint("")
    caller: str = ""
    admission: Admission = msgspec.field(default_factory=Admission)
    is_trial: bool = False
    tried: list[EndpointId] = []
    may_have_run: bool = False
    resume_after: int | None = None
    first_event_s: float | None = None
    expected_s: float | None = None
    longest_pause_s: float = 0.0
    knowledge: Knowledge | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether running it twice does no harm."""
        return self.route.is_repeatable

    @property
    def priority(self) -> int:
        """Its rank, 0 for the most urgent: the customer's goes before the route's."""
        customer = self.admission.customer
        if customer is None or customer.priority is None:
            return self.route.priority
        return customer.priority

    @property
    def first_event_by_s(self) -> float:
        """When the caller leaves if nothing has come."""
        patience_s = self.route.patience_s
        if not patience_s:
            return self.deadline_s
        return min(self.deadline_s, self.started_s + patience_s)

    def left_s(self, now_s: float) -> float:
        """Return how much time is left."""
        return self.deadline_s - now_s


def pick_service(
    route: Route, services: dict[ServiceName, ServiceSpec], rng: random.Random
) -> ServiceSpec | None:
    """Return one of a route's services, by weight."""
    weights = [weighted.weight for weighted in route.services]
    if not any(weights):
        return None
    chosen = rng.choices(route.services, weights)[0]
    return services.get(chosen.service)


def urgency_of(exchange: Exchange) -> int | None:
    """Order by rank, then by how soon an answer is due."""
    if exchange.service.engine is None:
        return None
    step = 2 * exchange.priority
    step += int(exchange.route.objective_s / OBJECTIVES_PER_URGENCY_S)
    return min(LAST_URGENCY, step)
