"""Keep holds in the store, where they outlast all daemons.

Only what is settled is written: a hold when it begins, its trials, and its end. Each
daemon reads them as it follows the table, so that those learn of it too that started
later or are cut off from the others.
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
from ..store import Check, TableService, Transaction, Write, decode_value
from .const import MAX_HOLDS, MAX_SAVED, SAVE_PERIOD_S, SAVE_STEP_S
from .model import Hold, Verdict
from .service import Quarantine

PREFIX_HOLDS = f"{TABLE_QUARANTINE}/"


class QuarantineKeeper(Service):
    """Writes holds to the store and takes over those that lie there.

    Parameters
    ----------
    core : Application
        The owner.
    table : TableService
        Where the rows are.
    quarantine : Quarantine
        Whose holds they are.
    rank : callable
        This daemon's place among the live ones, 0 for the first.
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
        self._own: set[Fingerprint] = set()
        self._saved: set[Fingerprint] = set()
        self._to_remove: set[Fingerprint] = set()
        self._cleared: dict[Fingerprint, None] = {}
        """Holds that have ended, the latest last; an older store has them again."""
        self._restored_s = float("-inf")
        self._wake = asyncio.Event()
        quarantine.on_held = self._note_held
        quarantine.on_cleared = self._note_cleared
        quarantine.async_claim_trial = self.async_claim_trial

    def _note_held(self, fingerprint: Fingerprint) -> None:
        self._own.add(fingerprint)
        self._cleared.pop(fingerprint, None)
        self._to_remove.discard(fingerprint)
        self._wake.set()

    def _note_cleared(self, fingerprint: Fingerprint) -> None:
        self._own.discard(fingerprint)
        self._remember_cleared(fingerprint)
        if fingerprint in self._saved:
            self._to_remove.add(fingerprint)
            self._wake.set()

    def _remember_cleared(self, fingerprint: Fingerprint) -> None:
        self._cleared[fingerprint] = None
        if len(self._cleared) > MAX_HOLDS:
            del self._cleared[next(iter(self._cleared))]

    def note_restored(self, keys: set[str]) -> None:
        """Take in that the store came back older, and which rows it has."""
        self._restored_s = self._core.clock()
        self._saved = {Fingerprint(key.removeprefix(PREFIX_HOLDS)) for key in keys}
        self._wake.set()

    def take_row(self, key: str, value: Any, *, is_restored: bool = False) -> None:
        """Take in a row of the table; None is one that was removed.

        A row of an older store that came back says nothing against what was known: that
        is written again.
        """
        fingerprint = Fingerprint(key.removeprefix(PREFIX_HOLDS))
        if value is None and not is_restored:
            self._saved.discard(fingerprint)
            self._to_remove.discard(fingerprint)
            self._remember_cleared(fingerprint)
            self._quarantine.clear(fingerprint, "removed_from_store")
        if value is None:
            return
        try:
            hold = msgspec.convert(value, Hold)
        except msgspec.ValidationError as error:
            # Another program's row holds nothing against any request.
            self._core.events.warning("hold_invalid", key=key, error=str(error))
            return
        if is_restored and self._is_outdated(fingerprint, hold):
            self._core.events.info("hold_outdated", fingerprint=fingerprint)
            return
        self._saved.add(fingerprint)
        self._quarantine.take_hold(fingerprint, hold)

    def _is_outdated(self, fingerprint: Fingerprint, hold: Hold) -> bool:
        """Return whether a hold of an older store is of before what is known here."""
        known = self._quarantine.table.holds().get(fingerprint)
        if known is None and fingerprint in self._cleared:
            self._to_remove.add(fingerprint)
            return True
        if known is None or hold.trials >= known.trials:
            return False
        self._saved.discard(fingerprint)
        return True

    @Service.task
    async def _async_loop(self) -> None:
        while not self.should_stop:
            try:
                await self.async_save()
            except (
                PlatformUnavailable,
                WriteOutcomeUnknown,
                TransactionConflict,
            ) as error:
                # Written again next time: the same row twice changes nothing.
                self._core.events.warning("holds_not_saved", error=error)
            await self._async_wait()

    async def _async_wait(self) -> None:
        # Between two calls in any case, also when more is to be written at once.
        await self.sleep(SAVE_PERIOD_S)
        self._wake.clear()
        while not self._is_due() and not self.should_stop:
            try:
                async with asyncio.timeout(SAVE_STEP_S):
                    await self._wake.wait()
            except TimeoutError:
                continue
            self._wake.clear()

    def _is_due(self) -> bool:
        return bool(self._to_remove or self._excess() or self._unsaved())

    async def async_save(self) -> None:
        """Write the holds that are not in the store, and remove those that ended.

        Raises
        ------
        PlatformUnavailable, WriteOutcomeUnknown
            They may not be there.
        """
        removed = [*self._to_remove, *self._excess()][:MAX_SAVED]
        unsaved = self._unsaved()[:MAX_SAVED]
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
        await self._table.async_transact(transaction)
        if restored_s != self._restored_s:
            # What was written may have been lost meanwhile; it is written again.
            return
        self._to_remove.difference_update(removed)
        self._saved.difference_update(removed)
        self._saved.update(unsaved)
        self._own.difference_update(unsaved)

    def _excess(self) -> list[Fingerprint]:
        """Return the rows that gave way to newer ones; one daemon removes them."""
        if len(self._saved) <= MAX_HOLDS or self._rank():
            return []
        return [f for f in self._saved if f not in self._quarantine.table]

    def _unsaved(self) -> list[Fingerprint]:
        """Return the holds to write: own ones, and others' that were not written."""
        now_s = self._core.clock()
        late_s = SAVE_STEP_S * (1 + self._rank())
        found = []
        for fingerprint in self._quarantine.table.holds():
            if fingerprint in self._saved:
                continue
            held_s = self._quarantine.table.get(fingerprint).held_s
            waited_s = now_s - max(held_s, self._restored_s)
            if fingerprint in self._own or waited_s >= late_s:
                found.append(fingerprint)
        return found

    async def async_claim_trial(self, fingerprint: Fingerprint) -> bool:
        """Return whether this daemon alone may try a request whose hold has run out.

        The hold that follows is written first: a trial that ends badly, or whose
        daemon ends with it, leaves it in force.
        """
        try:
            return await self._async_claim(fingerprint)
        except (TransactionConflict, PlatformUnavailable, WriteOutcomeUnknown) as error:
            self._log_trial(fingerprint, is_granted=False, error=error)
            return False

    async def _async_claim(self, fingerprint: Fingerprint) -> bool:
        key = PREFIX_HOLDS + fingerprint
        page = await self._table.async_read(key)
        row = page.get(key)
        hold = decode_value(row, Hold)
        if hold is None:
            return False
        unix_s = self._quarantine.unix_clock()
        if self._quarantine.judge.judge(hold, unix_s) is not Verdict.TRIAL:
            self._quarantine.take_hold(fingerprint, hold)
            return False
        following = self._quarantine.judge.begin_trial(hold, unix_s)
        write = Write(key, msgspec.to_builtins(following))
        check = Check(key, row.version)
        transaction = Transaction(WriteId(make_id()), (check,), (write,))
        commit = await self._table.async_transact(transaction)
        if commit.era != page.era:
            # Another daemon may have been granted the trial in the older store.
            self._log_trial(fingerprint, is_granted=False)
            return False
        self._quarantine.take_hold(fingerprint, following)
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
