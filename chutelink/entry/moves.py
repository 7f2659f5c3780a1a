"""How demand moves from model to model, learned from what was seen. Pure."""

from __future__ import annotations

from collections import Counter

from ..ids import ModelName

LEAD = 1.5
"""How many times more than the former busiest model is asked for, a new one must be.

Two that are asked for about as often change places by chance.
"""
DOUBT = 1.0
"""Weight of what was not seen yet, in moves: after one move its step is as likely
as all others together."""


class MoveTable:
    """Which model was the busiest, one after the other."""

    def __init__(self) -> None:
        self._busiest: ModelName | None = None
        self._moves: list[tuple[ModelName, ModelName]] = []

    def observe(self, arrivals_per_s: dict[ModelName, float]) -> None:
        """Take in how often models are asked for."""
        if not arrivals_per_s:
            return
        busiest = max(arrivals_per_s, key=lambda m: (arrivals_per_s[m], m))
        if busiest == self._busiest:
            return
        if self._busiest is None:
            self._busiest = busiest
            return
        former = arrivals_per_s.get(self._busiest, 0.0)
        if arrivals_per_s[busiest] < LEAD * former:
            return
        self._moves.append((self._busiest, busiest))
        self._busiest = busiest

    def steps(self, order: list[ModelName]) -> dict[int, float]:
        """Return how likely demand moves on by how many places of an order.

        Empty while no move was seen: nothing is known then.
        """
        places = {model: place for place, model in enumerate(order)}
        counts: Counter[int] = Counter(
            (places[after] - places[before]) % len(order)
            for before, after in self._moves
            if before in places and after in places
        )
        total = counts.total() + DOUBT
        return {step: count / total for step, count in counts.items()}
