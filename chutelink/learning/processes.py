"""Processes of endpoints that are remembered after their rows are gone. Pure."""

from __future__ import annotations

from ..ids import EndpointId

MAX_ENDPOINTS = 1000
"""Most processes remembered; the rows of those that leave are soon removed for good."""


class ProcessMemory:
    """One process for each endpoint, the latest noted; the oldest ones are evicted."""

    def __init__(self) -> None:
        self._born_ms: dict[EndpointId, int] = {}

    def note(self, endpoint: EndpointId, born_ms: int) -> None:
        """Remember a process of an endpoint, in place of an earlier one."""
        self._born_ms.pop(endpoint, None)
        self._born_ms[endpoint] = born_ms
        if len(self._born_ms) > MAX_ENDPOINTS:
            del self._born_ms[next(iter(self._born_ms))]

    def has(self, endpoint: EndpointId, born_ms: int) -> bool:
        """Return whether this process was noted."""
        return self._born_ms.get(endpoint) == born_ms

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is remembered of an endpoint."""
        self._born_ms.pop(endpoint, None)
