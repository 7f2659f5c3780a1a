"""Follow tables of the store together with the other daemons.

Whoever reads changes tells the others, and each daemon reads by itself only when
what it knows has grown older than a bound that rises with its rank. So one daemon
reads for all without an election, and one that hears nothing reads for itself.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from mode import Service

from ..core import Application
from ..exceptions import HistoryLost, PlatformUnavailable
from ..ids import DaemonId
from ..store import Row, RowPage, WatchedTable
from .news import SnapshotRequest, StoredRow, StoreNews

FIRST_SHARE = 0.35
"""Age at which the second in rank reads for itself, as a share of the bound.

With ``RANK_SHARE`` and the time of a slow call this stays within the bound.
"""
RANK_SHARE = 0.06
MAX_RANK = 4
WAIT_SHARE = 0.25
"""How long the first in rank lets the store hold a call, as a share of the bound."""
MIN_PERIOD_SHARE = 0.2
"""Shortest time between two calls, as a share of the bound."""
RETRY_S = 0.25
RETURN_S = 2.0
"""Endpoints whose rows vanished in an outage, and that live, are back so soon after it.

The operators' rule for the store; what is not back by then is gone.
"""
SNAPSHOT_PAUSE_S = 0.5
SLOW_CALL_S = 0.3
"""Calls that take so much longer than asked for are logged; most take some 10 ms."""
OWN_READ = "own_read"
"""Source of what this daemon has read by itself; else it is a peer."""


class RowChange(msgspec.Struct, frozen=True):
    """A row that has changed, and how this daemon came to know of it.

    ``value`` is None for a row that was removed; ``source`` is ``OWN_READ`` or the
    peer that told; ``age_s`` is how old what was read is taken to be. A row that
    was removed may be back until ``back_until_s``, on this daemon's clock.
    """

    key: str
    value: Any
    version: int = 0
    source: str = OWN_READ
    age_s: float = 0.0
    back_until_s: float = float("-inf")


class Knowledge(msgspec.Struct, frozen=True):
    """How recent the copy of a table is, for logs of what was decided by it."""

    version: int
    age_s: float


class _TableState:
    """What is known of one table, and how old that is."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 0
        self.fresh_s = float("-inf")
        self.returned_s = float("-inf")
        self.started_s = float("-inf")
        self.rows: dict[str, StoredRow] = {}
        self.snapshot_sent_s = float("-inf")


