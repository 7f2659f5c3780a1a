"""Idempotency claims: one table row per key, committed in batches.

A request with an idempotency key is dispatched only after its claim row is
committed, so each key's request runs at most once across all gateways.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
from collections.abc import Callable
from enum import Enum

import msgspec
from mode import Service

from ..const import PREFIX_CLAIM
from ..core import Application
from ..exceptions import (
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import AttemptId, BootId, DaemonId, make_id
from ..steps import async_run_step
from ..store import Check, TableService, Write, async_commit, decode_value
from .refusals import Refusal, unavailable, unknown_outcome

PLATFORM_RETRY_AFTER_S = 2.0
POLL_INTERVAL_S = 0.2
MAX_BATCH = 64
MAX_STORED_BODY_BYTES = 64 * 1024
SETTLE_RETRY_S = 0.5
SETTLE_ATTEMPTS = 120
MAX_CLAIM_ATTEMPTS = 4
STATUS_REUSED_KEY = 422


class ClaimStatus(Enum):
    """Status of the request that holds an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ClaimRow(msgspec.Struct, frozen=True):
    """Stored claim on an idempotency key.

    ``body`` is base64-encoded; a body above `MAX_STORED_BODY_BYTES` is not stored.
    """

    attempt: AttemptId
    gateway: DaemonId
    boot_id: BootId
    request_hash: str
    status: ClaimStatus = ClaimStatus.CLAIMED
    http_status: int = 0
    content_type: str = ""
    body: str = ""
    is_body_kept: bool = True


class Claim(msgspec.Struct, frozen=True):
    """Claim held by this process, with the version of its row."""

    key: str
    version: int
    row: ClaimRow


class StoredAnswer(msgspec.Struct, frozen=True):
    """Response stored by an earlier request with the same key."""

    status: int
    content_type: str
    body: bytes


class _PendingClaim(msgspec.Struct, eq=False):
    """Claim waiting for its batch to be committed."""

    key: str
    version: int
    row: ClaimRow
    committed: asyncio.Future[int]


def claim_key(caller: str, path: str, idempotency_key: str) -> str:
    """Return the row key for a caller's idempotency key on a path."""
    text = "\0".join((caller, path, idempotency_key))
    return PREFIX_CLAIM + hashlib.sha256(text.encode()).hexdigest()


