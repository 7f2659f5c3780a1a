"""At most once: a claim row for each idempotency key, committed in groups."""

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
from ..store import Check, TableService, Write, async_commit, decode_value
from .refusals import Refusal, unavailable, unknown_outcome

PLATFORM_RETRY_S = 2.0
POLL_INTERVAL_S = 0.2
MAX_BATCH = 64
MAX_STORED_BODY_BYTES = 64 * 1024
SETTLE_RETRY_S = 0.5
SETTLE_ATTEMPTS = 120
TAKE_OVER_ATTEMPTS = 4
STATUS_REUSED_KEY = 422


class ClaimStatus(Enum):
    """Where a key stands."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ClaimRow(msgspec.Struct, frozen=True):
    """One key's row; ``body`` is base64, left out where it is too large."""

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
    """A claim that this process holds, with the version of its row."""

    key: str
    version: int
    row: ClaimRow


class StoredAnswer(msgspec.Struct, frozen=True):
    """An answer that was given before for the same key."""

    status: int
    content_type: str
    body: bytes


class _Pending(msgspec.Struct, eq=False):
    """A claim waiting for its group to be committed."""

    key: str
    version: int
    row: ClaimRow
    committed: asyncio.Future[int]


def claim_key(caller: str, path: str, idempotency_key: str) -> str:
    """Return the row's key for one caller's key on one route."""
    text = "\0".join((caller, path, idempotency_key))
    return PREFIX_CLAIM + hashlib.sha256(text.encode()).hexdigest()


