"""Stores what daemons need to resume streams after all of them have been lost.

The row of the versions that served is written when one appears or is no longer needed.
While a service has several versions, its unfinished streams are stored, too. Daemons
read the rows at their start, and again if they may have missed versions.
"""

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
from ..ids import ServiceName, SoftwareVersion, StoreEra, WriteId, make_id
from ..steps import async_run_step
from ..store import Check, RowPage, TableService, Transaction, Write, decode_value
from .const import SAVE_PERIOD_S, SAVE_RANK_DELAY_S, SAVERS, STORE_RETRY_S
from .manager import OriginManager
from .messages import StreamOrigin
from .stored import (
    KEY_VERSIONS,
    PREFIX_ORIGINS,
    PREFIX_STREAMS,
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
        self._manager = manager
        self._rank = rank
        self._era = era
        self._verified: VersionsRow | None = None
        """What this daemon knew when it last compared the row with it."""
        self._unsaved_since_s: float | None = None
        self._has_loaded = False

    @Service.task
    async def _async_run(self) -> None:
        while not self.should_stop:
            await async_run_step(
                self, self._core.events, "origins.load", self._async_try_load
            )
            if self._has_loaded:
                break
            await self.sleep(STORE_RETRY_S)
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
            await self.sleep(STORE_RETRY_S)

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
        state = state_of(row, page.era)
        streams = self._decode_streams(page)
        self._core.events.info(
            "stored_origins_read",
            state=state.value,
            services=0 if row is None else len(row.services),
            streams=len(streams),
        )
        versions = {} if row is None else row.services
        self._manager.apply_stored(state, versions, streams, read_s=read_s)

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
        rank = self._rank()
        if rank >= SAVERS or now_s - self._unsaved_since_s < rank * SAVE_RANK_DELAY_S:
            return
        try:
            await self._async_save()
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict) as error:
            # The next attempt reads the row again.
            self._unsaved_since_s = now_s + STORE_RETRY_S
            self._core.events.warning("versions_not_saved", error=error)

    def _needs_check(self) -> bool:
        """Return whether the row may lack something that this daemon knows."""
        known, verified = self._known(), self._verified
        # In a fleet that serves for the first time, there is nothing else to know.
        may_save = self._manager.has_full_history or self._manager.is_first_fleet
        if not known or not may_save:
            return False
        if verified is None or verified.era < self._era():
            return True
        return verified.services != known

    def _known(self) -> Versions:
        versions = self._manager.versions.all_versions(self._core.clock())
        return {service: names for service, names in versions.items() if names}

    def _merge(self, stored: Versions, known: Versions) -> Versions:
        """Return the versions to store.

        A version that this daemon doesn't know may have been seen by another one,
        unless this daemon has served for as long as streams can be resumed.
        """
        if self._rank() == 0 and self._manager.is_older_than_streams:
            return known
        names = known.keys() | stored.keys()
        return {
            name: sorted({*stored.get(name, ()), *known.get(name, ())})
            for name in sorted(names)
        }

    async def _async_save(self) -> None:
        """Compare the row with what this daemon knows, and write it if it differs.

        Raises
        ------
        PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict
            The row may not have been written.
        """
        known = self._known()
        page = await self._table.async_read(KEY_VERSIONS)
        row = self._decode_versions(page)
        merged = VersionsRow(
            self._merge({} if row is None else row.services, known), page.era
        )
        if merged != row:
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
            )
        self._verified = VersionsRow(known, page.era)