class ClaimManager(Service):
    """Claims idempotency keys before dispatch and stores the outcomes.

    Parameters
    ----------
    core : Application
        Application that owns this service.
    table : TableService
        Table that stores the claim rows.
    flush_s : float
        How long claims are collected before their batch is committed.
    wait_s : float
        How long a repeated key waits for the request that is still running.
    is_gone : callable
        Returns whether a gateway's process is known to have ended.
    """

    def __init__(
        self,
        core: Application,
        table: TableService,
        flush_s: float,
        wait_s: float,
        is_gone: Callable[[DaemonId, BootId], bool],
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._flush_s = flush_s
        self._wait_s = wait_s
        self._is_gone = is_gone
        self._pending: list[_PendingClaim] = []
        self._pending_added = asyncio.Event()
        self._settle_tasks: set[asyncio.Task] = set()
        self._abandoned_attempts: set[AttemptId] = set()

    async def async_claim(self, key: str, request_hash: str) -> Claim | StoredAnswer:
        """Claim a key, or return the response already stored for it.

        Raises
        ------
        Refusal
            NOT_RUN if the key could not be claimed, as when the table service is
            unavailable; UNKNOWN if an earlier request with this key may have been
            run. Reusing the key for a different request is refused as well.
        """
        version = 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            row = ClaimRow(
                AttemptId(make_id()),
                self._core.daemon_id,
                self._core.boot_id,
                request_hash,
            )
            try:
                row_version = await self._async_insert(key, version, row)
            except TransactionConflict:
                existing = await self._async_resolve_existing(key, request_hash)
                if isinstance(existing, StoredAnswer):
                    return existing
                version = existing
                continue
            self._count_result("claimed")
            return Claim(key, row_version, row)
        raise unavailable("the key is being claimed elsewhere", 1.0)

    async def _async_insert(self, key: str, version: int, row: ClaimRow) -> int:
        pending = _PendingClaim(
            key, version, row, asyncio.get_running_loop().create_future()
        )
        self._pending.append(pending)
        self._pending_added.set()
        try:
            return await pending.committed
        except PlatformUnavailable as error:
            self._count_result("platform_out")
            raise unavailable(
                "the table service is out", PLATFORM_RETRY_AFTER_S
            ) from error
        except WriteOutcomeUnknown as error:
            # The request is never dispatched, but its row may have been written and
            # must not keep the key claimed.
            self._abandoned_attempts.add(row.attempt)
            self._settle_as(Claim(key, version, row), ClaimStatus.NOT_RUN)
            self._count_result("reply_lost")
            raise unavailable(
                "the table service is out", PLATFORM_RETRY_AFTER_S
            ) from error

    async def async_finish(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> None:
        """Store a response; retry in the background if the platform is unavailable."""
        fits_row = len(body) <= MAX_STORED_BODY_BYTES
        row = msgspec.structs.replace(
            claim.row,
            status=ClaimStatus.DONE,
            http_status=status,
            content_type=content_type,
            body=base64.b64encode(body).decode() if fits_row else "",
            is_body_kept=fits_row,
        )
        self._count_result("done")
        await self._async_store_or_settle(claim, row)

    async def async_release(self, claim: Claim) -> None:
        """Record that nothing was run, so that the key can be claimed again."""
        row = msgspec.structs.replace(claim.row, status=ClaimStatus.NOT_RUN)
        self._count_result("not_run")
        await self._async_store_or_settle(claim, row)

    async def async_mark_unknown(self, claim: Claim) -> None:
        """Record that the request may have been run."""
        row = msgspec.structs.replace(claim.row, status=ClaimStatus.UNKNOWN)
        self._count_result("unknown")
        await self._async_store_or_settle(claim, row)

    async def _async_store_or_settle(self, claim: Claim, row: ClaimRow) -> None:
        try:
            await self._async_store(claim.key, claim.version, row)
        except TransactionConflict:
            self._core.events.warning("claim_overtaken", key=claim.key)
        except (PlatformUnavailable, WriteOutcomeUnknown):
            self._start_settle_task(claim, row)

    async def _async_store(self, key: str, version: int, row: ClaimRow) -> None:
        await async_commit(
            self._table,
            [Check(key, version)],
            [Write(key, msgspec.to_builtins(row))],
        )

    def _settle_as(self, claim: Claim, status: ClaimStatus) -> None:
        self._start_settle_task(
            claim, msgspec.structs.replace(claim.row, status=status)
        )

    def _start_settle_task(self, claim: Claim, row: ClaimRow) -> None:
        task = asyncio.ensure_future(self._async_settle(claim, row))
        self._settle_tasks.add(task)
        task.add_done_callback(self._settle_tasks.discard)
        task.add_done_callback(lambda _: self._abandoned_attempts.discard(row.attempt))

    async def _async_settle(self, claim: Claim, row: ClaimRow) -> None:
        """Write a row's final status, retrying until the platform is available.

        A row that another attempt has claimed since is left as it is.
        """
        for _ in range(SETTLE_ATTEMPTS):
            await asyncio.sleep(SETTLE_RETRY_S * self._core.rng.uniform(0.5, 1.5))
            try:
                stored = (await self._table.async_read(claim.key)).get(claim.key)
                current = decode_value(stored, ClaimRow)
                is_own = current is not None and current.attempt == row.attempt
                if is_own and current.status is row.status:
                    return
                if is_own or (current is None and row.status is ClaimStatus.NOT_RUN):
                    version = stored.version if stored is not None else 0
                    await self._async_store(claim.key, version, row)
                return
            except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict):
                continue
        self._core.events.error("claim_unsettled", key=claim.key)

    async def _async_resolve_existing(
        self, key: str, request_hash: str
    ) -> StoredAnswer | int:
        """Return a stored response, or the version of a row that may be replaced."""
        deadline_s = self._core.clock() + self._wait_s
        while True:
            try:
                stored = (await self._table.async_read(key)).get(key)
                row = decode_value(stored, ClaimRow)
            except PlatformUnavailable as error:
                title = "an earlier request with this key can't be looked up"
                raise unknown_outcome(title, 503) from error
            if row is None:
                return stored.version if stored is not None else 0
            if row.request_hash != request_hash:
                raise Refusal(STATUS_REUSED_KEY, "key was used for another request")
            if row.status is ClaimStatus.DONE:
                return self._replay(row)
            if (
                row.status is ClaimStatus.NOT_RUN
                or row.attempt in self._abandoned_attempts
            ):
                return stored.version
            if row.status is ClaimStatus.UNKNOWN:
                self._count_result("repeated_unknown")
                raise unknown_outcome("an earlier request may have been run")
            if self._is_gone(row.gateway, row.boot_id):
                await self._async_mark_orphan_unknown(key, stored.version, row)
                raise unknown_outcome("the gateway that ran this key is gone")
            if self._core.clock() >= deadline_s:
                raise unknown_outcome("an earlier request still runs", 504)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _replay(self, row: ClaimRow) -> StoredAnswer:
        self._count_result("replayed")
        if not row.is_body_kept:
            raise unknown_outcome("done before; the answer was too large to keep", 409)
        return StoredAnswer(
            row.http_status, row.content_type, base64.b64decode(row.body)
        )

    async def _async_mark_orphan_unknown(
        self, key: str, version: int, row: ClaimRow
    ) -> None:
        """Mark a claim UNKNOWN whose gateway has ended and can't finish it."""
        unknown_row = msgspec.structs.replace(row, status=ClaimStatus.UNKNOWN)
        try:
            await self._async_store(key, version, unknown_row)
        except (TransactionConflict, PlatformUnavailable, WriteOutcomeUnknown):
            return

    @Service.task
    async def _async_flush_loop(self) -> None:
        while not self.should_stop:
            await self._pending_added.wait()
            self._pending_added.clear()
            await asyncio.sleep(self._flush_s)
            while self._pending:
                await async_run_step(
                    self, self._core.events, "claims.flush", self._async_flush_next
                )

    async def _async_flush_next(self) -> None:
        """Commit a batch; all of its claims get an outcome."""
        batch, self._pending = self._next_batch()
        try:
            await self._async_flush(batch)
        except Exception as error:
            for pending in batch:
                unknown = WriteOutcomeUnknown(repr(error), step="claims.flush")
                _set_exception(pending, unknown)
            raise

    def _next_batch(self) -> tuple[list[_PendingClaim], list[_PendingClaim]]:
        """Return a batch with each key at most once, and the remaining claims."""
        batch: dict[str, _PendingClaim] = {}
        remaining: list[_PendingClaim] = []
        for pending in self._pending:
            if pending.committed.done():
                continue
            if pending.key in batch or len(batch) >= MAX_BATCH:
                remaining.append(pending)
            else:
                batch[pending.key] = pending
        return list(batch.values()), remaining

    async def _async_flush(self, batch: list[_PendingClaim]) -> None:
        while batch:
            checks = [Check(p.key, p.version) for p in batch]
            writes = [Write(p.key, msgspec.to_builtins(p.row)) for p in batch]
            try:
                version = await async_commit(self._table, checks, writes)
            except TransactionConflict as conflict:
                batch = _fail_conflicting(batch, conflict)
            except (PlatformUnavailable, WriteOutcomeUnknown) as error:
                for pending in batch:
                    _set_exception(pending, error)
                return
            else:
                for pending in batch:
                    if not pending.committed.done():
                        pending.committed.set_result(version)
                return

    def _count_result(self, result: str) -> None:
        self._core.metrics.claims.inc({"result": result})


def _set_exception(pending: _PendingClaim, error: Exception) -> None:
    if not pending.committed.done():
        pending.committed.set_exception(error)


def _fail_conflicting(
    batch: list[_PendingClaim], conflict: TransactionConflict
) -> list[_PendingClaim]:
    """Fail the claim whose row has changed; return the others to be committed again.

    All claims fail if the conflicting key is in none of them.
    """
    remaining = [p for p in batch if p.key != conflict.peer]
    if len(remaining) == len(batch):
        remaining = []
    for pending in batch:
        if pending not in remaining:
            _set_exception(pending, conflict)
    return remaining
