"""The stored row of the placer's lease, and helpers for reading and writing it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum

import msgspec

from ..const import TABLE_LEASES
from ..exceptions import WriteOutcomeUnknown
from ..ids import FIRST_ERA, NO_ERA, BootId, DaemonId, StoreEra

KEY_LEASE = f"{TABLE_LEASES}/placer"
VERSIONS_PER_ERA = 2**32
"""Exceeds the number of versions that a store assigns within one era."""
CALL_TIMEOUT_S = 0.5
"""Timeout of store calls, after which the row is read back.

Slow responses take 0.5 s.
"""


class PlacerRow(msgspec.Struct, frozen=True):
    """The lease's row in the store.

    ``term`` increases with each holder and is the fencing token of its orders;
    ``counter`` increases with each renewal; ``held_s`` is how long the lease had been
    held at the time of the write. ``yields`` counts how often the holder had yielded
    and resumed by then, and ``era`` is the store era known to it.

    ``order_delay_s`` is how long the holder had to wait with its orders when it took
    the lease; None in rows of releases that didn't record it.
    """

    holder: DaemonId
    boot_id: BootId
    term: int
    counter: int
    is_released: bool = False
    held_s: float = 0.0
    yields: int = 0
    era: StoreEra = NO_ERA
    order_delay_s: float | None = None


class LeasePhase(Enum):
    """Whether a daemon follows another holder or holds the lease itself."""

    FOLLOWING = "following"
    HELD = "held"


def next_term(row: PlacerRow | None, era: StoreEra, version: int) -> int:
    """Return the term for the next holder of the lease.

    A row restored from an older state names a term that later holders have already
    exceeded. Versions increase within an era and eras increase, so terms derived
    from both are never reused.
    """
    if era == NO_ERA:
        return (row.term if row is not None else 0) + 1
    return era * VERSIONS_PER_ERA + version + 1


def may_have_lost_row(row: PlacerRow | None, era: StoreEra) -> bool:
    """Return whether a store restore may have lost the row of a later holder.

    This is the case if the row, or its absence, dates from an earlier era.
    """
    return (FIRST_ERA if row is None else row.era) < era


@asynccontextmanager
async def call_timeout() -> AsyncIterator[None]:
    """Limit the duration of a store call, because a late renewal is useless.

    Raises
    ------
    WriteOutcomeUnknown
        The call did not complete within ``CALL_TIMEOUT_S``.
    """
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            yield
    except TimeoutError as error:
        raise WriteOutcomeUnknown(
            "no answer in time", step="lease.call", peer=KEY_LEASE
        ) from error
