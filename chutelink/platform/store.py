"""The metadata store of the prepared machines, as a watched table service."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from ..const import TABLE_CONFIG, TABLE_ENDPOINTS
from ..exceptions import (
    HistoryLost,
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import NO_ERA, StoreEra, WriteId
from ..settings import PlatformSection
from ..store import UNREADABLE, Commit, Row, RowPage, Transaction, WatchedTable, Write
from ..store.http import Answer, HttpCaller, ReadRetry

MS_PER_S = 1000
HEADER_ERA = "Store-Era"
HTTP_OK = 200
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
STATUSES = frozenset({HTTP_OK, HTTP_GONE, HTTP_PRECONDITION_FAILED})
WIRE_TABLES = {TABLE_CONFIG: "op", TABLE_ENDPOINTS: "servers"}
"""Tables that others write; their rows carry no write id of ours.

``op`` has the operators' configuration, ``servers`` what endpoints register.
"""
PRODUCT_TABLES = {wire: name for name, wire in WIRE_TABLES.items()}
LAST_SUFFIX = "\U0010ffff"
"""Sorts behind every suffix of a key."""


class _WireRow(msgspec.Struct):
    """A row as the store spells it.

    ``ver`` comes from one counter over all tables; ``tombstone`` marks a removal.
    """

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class _WirePage(msgspec.Struct):
    """Answer to a read; ``ver`` is the newest version that it covers.

    ``now_ms`` is a steady clock of the store, not the time of day.
    """

    rows: list[_WireRow] = []
    ver: int = 0
    now_ms: float = 0.0
    truncated: bool = False


class _OwnValue(msgspec.Struct):
    """What a row of ours holds: the value, and the write that put it there."""

    write_id: str
    value: Any


def _decode_era(answer: Answer) -> StoreEra:
    """Return the era of an answer; one that is no number is a ValueError."""
    return StoreEra(int(answer.headers.get(HEADER_ERA, NO_ERA)))


def _split_key(key: str) -> tuple[str, str]:
    table, _, name = key.partition("/")
    return WIRE_TABLES.get(table, table), name


def _decode_row(row: _WireRow) -> Row:
    """Return the product's row; one that can't be read stands there as unreadable.

    A row of another writer may hold anything. Were it an error, each read of its table
    would fail at every daemon, and no other row could be read as long as it is there.
    """
    table = PRODUCT_TABLES.get(row.table, row.table)
    key = f"{table}/{row.key}"
    if row.tombstone:
        return Row(key, row.ver, WriteId(""), None)
    try:
        data = base64.b64decode(row.value, validate=True)
        if row.table in PRODUCT_TABLES:
            return Row(key, row.ver, WriteId(""), msgspec.json.decode(data))
        own = msgspec.json.decode(data, type=_OwnValue)
    except (msgspec.MsgspecError, binascii.Error, ValueError):
        # Whoever takes the row in logs that it is refused.
        return Row(key, row.ver, WriteId(""), UNREADABLE)
    return Row(key, row.ver, WriteId(own.write_id), own.value)


class StoreTable(WatchedTable):
    """Rows ``TABLE/KEY`` in the store's tables, all in the empty partition."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def async_read(self, prefix: str, after_version: int = 0) -> RowPage:
        """Return the rows of a prefix; a watch returns changes alone."""
        table, name = _split_key(prefix)
        params = {"table": table, "part": ""}
        if name:
            params |= {"from": name, "to": name + LAST_SUFFIX}
        rows: list[_WireRow] = []
        first: RowPage | None = None
        while True:
            answer = await self._caller.async_call(
                "GET", "/api/rows-get", step="table.read", params=params, is_read=True
            )
            page, wire = self._decode_page(answer, "table.read")
            # Each page is of a moment of its own; what changed between them in the
            # rows of the first is among the changes after the first's version.
            first = first or page
            if page.era != first.era:
                raise PlatformUnavailable(
                    "restored between pages", step="table.read", peer=self._caller.peer
                )
            rows += wire.rows
            if not wire.truncated or not wire.rows:
                break
            params["from"] = wire.rows[-1].key + "\0"
        kept = [_decode_row(row) for row in rows]
        changed = [row for row in kept if row.version > after_version]
        return msgspec.structs.replace(first, rows=changed)

    async def async_watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> RowPage:
        """Return the changes of a whole table after a version."""
        table, _ = _split_key(prefix)
        params = {
            "table": table,
            "after": str(after_version),
            "wait_ms": str(round(wait_s * MS_PER_S)),
        }
        answer = await self._caller.async_call(
            "GET",
            "/api/rows-feed",
            step="table.watch",
            params=params,
            retry_params=params | {"wait_ms": "0"},
            is_read=True,
            wait_s=wait_s,
        )
        if answer.status == HTTP_GONE:
            raise HistoryLost(
                "changes no longer kept", step="table.watch", peer=self._caller.peer
            )
        page, wire = self._decode_page(answer, "table.watch")
        rows = [_decode_row(row) for row in wire.rows]
        return msgspec.structs.replace(page, rows=rows)

    async def async_transact(self, transaction: Transaction) -> Commit:
        """Commit a transaction."""
        step = "table.transact"
        answer = await self._caller.async_call(
            "POST",
            "/api/rows-tx",
            step=step,
            body=msgspec.json.encode(_encode_transaction(transaction)),
            is_conditional_write=True,
        )
        if answer.status == HTTP_PRECONDITION_FAILED:
            key = transaction.checks[0].key if transaction.checks else ""
            raise TransactionConflict(key, step=step, peer=key)
        try:
            version = msgspec.json.decode(answer.body, type=_WirePage).ver
            return Commit(version, _decode_era(answer))
        except (msgspec.MsgspecError, ValueError) as error:
            raise WriteOutcomeUnknown(
                str(error), step=step, peer=self._caller.peer
            ) from error

    def _decode_page(self, answer: Answer, step: str) -> tuple[RowPage, _WirePage]:
        """Return what an answer says of itself, and its rows as they were spelled."""
        if answer.status != HTTP_OK:
            message = f"status {answer.status}"
            raise PlatformUnavailable(message, step=step, peer=self._caller.peer)
        try:
            wire = msgspec.json.decode(answer.body, type=_WirePage)
            era = _decode_era(answer)
        except (msgspec.MsgspecError, ValueError) as error:
            raise PlatformUnavailable(
                str(error), step=step, peer=self._caller.peer
            ) from error
        return RowPage(wire.ver, [], wire.now_ms / MS_PER_S, era), wire


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    """Return the store's form of a transaction.

    ``expected_rev`` holds the conditions on rows here; in an order to an
    endpoint the same name is a number of orders.
    """
    checks = [
        {"table": table, "part": "", "key": key, "ver": check.version}
        for check in transaction.checks
        for table, key in [_split_key(check.key)]
    ]
    kept = [
        _encode_write(write, transaction.id)
        for write in transaction.writes
        if write.value is not None
    ]
    removed = [
        {"table": table, "part": "", "key": key}
        for write in transaction.writes
        if write.value is None
        for table, key in [_split_key(write.key)]
    ]
    return {"expected_rev": checks, "set_keys": kept, "remove": removed}


def _encode_write(write: Write, write_id: WriteId) -> dict[str, str]:
    table, key = _split_key(write.key)
    data = msgspec.json.encode(_OwnValue(write_id, write.value))
    value = base64.b64encode(data).decode()
    return {"table": table, "part": "", "key": key, "value": value}


def async_setup_store(
    session: aiohttp.ClientSession,
    settings: PlatformSection,
    on_retry: Callable[[ReadRetry], None] | None = None,
) -> StoreTable:
    """Return the store behind a time limit, a breaker and a budget of calls."""
    return StoreTable(HttpCaller(session, settings, "store", STATUSES, on_retry))
