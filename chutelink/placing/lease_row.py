"""The row of the placer's lease, and the calls about it."""

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
"""Far more than any store gives out before it is restored."""
CALL_TIMEOUT_S = 0.5
"""A renewal without an answer for so long is looked up; slow answers take 0.5 s."""


class PlacerRow(msgspec.Struct, frozen=True):
    """The lease's row.

    ``term`` rises with each holder and is the fence of its orders; ``counter``
    rises with each renewal; ``held_s`` is how long a lease that was released had
    been held. ``yields`` is how often the holder had yielded and gone on when it
    wrote this, ``era`` the store's era that it knew of then.
    """

    holder: DaemonId
    boot_id: BootId
    term: int
    counter: int
    is_released: bool = False
    held_s: float = 0.0
    yields: int = 0
    era: StoreEra = NO_ERA


class LeasePhase(Enum):
    """What a daemon may do."""

    FOLLOWING = "following"
    HELD = "held"


def next_term(row: PlacerRow | None, era: StoreEra, version: int) -> int:
    """Return the term of whoever takes the lease next.

    A row that came back older names a term that was followed by others. Versions
    rise within an era, and eras rise, so that terms made of both never repeat.
    """
    if era == NO_ERA:
        return (row.term if row is not None else 0) + 1
    return era * VERSIONS_PER_ERA + version + 1


def may_miss_holder(row: PlacerRow | None, era: StoreEra) -> bool:
    """Return whether the store may have lost the row of a later holder.

    True of a row, or of none, that lies in the store since an earlier era.
    """
    return (FIRST_ERA if row is None else row.era) < era


@asynccontextmanager
async def call_timeout() -> AsyncIterator[None]:
    """Give a call up early: a lease is worth nothing once it is late."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            yield
    except TimeoutError as error:
        raise WriteOutcomeUnknown(
            "no answer in time", step="lease.call", peer=KEY_LEASE
        ) from error
