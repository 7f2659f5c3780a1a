"""Follow tables of the store together with the other daemons.

Whoever reads changes tells the others, and each daemon reads by itself only when
what it knows has grown older than a bound that rises with its rank. So one daemon
reads for all without an election, and one that hears nothing reads for itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from mode import Service

from ..core import Application
from ..entry.news import SnapshotRequest, StoredRow, StoreNews
from ..exceptions import HistoryLost, PlatformUnavailable
from ..ids import DaemonId, StoreEra
from ..store import Row, RowPage, WatchedTable
from .followed import OWN_READ, Followed, Knowledge, RowChange
from .probing import ProbePacer
from .storeclock import StoreClock
from .tablecopy import NewsFit
from .timing import (
    FIRST_SHARE,
    MAX_RANK,
    MIN_PERIOD_SHARE,
    RANK_SHARE,
    RETURN_S,
    WAIT_SHARE,
)

SNAPSHOT_PAUSE_S = 0.5
SLOW_CALL_S = 0.3
"""Calls that take so much longer than asked for are logged; most take some 10 ms."""


class StoreWatch(Service):
    """Keeps a copy of some tables and calls back with their changes.

    Parameters
    ----------
    core : Application
        The owner.
    table : WatchedTable
        Where the tables are.
    bounds_s : dict
        The tables to follow, each with how soon a change must be known everywhere.
    rank : callable
        This daemon's place among the live ones, 0 for the first.
    send : callable
        Tells the other daemons.
    outage_s : float, default=0.0
        The shortest outage of the store in which registrations of live endpoints lapse.
    """

    def __init__(
        self,
        core: Application,
        table: WatchedTable,
        bounds_s: dict[str, float],
        rank: Callable[[], int],
        send: Callable[[StoreNews | SnapshotRequest], None],
        outage_s: float = 0.0,
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._rank = rank
        self._send = send
        self._tables = {
            name: Followed(name, bound_s) for name, bound_s in bounds_s.items()
        }
        self._outage_s = outage_s
        self._clock = StoreClock()
        self._is_away = False
        self._pacer = ProbePacer(min(bounds_s.values()), core.rng)
        self._probe = asyncio.Lock()
        """Held by the read of one table for all, as long as the store is away."""
        self.on_row: Callable[[RowChange], None] = lambda change: None
        self.on_restored: Callable[[str, set[str]], None] = lambda table, keys: None
        """Called with a table that was read in another era, and with its keys there."""
        self.reply: Callable[[DaemonId, StoreNews], None] = lambda daemon, news: None
        self.compact: Callable[[str, Any], Any] = lambda key, value: value
        self.alone_until_s: Callable[[], float] = lambda: float("-inf")
        """When this daemon last heard none of the others, on its own clock."""

    @property
    def era(self) -> StoreEra:
        """The latest era of the store that this daemon has heard of."""
        return max(followed.heard_era for followed in self._tables.values())

    def has_read(self, *names: str) -> bool:
        """Return whether each of some tables was read at least once."""
        return all(self._tables[name].copy.version > 0 for name in names)

    def knowledge(self, name: str) -> Knowledge:
        """Return how recent the copy of a table is."""
        copy = self._tables[name].copy
        return Knowledge(copy.version, self._age_s(copy.answered_s))

    def _age_s(self, answered_s: float) -> float:
        return self._clock.age_s(answered_s, self._core.clock())

    async def on_started(self) -> None:
        """Follow each table in a task of its own."""
        for followed in self._tables.values():
            self.add_future(self._async_follow(followed))

    async def _async_follow(self, followed: Followed) -> None:
        while not self.should_stop:
            probe_s = self._pacer.pause_s(self._core.clock())
            pause_s = max(self._pause_s(followed), probe_s)
            if pause_s > 0:
                await self.sleep(pause_s)
            elif self._pacer.is_away:
                await self._async_probe(followed)
            else:
                await self._async_try_pull(followed)

    async def _async_probe(self, followed: Followed) -> None:
        """Read a table of a store that did not answer, while no other table is read."""
        if self._probe.locked():
            async with self._probe:
                return
        async with self._probe:
            await self._async_try_pull(followed)

    async def _async_try_pull(self, followed: Followed) -> None:
        try:
            await self._async_pull(followed)
        except PlatformUnavailable as error:
            self._note_failure(followed, error)

    def _pause_s(self, followed: Followed) -> float:
        """Return how long to wait before a call is due."""
        rank = self._rank()
        since_start_s = self._core.clock() - followed.started_s
        least_s = MIN_PERIOD_SHARE * followed.bound_s - since_start_s
        if rank == 0 or followed.copy.version == 0:
            return least_s
        share = FIRST_SHARE + RANK_SHARE * min(rank - 1, MAX_RANK)
        due_s = share * followed.bound_s - self._age_s(followed.copy.answered_s)
        # A read that could not be taken leaves the copy as old as it was.
        return due_s if self._pacer.is_away else max(least_s, due_s)

    async def _async_pull(self, followed: Followed) -> None:
        copy = followed.copy
        is_first = not copy.version
        before = dict(copy.rows)
        read = await self._async_read(followed)
        self._note_call(followed, read)
        self._note_return(followed, read)
        if copy.fit(read) is not NewsFit.FITS:
            # Others have told of more meanwhile.
            self._core.events.info(
                "store_read_outdated",
                table=copy.name,
                version=read.version,
                era=read.era,
                known=copy.version,
                known_era=copy.era,
            )
            return
        self._take(followed, read, OWN_READ)
        # Whole tables are large, and all daemons read them when they start.
        if not is_first:
            self._send(copy.make_news(read, before))

    def _note_call(self, followed: Followed, read: StoreNews) -> None:
        """Learn from a call that was answered, and log an odd one."""
        now_s = self._core.clock()
        self._clock.note(followed.started_s, now_s, read.answered_s)
        self._pacer.note_success()
        if self._is_away:
            self._is_away = False
            self._core.events.info("store_regained", table=read.table)
        took_s = now_s - followed.started_s
        if took_s > WAIT_SHARE * followed.bound_s + SLOW_CALL_S:
            self._core.events.record(
                "store_answer_late",
                table=read.table,
                took_s=took_s,
                age_s=self._age_s(read.answered_s),
            )

    async def _async_read(self, followed: Followed) -> StoreNews:
        """Return all changes, or the whole table when history is not kept.

        Endpoints write mostly signs of life; what they mean is compared without these.
        """
        copy = followed.copy
        name, after, era = copy.name, copy.version, copy.era
        prefix = f"{name}/"
        followed.started_s = self._core.clock()
        page: RowPage | None = None
        if after:
            # A store that is back answers at once.
            may_wait = self._rank() == 0 and not self._pacer.is_away
            wait_s = WAIT_SHARE * followed.bound_s if may_wait else 0.0
            try:
                page = await self._table.async_watch(prefix, after, wait_s)
            except HistoryLost:
                self._core.events.warning("store_history_lost", table=name, after=after)
        if page is None or page.era != era:
            # Changes after a version of another era leave out those before it.
            after = 0
            followed.started_s = self._core.clock()
            page = await self._table.async_read(prefix)
        rows = [self._make_row(row) for row in page.rows]
        return StoreNews(name, after, page.version, page.answered_s, rows, page.era)

    def _make_row(self, row: Row) -> StoredRow:
        value = None if row.value is None else self.compact(row.key, row.value)
        return StoredRow(row.key, row.version, value)

    def take_news(self, news: StoreNews, source: str) -> None:
        """Take in what another daemon has read."""
        followed = self._tables.get(news.table)
        if followed is None:
            return
        copy = followed.copy
        fit = copy.fit(news)
        if fit is NewsFit.GAP:
            # The next own read fills it, or a peer where the store turns this one away.
            followed.is_behind = True
            self._core.events.info(
                "store_news_gap",
                table=news.table,
                after=news.after,
                version=copy.version,
                era=news.era,
                known_era=copy.era,
                source=source,
            )
        self._note_return(followed, news)
        if fit is NewsFit.FITS:
            self._take(followed, news, source)

    def _take(self, followed: Followed, news: StoreNews, source: str) -> None:
        """Take in news that fit the copy, and call back with what has changed."""
        copy = followed.copy
        is_restored = copy.version > 0 and news.era > copy.era
        followed.is_behind = False
        changed = copy.take_news(news)
        if is_restored:
            self.on_restored(copy.name, set(copy.rows))
        self._tell_rows(followed, changed, news.answered_s, source, is_restored)

    def take_request(self, request: SnapshotRequest) -> None:
        """Send a whole table to a daemon that can't reach the store."""
        followed = self._tables.get(request.table)
        now_s = self._core.clock()
        if followed is None or not followed.copy.version:
            return
        if now_s - followed.snapshot_sent_s < SNAPSHOT_PAUSE_S:
            return
        followed.snapshot_sent_s = now_s
        self.reply(request.daemon, followed.copy.as_news())

    def _tell_rows(
        self,
        followed: Followed,
        changed: list[StoredRow],
        answered_s: float,
        source: str,
        is_restored: bool,
    ) -> None:
        age_s = self._age_s(answered_s)
        back_in_s = followed.returned_s + RETURN_S - answered_s
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
            self.on_row(change)

    def _note_return(self, followed: Followed, news: StoreNews) -> None:
        """Take a gap that no daemon's trouble explains for an outage of the store.

        The others read in turn and tell, so that answers of the store lie further
        apart than the bound only when it answered nobody, or when this daemon heard
        nothing; news that don't fit the copy are answers too. A store that has come
        back from a copy was away, for however short a time.
        """
        if news.era < followed.heard_era:
            return
        answered_s = news.answered_s
        heard_s = answered_s if followed.heard_s is None else followed.heard_s
        gap_s = answered_s - heard_s
        is_restored = news.era > followed.heard_era and followed.copy.version > 0
        if is_restored:
            self._log_restored(followed, news)
        if is_restored or gap_s > max(followed.bound_s, self._outage_s):
            self._note_gap(followed, answered_s, gap_s)
        followed.heard_s = answered_s if is_restored else max(heard_s, answered_s)
        followed.heard_era = news.era

    def _log_restored(self, followed: Followed, news: StoreNews) -> None:
        self._core.events.warning(
            "store_restored",
            table=news.table,
            era=news.era,
            before=followed.heard_era,
            version=news.version,
            known=followed.copy.version,
        )

    def _note_gap(self, followed: Followed, answered_s: float, gap_s: float) -> None:
        """Judge a gap between answers of the store, now that there is one again.

        A daemon that heard no peer either was cut off itself. Guards against keeping
        endpoints that left meanwhile, or just then, as if the store had been away:
        with the pause of calls before the first answer, for longer than it may.
        """
        began_s = self._core.clock() - self._age_s(answered_s) - gap_s
        is_outage = self.alone_until_s() < began_s
        if is_outage:
            followed.returned_s = answered_s
        self._core.events.info(
            "store_gap", table=followed.copy.name, gap_s=gap_s, is_outage=is_outage
        )

    def _note_failure(self, followed: Followed, error: PlatformUnavailable) -> None:
        copy = followed.copy
        if not self._is_away:
            self._core.events.warning("store_lost", table=copy.name, error=error)
        self._core.events.record(
            "store_read_failed",
            table=copy.name,
            took_s=self._core.clock() - followed.started_s,
            age_s=self._age_s(copy.answered_s),
            error=error,
        )
        self._is_away = True
        now_s = self._core.clock()
        is_urgent = copy.version == 0 or followed.is_behind
        is_urgent |= self.alone_until_s() >= now_s
        self._pacer.note_failure(now_s, self._rank(), is_urgent=is_urgent)
        if copy.version == 0 or followed.is_behind:
            self._send(SnapshotRequest(copy.name, self._core.daemon_id))
