"""Stand-in for the prepared machines' metadata store."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import deque
from collections.abc import Callable

import msgspec
from aiohttp import web

from .web import FAULTS_PATH, json_response, merge_faults

HEADER_ERA = "Store-Era"
MAX_KEPT_CHANGES = 1000
MAX_PAGE_ROWS = 500


class StoreFaults(msgspec.Struct, frozen=True):
    """Injected faults; each affected write decrements ``lose_replies``."""

    is_out: bool = False
    out_tables: tuple[str, ...] = ()
    delay_s: float = 0.0
    lose_replies: int = 0


class StoredRow(msgspec.Struct):
    """A row as it is stored."""

    table: str
    key: str
    value: str
    ver: int
    part: str = ""
    tombstone: bool = False


class StoreSnapshot(msgspec.Struct, frozen=True):
    """Snapshot of the store's contents."""

    rows: dict[tuple[str, str], StoredRow]
    history: tuple[StoredRow, ...]
    version: int


class MetadataStore:
    """Rows versioned by one counter, with a bounded change history.

    ``era`` is sent in all answers and increases when a snapshot is restored.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.era = 1
        self.faults = StoreFaults()
        self.calls = 0
        self.max_page_rows = MAX_PAGE_ROWS
        self.on_page_read: Callable[[], object] = lambda: None
        """Called after each page of a read, before the next one is requested."""
        self._history: deque[StoredRow] = deque(maxlen=MAX_KEPT_CHANGES)
        self._oldest_readable_version = 0
        self._change_event = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row with a value encoded as operators and endpoints do."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return self._commit([(table, key, data)])

    def put_raw(self, table: str, key: str, text: str) -> int:
        """Write a row with a raw value, which may be invalid base64 or JSON."""
        return self._commit([(table, key, text)])

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._commit([(table, key, None)])

    def forget_history(self) -> None:
        """Drop the change history."""
        self._history.clear()
        self._oldest_readable_version = self.version

    def snapshot(self) -> StoreSnapshot:
        """Return a snapshot of the current contents."""
        return StoreSnapshot(dict(self.rows), tuple(self._history), self.version)

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a snapshot; writes made since are lost."""
        self.rows = dict(snapshot.rows)
        self.version = snapshot.version
        self._history.clear()
        self._history.extend(snapshot.history)
        self._oldest_readable_version = min(
            self._oldest_readable_version, snapshot.version
        )
        self.era += 1
        self._notify_waiters()

    def _commit(self, changes: list[tuple[str, str, str | None]]) -> int:
        self.version += 1
        for table, key, value in changes:
            row = StoredRow(table, key, value or "", self.version)
            if value is None:
                row.tombstone = True
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = row
            if len(self._history) == self._history.maxlen:
                self._oldest_readable_version = self._history[0].ver
            self._history.append(row)
        self._notify_waiters()
        return self.version

    def _notify_waiters(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def add_routes(self, app: web.Application) -> None:
        """Add the store's routes."""
        app.router.add_get("/api/rows-get", self.async_get)
        app.router.add_get("/api/rows-feed", self.async_feed)
        app.router.add_post("/api/rows-tx", self.async_transact)
        app.router.add_post(FAULTS_PATH, self.async_faults)
        app.on_response_prepare.append(self._async_add_era_header)

    async def _async_add_era_header(
        self, request: web.Request, answer: web.Response
    ) -> None:
        answer.headers[HEADER_ERA] = str(self.era)

    async def async_faults(self, request: web.Request) -> web.Response:
        """Change the injected faults."""
        self.faults = merge_faults(self.faults, await request.read())
        return json_response(self.faults)

    async def _async_apply_faults(self, *tables: str) -> None:
        self.calls += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_out or not set(tables).isdisjoint(self.faults.out_tables):
            raise web.HTTPServiceUnavailable(text="outage")

    async def async_get(self, request: web.Request) -> web.Response:
        """Return the rows of a range of keys."""
        await self._async_apply_faults(request.query["table"])
        table = request.query["table"]
        first_key = request.query.get("from", "")
        end_key = request.query.get("to", "\U0010ffff" * 4)
        rows = [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and first_key <= key < end_key
        ]
        page = self._make_page(rows[: self.max_page_rows])
        page["truncated"] = len(rows) > self.max_page_rows
        answer = json_response(page)
        self.on_page_read()
        return answer

    async def async_feed(self, request: web.Request) -> web.Response:
        """Return the changes of a table, waiting if there are none yet."""
        await self._async_apply_faults(request.query["table"])
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._oldest_readable_version or after > self.version:
                return web.Response(status=410)
            changed = [
                row
                for row in self._history
                if row.ver > after and row.table == request.query["table"]
            ]
            remaining_s = deadline_s - loop.time()
            if changed or remaining_s <= 0:
                return json_response(self._make_page(changed))
            event = self._change_event
            try:
                await asyncio.wait_for(event.wait(), remaining_s)
            except TimeoutError:
                continue

    def _make_page(self, rows: list[StoredRow]) -> dict[str, object]:
        now_ms = round(time.monotonic() * 1000)
        return {"rows": rows, "ver": self.version, "now_ms": now_ms}

    async def async_transact(self, request: web.Request) -> web.Response:
        """Apply all entries atomically if all checks hold."""
        body = json.loads(await request.read())
        entries = body["expected_rev"] + body["set_keys"] + body["remove"]
        await self._async_apply_faults(*(entry["table"] for entry in entries))
        for check in body["expected_rev"]:
            row = self.rows.get((check["table"], check["key"]))
            if (row.ver if row else 0) != check["ver"]:
                return json_response({"rows": [], "ver": self.version}, status=412)
        changes = [(e["table"], e["key"], e["value"]) for e in body["set_keys"]]
        changes += [(e["table"], e["key"], None) for e in body["remove"]]
        version = self._commit(changes)
        if self.faults.lose_replies:
            remaining = self.faults.lose_replies - 1
            self.faults = msgspec.structs.replace(self.faults, lose_replies=remaining)
            request.transport.abort()
        return json_response({"ver": version, "now_ms": 0})
