"""Tell all daemons what endpoints hold, and that there is a placer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..core import Application
from ..entry.endpoints import EndpointTable
from ..entry.news import (
    EndpointPlacement,
    PendingLoad,
    PlacementNews,
    PlacerBeacon,
    QueuedLoad,
)
from ..ids import EndpointId
from .inventory import Inventory

ANNOUNCE_PERIOD_S = 0.4
"""The holder's sign of life; three are missed before others look at the lease."""
FULL_ANNOUNCE_PERIOD_S = 5.0
"""How often everything is told again, for daemons that have just started."""


class Announcer:
    """Sends what has changed, and now and then everything.

    Parameters
    ----------
    core : Application
        The owner.
    table : EndpointTable
        The endpoints, as this daemon serves from them.
    send : callable
        Tells all daemons, this one included.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        send: Callable[[PlacementNews | PlacerBeacon], None],
    ) -> None:
        self._core = core
        self._table = table
        self._send = send
        self._announced: dict[EndpointId, EndpointPlacement] = {}
        self._full_announced_s = float("-inf")
        self._beacon_sent_s = float("-inf")

    def reset(self) -> None:
        """Tell everything next: others may have told something else since."""
        self._announced.clear()

    def announce(
        self,
        term: int,
        inventories: Iterable[Inventory],
        loads: list[PendingLoad],
        queued: list[QueuedLoad],
    ) -> None:
        """Tell of endpoints that have changed and of loads on their way or queued."""
        now_s = self._core.clock()
        daemon = self._core.daemon_id
        placements = self._changed(inventories)
        self._send(PlacementNews(daemon, term, placements, loads, queued))
        if now_s - self._beacon_sent_s >= ANNOUNCE_PERIOD_S:
            self._beacon_sent_s = now_s
            self._send(PlacerBeacon(daemon, term))

    def _changed(self, inventories: Iterable[Inventory]) -> list[EndpointPlacement]:
        """Return what endpoints hold, as far as it was not told lately."""
        now_s = self._core.clock()
        if now_s - self._full_announced_s >= FULL_ANNOUNCE_PERIOD_S:
            self._full_announced_s = now_s
            self._announced.clear()
        changed = []
        for inventory in inventories:
            row = self._table.rows.get(inventory.endpoint)
            if row is None or not inventory.is_known:
                continue
            models = {
                model: sorted(adapters)
                for model, adapters in row.models.items()
                if model not in row.closing and not inventory.is_down
            }
            placement = EndpointPlacement(
                inventory.endpoint, row.sequence, models, row.record.born_ms
            )
            if self._announced.get(inventory.endpoint) != placement:
                self._announced[inventory.endpoint] = placement
                changed.append(placement)
        return changed
