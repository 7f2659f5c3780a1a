"""Stand-in for the platform: table service, object and weight stores, VM list."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_right
from collections import deque

import msgspec
from aiohttp import web

from chutelink.store.base import Check, Row, RowPage, Transaction, Vm

from .web import (
    FAULTS_PATH,
    async_decode,
    json_response,
    make_parser,
    merge_faults,
    serve,
)

MAX_TRACES = 200


class PlatformFaults(msgspec.Struct, frozen=True):
    """Injected faults of the platform services.

    ``write_prefix`` limits write faults to transactions whose first write has a key
    with this prefix. ``lose_replies`` counts writes that are committed without a
    reply. ``late_writes`` counts writes that get no reply and are committed after
    ``late_write_s``.
    """

    table_out: bool = False
    objects_out: bool = False
    vms_out: bool = False
    weights_out: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    late_writes: int = 0
    late_write_s: float = 1.0
    write_prefix: str = ""


class WeightLoad(msgspec.Struct, frozen=True):
    """Request of an engine to fetch weights."""

    memory_mb: int


class Table:
    """Rows versioned by one counter for the whole table."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self._change_log: list[tuple[int, str]] = []

    def read(self, prefix: str, after: int) -> RowPage:
        """Return the rows with a key prefix that changed after a version."""
        if after <= 0:
            keys = [key for key in self.rows if key.startswith(prefix)]
        else:
            start = bisect_right(self._change_log, (after, "\U0010ffff"))
            changed = {key for _, key in self._change_log[start:]}
            keys = [k for k in changed if k.startswith(prefix) and k in self.rows]
        return RowPage(self.version, [self.rows[key] for key in sorted(keys)])

    def first_conflict(self, checks: tuple[Check, ...]) -> str | None:
        """Return the key of the first failed check, or None."""
        for check in checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                return check.key
        return None

    def commit(self, transaction: Transaction) -> int:
        """Write all rows under one new version and return it."""
        self.version += 1
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            row = Row(write.key, self.version, transaction.id, write.value)
            self.rows[write.key] = row
            self._change_log.append((self.version, write.key))
        return self.version


