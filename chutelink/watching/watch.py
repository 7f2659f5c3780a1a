"""Replication of store tables in cooperation with the other daemons.

A daemon that reads changes sends them to the others. Each daemon reads the store itself
only when its copy is older than a threshold that rises with its rank. So one daemon
reads for all without an election, and a daemon that receives no updates reads for
itself.
"""

from __future__ import annotations

import asyncio
import functools
import math
from collections.abc import Callable
from typing import Any

import msgspec
from mode import Service

from ..core import Application
from ..entry.messages import SnapshotRequest, StoredRow, StoreTime, StoreUpdate
from ..exceptions import HistoryLost, PlatformUnavailable
from ..ids import DaemonId, StoreEra
from ..steps import async_run_step, contain_errors
from ..store import Row, RowPage, StorePosition, WatchableTable
from .probing import ProbeBackoff
from .storeclock import StoreClock
from .table_state import OWN_READ, RowChange, TableFreshness, TableState
from .tablecopy import UpdateStatus
from .timing import (
    FIRST_BACKUP_SHARE,
    LONG_POLL_SHARE,
    MAX_RANK_STEPS,
    MIN_INTERVAL_SHARE,
    RANK_DELAY_SHARE,
    REREGISTRATION_S,
)

MIN_SNAPSHOT_INTERVAL_S = 0.5
SLOW_CALL_EXCESS_S = 0.3
"""Calls that exceed the long-poll wait by this much are logged.

Most take about 10 ms.
"""


MAX_READS_ON_DEMAND = 2
"""Reads for one caller that needs a table as of a time.

The first one may be overtaken by an update of a peer, and then is not applied.
"""
MIN_REFRESH_INTERVAL_S = 0.1
"""Interval of a daemon's reads on demand, which bounds those of a large fleet."""
REPLAYED_ROWS = 200
"""Number of rows that are replayed before other tasks run."""
MAX_SKIPPED_S = 1.0
"""Time that a full table may skip without being taken for a missing history.

When one daemon has lost the history, all others get a full table from it; the copies of
those in touch are more recent than this.
"""


