"""Leases of failure domains, from the view of one contender."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import BootId, DaemonId, FailureDomainName


class LeaseRow(msgspec.Struct, frozen=True):
    """Row of a lease; each renewal increments ``counter``."""

    holder: DaemonId
    boot_id: BootId
    counter: int
    is_released: bool = False


class TermRow(msgspec.Struct, frozen=True):
    """Row that changes only when the holder changes.

    Each transaction of a holder checks this row's version, so that a holder that
    has lost the lease cannot write any more.
    """

    holder: DaemonId
    boot_id: BootId


class LeaseState(Enum):
    """State of a lease at a contender."""

    WATCHING = "watching"
    HELD = "held"


class Lease:
    """Lease of one failure domain; times are on the contender's own clock."""

    def __init__(self, failure_domain: FailureDomainName) -> None:
        self.failure_domain = failure_domain
        self.state = LeaseState.WATCHING
        self.row_version = 0
        self.term_version = 0
        self.row: LeaseRow | None = None
        self.unchanged_since_s: float | None = None
        self.held_until_s = float("-inf")

    def observe(self, row: LeaseRow | None, version: int, now_s: float) -> None:
        """Record the row as read; a changed version restarts the waiting time."""
        if version != self.row_version or self.unchanged_since_s is None:
            self.unchanged_since_s = now_s
        self.row_version = version
        self.row = row

    @property
    def is_free(self) -> bool:
        """Whether the lease was never held, or was released by its holder."""
        return self.row is None or self.row.is_released

    def may_take(self, now_s: float, patience_s: float) -> bool:
        """Return whether the row has been unchanged for ``patience_s``."""
        return now_s - self.unchanged_since_s >= patience_s

    def is_held(self, now_s: float) -> bool:
        """Return whether this contender holds the lease and may send orders."""
        return self.state is LeaseState.HELD and now_s < self.held_until_s

    def lose(self, now_s: float) -> None:
        """Mark the lease as lost and restart the waiting time."""
        self.state = LeaseState.WATCHING
        self.held_until_s = float("-inf")
        self.unchanged_since_s = now_s
