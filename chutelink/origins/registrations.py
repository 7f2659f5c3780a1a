"""What is known of the registrations of endpoints, and when it was complete."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..store import StorePosition


class RegistrationLog(ABC):
    """The changes of the endpoints' registrations, as one daemon knows them."""

    @abstractmethod
    def position(self) -> StorePosition | None:
        """Return up to where this daemon knows all registrations, None before."""

    @abstractmethod
    async def async_replay(self, since: StorePosition) -> None:
        """Note the software versions of all registrations since then.

        They include registrations that were removed again. This daemon must have a
        position.

        Raises
        ------
        HistoryLost
            The store no longer has all of these changes.
        PlatformUnavailable
            The store did not respond in time, or was restored.
        """
