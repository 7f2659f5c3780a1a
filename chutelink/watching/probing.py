"""When to call a store that does not answer. Pure."""

from __future__ import annotations

import random

from .timing import MAX_RANK, RETRY_S, RETRY_SPREAD

FAILURES_TO_SPREAD = 2
"""A single lost call is no outage; it is repeated soon."""


class ProbePacer:
    """Spreads the calls of a fleet over an outage of the store.

    Whoever reaches the store again tells the others, so that daemons further behind in
    rank probe less often, at most once in the bound within which changes must be known.

    Parameters
    ----------
    bound_s : float
        The longest pause.
    rng : random.Random
        Spreads the pauses.
    """

    def __init__(self, bound_s: float, rng: random.Random) -> None:
        self._bound_s = bound_s
        self._rng = rng
        self._failures = 0
        self._next_s = float("-inf")

    @property
    def is_away(self) -> bool:
        """Whether the latest call failed."""
        return self._failures > 0

    def note_success(self) -> None:
        """Let all calls go ahead."""
        self._failures = 0
        self._next_s = float("-inf")

    def note_failure(self, now_s: float, rank: int, *, is_urgent: bool) -> None:
        """Choose the next pause.

        ``is_urgent`` says that this daemon can't wait for others to reach the store: it
        hears none of them, or knows nothing yet.
        """
        self._failures += 1
        pause_s = RETRY_S * self._rng.uniform(1.0, RETRY_SPREAD)
        behind = max(0, rank - MAX_RANK)
        if behind and not is_urgent and self._failures >= FAILURES_TO_SPREAD:
            factor = 1.0 + behind / (MAX_RANK + 1)
            longest_s = self._bound_s * self._rng.uniform(0.5, 1.0)
            pause_s = max(pause_s, min(longest_s, pause_s * factor))
        self._next_s = now_s + pause_s

    def pause_s(self, now_s: float) -> float:
        """Return how long to wait before the next call."""
        return self._next_s - now_s
