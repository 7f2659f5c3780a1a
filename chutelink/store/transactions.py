"""Commit a transaction and settle it when its reply is lost."""

from __future__ import annotations

import asyncio
from typing import TypeVar

import msgspec

from ..exceptions import (
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import WriteId, make_id
from .base import (
    ABSENT_VERSION,
    Check,
    Row,
    TableService,
    Transaction,
    Write,
)

SETTLE_ATTEMPTS = 6
SETTLE_PAUSE_S = 0.1
ABANDONED_VALUE = {"abandoned": True}
"""Stands in a row whose first write was given up; it counts as no value."""

ValueT = TypeVar("ValueT")


def decode_value(row: Row | None, kind: type[ValueT]) -> ValueT | None:
    """Return a row's value as a struct, or None for no row or an abandoned one.

    Raises
    ------
    PlatformUnavailable
        The row holds something else; it is not guessed at.
    """
    if row is None or row.value == ABANDONED_VALUE:
        return None
    try:
        return msgspec.convert(row.value, kind)
    except msgspec.ValidationError as error:
        raise PlatformUnavailable(
            str(error), step="table.decode", peer=row.key
        ) from error


async def async_commit(
    table: TableService, checks: list[Check], writes: list[Write]
) -> int:
    """Commit, and find out what happened when the reply is lost.

    The first write must be of a key that is also checked, and that no other
    process overwrites blindly. When the reply is lost, that row is read back:
    our write id there means that it took effect. An unchanged row is written
    anew with its old value (an absent one as abandoned), so that the late
    original can't take effect after we have said that it did not.

    Returns
    -------
    int
        The version of the rows written.

    Raises
    ------
    TransactionConflict
        Nothing was changed, now or later.
    PlatformUnavailable
        Nothing was changed.
    WriteOutcomeUnknown
        The platform stayed out while settling; it may have taken effect.
    """
    transaction = Transaction(WriteId(make_id()), tuple(checks), tuple(writes))
    try:
        return (await table.async_transact(transaction)).version
    except WriteOutcomeUnknown as lost:
        return await _async_settle(table, transaction, lost)


async def _async_settle(
    table: TableService, transaction: Transaction, lost: WriteOutcomeUnknown
) -> int:
    for attempt in range(SETTLE_ATTEMPTS):
        try:
            version = await _async_read_back(table, transaction)
        except (PlatformUnavailable, WriteOutcomeUnknown):
            version = None
        if version is not None:
            return version
        await asyncio.sleep(SETTLE_PAUSE_S * 2**attempt)
    raise lost


async def _async_read_back(table: TableService, transaction: Transaction) -> int | None:
    """Return the version written, None to look again; raise when overtaken."""
    key = transaction.writes[0].key
    checked = next(c.version for c in transaction.checks if c.key == key)
    page = await table.async_read(key)
    row = page.get(key)
    if row is not None and row.write_id == transaction.id:
        return row.version
    found = row.version if row is not None else ABSENT_VERSION
    if found != checked:
        raise TransactionConflict(key, step="table.settle", peer=key)
    value = row.value if row is not None else ABANDONED_VALUE
    await _async_fence_off(table, transaction, checked, value)
    raise TransactionConflict(key, step="table.settle", peer=key)


async def _async_fence_off(
    table: TableService, transaction: Transaction, checked: int, value: object
) -> None:
    """Change the row's version, keeping its value, so that the original fails."""
    key = transaction.writes[0].key
    touch = Transaction(
        WriteId(make_id()), (Check(key, checked),), (Write(key, value),)
    )
    await table.async_transact(touch)
