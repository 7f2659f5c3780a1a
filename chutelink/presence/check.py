"""Checks whether the process that sent a response still serves its address.

A port that accepts connections doesn't show that: the kernel accepts them for a process
that is stopped or about to end, and another process may have taken over the address.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from ..entry.endpoints import EndpointRecord


class Presence(Enum):
    """Result of a check of an endpoint's process."""

    SAME = "same"
    """The process itself has responded."""
    REPLACED = "replaced"
    """Another process has responded at its address."""
    REFUSED = "refused"
    """Nothing listens at its address."""
    UNKNOWN = "unknown"
    """Nothing has responded in time, or not as an endpoint does."""


class PresenceCheck(ABC):
    """Checks whether the process of an endpoint still runs and responds."""

    @abstractmethod
    async def async_check(self, record: EndpointRecord) -> Presence:
        """Return whether the process of a registration responds at its address.

        Errors of the call are results, not raised.
        """