class StoreWatch(Service):
    """Keeps copies of tables up to date and reports changed rows to callbacks.

    Parameters
    ----------
    core : Application
        The owning application.
    table : WatchableTable
        Client of the store.
    staleness_bounds_s : dict
        Tables to replicate, and the time within which every daemon must know a change.
    rank : callable
        Returns this daemon's rank among the live ones, from 0.
    send : callable
        Sends a message to the other daemons.
    outage_s : float, default=0.0
        Shortest outage of the store in which registrations of live endpoints can lapse.
    """

    def __init__(
        self,
        core: Application,
        table: WatchableTable,
        staleness_bounds_s: dict[str, float],
        rank: Callable[[], int],
        send: Callable[[StoreUpdate | SnapshotRequest], None],
        outage_s: float = 0.0,
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._rank = rank
        self._send = send
        self._tables = {
            name: TableState(
                name, staleness_bound_s, lambda key: self.outlasts_restore(key)
            )
            for name, staleness_bound_s in staleness_bounds_s.items()
        }
        self._outage_s = outage_s
        self._store_clock = StoreClock()
        self._is_store_down = False
        self._backoff = ProbeBackoff(min(staleness_bounds_s.values()), core.rng)
        self._probe_lock = asyncio.Lock()
        """Held during a probe: one table at a time is read while the store is down."""
        self.on_row: Callable[[RowChange], None] = lambda change: None
        self.on_superseded: Callable[[RowChange], None] = lambda change: None
        """Called with a value that a row had between two reads, and has no more."""
        self.on_missed: Callable[[str, bool], None] = lambda table, is_restored: None
        """Called with a table whose rows may have had values that were never read.

        The second value says whether that is so as the store was restored, which other
        daemons see at the same time.
        """
        self.on_restored: Callable[[str, set[str]], None] = lambda table, keys: None
        """Called with a table that moved to a later era, and its keys in that era."""
        self.reply: Callable[[DaemonId, StoreUpdate], None] = lambda daemon, update: (
            None
        )
        self.compact: Callable[[str, Any], Any] = lambda key, value: value
        self.outlasts_restore: Callable[[str], bool] = lambda key: False
        """Returns whether a row stays in force if a restored store lacks it."""
        self.isolated_until_s: Callable[[], float] = lambda: float("-inf")
        """End of the last silence of all peers, or now if it still lasts.

        The time is on this daemon's clock.
        """

    @property
    def era(self) -> StoreEra:
        """The latest era of the store that is known to this daemon."""
        return max(state.latest_era for state in self._tables.values())

    @property
    def is_store_failing(self) -> bool:
        """Whether this daemon's latest call to the store failed."""
        return self._backoff.is_failing

    def has_read(self, *names: str) -> bool:
        """Return whether each of the named tables has been read at least once."""
        return all(self._tables[name].copy.version > 0 for name in names)

    def knowledge(self, name: str) -> TableFreshness:
        """Return the version and age of a table's copy."""
        copy = self._tables[name].copy
        return TableFreshness(copy.version, self._age_s(copy.answered_s))

    def position(self, name: str) -> StorePosition | None:
        """Return up to where a table's copy has all changes, None before a read."""
        copy = self._tables[name].copy
        return StorePosition(copy.version, copy.era) if copy.version else None

    async def async_replay(self, name: str, since: StorePosition) -> None:
        """Report all values that a table's rows had after a position as superseded.

        They are read up to the version of the copy at least, which must exist.

        Raises
        ------
        HistoryLost
            The store no longer has all of these changes.
        PlatformUnavailable
            The store did not respond in time, or was restored.
        """
        reported: set[tuple[str, bytes]] = set()
        version = since.version
        until_version = max(version + 1, self._tables[name].copy.version)
        while version < until_version:
            page = await self._table.async_watch(f"{name}/", version, 0.0)
            if page.era != since.era:
                raise PlatformUnavailable(
                    "store was restored", step="store.replay", peer=name
                )
            for number, row in enumerate(map(self._make_row, page.rows)):
                if number % REPLAYED_ROWS == REPLAYED_ROWS - 1:
                    await asyncio.sleep(0)
                value = (row.key, msgspec.json.encode(row.value))
                if row.value is not None and value not in reported:
                    reported.add(value)
                    self.on_superseded(RowChange(row.key, row.value, row.version))
            if page.version <= version:
                break
            version = page.version

    def _age_s(self, answered_s: float) -> float:
        return self._store_clock.max_age_s(answered_s, self._core.clock())

    def store_time(self) -> StoreTime | None:
        """Return the earliest time that the store's clock may show, if it is known."""
        time_s = self._store_clock.min_time_s(self._core.clock())
        return StoreTime(time_s, self.era) if math.isfinite(time_s) else None

    def max_age_s(self, time: StoreTime | None) -> float:
        """Return how long ago a time was at most; infinite if that is unknown."""
        if time is None or time.era != self.era:
            return math.inf
        return self._age_s(time.time_s)

    async def async_refresh(self, name: str, as_of_s: float, limit_s: float) -> None:
        """Read a table unless its copy is known to be current as of a time.

        The read is shared by all callers whose time it covers. The copy stays as it is
        if the store fails.

        Parameters
        ----------
        name : str
            The table.
        as_of_s : float
            Time in seconds on this daemon's clock.
        limit_s : float
            Maximum time in seconds to wait.
        """
        state = self._tables[name]
        try:
            async with asyncio.timeout(limit_s):
                await self._async_refresh_as_of(state, as_of_s)
        except TimeoutError:
            self._core.events.info(
                "store_refresh_late",
                table=name,
                age_s=self._age_s(state.copy.answered_s),
            )

    async def _async_refresh_as_of(self, state: TableState, as_of_s: float) -> None:
        if self._is_current(state, as_of_s):
            return
        async with state.refresh_lock:
            for _ in range(MAX_READS_ON_DEMAND):
                due_s = state.refreshed_s + MIN_REFRESH_INTERVAL_S - self._core.clock()
                if state.has_refresh_failed and due_s > 0:
                    return
                if not self._is_current(state, as_of_s):
                    await asyncio.sleep(max(0.0, due_s))
                if self._is_current(state, as_of_s) or self._backoff.is_failing:
                    return
                await self._async_read_on_demand(state)

    async def _async_read_on_demand(self, state: TableState) -> None:
        """Read a table; a failure doesn't put off the polls, which have longer."""
        state.refreshed_s = self._core.clock()
        try:
            await self._async_refresh(state, may_wait=False)
            state.has_refresh_failed = False
        except PlatformUnavailable as error:
            state.has_refresh_failed = True
            self._core.events.info(
                "store_refresh_failed", table=state.copy.name, error=error
            )

    def _is_current(self, state: TableState, as_of_s: float) -> bool:
        age_s = self._age_s(state.copy.answered_s)
        return state.copy.version > 0 and age_s <= self._core.clock() - as_of_s

    async def on_started(self) -> None:
        """Start a polling task for each table."""
        for state in self._tables.values():
            self.add_future(self._async_poll_table(state))

    async def _async_poll_table(self, state: TableState) -> None:
        poll = functools.partial(self._async_poll, state)
        while not self.should_stop:
            await async_run_step(self, self._core.events, "store.poll", poll)

    async def _async_poll(self, state: TableState) -> None:
        """Read a table, or wait until its next read is due."""
        probe_s = self._backoff.pause_s(self._core.clock())
        pause_s = max(self._pause_s(state), probe_s)
        if pause_s > 0:
            await self.sleep(pause_s)
        elif self._backoff.is_failing:
            await self._async_probe_store(state)
        else:
            await self._async_try_refresh(state)

    async def _async_probe_store(self, state: TableState) -> None:
        """Read a table of a failing store, or wait for the probe that is running."""
        if self._probe_lock.locked():
            async with self._probe_lock:
                return
        async with self._probe_lock:
            await self._async_try_refresh(state)

    async def _async_try_refresh(self, state: TableState) -> None:
        try:
            await self._async_refresh(state)
        except PlatformUnavailable as error:
            self._record_failure(state, error)

    def _pause_s(self, state: TableState) -> float:
        """Return the time until the next read of a table is due."""
        rank = self._rank()
        since_start_s = self._core.clock() - state.call_started_s
        least_s = MIN_INTERVAL_SHARE * state.staleness_bound_s - since_start_s
        if rank == 0 or state.copy.version == 0:
            return least_s
        share = FIRST_BACKUP_SHARE + RANK_DELAY_SHARE * min(rank - 1, MAX_RANK_STEPS)
        due_s = share * state.staleness_bound_s - self._age_s(state.copy.answered_s)
        # A read that could not be applied leaves the copy as old as it was, and is not
        # repeated before the minimum interval has passed.
        return due_s if self._backoff.is_failing else max(least_s, due_s)

    async def _async_refresh(self, state: TableState, *, may_wait: bool = True) -> None:
        copy = state.copy
        is_first = not copy.version
        before = dict(copy.rows)
        read, sent_s = await self._async_read(state, may_wait=may_wait)
        self._record_answer(state, read, sent_s)
        self._detect_outage(state, read)
        if copy.status_of(read) is not UpdateStatus.APPLICABLE:
            # Updates from peers have advanced the copy during the read.
            self._core.events.info(
                "store_read_outdated",
                table=copy.name,
                version=read.version,
                era=read.era,
                known=copy.version,
                known_era=copy.era,
            )
            return
        self._apply(state, read, OWN_READ)
        # Full tables are large, and every daemon reads them when it starts.
        if not is_first:
            update = copy.make_update(read, before)
            self._send_update(state, update, is_on_demand=not may_wait)

    def _send_update(
        self, state: TableState, update: StoreUpdate, *, is_on_demand: bool
    ) -> None:
        """Send the changes of a read, unless it was on demand and there are none.

        Reads on demand may be frequent. The next update then begins where the first
        one that was left out did, so that its receivers see no gap.
        """
        if update.is_whole:
            state.unsent_after = None
            self._send(update)
            return
        after = update.after if state.unsent_after is None else state.unsent_after
        if is_on_demand and not update.rows:
            state.unsent_after = after
            return
        state.unsent_after = None
        self._send(msgspec.structs.replace(update, after=after))

    def _record_answer(
        self, state: TableState, read: StoreUpdate, sent_s: float
    ) -> None:
        """Record the timing of an answered call, and log a slow one."""
        now_s = self._core.clock()
        self._store_clock.add_sample(sent_s, now_s, read.answered_s)
        self._backoff.record_success()
        if self._is_store_down:
            self._is_store_down = False
            self._core.events.info("store_regained", table=read.table)
        took_s = now_s - sent_s
        if took_s > LONG_POLL_SHARE * state.staleness_bound_s + SLOW_CALL_EXCESS_S:
            self._core.events.record(
                "store_answer_late",
                table=read.table,
                took_s=took_s,
                age_s=self._age_s(read.answered_s),
            )

    async def _async_read(
        self, state: TableState, *, may_wait: bool
    ) -> tuple[StoreUpdate, float]:
        """Return the changes since the copy's version, or the full table.

        The second value is the time in seconds at which the call was sent. The call
        returns at once without changes unless it ``may_wait``.

        The full table is read when there is no copy yet, when the store no longer has
        the history, or when its era has changed. Most writes are heartbeats of
        endpoints: ``compact`` removes them before rows are compared.
        """
        copy = state.copy
        name, after, era = copy.name, copy.version, copy.era
        prefix = f"{name}/"
        sent_s = self._core.clock()
        if may_wait:
            # Reads on demand don't put off the next poll, which updates the others.
            state.call_started_s = sent_s
        page: RowPage | None = None
        if after:
            # Probes do not wait: a recovered store answers them at once.
            may_wait &= self._rank() == 0 and not self._backoff.is_failing
            wait_s = LONG_POLL_SHARE * state.staleness_bound_s if may_wait else 0.0
            try:
                page = await self._table.async_watch(prefix, after, wait_s)
            except HistoryLost:
                self._core.events.warning("store_history_lost", table=name, after=after)
        if page is None or page.era != era:
            # The version is of another era, so earlier changes would be missing.
            after = 0
            sent_s = self._core.clock()
            page = await self._table.async_read(prefix)
        rows = [self._make_row(row) for row in page.rows]
        update = StoreUpdate(name, after, page.version, page.answered_s, rows, page.era)
        return update, sent_s

    def _make_row(self, row: Row) -> StoredRow:
        value = None if row.value is None else self.compact(row.key, row.value)
        return StoredRow(row.key, row.version, value)

    def apply_update(self, update: StoreUpdate, source: str) -> None:
        """Apply an update from another daemon if it is applicable."""
        state = self._tables.get(update.table)
        if state is None:
            return
        copy = state.copy
        status = copy.status_of(update)
        if status is UpdateStatus.GAP:
            # The next read fills the gap, or a peer's snapshot if the store fails.
            state.has_gap = True
            self._core.events.info(
                "store_news_gap",
                table=update.table,
                after=update.after,
                version=copy.version,
                era=update.era,
                known_era=copy.era,
                source=source,
            )
        self._detect_outage(state, update)
        if status is UpdateStatus.APPLICABLE:
            # Its changes are in none of this daemon's own reads.
            state.unsent_after = None
            self._apply(state, update, source)
            self._send_kept_rows(state, update, source)

    def _send_kept_rows(
        self, state: TableState, update: StoreUpdate, source: str
    ) -> None:
        """Send the kept rows to a daemon that doesn't know them.

        It may have started after the restoration, or not have read them before.
        """
        now_s = self._core.clock()
        if not state.copy.kept_until_s.keys() - update.kept.keys():
            return
        if now_s - state.kept_sent_s < MIN_SNAPSHOT_INTERVAL_S:
            return
        state.kept_sent_s = now_s
        self.reply(DaemonId(source), state.copy.to_kept_update())

    def _apply(self, state: TableState, update: StoreUpdate, source: str) -> None:
        """Apply an applicable update, and report the changed rows."""
        copy = state.copy
        is_restored = copy.version > 0 and update.era > copy.era
        state.has_gap = False
        kept_before = set(copy.kept_until_s)
        superseded = copy.superseded_rows(update)
        has_missed = self._has_missed(state, update)
        changed = copy.apply(update)
        age_s = self._age_s(update.answered_s)
        state.known_as_of_s = max(state.known_as_of_s, self._core.clock() - age_s)
        for key in copy.kept_until_s.keys() - kept_before:
            self._core.events.warning(
                "store_row_kept", key=key, version=update.version, source=source
            )
        if is_restored:
            self.on_restored(copy.name, set(copy.rows))
        if has_missed:
            self._core.events.info(
                "store_changes_missed", table=copy.name, version=copy.version
            )
            self.on_missed(copy.name, is_restored)
        for row in superseded:
            with contain_errors(self._core.events, "store.apply_row", row.key):
                self.on_superseded(RowChange(row.key, row.value, row.version, source))
        self._notify_rows(state, changed, update.answered_s, source, is_restored)

    def _has_missed(self, state: TableState, update: StoreUpdate) -> bool:
        """Return whether rows may have come and left between a copy and an update."""
        copy = state.copy
        if not copy.version:
            return False
        if not update.is_whole:
            return copy.has_unread_values(update)
        if update.era > copy.era:
            # Endpoints that joined after the backup may be lost with it.
            return True
        if update.version == copy.version:
            return False
        return self._core.clock() - state.known_as_of_s > MAX_SKIPPED_S

    def handle_snapshot_request(self, request: SnapshotRequest) -> None:
        """Send the full table to a daemon that can't reach the store."""
        state = self._tables.get(request.table)
        now_s = self._core.clock()
        if state is None or not state.copy.version:
            return
        if now_s - state.snapshot_sent_s < MIN_SNAPSHOT_INTERVAL_S:
            return
        state.snapshot_sent_s = now_s
        self.reply(request.daemon, state.copy.to_snapshot())

    def _notify_rows(
        self,
        state: TableState,
        changed: list[StoredRow],
        answered_s: float,
        source: str,
        is_restored: bool,
    ) -> None:
        age_s = self._age_s(answered_s)
        back_in_s = state.recovered_s + REREGISTRATION_S - answered_s
        back_until_s = self._core.clock() - age_s + back_in_s
        for row in changed:
            change = RowChange(
                row.key,
                row.value,
                row.version,
                source,
                age_s,
                back_until_s,
                is_restored,
            )
            # The copy has all rows by now: one skipped here is not reported again.
            with contain_errors(self._core.events, "store.apply_row", row.key):
                self.on_row(change)

    def _detect_outage(self, state: TableState, update: StoreUpdate) -> None:
        """Detect an outage of the store from the gap between its answers.

        The daemons read in turn and send each other updates, so answers of the store
        are further apart than the staleness bound only if it answered nobody, or if
        this daemon received nothing. Updates that can't be applied count as answers
        too. A store that was restored from a backup was down, however briefly.
        """
        if update.era < state.latest_era:
            return
        answered_s = update.answered_s
        latest_answer_s = (
            answered_s if state.latest_answer_s is None else state.latest_answer_s
        )
        gap_s = answered_s - latest_answer_s
        is_restored = update.era > state.latest_era and state.copy.version > 0
        if is_restored:
            self._log_restored(state, update)
        if is_restored or gap_s > max(state.staleness_bound_s, self._outage_s):
            self._record_gap(state, answered_s, gap_s)
        state.latest_answer_s = (
            answered_s if is_restored else max(latest_answer_s, answered_s)
        )
        state.latest_era = update.era

    def _log_restored(self, state: TableState, update: StoreUpdate) -> None:
        self._core.events.warning(
            "store_restored",
            table=update.table,
            era=update.era,
            before=state.latest_era,
            version=update.version,
            known=state.copy.version,
        )

    def _record_gap(self, state: TableState, answered_s: float, gap_s: float) -> None:
        """Decide whether a gap between answers of the store was an outage.

        A daemon that received nothing from its peers during the gap was disconnected
        itself. If it took the gap for an outage, it would keep using endpoints that
        left during the gap or just after it. Together with the pause of its calls
        before the first answer, that would exceed the staleness bound.
        """
        gap_started_s = self._core.clock() - self._age_s(answered_s) - gap_s
        is_outage = self.isolated_until_s() < gap_started_s
        if is_outage:
            state.recovered_s = answered_s
        self._core.events.info(
            "store_gap", table=state.copy.name, gap_s=gap_s, is_outage=is_outage
        )

    def _record_failure(self, state: TableState, error: PlatformUnavailable) -> None:
        copy = state.copy
        if not self._is_store_down:
            self._core.events.warning("store_lost", table=copy.name, error=error)
        self._core.events.record(
            "store_read_failed",
            table=copy.name,
            took_s=self._core.clock() - state.call_started_s,
            age_s=self._age_s(copy.answered_s),
            error=error,
        )
        self._is_store_down = True
        now_s = self._core.clock()
        is_urgent = copy.version == 0 or state.has_gap
        is_urgent |= self.isolated_until_s() >= now_s
        self._backoff.record_failure(now_s, self._rank(), is_urgent=is_urgent)
        if copy.version == 0 or state.has_gap:
            self._send(SnapshotRequest(copy.name, self._core.daemon_id))
