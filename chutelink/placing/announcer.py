"""Announce to all daemons what endpoints hold and that the placer is alive."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..core import Application
from ..entry.endpoints import EndpointTable
from ..entry.messages import (
    EndpointPlacement,
    PendingLoad,
    PlacementUpdate,
    PlacerHeartbeat,
    QueuedLoad,
)
from ..ids import EndpointId
from .inventory import Inventory

ANNOUNCE_PERIOD_S = 0.4
"""Interval of the holder's heartbeat.

Other daemons check the lease after three missed heartbeats.
"""
FULL_ANNOUNCE_PERIOD_S = 5.0
"""Interval of full announcements, for daemons that have just started."""


class Announcer:
    """Announces placement changes, and periodically the full placement.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : EndpointTable
        The endpoints that this daemon routes requests to.
    send : callable
        Broadcasts a message to all daemons, including this one.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        send: Callable[[PlacementUpdate | PlacerHeartbeat], None],
    ) -> None:
        self._core = core
        self._table = table
        self._send = send
        self._announced: dict[EndpointId, EndpointPlacement] = {}
        self._full_announced_s = float("-inf")
        self._heartbeat_sent_s = float("-inf")

    def reset(self) -> None:
        """Make the next announcement a full one.

        Another holder may have announced a different placement since.
        """
        self._announced.clear()

    def announce(
        self,
        term: int,
        inventories: Iterable[Inventory],
        loads: list[PendingLoad],
        queued: list[QueuedLoad],
    ) -> None:
        """Announce changed endpoints and the loads in progress or queued."""
        now_s = self._core.clock()
        daemon = self._core.daemon_id
        placements = self._changed(inventories)
        self._send(PlacementUpdate(daemon, term, placements, loads, queued))
        if now_s - self._heartbeat_sent_s >= ANNOUNCE_PERIOD_S:
            self._heartbeat_sent_s = now_s
            self._send(PlacerHeartbeat(daemon, term))

    def _changed(self, inventories: Iterable[Inventory]) -> list[EndpointPlacement]:
        """Return placements that differ from the last announced ones."""
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
