"""Request demand by model and adapter, aggregated over all daemons."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from ..ids import AdapterName, DaemonId, ModelName, RegionName
from .messages import HomeUsage, ModelUsage

HomeKey = tuple[ModelName, AdapterName, frozenset[RegionName]]
"""A model or adapter, and the home regions of requests for it."""

AVERAGING_S = 3.0
"""Time constant of the moving averages.

It is close to the duration of a load: with a shorter one, loads would start for bursts
that end before the load does.
"""
TREND_S = 2 * AVERAGING_S
"""Time constant of the slower average, from which the growth of a rate is derived."""
MIN_GROWTH_DEVIATIONS = 2.0
"""Standard deviations by which a rate must rise to count as growth.

A constant rate of independent requests varies as well; a single request is no growth.
"""
ASKS_DECAY_S = 8.0
"""Decay time constant of the request count that justifies a rare model's cold load."""
UNSERVED_VALID_S = 20.0
"""How long a model keeps its place in the load order without new requests.

This is the longest time that callers wait for a response: a caller that was told to
retry does so within it.
"""
WAITING_VALID_S = 1.5
"""How long a daemon's count of waiting requests is valid without a newer report."""


class UsageAverage(msgspec.Struct):
    """Moving averages of the requests for one model or adapter.

    ``work_per_s`` is the requested engine time in seconds per second; ``asks`` is a
    slowly decaying count of arrivals, and ``trend_per_s`` the average of arrivals over
    ``TREND_S``. ``denied_since_s`` is when the first request since the last served one
    began to wait; None if none has waited since.
    """

    work_per_s: float = 0.0
    arrivals_per_s: float = 0.0
    trend_per_s: float = 0.0
    asks: float = 0.0
    updated_s: float = 0.0
    last_arrival_s: float = float("-inf")
    denied_since_s: float | None = None

    def note_outcome(self, *, is_served: bool, is_waiting: bool, now_s: float) -> None:
        """Update ``denied_since_s``, given whether requests were served or wait."""
        if is_served or now_s - self.last_arrival_s > UNSERVED_VALID_S:
            self.denied_since_s = None
        if is_waiting and self.denied_since_s is None:
            self.denied_since_s = now_s

    def decay(self, now_s: float) -> None:
        """Decay the averages to ``now_s``."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        factor = math.exp(-elapsed_s / AVERAGING_S)
        self.work_per_s *= factor
        self.arrivals_per_s *= factor
        self.trend_per_s *= math.exp(-elapsed_s / TREND_S)
        self.asks *= math.exp(-elapsed_s / ASKS_DECAY_S)
        self.updated_s = now_s


class ModelDemand(msgspec.Struct):
    """Current average demand for a model including all of its adapters."""

    work_per_s: float = 0.0
    arrivals_per_s: float = 0.0
    trend_per_s: float = 0.0
    last_arrival_s: float = float("-inf")

    def growth_per_s2(self, observed_s: float) -> float:
        """Return the growth of the request rate in requests per second squared.

        A rate that grows steadily leads each average by the growth times its time
        constant, so the difference of the averages gives the growth. It is 0 if the
        difference is within the variation of a constant rate. That both averages
        began at 0 ``observed_s`` seconds ago is no growth.
        """
        if observed_s < AVERAGING_S:
            return 0.0
        recent_per_s = self.arrivals_per_s / -math.expm1(-observed_s / AVERAGING_S)
        lead_per_s = recent_per_s + self.trend_per_s / math.expm1(-observed_s / TREND_S)
        variance = self.arrivals_per_s * (
            1 / (2 * AVERAGING_S) + 1 / (2 * TREND_S) - 2 / (AVERAGING_S + TREND_S)
        )
        if lead_per_s <= MIN_GROWTH_DEVIATIONS * math.sqrt(variance):
            return 0.0
        return lead_per_s / (TREND_S - AVERAGING_S)


class _WaitingRequests(msgspec.Struct, frozen=True):
    """Requests waiting at one daemon, from its latest report."""

    requests: int
    patient: int
    heard_s: float


class _HomeDemand(msgspec.Struct):
    """Requests with the same home regions for a model or adapter.

    ``denied_since_s`` is as in `UsageAverage`; ``last_s`` is when such a request last
    waited or was served.
    """

    waiting: dict[DaemonId, _WaitingRequests] = {}
    denied_since_s: float | None = None
    last_s: float = float("-inf")

    def note(self, daemon: DaemonId, usage: HomeUsage, now_s: float) -> None:
        """Apply the usage reported by one daemon."""
        self.waiting[daemon] = _WaitingRequests(usage.waiting, 0, now_s)
        if usage.served or now_s - self.last_s > UNSERVED_VALID_S:
            self.denied_since_s = None
        if usage.waiting and self.denied_since_s is None:
            self.denied_since_s = now_s
        if usage.waiting or usage.served:
            self.last_s = now_s

    def count_waiting(self, now_s: float) -> int:
        """Return the number of waiting requests at all daemons."""
        return sum(
            waiting.requests
            for waiting in self.waiting.values()
            if now_s - waiting.heard_s < WAITING_VALID_S
        )


class DemandTable:
    """Demand by model and adapter; the empty adapter name denotes the base model."""

    def __init__(self) -> None:
        self.uses: dict[tuple[ModelName, AdapterName], UsageAverage] = {}
        self._waiting: dict[
            tuple[ModelName, AdapterName], dict[DaemonId, _WaitingRequests]
        ] = {}
        self._homes: dict[HomeKey, _HomeDemand] = {}
        self._since_s = math.inf

    def take(
        self,
        daemon: DaemonId,
        uses: list[ModelUsage],
        now_s: float,
        homes: Sequence[HomeUsage] = (),
    ) -> None:
        """Apply the usage reported by one daemon."""
        self._since_s = min(self._since_s, now_s)
        for usage in homes:
            key = (usage.model, usage.adapter, frozenset(usage.regions))
            self._homes.setdefault(key, _HomeDemand()).note(daemon, usage, now_s)
        for usage in uses:
            key = (usage.model, usage.adapter)
            average = self.uses.setdefault(key, UsageAverage(updated_s=now_s))
            average.decay(now_s)
            average.work_per_s += usage.work_s / AVERAGING_S
            average.arrivals_per_s += usage.arrivals / AVERAGING_S
            average.trend_per_s += usage.arrivals / TREND_S
            average.asks += usage.arrivals
            if usage.arrivals:
                average.last_arrival_s = now_s
            average.note_outcome(
                is_served=usage.served > 0, is_waiting=usage.waiting > 0, now_s=now_s
            )
            waiting = self._waiting.setdefault(key, {})
            waiting[daemon] = _WaitingRequests(usage.waiting, usage.patient, now_s)

    def totals(self, now_s: float) -> dict[ModelName, ModelDemand]:
        """Return the demand for every requested model, computed in one pass."""
        totals: dict[ModelName, ModelDemand] = {}
        for (name, _), average in self.uses.items():
            average.decay(now_s)
            total = totals.setdefault(name, ModelDemand())
            total.work_per_s += average.work_per_s
            total.arrivals_per_s += average.arrivals_per_s
            total.trend_per_s += average.trend_per_s
            total.last_arrival_s = max(total.last_arrival_s, average.last_arrival_s)
        return totals

    def observed_s(self, now_s: float) -> float:
        """Return for how many seconds daemons have reported their demand."""
        return max(0.0, now_s - self._since_s)

    def asks(self, model: ModelName, now_s: float) -> float:
        """Return the number of recent requests for a model, decaying in about 8 s."""
        total = 0.0
        for (name, _), average in self.uses.items():
            if name == model:
                average.decay(now_s)
                total += average.asks
        return total

    def can_wait_for_cold_load(self, model: ModelName, now_s: float) -> bool:
        """Return whether a waiting request has enough time left for a cold load."""
        return any(
            waiting.patient and now_s - waiting.heard_s < WAITING_VALID_S
            for (name, _), by_daemon in self._waiting.items()
            if name == model
            for waiting in by_daemon.values()
        )

    def denied_s(self, now_s: float) -> dict[tuple[ModelName, AdapterName], float]:
        """Return how long requests for models and adapters have been unserved.

        The time counts from the first waiting request after the last served one. A
        refused request does not end it, so that its model keeps its place in the load
        order.
        """
        return {
            key: now_s - average.denied_since_s
            for key, average in self.uses.items()
            if average.denied_since_s is not None
            and now_s - average.last_arrival_s < UNSERVED_VALID_S
        }

    def adapter_arrival_s(self, model: ModelName, adapter: AdapterName) -> float:
        """Return when an adapter was last requested."""
        average = self.uses.get((model, adapter))
        return float("-inf") if average is None else average.last_arrival_s

    def waiting(self, now_s: float) -> dict[tuple[ModelName, AdapterName], int]:
        """Return the number of waiting requests by model and adapter."""
        counts: dict[tuple[ModelName, AdapterName], int] = {}
        for key, by_daemon in self._waiting.items():
            count = sum(
                waiting.requests
                for waiting in by_daemon.values()
                if now_s - waiting.heard_s < WAITING_VALID_S
            )
            if count:
                counts[key] = count
        return counts

    def waiting_at_home(self, now_s: float) -> dict[HomeKey, int]:
        """Return the number of waiting requests with homes, longest denied first.

        Also forgets home regions that requests no longer have.
        """
        self._homes = {
            key: demand
            for key, demand in self._homes.items()
            if now_s - demand.last_s < UNSERVED_VALID_S
        }
        counts = {k: demand.count_waiting(now_s) for k, demand in self._homes.items()}
        denied_s = self.denied_at_home_s(now_s)
        keys = sorted(counts, key=lambda key: -denied_s.get(key, 0.0))
        return {key: counts[key] for key in keys if counts[key]}

    def denied_at_home_s(self, now_s: float) -> dict[HomeKey, float]:
        """Return how long requests with home regions have been unserved."""
        return {
            key: now_s - demand.denied_since_s
            for key, demand in self._homes.items()
            if demand.denied_since_s is not None
            and now_s - demand.last_s < UNSERVED_VALID_S
        }

    def used_at_home(self, now_s: float, window_s: float) -> list[HomeKey]:
        """Return what requests with home regions asked for within the window."""
        return [
            k for k, demand in self._homes.items() if now_s - demand.last_s < window_s
        ]

    def recent(self, now_s: float, window_s: float) -> list[ModelName]:
        """Return the models requested within the window, highest demand first."""
        totals = {
            name: total
            for name, total in self.totals(now_s).items()
            if now_s - total.last_arrival_s < window_s
        }
        return sorted(totals, key=lambda name: (-totals[name].work_per_s, name))
