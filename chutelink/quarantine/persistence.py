"""Persistence of holds in the store, where they survive restarts of all daemons.

Only changes of a hold are written: its start, its trials and its end, and before it the
count of terminations that is one below the threshold. Each daemon reads
them by following the table, so that daemons that started later or are disconnected from
the others receive them too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from mode import Service

from ..const import TABLE_QUARANTINE
from ..core import Application
from ..exceptions import (
    ChutelinkError,
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import Fingerprint, WriteId, make_id
from ..steps import async_run_step
from ..store import Check, TableService, Transaction, Write, decode_value
from .const import MAX_HOLDS, SAVE_BATCH_SIZE, SAVE_PERIOD_S, SAVE_RANK_DELAY_S
from .counts import StoredCounts
from .model import EndingCount, Hold, Verdict
from .service import Quarantine

PREFIX_HOLDS = f"{TABLE_QUARANTINE}/"
PREFIX_COUNTS = f"{PREFIX_HOLDS}count-"


class QuarantinePersistence(Service):
    """Writes holds to the store and applies those that are stored there.

    Parameters
    ----------
    core : Application
        The owning application.
    table : TableService
        Table service that stores the rows.
    quarantine : Quarantine
        Quarantine whose holds are stored.
    rank : callable
        Returns this daemon's rank among the live daemons, 0 for the first.
    """

    def __init__(
        self,
        core: Application,
        table: TableService,
        quarantine: Quarantine,
        rank: Callable[[], int],
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._quarantine = quarantine
        self._rank = rank
        self._counts = StoredCounts(quarantine.table)
        self._locally_held: set[Fingerprint] = set()
        self._saved: set[Fingerprint] = set()
        self._unconfirmed: set[Fingerprint] = set()
        """Holds that a write without a known outcome may have stored."""
        self._pending_removals: set[Fingerprint] = set()
        self._expected_removals: dict[Fingerprint, float] = {}
        """Rows that other daemons remove, and when these daemons cleared the holds."""
        self._cleared: dict[Fingerprint, None] = {}
        """Holds that have ended, the latest last.

        A store restored from a backup may contain them again.
        """
        self._restored_s = float("-inf")
        self._changed = asyncio.Event()
        quarantine.on_held = self._note_held
        quarantine.on_ending = self._note_ending
        quarantine.on_cleared = self._note_cleared
        quarantine.on_cleared_elsewhere = self._note_cleared_elsewhere
        quarantine.is_removal_pending = self.is_removal_pending
        quarantine.async_store_removal = self.async_store_removal
        quarantine.async_claim_trial = self.async_claim_trial

    def _note_ending(self, fingerprint: Fingerprint) -> None:
        self._counts.note_found(fingerprint)
        self._changed.set()

    def _note_held(self, fingerprint: Fingerprint) -> None:
        self._locally_held.add(fingerprint)
        self._saved.discard(fingerprint)
        self._cleared.pop(fingerprint, None)
        self._drop_removal(fingerprint)
        self._changed.set()

    def _note_cleared(self, fingerprint: Fingerprint) -> None:
        self._locally_held.discard(fingerprint)
        self._remember_cleared(fingerprint)
        if self._may_be_stored(fingerprint):
            self._pending_removals.add(fingerprint)
            self._changed.set()

    def _note_cleared_elsewhere(self, fingerprint: Fingerprint) -> None:
        self._remember_cleared(fingerprint)
        if self._may_be_stored(fingerprint):
            self._expected_removals.setdefault(fingerprint, self._core.clock())

    def _may_be_stored(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._saved or fingerprint in self._unconfirmed

    def _drop_removal(self, fingerprint: Fingerprint) -> None:
        self._pending_removals.discard(fingerprint)
        self._expected_removals.pop(fingerprint, None)

    def is_removal_pending(self, fingerprint: Fingerprint) -> bool:
        """Return whether the row of a cleared request is still to be removed."""
        return (
            fingerprint in self._pending_removals
            or fingerprint in self._expected_removals
        )

    def _remember_cleared(self, fingerprint: Fingerprint) -> None:
        self._cleared[fingerprint] = None
        if len(self._cleared) > MAX_HOLDS:
            del self._cleared[next(iter(self._cleared))]

    def note_restored(self, keys: set[str]) -> None:
        """Handle a store that was restored from a backup with these rows."""
        self._restored_s = self._core.clock()
        self._saved = {
            Fingerprint(key.removeprefix(PREFIX_HOLDS))
            for key in keys
            if not key.startswith(PREFIX_COUNTS)
        }
        self._counts.forget_stored()
        self._changed.set()

    def apply_row(self, key: str, value: Any, *, is_restored: bool = False) -> None:
        """Apply a row of the table; a value of None means that it was removed.

        A row of a store restored from a backup doesn't override newer knowledge, which
        is written again instead.
        """
        if key.startswith(PREFIX_COUNTS):
            self._apply_count(key, value, is_restored=is_restored)
            return
        fingerprint = Fingerprint(key.removeprefix(PREFIX_HOLDS))
        if value is None and not is_restored:
            self._saved.discard(fingerprint)
            self._unconfirmed.discard(fingerprint)
            self._drop_removal(fingerprint)
            self._remember_cleared(fingerprint)
            self._quarantine.clear(fingerprint, "removed_from_store")
        if value is None:
            return
        try:
            hold = msgspec.convert(value, Hold)
        except msgspec.ValidationError as error:
            # A row that another program wrote must not hold any request.
            self._core.events.warning("hold_invalid", key=key, error=str(error))
            return
        if is_restored and self._is_outdated(fingerprint, hold):
            self._core.events.info("hold_outdated", fingerprint=fingerprint)
            return
        self._saved.add(fingerprint)
        self._unconfirmed.discard(fingerprint)
        self._quarantine.apply_stored_hold(fingerprint, hold)

    def _apply_count(self, key: str, value: Any, *, is_restored: bool) -> None:
        """Apply a count, unless its request has been cleared or may have been."""
        fingerprint = Fingerprint(key.removeprefix(PREFIX_COUNTS))
        if value is None:
            self._counts.note_stored(fingerprint, None)
            return
        try:
            count = msgspec.convert(value, EndingCount)
        except msgspec.ValidationError as error:
            self._core.events.warning("hold_invalid", key=key, error=str(error))
            return
        self._counts.note_stored(fingerprint, count)
        if not is_restored and fingerprint not in self._cleared:
            self._quarantine.apply_stored_count(fingerprint, count)

    def _is_outdated(self, fingerprint: Fingerprint, hold: Hold) -> bool:
        """Return whether a hold from a backup is older than the known state."""
        known = self._quarantine.table.holds().get(fingerprint)
        if known is None and fingerprint in self._cleared:
            self._pending_removals.add(fingerprint)
            return True
        if known is None or hold.trials >= known.trials:
            return False
        self._saved.discard(fingerprint)
        return True

    @Service.task
    async def _async_save_loop(self) -> None:
        while not self.should_stop:
            await async_run_step(
                self, self._core.events, "holds.save", self._async_try_save
            )
            await self._async_wait_for_changes()

    async def _async_try_save(self) -> None:
        try:
            await self.async_save_pending()
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict) as error:
            # The next attempt writes them again; writing a row twice is harmless.
            self._core.events.warning("holds_not_saved", error=error)

    async def _async_wait_for_changes(self) -> None:
        # Limits the rate of writes even while more holds are waiting to be written.
        await self.sleep(SAVE_PERIOD_S)
        self._changed.clear()
        while not self._has_pending_writes() and not self.should_stop:
            try:
                async with asyncio.timeout(SAVE_RANK_DELAY_S):
                    await self._changed.wait()
            except TimeoutError:
                continue
            self._changed.clear()

    def _has_pending_writes(self) -> bool:
        return bool(
            self._removals()
            or self._unsaved()
            or self._counts.unsaved(self._core.clock(), self._rank())
            or self._outdated_counts()
        )

    async def async_save_pending(self) -> None:
        """Write the holds that are not in the store, and remove those that ended.

        Raises
        ------
        PlatformUnavailable, WriteOutcomeUnknown
            The changes may not have been stored.
        """
        removed = self._removals()[:SAVE_BATCH_SIZE]
        await self._async_write(removed, self._unsaved()[:SAVE_BATCH_SIZE])
        await self._async_save_counts()

    def _outdated_counts(self) -> list[Fingerprint]:
        """Return the counts to remove; those of holds only once these are stored."""
        holds = self._quarantine.table.holds()
        return [
            fingerprint
            for fingerprint in self._counts.outdated(self._rank())
            if fingerprint not in holds or fingerprint in self._saved
        ]

    async def _async_save_counts(self) -> None:
        rank = self._rank()
        counts = self._counts.unsaved(self._core.clock(), rank)
        changes: list[tuple[Fingerprint, EndingCount | None]] = [
            *list(counts.items())[:SAVE_BATCH_SIZE],
            *((name, None) for name in self._outdated_counts()[:SAVE_BATCH_SIZE]),
        ]
        if not changes:
            return
        writes = tuple(
            Write(PREFIX_COUNTS + name, count and msgspec.to_builtins(count))
            for name, count in changes
        )
        restored_s = self._restored_s
        await self._table.async_transact(Transaction(WriteId(make_id()), (), writes))
        if restored_s != self._restored_s:
            return
        for name, count in changes:
            self._counts.note_stored(name, count)

    async def async_store_removal(self, fingerprint: Fingerprint) -> bool:
        """Remove the row of a cleared request at once.

        Returns whether it is removed for certain. Otherwise daemons that start later
        may hold the request again.
        """
        if not self.is_removal_pending(fingerprint):
            return True
        try:
            await self._async_write([fingerprint], [])
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict) as error:
            self._core.events.warning(
                "hold_not_removed", fingerprint=fingerprint, error=error
            )
        return not self.is_removal_pending(fingerprint)

    async def _async_write(
        self, removed: list[Fingerprint], unsaved: list[Fingerprint]
    ) -> None:
        writes = [Write(PREFIX_HOLDS + name, None) for name in removed]
        holds = self._quarantine.table.holds()
        writes += [
            Write(PREFIX_HOLDS + name, msgspec.to_builtins(holds[name]))
            for name in unsaved
        ]
        if not writes:
            return
        transaction = Transaction(WriteId(make_id()), (), tuple(writes))
        restored_s = self._restored_s
        self._unconfirmed.update(unsaved)
        await self._table.async_transact(transaction)
        if restored_s != self._restored_s:
            # The restore may have lost this write, so it stays pending.
            return
        for fingerprint in removed:
            self._drop_removal(fingerprint)
        self._saved.difference_update(removed)
        self._unconfirmed.difference_update(removed, unsaved)
        self._saved.update(unsaved)
        self._locally_held.difference_update(unsaved)

    def _removals(self) -> list[Fingerprint]:
        """Return the rows to remove.

        Those that other daemons remove are included once these daemons are overdue:
        they may have been lost.
        """
        late_s = SAVE_RANK_DELAY_S * (1 + self._rank())
        now_s = self._core.clock()
        holds = self._quarantine.table.holds()
        overdue = [
            fingerprint
            for fingerprint, cleared_s in self._expected_removals.items()
            if now_s - cleared_s >= late_s and fingerprint not in holds
        ]
        removals = (*self._pending_removals, *overdue, *self._evicted())
        return list(dict.fromkeys(removals))

    def _evicted(self) -> list[Fingerprint]:
        """Return the stored holds that were evicted; only rank 0 removes their rows."""
        if len(self._saved) <= MAX_HOLDS or self._rank():
            return []
        return [f for f in self._saved if f not in self._quarantine.table]

    def _unsaved(self) -> list[Fingerprint]:
        """Return the holds to write.

        Those found by other daemons are included once their finders are overdue.
        """
        now_s = self._core.clock()
        late_s = SAVE_RANK_DELAY_S * (1 + self._rank())
        found = []
        for fingerprint in self._quarantine.table.holds():
            if fingerprint in self._saved:
                continue
            held_s = self._quarantine.table.get(fingerprint).held_s
            waited_s = now_s - max(held_s, self._restored_s)
            if fingerprint in self._locally_held or waited_s >= late_s:
                found.append(fingerprint)
        return found

    async def async_claim_trial(self, fingerprint: Fingerprint) -> bool:
        """Return whether this daemon may run the trial of an expired hold.

        At most one daemon is granted each trial. The next hold is written first, so
        that it stays in force if the trial fails or this daemon terminates meanwhile.
        """
        try:
            return await self._async_claim_stored_trial(fingerprint)
        except (TransactionConflict, PlatformUnavailable, WriteOutcomeUnknown) as error:
            self._log_trial(fingerprint, is_granted=False, error=error)
            return False

    async def _async_claim_stored_trial(self, fingerprint: Fingerprint) -> bool:
        key = PREFIX_HOLDS + fingerprint
        page = await self._table.async_read(key)
        row = page.get(key)
        hold = decode_value(row, Hold)
        if hold is None:
            return False
        unix_s = self._quarantine.unix_clock()
        if self._quarantine.policy.decide(hold, unix_s) is not Verdict.TRIAL:
            self._quarantine.apply_stored_hold(fingerprint, hold)
            return False
        next_hold = self._quarantine.policy.begin_trial(hold, unix_s)
        write = Write(key, msgspec.to_builtins(next_hold))
        check = Check(key, row.version)
        transaction = Transaction(WriteId(make_id()), (check,), (write,))
        commit = await self._table.async_transact(transaction)
        if commit.era != page.era:
            # Another daemon may have been granted the trial in the restored store.
            self._log_trial(fingerprint, is_granted=False)
            return False
        self._quarantine.apply_stored_hold(fingerprint, next_hold)
        self._log_trial(fingerprint, is_granted=True)
        return True

    def _log_trial(
        self,
        fingerprint: Fingerprint,
        *,
        is_granted: bool,
        error: ChutelinkError | None = None,
    ) -> None:
        self._core.events.record(
            "suspect_trial",
            fingerprint=fingerprint,
            granted=is_granted,
            error=error or "",
        )
