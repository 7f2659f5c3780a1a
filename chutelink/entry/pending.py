"""Loads in progress, as last announced by the placer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from ..ids import AdapterName, EndpointId, ModelName
from .endpoints import NO_ADAPTER
from .messages import PendingLoad, QueuedLoad

ANNOUNCEMENT_VALID_S = 1.5
"""Validity of an announcement, after which pending loads are unknown.

The placer sends an announcement every 0.4 s.
"""

OVERDUE_TOLERANCE_S = 0.5
"""How long after its announced time a load is still expected.

A placer announces a delayed load again. Loads that are no longer announced are not
waited for.
"""

COLD_LOAD_HISTORY_S = 30.0
"""How long the start of a cold load is kept; rates are counted over some seconds."""


class PendingTable:
    """Expected load times of models and adapters, with a signal on each change."""

    def __init__(self) -> None:
        self._ready_s: dict[tuple[ModelName, AdapterName], float] = {}
        self._previous_term_s: dict[tuple[ModelName, AdapterName], float] = {}
        self._queued_s: dict[ModelName, float] = {}
        self._endpoint_ready_s: dict[EndpointId, float] = {}
        self._cold_s: dict[tuple[EndpointId, ModelName], float] = {}
        self._term = 0
        self._heard_s = float("-inf")
        self._changed = asyncio.Event()
        self.is_eligible: Callable[[EndpointId], bool] = lambda endpoint: True
        """Returns whether an endpoint may get requests; no others are waited for."""

    def take(
        self,
        loads: list[PendingLoad],
        term: int,
        now_s: float,
        queued: Sequence[QueuedLoad] = (),
    ) -> None:
        """Replace the announced loads.

        Loads started by a previous placer continue, and are kept until they are due.
        """
        self._heard_s = now_s
        if term != self._term:
            self._term = term
            self._previous_term_s |= self._ready_s
        self._previous_term_s = {
            key: ready_s
            for key, ready_s in self._previous_term_s.items()
            if now_s < ready_s + OVERDUE_TOLERANCE_S
        }
        self._ready_s = {}
        for load in loads:
            if not self.is_eligible(load.endpoint):
                continue
            key = (load.model, load.adapter)
            ready_s = now_s + load.ready_in_s
            self._ready_s[key] = min(ready_s, self._ready_s.get(key, ready_s))
        self._queued_s = {load.model: now_s + load.ready_in_s for load in queued}
        self._record_cold_loads(loads, now_s)
        for load in loads:
            if not load.adapter:
                self._endpoint_ready_s[load.endpoint] = now_s + load.ready_in_s
        self.signal()

    def _record_cold_loads(self, loads: list[PendingLoad], now_s: float) -> None:
        self._cold_s = {
            key: begun_s
            for key, begun_s in self._cold_s.items()
            if now_s - begun_s < COLD_LOAD_HISTORY_S
        }
        for load in loads:
            if load.is_cold:
                self._cold_s.setdefault((load.endpoint, load.model), now_s)

    def endpoint_ready_s(self, endpoint: EndpointId) -> float:
        """Return when the last announced model load on an endpoint should complete."""
        return self._endpoint_ready_s.get(endpoint, float("-inf"))

    def cold_begun_s(self) -> list[float]:
        """Return the start times of loads from the weight store, oldest first."""
        return sorted(self._cold_s.values())

    def signal(self) -> None:
        """Wake all waiting tasks."""
        self._changed.set()
        self._changed = asyncio.Event()

    @property
    def heard_s(self) -> float:
        """When the last announcement was received."""
        return self._heard_s

    def has_placer(self, now_s: float) -> bool:
        """Return whether a placer has sent an announcement recently."""
        return now_s - self._heard_s < ANNOUNCEMENT_VALID_S

    def ready_s(
        self, model: ModelName, adapter: AdapterName, now_s: float
    ) -> float | None:
        """Return when a model or adapter should be loaded, or None if unknown.

        For a queued model, this is the earliest time. The time of an overdue load is
        unknown, since announcements may have stopped.
        """
        for known in (self._ready_s, self._previous_term_s):
            for key in ((model, adapter), (model, NO_ADAPTER)):
                ready_s = known.get(key)
                if ready_s is not None and now_s < ready_s + OVERDUE_TOLERANCE_S:
                    return ready_s
        queued_s = self._queued_s.get(model)
        is_known = queued_s is not None and now_s < queued_s + OVERDUE_TOLERANCE_S
        return queued_s if is_known else None

    async def async_wait(self, limit_s: float) -> None:
        """Wait for the next change, at most for ``limit_s``."""
        event = self._changed
        try:
            async with asyncio.timeout(limit_s):
                await event.wait()
        except TimeoutError:
            return