class StoreWatch(Service):
    """Keeps a copy of some tables and calls back with their changes.

    Parameters
    ----------
    core : Application
        The owner.
    table : WatchedTable
        Where the tables are.
    names : tuple of str
        The tables to follow.
    rank : callable
        This daemon's place among the live ones, 0 for the first.
    send : callable
        Tells the other daemons.
    bound_s : float
        How soon a change must be known everywhere.
    """

    def __init__(
        self,
        core: Application,
        table: WatchedTable,
        names: tuple[str, ...],
        rank: Callable[[], int],
        send: Callable[[StoreNews | SnapshotRequest], None],
        bound_s: float,
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._rank = rank
        self._send = send
        self._bound_s = bound_s
        self._states = {name: _TableState(name) for name in names}
        self._is_away = False
        self.on_row: Callable[[RowChange], None] = lambda change: None
        self.reply: Callable[[DaemonId, StoreNews], None] = lambda daemon, news: None
        self.compact: Callable[[str, Any], Any] = lambda key, value: value

    @property
    def is_complete(self) -> bool:
        """Whether each table was read at least once."""
        return all(state.version > 0 for state in self._states.values())

    def knowledge(self, name: str) -> Knowledge:
        """Return how recent the copy of a table is."""
        state = self._states[name]
        return Knowledge(state.version, self._age_s(state))

    def _age_s(self, state: _TableState) -> float:
        return self._core.clock() - state.fresh_s

    async def on_started(self) -> None:
        """Follow each table in a task of its own."""
        for state in self._states.values():
            self.add_future(self._async_follow(state))

    async def _async_follow(self, state: _TableState) -> None:
        while not self.should_stop:
            pause_s = self._pause_s(state)
            if pause_s > 0:
                await self.sleep(pause_s)
                continue
            try:
                await self._async_pull(state)
            except PlatformUnavailable as error:
                self._note_failure(state, error)
                await self.sleep(RETRY_S * self._core.rng.uniform(1.0, 1.5))

    def _pause_s(self, state: _TableState) -> float:
        """Return how long to wait before a call is due."""
        rank = self._rank()
        now_s = self._core.clock()
        since_start_s = now_s - state.started_s
        if rank == 0 or state.version == 0:
            return MIN_PERIOD_SHARE * self._bound_s - since_start_s
        share = FIRST_SHARE + RANK_SHARE * min(rank - 1, MAX_RANK)
        return share * self._bound_s - self._age_s(state)

    async def _async_pull(self, state: _TableState) -> None:
        state.started_s = self._core.clock()
        page, is_whole = await self._async_read(state)
        self._note_slow(state)
        if self._is_away:
            self._is_away = False
            self._core.events.info("store_regained", table=state.name)
        rows = self._changed(state, page.rows)
        if is_whole:
            rows += self._missing(state, page)
        news = StoreNews(
            state.name,
            0 if is_whole else state.version,
            page.version,
            0.0,
            rows,
        )
        is_first = state.version == 0
        # Empty answers that the store held back are as fresh as their arrival.
        self._apply(state, news, self._core.clock(), OWN_READ)
        if not is_first:
            # Whole tables are large, and all daemons read them when they start.
            self._send(news)

    def _note_slow(self, state: _TableState) -> None:
        took_s = self._core.clock() - state.started_s
        if took_s > WAIT_SHARE * self._bound_s + SLOW_CALL_S:
            self._core.events.record(
                "store_answer_late", table=state.name, took_s=took_s
            )

    async def _async_read(self, state: _TableState) -> tuple[RowPage, bool]:
        """Return changes, or the whole table when history is not kept."""
        prefix = f"{state.name}/"
        if state.version > 0:
            wait_s = WAIT_SHARE * self._bound_s if self._rank() == 0 else 0.0
            try:
                page = await self._table.async_watch(prefix, state.version, wait_s)
                return page, False
            except HistoryLost:
                self._core.events.warning(
                    "store_history_lost", table=state.name, after=state.version
                )
        return await self._table.async_read(prefix), True

    def _changed(self, state: _TableState, rows: list[Row]) -> list[StoredRow]:
        """Return the rows whose meaning has changed, without what nobody needs.

        Most writes of endpoints are signs of life alone.
        """
        changed = []
        for row in rows:
            value = None if row.value is None else self.compact(row.key, row.value)
            known = state.rows.get(row.key)
            if known is None or known.value != value:
                changed.append(StoredRow(row.key, row.version, value))
        return changed

    def _missing(self, state: _TableState, page: RowPage) -> list[StoredRow]:
        present = {row.key for row in page.rows}
        return [
            StoredRow(key, page.version, None)
            for key in state.rows.keys() - present
            if state.rows[key].version <= page.version
        ]

    def take_news(self, news: StoreNews, source: str) -> None:
        """Take in what another daemon has read."""
        state = self._states.get(news.table)
        if state is None:
            return
        if news.after > state.version:
            # The next own read fills it.
            self._core.events.info(
                "store_news_gap",
                table=news.table,
                after=news.after,
                version=state.version,
                source=source,
            )
            return
        self._apply(state, news, self._core.clock() - news.age_s, source)

    def take_request(self, request: SnapshotRequest) -> None:
        """Send a whole table to a daemon that can't reach the store."""
        state = self._states.get(request.table)
        now_s = self._core.clock()
        if state is None or not state.version:
            return
        if now_s - state.snapshot_sent_s < SNAPSHOT_PAUSE_S:
            return
        state.snapshot_sent_s = now_s
        age_s = now_s - state.fresh_s
        rows = list(state.rows.values())
        news = StoreNews(state.name, 0, state.version, age_s, rows)
        self.reply(request.daemon, news)

    def _apply(
        self, state: _TableState, news: StoreNews, fresh_s: float, source: str
    ) -> None:
        self._note_return(state, fresh_s)
        state.fresh_s = max(state.fresh_s, fresh_s)
        if news.version < state.version:
            return
        state.version = news.version
        for row in news.rows:
            known = state.rows.get(row.key)
            if known is not None and row.version <= known.version:
                continue
            if row.value is None:
                state.rows.pop(row.key, None)
            else:
                state.rows[row.key] = row
            self.on_row(
                RowChange(
                    row.key,
                    row.value,
                    row.version,
                    source,
                    self._core.clock() - fresh_s,
                    state.returned_s + RETURN_S,
                )
            )

    def _note_return(self, state: _TableState, fresh_s: float) -> None:
        """Take a gap that no daemon's trouble explains for an outage of the store.

        The others read in turn, so that knowledge grows older than the bound only
        when nobody, or not this daemon itself, reaches the store. Guards against
        keeping endpoints that have left: when any failed call counted as an
        outage, seven daemons sent to an endpoint up to 2.13 s after it had left,
        3 requests on 2 of 10 days with a reader that was cut off now and then.
        """
        if state.version and fresh_s - state.fresh_s > self._bound_s:
            state.returned_s = fresh_s

    def _note_failure(self, state: _TableState, error: PlatformUnavailable) -> None:
        if not self._is_away:
            self._core.events.warning("store_lost", table=state.name, error=error)
        self._core.events.record(
            "store_read_failed",
            table=state.name,
            took_s=self._core.clock() - state.started_s,
            age_s=self._age_s(state),
            error=error,
        )
        self._is_away = True
        if state.version == 0:
            self._send(SnapshotRequest(state.name, self._core.daemon_id))