class PlatformStandin:
    """All platform services in one process."""

    def __init__(
        self, key: str, load_s: float, loads_per_s: int, vm_lag_s: float
    ) -> None:
        self._key = key
        self._load_s = load_s
        self._loads_per_s = loads_per_s
        self._vm_lag_s = vm_lag_s
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self._vms: list[tuple[float, list[Vm]]] = [(float("-inf"), [])]
        self._load_starts: deque[float] = deque()
        self._load_ends: list[float] = []
        self.faults = PlatformFaults()
        self.traces: list[dict] = []
        self.counts = {"reads": 0, "writes": 0, "objects": 0, "loads": 0}

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_get("/v1/table/rows", self.async_read)
        app.router.add_post("/v1/table/transactions", self.async_transact)
        app.router.add_put("/v1/objects/{name}", self.async_put_object)
        app.router.add_get("/v1/objects/{name}", self.async_get_object)
        app.router.add_get("/v1/vms", self.async_vms)
        app.router.add_post("/v1/weights/loads", self.async_admit_load)
        app.router.add_post("/v1/traces", self.async_traces)
        app.router.add_get("/standin/traces", self.async_get_traces)
        app.router.add_put("/standin/vms", self.async_set_vms)
        app.router.add_post(FAULTS_PATH, self.async_faults)
        app.router.add_get("/standin/counts", self.async_counts)
        return app

    def _check_key(self, request: web.Request) -> None:
        if request.headers.get("Authorization") != f"Bearer {self._key}":
            raise web.HTTPUnauthorized(text="platform key missing or wrong")

    async def _async_apply_faults(self, is_out: bool) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if is_out:
            raise web.HTTPServiceUnavailable(text="outage")

    async def async_read(self, request: web.Request) -> web.Response:
        """Return the rows of a prefix."""
        self._check_key(request)
        await self._async_apply_faults(self.faults.table_out)
        self.counts["reads"] += 1
        after = int(request.query.get("after", "0"))
        return json_response(self.table.read(request.query.get("prefix", ""), after))

    async def async_transact(self, request: web.Request) -> web.Response:
        """Commit a conditional transaction, subject to the injected faults."""
        self._check_key(request)
        transaction = await async_decode(request, Transaction)
        await self._async_apply_faults(self.faults.table_out)
        self.counts["writes"] += 1
        key = transaction.writes[0].key if transaction.writes else ""
        is_faulty = key.startswith(self.faults.write_prefix)
        if is_faulty and self.faults.late_writes > 0:
            self._consume_fault("late_writes")
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_write_s, self._commit, transaction)
            await self._async_abort_connection(request)
        response = self._commit(transaction)
        if is_faulty and self.faults.lose_replies > 0:
            self._consume_fault("lose_replies")
            await self._async_abort_connection(request)
        return response

    def _commit(self, transaction: Transaction) -> web.Response:
        conflict = self.table.first_conflict(transaction.checks)
        if conflict is not None:
            return json_response({"conflict": conflict}, status=409)
        return json_response({"version": self.table.commit(transaction)})

    def _consume_fault(self, field: str) -> None:
        remaining = getattr(self.faults, field) - 1
        self.faults = msgspec.structs.replace(self.faults, **{field: remaining})

    async def _async_abort_connection(self, request: web.Request) -> None:
        """Abort the connection without a reply."""
        if request.transport is not None:
            request.transport.abort()
        await asyncio.sleep(0)
        raise web.HTTPServiceUnavailable(text="reply lost")

    async def async_put_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        self._check_key(request)
        await self._async_apply_faults(self.faults.objects_out)
        self.counts["objects"] += 1
        self.objects[request.match_info["name"]] = await request.read()
        return json_response({})

    async def async_get_object(self, request: web.Request) -> web.Response:
        """Return an object."""
        self._check_key(request)
        await self._async_apply_faults(self.faults.objects_out)
        self.counts["objects"] += 1
        body = self.objects.get(request.match_info["name"])
        if body is None:
            raise web.HTTPNotFound(text="no such object")
        return web.Response(body=body)

    async def async_vms(self, request: web.Request) -> web.Response:
        """Return the VM list as it was before the configured lag."""
        self._check_key(request)
        await self._async_apply_faults(self.faults.vms_out)
        visible_s = time.monotonic() - self._vm_lag_s
        known = [vms for since_s, vms in self._vms if since_s <= visible_s]
        return json_response(known[-1])

    async def async_set_vms(self, request: web.Request) -> web.Response:
        """Replace the VM list; only the first list is visible without the lag."""
        vms = msgspec.json.decode(await request.read(), type=list[Vm])
        is_first = len(self._vms) == 1
        since_s = float("-inf") if is_first else time.monotonic()
        self._vms.append((since_s, vms))
        return json_response({})

    async def async_admit_load(self, request: web.Request) -> web.Response:
        """Limit the rate of loads; more than 8 concurrent loads slow down."""
        await self._async_apply_faults(self.faults.weights_out)
        await async_decode(request, WeightLoad)
        now_s = time.monotonic()
        while self._load_starts and now_s - self._load_starts[0] >= 1.0:
            self._load_starts.popleft()
        if len(self._load_starts) >= self._loads_per_s:
            return json_response({"retry_s": 0.25}, status=429)
        self._load_starts.append(now_s)
        self._load_ends = [end_s for end_s in self._load_ends if end_s > now_s]
        slowdown = max(1.0, (len(self._load_ends) + 1) / 8)
        duration_s = self._load_s * slowdown
        self._load_ends.append(now_s + duration_s)
        self.counts["loads"] += 1
        return json_response({"duration_s": duration_s})

    async def async_traces(self, request: web.Request) -> web.Response:
        """Store an export of spans; only the latest exports are kept."""
        self.traces.append(msgspec.json.decode(await request.read()))
        del self.traces[:-MAX_TRACES]
        return json_response({})

    async def async_get_traces(self, request: web.Request) -> web.Response:
        """Return the stored spans."""
        return json_response(self.traces)

    async def async_faults(self, request: web.Request) -> web.Response:
        """Change the injected faults."""
        self.faults = merge_faults(self.faults, await request.read())
        return json_response(self.faults)

    async def async_counts(self, request: web.Request) -> web.Response:
        """Return the number of handled calls by kind."""
        return json_response(self.counts)


def main() -> int:
    """Run the platform stand-in."""
    parser = make_parser("Stand-in for the platform's services.")
    parser.add_argument("--key", default="platform-key", help="key that callers send")
    parser.add_argument("--load-s", type=float, default=1.0, help="seconds per load")
    parser.add_argument("--loads-per-s", type=int, default=2)
    parser.add_argument(
        "--vm-lag-s", type=float, default=2.0, help="lag of the VM list"
    )
    args = parser.parse_args()
    standin = PlatformStandin(args.key, args.load_s, args.loads_per_s, args.vm_lag_s)
    return serve(standin.make_app(), args.address, args.port)
