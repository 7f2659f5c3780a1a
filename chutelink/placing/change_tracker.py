"""Track the changes in progress at endpoints and the loads queued behind them."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from ..entry.messages import PendingLoad, QueuedLoad
from ..entry.pending import PendingTable
from ..ids import AdapterName, EndpointId, ModelName, ServiceName
from .changes import Change
from .inventory import Inventory


class ChangeTracker:
    """Stores the placer's changes and load forecasts with their expected times.

    Parameters
    ----------
    announced : PendingTable
        Announced loads, including those of previous lease holders.
    """

    def __init__(self, announced: PendingTable) -> None:
        self._announced = announced
        self._changes: dict[EndpointId, tuple[Change, float]] = {}
        self._queued_ready_s: dict[ServiceName, dict[ModelName, float]] = {}

    def clear(self) -> None:
        """Discard the changes and forecasts of an earlier term."""
        self._changes.clear()
        self._queued_ready_s.clear()

    def begin(self, change: Change, ready_s: float) -> None:
        """Record a change that its endpoint should complete by ``ready_s``."""
        self._changes[change.endpoint] = (change, ready_s)

    def end(self, change: Change) -> None:
        """Remove a change that has completed or failed."""
        if self._changes.get(change.endpoint, (None,))[0] is change:
            del self._changes[change.endpoint]

    def set_queued(
        self, service: ServiceName, forecast_s: Mapping[ModelName, float], now_s: float
    ) -> None:
        """Replace the load forecast of a service, given in seconds from now."""
        self._queued_ready_s[service] = {
            model: now_s + ready_in_s for model, ready_in_s in forecast_s.items()
        }

    def free_in_s(self, inventory: Inventory, now_s: float) -> float:
        """Return how many seconds remain until the endpoint has completed its change.

        For an order of a previous lease holder, its announcement is used. The result
        is infinite if the endpoint is busy and nothing was announced.
        """
        endpoint = inventory.endpoint
        if endpoint in self._changes:
            return max(0.0, self._changes[endpoint][1] - now_s)
        if not inventory.is_busy:
            return 0.0
        ready_s = self._announced.endpoint_ready_s(endpoint)
        return ready_s - now_s if ready_s > now_s else math.inf

    def loading(
        self,
        inventories: Mapping[EndpointId, Inventory],
        is_eligible: Callable[[EndpointId], bool] = lambda endpoint: True,
    ) -> dict[tuple[ModelName, AdapterName], int]:
        """Return how many endpoints are loading each model and adapter.

        Loads whose result the endpoint already holds are not counted, nor those at
        endpoints that may get no requests.
        """
        counts: dict[tuple[ModelName, AdapterName], int] = {}
        for change, _ in self._changes.values():
            if not is_eligible(change.endpoint):
                continue
            held = inventories.get(change.endpoint)
            if held is not None and held.has(change.model, change.adapter):
                continue
            key = (change.model, change.adapter)
            counts[key] = counts.get(key, 0) + 1
        return counts

    def loading_at(self) -> frozenset[tuple[EndpointId, ModelName, AdapterName]]:
        """Return which endpoints are loading which models and adapters."""
        return frozenset(
            (change.endpoint, change.model, change.adapter)
            for change, _ in self._changes.values()
        )

    def pending_loads(self, now_s: float) -> list[PendingLoad]:
        """Return the loads in progress, in the form in which they are announced."""
        return [
            PendingLoad(
                change.endpoint,
                change.model,
                change.adapter,
                max(0.0, ready_s - now_s),
                change.is_cold,
            )
            for change, ready_s in self._changes.values()
        ]

    def queued_loads(self, now_s: float) -> list[QueuedLoad]:
        """Return the queued loads, in the form in which they are announced."""
        return [
            QueuedLoad(model, max(0.0, ready_s - now_s))
            for forecast in self._queued_ready_s.values()
            for model, ready_s in forecast.items()
        ]
