"""Requests that are waiting in this gateway."""

from __future__ import annotations

import asyncio

import msgspec

from ..fleet.model import Artifact, LatePolicy, RequestClass
from ..ids import CallerName, EndpointName, RequestId


class WaitingRequest(msgspec.Struct, eq=False):
    """A request between admission and dispatch; times are on the event loop's clock.

    ``prompt_tokens`` is an estimate. ``dispatched`` is set to the chosen endpoint, or
    to None if no endpoint holds the artifacts any more.
    """

    request_id: RequestId
    caller: CallerName
    name: str
    artifacts: tuple[Artifact, ...]
    request_class: RequestClass
    arrived_s: float
    deadline_s: float
    expected_s: float
    prompt_tokens: int
    prefixes: tuple[str, ...]
    dispatched: asyncio.Future[EndpointName | None]
    excluded: frozenset[EndpointName] = frozenset()

    @property
    def may_be_late(self) -> bool:
        """Whether the request is served even after its target time."""
        return self.request_class.late is LatePolicy.SERVE

    def slack_s(self, now_s: float) -> float:
        """Return the time for which the request can still wait."""
        return self.deadline_s - now_s - self.expected_s


class RequestQueue:
    """Waiting requests, grouped by their required artifacts."""

    def __init__(self) -> None:
        self._groups: dict[tuple[Artifact, ...], list[WaitingRequest]] = {}
        self.size = 0

    def add(self, request: WaitingRequest) -> None:
        """Append a request to its group."""
        self._groups.setdefault(request.artifacts, []).append(request)
        self.size += 1

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was still waiting."""
        group = self._groups.get(request.artifacts)
        if group is None or request not in group:
            return False
        group.remove(request)
        self.size -= 1
        if not group:
            del self._groups[request.artifacts]
        return True

    def group(self, artifacts: tuple[Artifact, ...]) -> list[WaitingRequest]:
        """Return the requests that require exactly these artifacts."""
        return self._groups.get(artifacts, [])

    def waiting_by_model(self) -> dict[str, int]:
        """Return the number of waiting requests, by required model."""
        counts: dict[str, int] = {}
        for artifacts, group in self._groups.items():
            name = artifacts[0].name
            counts[name] = counts.get(name, 0) + len(group)
        return counts

    def groups(self) -> list[tuple[Artifact, ...]]:
        """Return the artifacts of each group that has waiting requests."""
        return list(self._groups)
