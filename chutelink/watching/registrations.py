"""The registrations of endpoints that a daemon's copy of their table contains."""

from __future__ import annotations

from ..const import TABLE_ENDPOINTS
from ..origins.registrations import RegistrationLog
from ..store import StorePosition
from .watch import StoreWatch


class WatchedRegistrations(RegistrationLog):
    """Registrations as the watch of the store knows them.

    Parameters
    ----------
    watch : StoreWatch
        Reports the registrations that it replays to ``on_superseded``.
    """

    def __init__(self, watch: StoreWatch) -> None:
        self._watch = watch

    def position(self) -> StorePosition | None:
        """Return up to where this daemon knows all registrations, None before."""
        return self._watch.position(TABLE_ENDPOINTS)

    async def async_replay(self, since: StorePosition) -> None:
        """Note the software versions of all registrations since then."""
        await self._watch.async_replay(TABLE_ENDPOINTS, since)
