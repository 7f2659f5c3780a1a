"""Stores the streams that this daemon records, and removes rows of ended processes."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from mode import Service

from ..core import Application
from ..exceptions import (
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import StoreEra, WriteId, make_id
from ..steps import async_run_step
from ..store import Check, TableService, Transaction, Write
from .const import (
    MAX_REMOVED_ROWS,
    MAX_SAVED_BYTES_PER_S,
    RETENTION_S,
    SAVE_PERIOD_S,
    SAVE_STREAMS_PERIOD_S,
    STORE_RETRY_S,
)
from .manager import OriginManager
from .sharing import StreamSharing
from .stored import PREFIX_STREAMS, StreamsRow, make_stream_rows


class StreamStore(Service):
    """Stores streams for this daemon and others, in rows of this process.

    Parameters
    ----------
    core : Application
        The owning application.
    table : TableService
        Table service that stores the rows.
    manager : OriginManager
        Streams of this daemon, and those that it records for others.
    rank : callable
        Returns this daemon's rank among the live daemons, 0 for the first.
    era : callable
        Returns the latest era of the store that is known.
    """

    def __init__(
        self,
        core: Application,
        table: TableService,
        manager: OriginManager,
        rank: Callable[[], int],
        era: Callable[[], StoreEra],
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._recorder = manager.recorder
        self._sharing = StreamSharing(core, manager)
        self._rank = rank
        self._era = era
        self._prefix = f"{PREFIX_STREAMS}{core.boot_id}/"
        self._saved: dict[str, StreamsRow] = {}
        self._row_versions: dict[str, int] | None = {}
        """Versions of this process's rows; None if a write's outcome is unknown."""
        self._saved_era: StoreEra | None = None
        self._saved_changes = 0
        self._next_save_s = float("-inf")
        self._old_versions: dict[str, int] = {}
        """Versions of the rows of other processes when they were last read."""

    @Service.task
    async def _async_share_loop(self) -> None:
        while not self.should_stop:
            await async_run_step(
                self, self._core.events, "streams.share", self._async_share
            )
            is_sharing = self._sharing.is_sharing
            await self.sleep(self._sharing.period_s if is_sharing else SAVE_PERIOD_S)

    @Service.task
    async def _async_remove_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(RETENTION_S)
            await async_run_step(
                self, self._core.events, "streams.remove", self._async_try_remove_old
            )

    async def _async_share(self) -> None:
        self._sharing.update()
        await self.async_save_if_due()

    async def _async_try_remove_old(self) -> None:
        try:
            await self.async_remove_old()
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict) as error:
            # The next attempt reads the rows again.
            self._core.events.warning("old_streams_not_removed", error=error)

    async def async_save_if_due(self) -> None:
        """Store the recorded streams if they have changed."""
        now_s = self._core.clock()
        if now_s < self._next_save_s:
            return
        streams = self._recorder.streams(now_s)
        is_restored = self._saved_era is not None and self._saved_era < self._era()
        is_changed = self._recorder.changes != self._saved_changes
        if not is_restored and not is_changed and bool(streams) == bool(self._saved):
            return
        rows = make_stream_rows(self._core.boot_id, streams)
        changes = self._recorder.changes
        self._next_save_s = now_s + SAVE_STREAMS_PERIOD_S
        try:
            await self._async_save(rows, is_restored=is_restored)
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict) as error:
            self._row_versions = None
            self._next_save_s = now_s + STORE_RETRY_S
            self._core.events.warning("streams_not_saved", error=error)
            return
        self._saved_changes = changes

    async def _async_save(
        self, rows: dict[str, StreamsRow], *, is_restored: bool
    ) -> None:
        """Write the rows that differ from those in the store.

        The checks keep a delayed write from replacing newer rows.

        Raises
        ------
        PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict
            The rows may not have been written.
        """
        if self._row_versions is None or is_restored:
            page = await self._table.async_read(self._prefix)
            self._row_versions = {row.key: row.version for row in page.rows}
            self._saved, self._saved_era = {}, page.era
        removed = self._row_versions.keys() - rows.keys()
        changed = [key for key, row in rows.items() if self._saved.get(key) != row]
        writes = [Write(key, msgspec.to_builtins(rows[key])) for key in changed]
        writes += [Write(key, None) for key in removed]
        if not writes:
            return
        checks = [Check(w.key, self._row_versions.get(w.key, 0)) for w in writes]
        transaction = Transaction(WriteId(make_id()), tuple(checks), tuple(writes))
        commit = await self._table.async_transact(transaction)
        for key in changed:
            self._row_versions[key] = commit.version
        for key in removed:
            del self._row_versions[key]
        self._saved = rows
        self._saved_era = commit.era
        size_bytes = len(msgspec.json.encode([rows[key] for key in changed]))
        pause_s = size_bytes / MAX_SAVED_BYTES_PER_S
        self._next_save_s = max(self._next_save_s, self._core.clock() + pause_s)

    async def async_remove_old(self) -> None:
        """Remove rows that no process has written since this was last called.

        Called at intervals of ``RETENTION_S``, in which all streams of a row expire.

        Raises
        ------
        PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict
            The rows may not have been removed.
        """
        if self._rank():
            return
        page = await self._table.async_read(PREFIX_STREAMS)
        found = {
            row.key: row.version
            for row in page.rows
            if not row.key.startswith(self._prefix)
        }
        known, self._old_versions = self._old_versions, found
        unchanged = [key for key in found if found[key] == known.get(key)]
        for start in range(0, len(unchanged), MAX_REMOVED_ROWS):
            keys = unchanged[start : start + MAX_REMOVED_ROWS]
            checks = tuple(Check(key, found[key]) for key in keys)
            writes = tuple(Write(key, None) for key in keys)
            await self._table.async_transact(
                Transaction(WriteId(make_id()), checks, writes)
            )
