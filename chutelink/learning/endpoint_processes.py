"""Endpoint processes that are remembered after their rows were removed. No I/O."""

from __future__ import annotations

from ..ids import EndpointId

MAX_ENDPOINTS = 1000
"""Limit of remembered processes; rows of leaving ones are soon removed for good."""


class EndpointProcessCache:
    """The process last recorded for each endpoint; the oldest records are evicted."""

    def __init__(self) -> None:
        self._born_ms: dict[EndpointId, int] = {}

    def note(self, endpoint: EndpointId, born_ms: int) -> None:
        """Record a process of an endpoint, replacing an earlier one."""
        self._born_ms.pop(endpoint, None)
        self._born_ms[endpoint] = born_ms
        if len(self._born_ms) > MAX_ENDPOINTS:
            del self._born_ms[next(iter(self._born_ms))]

    def has(self, endpoint: EndpointId, born_ms: int) -> bool:
        """Return whether this process is the one recorded for the endpoint."""
        return self._born_ms.get(endpoint) == born_ms

    def forget(self, endpoint: EndpointId) -> None:
        """Remove the record of an endpoint."""
        self._born_ms.pop(endpoint, None)
