"""Detects that a daemon has been suspended and may not know of an evacuation yet."""

from __future__ import annotations

from collections.abc import Callable

from ..core import Application
from ..watching.table_state import TableFreshness

MAX_HOLD_S = 1.5
"""How long requests are held at most; a call to the store fails after 1 s."""


class SuspensionGate:
    """Says when requests have to wait for a read of the store.

    The copy of a table is never older than its bound unless the store fails, which the
    next call shows, or this daemon was suspended. Requests that arrived meanwhile are
    processed before the first read after the suspension is answered.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    knowledge : callable
        Returns the version and age of the copy.
    is_store_failing : callable
        Returns whether the latest call to the store failed.
    bound_s : float
        The age up to which the copy is current.
    """

    def __init__(
        self,
        core: Application,
        knowledge: Callable[[], TableFreshness],
        is_store_failing: Callable[[], bool],
        bound_s: float,
    ) -> None:
        self._core = core
        self._knowledge = knowledge
        self._is_store_failing = is_store_failing
        self._bound_s = bound_s
        self._held_version: int | None = None
        self._held_since_s = float("-inf")

    def is_outdated(self) -> bool:
        """Return whether requests have to wait."""
        knowledge = self._knowledge()
        if knowledge.age_s <= self._bound_s or self._is_store_failing():
            return False
        now_s = self._core.clock()
        if self._held_version != knowledge.version:
            self._held_version, self._held_since_s = knowledge.version, now_s
            self._core.events.warning("requests_held", age_s=knowledge.age_s)
        return now_s - self._held_since_s < MAX_HOLD_S
