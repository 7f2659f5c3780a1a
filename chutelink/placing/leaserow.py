"""The row of the placer's lease, and the calls about it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum

import msgspec

from ..const import TABLE_LEASES
from ..exceptions import WriteOutcomeUnknown
from ..ids import BootId, DaemonId

KEY_LEASE = f"{TABLE_LEASES}/placer"
CALL_LIMIT_S = 0.5
"""A renewal without an answer for so long is looked up; slow answers take 0.5 s."""


class PlacerRow(msgspec.Struct, frozen=True):
    """The lease's row.

    ``term`` rises with each holder and is the fence of its orders; ``counter``
    rises with each renewal; ``held_s`` is how long a lease that was released had
    been held. ``yields`` is how often the holder had yielded and gone on when it
    wrote this.
    """

    holder: DaemonId
    boot_id: BootId
    term: int
    counter: int
    is_released: bool = False
    held_s: float = 0.0
    yields: int = 0


class LeasePhase(Enum):
    """What a daemon may do."""

    FOLLOWING = "following"
    HELD = "held"


@asynccontextmanager
async def time_limit() -> AsyncIterator[None]:
    """Give a call up early: a lease is worth nothing once it is late."""
    try:
        async with asyncio.timeout(CALL_LIMIT_S):
            yield
    except TimeoutError as error:
        raise WriteOutcomeUnknown(
            "no answer in time", step="lease.call", peer=KEY_LEASE
        ) from error
