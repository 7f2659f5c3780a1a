"""Client of the prepared machines' metadata store, as a watched table service."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from ..const import TABLE_CONFIG, TABLE_ENDPOINTS
from ..decoding import decode_bounded_json, decode_json
from ..exceptions import (
    HistoryLost,
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import NO_ERA, StoreEra, WriteId
from ..settings import PlatformSection
from ..store import UNREADABLE, Commit, Row, RowPage, Transaction, WatchableTable, Write
from ..store.http import PlatformServiceClient, ReadRetry, ServiceResponse

MS_PER_S = 1000
HEADER_ERA = "Store-Era"
HTTP_OK = 200
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
STATUSES = frozenset({HTTP_OK, HTTP_GONE, HTTP_PRECONDITION_FAILED})
WIRE_TABLES = {TABLE_CONFIG: "op", TABLE_ENDPOINTS: "servers"}
"""Tables with external writers, whose rows carry no write id.

``op`` holds the operators' configuration, ``servers`` the endpoint registrations.
"""
TABLES_BY_WIRE_NAME = {wire: name for name, wire in WIRE_TABLES.items()}
LAST_SUFFIX = "\U0010ffff"
"""Sorts after every suffix of a key, as the upper end of a prefix range."""


class _WireRow(msgspec.Struct):
    """A row in the store's wire format.

    ``ver`` is from a single counter shared by all tables; ``tombstone`` marks a
    deleted row.
    """

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class _WirePage(msgspec.Struct):
    """Response to a read; ``ver`` is the newest version that it covers.

    ``now_ms`` is a monotonic clock of the store, not wall-clock time.
    """

    rows: list[_WireRow]
    ver: int
    now_ms: float = 0.0
    truncated: bool = False


class _WireCommit(msgspec.Struct):
    """Response to a transaction that was committed, with its version."""

    ver: int


class _OwnValue(msgspec.Struct):
    """Content of rows written by this system: the value and its write id."""

    write_id: str
    value: Any


def _decode_era(response: ServiceResponse) -> StoreEra:
    """Return the store era of a response; raise ValueError if it is not a number."""
    return StoreEra(int(response.headers.get(HEADER_ERA, NO_ERA)))


def _split_key(key: str) -> tuple[str, str]:
    table, _, name = key.partition("/")
    return WIRE_TABLES.get(table, table), name


def _decode_row(row: _WireRow) -> Row:
    """Decode a row; a value that can't be decoded becomes ``UNREADABLE``.

    That includes values that are nested too deeply or have numbers out of bounds.
    External writers may store anything. If this function raised an error, a single
    bad row would make every daemon's reads of its table fail for as long as it exists.
    """
    table = TABLES_BY_WIRE_NAME.get(row.table, row.table)
    key = f"{table}/{row.key}"
    if row.tombstone:
        return Row(key, row.ver, WriteId(""), None)
    try:
        data = base64.b64decode(row.value, validate=True)
        value = decode_bounded_json(data)
        if row.table in TABLES_BY_WIRE_NAME:
            # None stands for a removed row.
            value = UNREADABLE if value is None else value
            return Row(key, row.ver, WriteId(""), value)
        own = msgspec.convert(value, _OwnValue)
    except (msgspec.MsgspecError, binascii.Error, ValueError):
        # Consumers of the row log that they reject it.
        return Row(key, row.ver, WriteId(""), UNREADABLE)
    return Row(key, row.ver, WriteId(own.write_id), own.value)


class StoreTable(WatchableTable):
    """Rows ``TABLE/KEY`` of the store's tables, all in the empty partition."""

    def __init__(self, client: PlatformServiceClient) -> None:
        self._client = client

    async def async_read(self, prefix: str, after_version: int = 0) -> RowPage:
        """Return the rows of a prefix that changed after a version, over all pages."""
        table, name = _split_key(prefix)
        params = {"table": table, "part": ""}
        if name:
            params |= {"from": name, "to": name + LAST_SUFFIX}
        rows: list[_WireRow] = []
        first: RowPage | None = None
        while True:
            response = await self._client.async_call(
                "GET", "/api/rows-get", step="table.read", params=params, is_read=True
            )
            page, wire = self._decode_page(response, "table.read")
            # Pages are snapshots of different moments. Rows of the first page that
            # change later are reported by a watch from the first page's version.
            first = first or page
            if page.era != first.era:
                raise PlatformUnavailable(
                    "store was restored between two pages",
                    step="table.read",
                    peer=self._client.peer,
                )
            rows += wire.rows
            if not wire.truncated:
                break
            if not wire.rows:
                raise PlatformUnavailable(
                    "truncated page without rows",
                    step="table.read",
                    peer=self._client.peer,
                )
            params["from"] = wire.rows[-1].key + "\0"
        decoded = [_decode_row(row) for row in rows]
        changed = [row for row in decoded if row.version > after_version]
        return msgspec.structs.replace(first, rows=changed)

    async def async_watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> RowPage:
        """Return the changes to a whole table after a version."""
        table, _ = _split_key(prefix)
        params = {
            "table": table,
            "after": str(after_version),
            "wait_ms": str(round(wait_s * MS_PER_S)),
        }
        response = await self._client.async_call(
            "GET",
            "/api/rows-feed",
            step="table.watch",
            params=params,
            retry_params=params | {"wait_ms": "0"},
            is_read=True,
            wait_s=wait_s,
        )
        if response.status == HTTP_GONE:
            raise HistoryLost(
                "store no longer keeps the changes",
                step="table.watch",
                peer=self._client.peer,
            )
        page, wire = self._decode_page(response, "table.watch")
        rows = [_decode_row(row) for row in wire.rows]
        version = page.version
        if wire.truncated:
            version = rows[-1].version if rows else after_version
        return msgspec.structs.replace(page, rows=rows, version=version)

    async def async_transact(self, transaction: Transaction) -> Commit:
        """Commit a transaction."""
        step = "table.transact"
        response = await self._client.async_call(
            "POST",
            "/api/rows-tx",
            step=step,
            body=msgspec.json.encode(_encode_transaction(transaction)),
            is_conditional_write=True,
        )
        if response.status == HTTP_PRECONDITION_FAILED:
            key = transaction.checks[0].key if transaction.checks else ""
            raise TransactionConflict(key, step=step, peer=key)
        self._client.check_ok(response, step)
        try:
            version = decode_json(response.body, _WireCommit).ver
            return Commit(version, _decode_era(response))
        except (msgspec.MsgspecError, ValueError) as error:
            raise WriteOutcomeUnknown(
                str(error), step=step, peer=self._client.peer
            ) from error

    def _decode_page(
        self, response: ServiceResponse, step: str
    ) -> tuple[RowPage, _WirePage]:
        """Return the page's metadata without rows, and the page in wire format."""
        self._client.check_ok(response, step)
        try:
            wire = decode_json(response.body, _WirePage)
            era = _decode_era(response)
        except (msgspec.MsgspecError, ValueError) as error:
            raise PlatformUnavailable(
                str(error), step=step, peer=self._client.peer
            ) from error
        return RowPage(wire.ver, [], wire.now_ms / MS_PER_S, era), wire


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    """Return a transaction in the store's wire format.

    ``expected_rev`` holds the conditions on rows. In an order to an endpoint, the
    same key is the expected number of accepted orders.
    """
    checks = [
        {"table": table, "part": "", "key": key, "ver": check.version}
        for check in transaction.checks
        for table, key in [_split_key(check.key)]
    ]
    set_rows = [
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
    return {"expected_rev": checks, "set_keys": set_rows, "remove": removed}


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
    """Return the store client with a timeout, a circuit breaker and a rate limit."""
    return StoreTable(
        PlatformServiceClient(session, settings, "store", STATUSES, on_retry)
    )
