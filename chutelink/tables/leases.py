"""Leases of failure domains, as one contender sees them."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import BootId, DaemonId, FailureDomainName


class LeaseRow(msgspec.Struct, frozen=True):
    """The row of a lease; ``counter`` rises with each renewal."""

    holder: DaemonId
    boot_id: BootId
    counter: int
    is_released: bool = False


class TermRow(msgspec.Struct, frozen=True):
    """The row that changes only when the holder does.

    Every transaction of a holder checks its version, so that one that has lost
    the lease can change nothing any more.
    """

    holder: DaemonId
    boot_id: BootId


class LeaseState(Enum):
    """What a contender may do."""

    WATCHING = "watching"
    HELD = "held"


class Lease:
    """One failure domain's lease; times are on the contender's own clock."""

    def __init__(self, failure_domain: FailureDomainName) -> None:
        self.failure_domain = failure_domain
        self.state = LeaseState.WATCHING
        self.row_version = 0
        self.term_version = 0
        self.row: LeaseRow | None = None
        self.unchanged_since_s: float | None = None
        self.held_until_s = float("-inf")

    def observe(self, row: LeaseRow | None, version: int, now_s: float) -> None:
        """Take in the row as read; a change restarts the watch."""
        if version != self.row_version or self.unchanged_since_s is None:
            self.unchanged_since_s = now_s
        self.row_version = version
        self.row = row

    @property
    def is_free(self) -> bool:
        """Whether nobody has held it yet, or the holder has given it back."""
        return self.row is None or self.row.is_released

    def may_take(self, now_s: float, patience_s: float) -> bool:
        """Return whether the row was unchanged for long enough."""
        return now_s - self.unchanged_since_s >= patience_s

    def is_held(self, now_s: float) -> bool:
        """Return whether orders may be sent now."""
        return self.state is LeaseState.HELD and now_s < self.held_until_s

    def lose(self, now_s: float) -> None:
        """Stop holding and watch from now on."""
        self.state = LeaseState.WATCHING
        self.held_until_s = float("-inf")
        self.unchanged_since_s = now_s
