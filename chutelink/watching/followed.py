"""A table of the store as a daemon follows it, and the changes that it tells of."""

from __future__ import annotations

from typing import Any

import msgspec

from ..ids import NO_ERA
from .tablecopy import TableCopy

OWN_READ = "own_read"
"""Source of what this daemon has read by itself; else it is a peer."""


class RowChange(msgspec.Struct, frozen=True):
    """A row that has changed, and how this daemon came to know of it.

    ``value`` is None for a row that was removed; ``source`` is ``OWN_READ`` or the
    peer that told; ``age_s`` is how old what was read is taken to be. A row that
    was removed may be back until ``back_until_s``, on this daemon's clock.
    ``is_restored`` says that the store has come back from a copy: what it shows may be
    of before the row as it was known, and no change that anybody made.
    """

    key: str
    value: Any
    version: int = 0
    source: str = OWN_READ
    age_s: float = 0.0
    back_until_s: float = float("-inf")
    is_restored: bool = False


class Knowledge(msgspec.Struct, frozen=True):
    """How recent the copy of a table is, for logs of what was decided by it."""

    version: int
    age_s: float


class Followed:
    """A table that is followed: its copy, and when it was read and told.

    ``bound_s`` is how soon a change must be known everywhere;
    ``heard_s`` and ``returned_s`` are times of the store's clock: of the latest answer
    that this daemon knows of, and of the first one after an outage; ``heard_era`` is
    the era of that latest answer. A copy is behind when others told of changes that
    continue from what it does not have.
    """

    def __init__(self, name: str, bound_s: float) -> None:
        self.copy = TableCopy(name)
        self.bound_s = bound_s
        self.started_s = float("-inf")
        self.heard_s: float | None = None
        self.heard_era = NO_ERA
        self.returned_s = float("-inf")
        self.is_behind = False
        self.snapshot_sent_s = float("-inf")
