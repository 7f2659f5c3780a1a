"""Commit transactions, and determine the outcome if the response is lost."""

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
"""Value of a row whose first write was abandoned; it is read as no value."""

ValueT = TypeVar("ValueT")


def decode_value(row: Row | None, kind: type[ValueT]) -> ValueT | None:
    """Return a row's value as a struct, or None for a missing or abandoned row.

    Raises
    ------
    PlatformUnavailable
        The value does not match the struct.
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
    """Commit a transaction, and determine its outcome if the response is lost.

    The first write must be to a key that is also checked, and that no other process
    writes without a check. If the response is lost, that row is read back: the
    transaction's write id there means that it was applied. An unchanged row is
    rewritten with its old value (a missing row as abandoned). This changes its
    version, so that a delayed original fails its check and cannot be applied after
    it was reported as not applied.

    Returns
    -------
    int
        The version of the rows written.

    Raises
    ------
    TransactionConflict
        No write was applied, and none will be.
    PlatformUnavailable
        No write was applied.
    WriteOutcomeUnknown
        The platform was unavailable while the outcome was being determined; the
        writes may have been applied.
    """
    transaction = Transaction(WriteId(make_id()), tuple(checks), tuple(writes))
    try:
        return (await table.async_transact(transaction)).version
    except WriteOutcomeUnknown as unknown:
        return await _async_settle(table, transaction, unknown)


async def _async_settle(
    table: TableService, transaction: Transaction, unknown: WriteOutcomeUnknown
) -> int:
    for attempt in range(SETTLE_ATTEMPTS):
        try:
            version = await _async_read_outcome(table, transaction)
        except (PlatformUnavailable, WriteOutcomeUnknown):
            version = None
        if version is not None:
            return version
        await asyncio.sleep(SETTLE_PAUSE_S * 2**attempt)
    raise unknown


async def _async_read_outcome(
    table: TableService, transaction: Transaction
) -> int | None:
    """Return the version written, or raise if the writes were not applied.

    Raises
    ------
    TransactionConflict
        No write was applied, and none will be.
    """
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
    await _async_invalidate(table, transaction, checked, value)
    raise TransactionConflict(key, step="table.settle", peer=key)


async def _async_invalidate(
    table: TableService, transaction: Transaction, checked: int, value: object
) -> None:
    """Rewrite the row with its value, so that a delayed original fails its check."""
    key = transaction.writes[0].key
    rewrite = Transaction(
        WriteId(make_id()), (Check(key, checked),), (Write(key, value),)
    )
    await table.async_transact(rewrite)
