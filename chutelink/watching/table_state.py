"""State of a table that a daemon replicates from the store, and its row changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from ..ids import NO_ERA
from .tablecopy import TableCopy

OWN_READ = "own_read"
"""Source of changes that this daemon read from the store itself, not from a peer."""


class RowChange(msgspec.Struct, frozen=True):
    """A changed row, and where this daemon learned of the change.

    ``value`` is None for a removed row; ``source`` is ``OWN_READ`` or the ID of the
    peer that sent the change; ``age_s`` is the upper bound of the age of the read.
    A removed row may be registered again until ``back_until_s``, on this daemon's
    clock. ``is_restored`` is set if the store was restored from a backup: the row may
    then be older than the known one, without anybody having changed it.
    """

    key: str
    value: Any
    version: int = 0
    source: str = OWN_READ
    age_s: float = 0.0
    back_until_s: float = float("-inf")
    is_restored: bool = False


class TableFreshness(msgspec.Struct, frozen=True):
    """Version and age of a table's copy, for logs of the decisions made with it."""

    version: int
    age_s: float


class TableState:
    """A replicated table: its copy, and the times of its reads and answers.

    ``staleness_bound_s`` is the time within which every daemon must know a change.
    ``latest_answer_s`` and ``recovered_s`` are times of the store's clock: of the
    latest answer that this daemon knows of, its own or a peer's, and of the first one
    after an outage. ``latest_era`` is the era of the latest answer. ``has_gap`` is set
    when an update from a peer could not be applied because the copy lacks changes
    that precede it. ``known_as_of_s`` is a time of this daemon's clock, as of which the
    copy is known to be current. ``outlasts_restore`` is passed on to the copy.
    """

    def __init__(
        self,
        name: str,
        staleness_bound_s: float,
        outlasts_restore: Callable[[str], bool] = lambda key: False,
    ) -> None:
        self.copy = TableCopy(name, outlasts_restore)
        self.staleness_bound_s = staleness_bound_s
        self.call_started_s = float("-inf")
        self.latest_answer_s: float | None = None
        self.latest_era = NO_ERA
        self.recovered_s = float("-inf")
        self.has_gap = False
        self.known_as_of_s = float("-inf")
        self.snapshot_sent_s = float("-inf")
        self.refresh_lock = asyncio.Lock()
        """Held during a read on demand, which serves all callers that wait for it."""
        self.refreshed_s = float("-inf")
        self.has_refresh_failed = False
        """Whether the last read on demand failed, which began at ``refreshed_s``."""
        self.unsent_after: int | None = None
        """Version from which on reads on demand have shown no change."""
        self.kept_sent_s = float("-inf")
