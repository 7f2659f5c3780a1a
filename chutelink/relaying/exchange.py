"""A request in progress and its state across attempts."""

from __future__ import annotations

import random

import msgspec
from multidict import CIMultiDict

from ..customers.access import Admission
from ..eligibility.model import NO_REQUIREMENTS, Requirements
from ..entry.config import Route, ServiceSpec
from ..entry.headers import RequestMeta
from ..ids import EndpointId, Fingerprint, ServiceName, SoftwareVersion
from ..memory import MemoryLease
from ..regions.homes import HomeRegions
from ..watching.table_state import TableFreshness
from .call_progress import CallProgress
from .response_end import EndProof, Framing
from .routing import PrefixChoice, RoutingRequest

LEAST_URGENT_STEP = 9
LEFT_S_PER_URGENCY_STEP = 6.0
"""Difference in the time that callers have left that lowers the urgency by one step."""


class Exchange(msgspec.Struct, eq=False):
    """A request with its body, its route and its progress so far.

    ``deadline_s`` is on this daemon's clock: the earlier of the caller's and the
    route's. ``fingerprint`` is the same for all requests with the same content.
    ``prompt_parts`` are the fingerprints of the prompt's parts except the last, which
    no other request shares. ``caller`` is the address that the request came from.
    ``is_trial`` allows one run of a request that has crashed endpoints; ``held_by`` is
    the fingerprint for which it was refused as quarantined. ``tried`` lists
    the endpoints that it was sent to. ``first_event_s`` is the time from the start to a
    stream's first event, ``expected_s`` the expected time to the first byte at the
    endpoint chosen last, ``prefix_choice`` what it and the others hold of the prompt,
    None if prefixes aren't weighed, ``longest_pause_s`` the longest time between two
    events. ``admission`` has the customer and the quota decision. ``knowledge`` is the
    version and age of the list of endpoints at the last choice. ``software_version`` is
    that of the endpoint that began its stream, None if it is unknown; other endpoints
    don't continue the stream once ``is_version_bound`` is set. ``send_before_s`` is the
    end of the grant for the endpoint chosen last, None if it needs none.
    ``framing`` is what ended the last response of an endpoint, None without a response,
    and ``end_proof`` what showed that it was complete. ``last_call`` is how far the
    last call to an endpoint has got, and ``events`` the number of events forwarded.
    ``is_last_event_numbered`` is whether the stream can be resumed after the last one.
    ``unproven_after`` is the event after which a response has ended, and the check of
    its end was not answered; ``earlier_end`` is the same of an earlier attempt of the
    caller, None if the caller doesn't resume after this event. ``end_checks`` is the
    number of attempts that checked the end of a stream, which are in ``tried`` as well.
    ``is_retry_reserved`` is whether a retry has been taken from the budget for the next
    attempt, and ``switch_to`` the endpoint that is preferred for it. ``given_up`` is
    the silent endpoint of the attempt before, to which the request returns if the next
    endpoint doesn't take it.
    ``homes`` has the home regions of the configuration in force, which may be newer
    than the route. ``drain_left_s`` is the time that was left until the end of draining
    when the request was accepted, None if this daemon wasn't stopping. ``lease`` is the
    memory of its response.
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
    candidate: RoutingRequest
    fingerprint: Fingerprint = Fingerprint("")
    prompt_parts: tuple[Fingerprint, ...] = ()
    caller: str = ""
    admission: Admission = msgspec.field(default_factory=Admission)
    is_trial: bool = False
    held_by: Fingerprint = Fingerprint("")
    tried: list[EndpointId] = []
    may_have_run: bool = False
    resume_after: int | None = None
    first_event_s: float | None = None
    expected_s: float | None = None
    prefix_choice: PrefixChoice | None = None
    longest_pause_s: float = 0.0
    knowledge: TableFreshness | None = None
    software_version: SoftwareVersion | None = None
    is_version_bound: bool = False
    send_before_s: float | None = None
    framing: Framing | None = None
    end_proof: EndProof = EndProof.NONE
    last_call: CallProgress = msgspec.field(default_factory=CallProgress)
    events: int = 0
    is_last_event_numbered: bool = True
    unproven_after: int | None = None
    earlier_end: int | None = None
    end_checks: int = 0
    is_retry_reserved: bool = False
    switch_to: EndpointId | None = None
    given_up: EndpointId | None = None
    homes: HomeRegions | None = None
    drain_left_s: float | None = None
    lease: MemoryLease | None = None

    def bind_version(self, version: SoftwareVersion | None) -> None:
        """Set the software version that has begun the stream."""
        self.software_version = version
        self.is_version_bound = True

    @property
    def can_resume(self) -> bool:
        """Whether the stream can be resumed after the last event forwarded."""
        return self.resume_after is not None and self.is_last_event_numbered

    @property
    def is_end_unproven(self) -> bool:
        """Whether a response has ended after the last event, and nothing came since.

        An attempt that brings no further event either confirms the end.
        """
        after = self.unproven_after
        return after is not None and after == self.resume_after

    @property
    def has_all_tokens(self) -> bool:
        """Whether the stream has as many events as tokens were requested.

        Each event has one token or more, and events are numbered from 1.
        """
        requested = self.meta.output_tokens
        before = self.meta.resume_after or 0
        # A higher id is no number of events.
        return before <= requested > 0 and before + self.events >= requested

    @property
    def quarantine_keys(self) -> tuple[Fingerprint, ...]:
        """What the request may be quarantined for: its content and its prompt parts."""
        return (self.fingerprint, *self.prompt_parts)

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.is_repeatable

    @property
    def priority(self) -> int:
        """Priority, 0 the most urgent; the customer's overrides the route's."""
        customer = self.admission.customer
        if customer is None or customer.priority is None:
            return self.route.priority
        return customer.priority

    @property
    def requirements(self) -> Requirements:
        """What the request requires of endpoints."""
        if self.homes is None:
            return NO_REQUIREMENTS
        return self.homes.requirements(self.route, self.admission.customer)

    @property
    def first_event_deadline_s(self) -> float:
        """When the caller gives up without a first event."""
        patience_s = self.route.patience_s
        if not patience_s:
            return self.deadline_s
        return min(self.deadline_s, self.started_s + patience_s)

    def release_memory(self) -> None:
        """Give back the memory of a response that is no longer held."""
        if self.lease is not None:
            self.lease.close()

    def left_s(self, now_s: float) -> float:
        """Return the time left until the deadline."""
        return self.deadline_s - now_s


def pick_service(
    route: Route, services: dict[ServiceName, ServiceSpec], rng: random.Random
) -> ServiceSpec | None:
    """Return one of a route's services, chosen at random by weight."""
    weights = [weighted.weight for weighted in route.services]
    if not any(weights):
        return None
    chosen = rng.choices(route.services, weights)[0]
    return services.get(chosen.service)


def urgency_of(exchange: Exchange, now_s: float) -> int | None:
    """Return the urgency for the endpoint, 0 the most urgent; None without an engine.

    It combines the priority, which counts two steps, and the time until the caller
    gives up: of two callers, the one that leaves sooner is served first.
    """
    if exchange.service.engine is None:
        return None
    left_s = max(0.0, exchange.first_event_deadline_s - now_s)
    step = 2 * exchange.priority + int(left_s / LEFT_S_PER_URGENCY_STEP)
    return min(LEAST_URGENT_STEP, step)
