"""A sound stand-in for the platform's store: tables of rows, and their changes."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from aiohttp import web

MAX_ROWS = 500


class Store:
    """Rows with versions from one counter, and the history of their changes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.history: list[dict] = []
        self.version = 0
        self._oldest_readable = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def async_start(self, host: str, port: int) -> None:
        """Serve the store."""
        app = web.Application()
        app.router.add_get("/api/rows-get", self._async_get)
        app.router.add_get("/api/rows-feed", self._async_feed)
        app.router.add_post("/api/rows-tx", self._async_transact)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def async_stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a server does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._commit([(table, key, text)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, key) in self.rows:
            self._commit([(table, key, None)])

    def forget_history(self) -> None:
        """Discard the history: a feed from an earlier version gets 410 from now on."""
        self.history.clear()
        self._oldest_readable = self.version

    def _commit(self, changes: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, text in changes:
            row = {
                "table": table,
                "part": "",
                "key": key,
                "value": text or "",
                "ver": self.version,
            }
            if text is None:
                row["tombstone"] = True
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = row
            self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, status: int = 200, **fields: object) -> web.Response:
        now_ms = round(time.monotonic() * 1000)
        body = {"ver": self.version, "now_ms": now_ms, **fields}
        return web.json_response(body, status=status)

    async def _async_get(self, request: web.Request) -> web.Response:
        query = request.query
        first, end = query.get("from", ""), query.get("to", "\U0010ffff" * 4)
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and first <= key < end
        ]
        is_truncated = len(rows) > MAX_ROWS
        return self._answer(rows=rows[:MAX_ROWS], truncated=is_truncated)

    async def _async_feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        end_s = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._oldest_readable:
                return self._answer(410)
            rows = [
                row
                for row in self.history
                if row["ver"] > after and row["table"] == table
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return self._answer(rows=rows)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    async def _async_transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        checks = body.get("expected_rev", [])
        current = [self.rows.get((row["table"], row["key"])) for row in checks]
        for check, row in zip(checks, current, strict=True):
            if (row["ver"] if row else 0) != check["ver"]:
                return self._answer(412, rows=[row for row in current if row])
        changes = [(e["table"], e["key"], e["value"]) for e in body.get("set_keys", [])]
        changes += [(e["table"], e["key"], None) for e in body.get("remove", [])]
        self._commit(changes)
        return self._answer()