class ClaimKeeper(Service):
    """Claims keys before dispatch and stores what became of them.

    Parameters
    ----------
    core : Application
        The owner.
    table : TableService
        Where claims last.
    flush_s : float
        How long a group is gathered.
    wait_s : float
        How long the same key again waits for the running request.
    is_gone : callable
        Whether a gateway's process is known to have ended.
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
        self._pending: list[_Pending] = []
        self._arrived = asyncio.Event()
        self._settling: set[asyncio.Task] = set()
        self._given_up: set[AttemptId] = set()

    async def async_claim(self, key: str, request_hash: str) -> Claim | StoredAnswer:
        """Claim a key, or return the answer that it already got.

        Raises
        ------
        Refusal
            NOT_RUN when the platform is out; UNKNOWN when an earlier request
            with this key may have been run.
        """
        version = 0
        for _ in range(TAKE_OVER_ATTEMPTS):
            row = ClaimRow(
                AttemptId(make_id()),
                self._core.daemon_id,
                self._core.boot_id,
                request_hash,
            )
            try:
                written = await self._async_insert(key, version, row)
            except TransactionConflict:
                found = await self._async_resolve_existing(key, request_hash)
                if isinstance(found, StoredAnswer):
                    return found
                version = found
                continue
            self._count("claimed")
            return Claim(key, written, row)
        raise unavailable("the key is being claimed elsewhere", 1.0)

    async def _async_insert(self, key: str, version: int, row: ClaimRow) -> int:
        pending = _Pending(
            key, version, row, asyncio.get_running_loop().create_future()
        )
        self._pending.append(pending)
        self._arrived.set()
        try:
            return await pending.committed
        except PlatformUnavailable as error:
            self._count("platform_out")
            raise unavailable("the table service is out", PLATFORM_RETRY_S) from error
        except WriteOutcomeUnknown as error:
            # Never dispatched; the row may be there and must not stay.
            self._given_up.add(row.attempt)
            self._settle(Claim(key, version, row), ClaimStatus.NOT_RUN)
            self._count("reply_lost")
            raise unavailable("the table service is out", PLATFORM_RETRY_S) from error

    async def async_finish(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> None:
        """Store an answer; if the platform is out, go on trying behind it."""
        is_kept = len(body) <= MAX_STORED_BODY_BYTES
        row = msgspec.structs.replace(
            claim.row,
            status=ClaimStatus.DONE,
            http_status=status,
            content_type=content_type,
            body=base64.b64encode(body).decode() if is_kept else "",
            is_body_kept=is_kept,
        )
        self._count("done")
        await self._async_store_or_settle(claim, row)

    async def async_release(self, claim: Claim) -> None:
        """Say that nothing was run: the key may be claimed again."""
        row = msgspec.structs.replace(claim.row, status=ClaimStatus.NOT_RUN)
        self._count("not_run")
        await self._async_store_or_settle(claim, row)

    async def async_mark_unknown(self, claim: Claim) -> None:
        """Say that the request may have been run."""
        row = msgspec.structs.replace(claim.row, status=ClaimStatus.UNKNOWN)
        self._count("unknown")
        await self._async_store_or_settle(claim, row)

    async def _async_store_or_settle(self, claim: Claim, row: ClaimRow) -> None:
        try:
            await self._async_store(claim.key, claim.version, row)
        except TransactionConflict:
            self._core.events.warning("claim_overtaken", key=claim.key)
        except (PlatformUnavailable, WriteOutcomeUnknown):
            self._settle_row(claim, row)

    async def _async_store(self, key: str, version: int, row: ClaimRow) -> None:
        await async_commit(
            self._table,
            [Check(key, version)],
            [Write(key, msgspec.to_builtins(row))],
        )

    def _settle(self, claim: Claim, status: ClaimStatus) -> None:
        self._settle_row(claim, msgspec.structs.replace(claim.row, status=status))

    def _settle_row(self, claim: Claim, row: ClaimRow) -> None:
        task = asyncio.ensure_future(self._async_settle(claim, row))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)
        task.add_done_callback(lambda _: self._given_up.discard(row.attempt))

    async def _async_settle(self, claim: Claim, row: ClaimRow) -> None:
        """Write a row's end once the platform is back, unless it was overtaken."""
        for _ in range(SETTLE_ATTEMPTS):
            await asyncio.sleep(SETTLE_RETRY_S * self._core.rng.uniform(0.5, 1.5))
            try:
                found = (await self._table.async_read(claim.key)).get(claim.key)
                stored = decode_value(found, ClaimRow)
                is_ours = stored is not None and stored.attempt == row.attempt
                if is_ours and stored.status is row.status:
                    return
                if is_ours or (stored is None and row.status is ClaimStatus.NOT_RUN):
                    version = found.version if found is not None else 0
                    await self._async_store(claim.key, version, row)
                return
            except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict):
                continue
        self._core.events.error("claim_unsettled", key=claim.key)

    async def _async_resolve_existing(
        self, key: str, request_hash: str
    ) -> StoredAnswer | int:
        """Return a stored answer, or the version of a row to take over."""
        deadline_s = self._core.clock() + self._wait_s
        while True:
            try:
                found = (await self._table.async_read(key)).get(key)
                row = decode_value(found, ClaimRow)
            except PlatformUnavailable as error:
                title = "an earlier request with this key can't be looked up"
                raise unknown_outcome(title, 503) from error
            if row is None:
                return found.version if found is not None else 0
            if row.request_hash != request_hash:
                raise Refusal(STATUS_REUSED_KEY, "key was used for another request")
            if row.status is ClaimStatus.DONE:
                return self._replay(row)
            if row.status is ClaimStatus.NOT_RUN or row.attempt in self._given_up:
                return found.version
            if row.status is ClaimStatus.UNKNOWN:
                self._count("repeated_unknown")
                raise unknown_outcome("an earlier request may have been run")
            if self._is_gone(row.gateway, row.boot_id):
                await self._async_bury(key, found.version, row)
                raise unknown_outcome("the gateway that ran this key is gone")
            if self._core.clock() >= deadline_s:
                raise unknown_outcome("an earlier request still runs", 504)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _replay(self, row: ClaimRow) -> StoredAnswer:
        self._count("replayed")
        if not row.is_body_kept:
            raise unknown_outcome("done before; the answer was too large to keep", 409)
        return StoredAnswer(
            row.http_status, row.content_type, base64.b64decode(row.body)
        )

    async def _async_bury(self, key: str, version: int, row: ClaimRow) -> None:
        """Mark a dead gateway's claim, so that nobody takes it for running."""
        dead = msgspec.structs.replace(row, status=ClaimStatus.UNKNOWN)
        try:
            await self._async_store(key, version, dead)
        except (TransactionConflict, PlatformUnavailable, WriteOutcomeUnknown):
            return

    @Service.task
    async def _async_flush_loop(self) -> None:
        while not self.should_stop:
            await self._arrived.wait()
            self._arrived.clear()
            await asyncio.sleep(self._flush_s)
            while self._pending:
                batch, self._pending = self._take_batch()
                await self._async_flush(batch)

    def _take_batch(self) -> tuple[list[_Pending], list[_Pending]]:
        """Return a group with each key once, and the rest."""
        batch: dict[str, _Pending] = {}
        rest: list[_Pending] = []
        for pending in self._pending:
            if pending.committed.done():
                continue
            if pending.key in batch or len(batch) >= MAX_BATCH:
                rest.append(pending)
            else:
                batch[pending.key] = pending
        return list(batch.values()), rest

    async def _async_flush(self, batch: list[_Pending]) -> None:
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

    def _count(self, result: str) -> None:
        self._core.metrics.claims.inc({"result": result})


def _set_exception(pending: _Pending, error: Exception) -> None:
    if not pending.committed.done():
        pending.committed.set_exception(error)


def _fail_conflicting(
    batch: list[_Pending], conflict: TransactionConflict
) -> list[_Pending]:
    """Fail the claim whose key is taken; return the others to try again."""
    rest = [p for p in batch if p.key != conflict.peer]
    if len(rest) == len(batch):
        rest = []
    for pending in batch:
        if pending not in rest:
            _set_exception(pending, conflict)
    return rest
