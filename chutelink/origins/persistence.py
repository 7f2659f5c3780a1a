"""Stores what daemons need to resume streams after all of them have been lost.

The row of the versions that served is written when one appears or is no longer needed,
and confirmed from time to time. A version may serve, and leave, before it is stored. So
a daemon that reads the row also reads the changes of registrations since then; without
them, the row is not taken for complete. While a service has several versions, its
unfinished streams are stored, too. Daemons read the rows at their start, and again if
they may have missed versions.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from mode import Service

from ..core import Application
from ..exceptions import (
    HistoryLost,
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import (
    ServiceName,
    SoftwareVersion,
    StoreEra,
    WriteId,
    make_id,
)
from ..steps import async_run_step
from ..store import (
    Check,
    RowPage,
    StorePosition,
    TableService,
    Transaction,
    Write,
    decode_value,
)
from .const import (
    COVERAGE_PERIOD_S,
    FIRST_READ_POLL_S,
    SAVE_PERIOD_S,
    SAVE_RANK_DELAY_S,
    SAVERS,
    STORE_RETRY_S,
)
from .manager import OriginManager
from .messages import StreamOrigin
from .registrations import RegistrationLog
from .stored import (
    KEY_VERSIONS,
    PREFIX_ORIGINS,
    PREFIX_STREAMS,
    StoredHistory,
    StreamsRow,
    VersionsRow,
    state_of,
)

Versions = dict[ServiceName, list[SoftwareVersion]]


class OriginPersistence(Service):
    """Reads what is stored at the start, and stores versions that are missing.

    Parameters
    ----------
    core : Application
        The owning application.
    table : TableService
        Table service that stores the rows.
    manager : OriginManager
        Versions that this daemon knows.
    rank : callable
        Returns this daemon's rank among the live daemons, 0 for the first.
    era : callable
        Returns the latest era of the store that is known.
    registrations : RegistrationLog
        The registrations of endpoints that this daemon knows.
    is_first_start : callable
        Returns whether no daemon served before those that are starting now, None if
        that is not known yet.
    """

    def __init__(
        self,
        core: Application,
        table: TableService,
        manager: OriginManager,
        rank: Callable[[], int],
        era: Callable[[], StoreEra],
        registrations: RegistrationLog,
        is_first_start: Callable[[], bool | None] = lambda: False,
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._manager = manager
        self._rank = rank
        self._era = era
        self._registrations = registrations
        self._is_first_start = is_first_start
        self._verified: VersionsRow | None = None
        """What this daemon knew when it last compared the row with it.

        The coverage is that of the row.
        """
        self._verified_s = core.clock()
        self._is_confirming = False
        """Whether this daemon was the last one to confirm the row."""
        self._unsaved_since_s: float | None = None
        self._next_try_s = float("-inf")
        """Time of the next attempt after one that failed."""
        self._has_loaded = False

    @Service.task
    async def _async_run(self) -> None:
        # Changes up to the first read of the registrations are replayed.
        while not self.should_stop and self._registrations.position() is None:
            await self.sleep(FIRST_READ_POLL_S)
        while not self.should_stop:
            await async_run_step(
                self, self._core.events, "origins.load", self._async_try_load
            )
            if self._has_loaded:
                break
            await self.sleep(STORE_RETRY_S * self._core.rng.uniform(1.0, 2.0))
        while not self.should_stop:
            await self.sleep(SAVE_PERIOD_S)
            await async_run_step(
                self, self._core.events, "origins.save", self.async_save_if_due
            )
            if self._manager.lacks_stored:
                await async_run_step(
                    self, self._core.events, "origins.load", self._async_reload
                )

    async def _async_reload(self) -> None:
        """Read again what is stored, as this daemon may have missed versions."""
        self._has_loaded = False
        await self._async_try_load()
        if not self._has_loaded:
            await self.sleep(STORE_RETRY_S * self._core.rng.uniform(1.0, 2.0))

    async def _async_try_load(self) -> None:
        try:
            await self.async_load()
            self._has_loaded = True
        except PlatformUnavailable as error:
            self._core.events.warning("stored_origins_not_read", error=error)

    async def async_load(self) -> None:
        """Read what daemons have stored, also those before this one.

        Raises
        ------
        PlatformUnavailable
            The rows could not be read.
        """
        read_s = self._core.clock()
        page = await self._table.async_read(PREFIX_ORIGINS)
        row = self._decode_versions(page)
        state = await self._async_prove(row, page)
        streams = self._decode_streams(page)
        self._core.events.info(
            "stored_origins_read",
            state=state.value,
            covered_version=0 if row is None else row.covered_version,
            read_version=page.version,
            services=0 if row is None else len(row.services),
            streams=len(streams),
        )
        versions = {} if row is None else row.services
        self._manager.apply_stored(state, versions, streams, read_s=read_s)

    async def _async_prove(
        self, row: VersionsRow | None, page: RowPage
    ) -> StoredHistory:
        """Return what a row says, after a look for versions that came after it.

        Raises
        ------
        PlatformUnavailable
            The changes of registrations could not be read.
        """
        state = state_of(row, page.era)
        if state is StoredHistory.OUTDATED:
            return state
        since = StorePosition(0, page.era) if row is None else row.position
        try:
            await self._registrations.async_replay(since)
        except HistoryLost as error:
            self._core.events.info("registrations_not_replayed", error=error)
            return self._state_without_changes(row)
        return StoredHistory.CURRENT

    def _state_without_changes(self, row: VersionsRow | None) -> StoredHistory:
        """Return what a row says if changes of registrations since then are lost."""
        if row is not None:
            return StoredHistory.UNPROVEN
        is_first = self._is_first_start()
        if is_first is None:
            raise PlatformUnavailable(
                "not registered yet", step="origins.load", peer=KEY_VERSIONS
            )
        # Daemons that served before may have failed to store versions.
        return StoredHistory.ABSENT if is_first else StoredHistory.UNPROVEN

    def _decode_streams(self, page: RowPage) -> list[StreamOrigin]:
        streams: list[StreamOrigin] = []
        for found in page.rows:
            if not found.key.startswith(PREFIX_STREAMS):
                continue
            try:
                row = decode_value(found, StreamsRow)
            except PlatformUnavailable as error:
                # The other rows are still of use.
                self._core.events.warning(
                    "stored_streams_invalid", key=found.key, error=error
                )
                continue
            streams += [] if row is None else row.origins()
        return streams

    def _decode_versions(self, page: RowPage) -> VersionsRow | None:
        try:
            return decode_value(page.get(KEY_VERSIONS), VersionsRow)
        except PlatformUnavailable as error:
            # Says that a history exists, but not which: no era is as old as this one.
            self._core.events.warning("stored_versions_invalid", error=error)
            return VersionsRow({}, StoreEra(-1))

    async def async_save_if_due(self) -> None:
        """Store the versions that this daemon knows, unless another one has done so."""
        if not self._needs_check():
            self._unsaved_since_s = None
            return
        now_s = self._core.clock()
        if self._unsaved_since_s is None:
            self._unsaved_since_s = now_s
        if now_s < self._next_try_s:
            return
        rank = self._rank()
        if rank >= SAVERS and not self._is_confirmation_due():
            return
        if rank < SAVERS and now_s - self._unsaved_since_s < rank * SAVE_RANK_DELAY_S:
            return
        try:
            await self._async_save()
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict) as error:
            # The next attempt reads the row again.
            self._next_try_s = now_s + STORE_RETRY_S * (1 + rank)
            self._core.events.warning("versions_not_saved", error=error)

    def _needs_check(self) -> bool:
        """Return whether the row may lack something that this daemon knows."""
        known, verified = self._known(), self._verified
        # In a fleet that serves for the first time, there is nothing else to know. The
        # row is stored even without versions, for daemons that start later.
        may_save = self._manager.has_full_history or self._manager.is_first_fleet
        if not may_save or self._registrations.position() is None:
            return False
        if verified is None or verified.era < self._era():
            return True
        return verified.services != known or self._is_confirmation_due()

    def _is_confirmation_due(self) -> bool:
        """Return whether to look whether the row's coverage is still recent.

        Daemons of higher ranks do so less often, unless those before them have failed
        to confirm the row.
        """
        periods = 1 if self._is_confirming else 1 + self._rank()
        since_s = self._core.clock() - self._verified_s
        return since_s >= periods * COVERAGE_PERIOD_S

    def _known(self) -> Versions:
        versions = self._manager.versions.all_versions(self._core.clock())
        return {service: names for service, names in versions.items() if names}

    def _merge(
        self, row: VersionsRow | None, known: Versions, position: StorePosition
    ) -> VersionsRow:
        """Return the row to store.

        A version that this daemon doesn't know may have been seen by another one,
        unless this daemon knows as many registrations and has served for as long as
        streams can be resumed.
        """
        stored = {} if row is None else row.services
        covered_version = position.version
        if row is not None and row.era == position.era:
            covered_version = max(covered_version, row.covered_version)
        is_older = self._rank() == 0 and self._manager.is_older_than_streams
        if is_older and covered_version == position.version:
            return VersionsRow(known, position.era, covered_version)
        names = known.keys() | stored.keys()
        merged = {
            name: sorted({*stored.get(name, ()), *known.get(name, ())})
            for name in sorted(names)
        }
        return VersionsRow(merged, position.era, covered_version)

    def _needs_write(self, row: VersionsRow | None, merged: VersionsRow) -> bool:
        """Return whether a row lacks something, or no other daemon confirms it."""
        if row is None or row.era != merged.era or row.services != merged.services:
            return True
        if row.covered_version == merged.covered_version:
            return False
        if self._verified is None and self._rank() == 0:
            return True
        is_confirmed = (
            self._verified is not None
            and row.covered_version > self._verified.covered_version
        )
        return self._is_confirmation_due() and not is_confirmed

    async def _async_save(self) -> None:
        """Compare the row with what this daemon knows, and write it if it differs.

        Raises
        ------
        PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict
            The row may not have been written.
        """
        known, position = self._known(), self._registrations.position()
        page = await self._table.async_read(KEY_VERSIONS)
        if position is None or position.era != page.era:
            # The registrations have to be read in this era first.
            return
        row = self._decode_versions(page)
        if row is None and self._rank() >= SAVERS:
            # Only an existing row is confirmed by so many daemons.
            self._verified_s = self._core.clock()
            return
        merged = self._merge(row, known, position)
        is_written = self._needs_write(row, merged)
        if is_written:
            found = page.get(KEY_VERSIONS)
            check = Check(KEY_VERSIONS, 0 if found is None else found.version)
            write = Write(KEY_VERSIONS, msgspec.to_builtins(merged))
            transaction = Transaction(WriteId(make_id()), (check,), (write,))
            commit = await self._table.async_transact(transaction)
            if commit.era != page.era:
                # The version matched by coincidence: read the restored row.
                return
            self._core.events.info(
                "versions_saved",
                services=len(merged.services),
                versions=sum(map(len, merged.services.values())),
                covered_version=merged.covered_version,
            )
        self._is_confirming = is_written
        covered_version = (merged if is_written else row).covered_version
        self._verified = VersionsRow(known, page.era, covered_version)
        self._verified_s = self._core.clock()
