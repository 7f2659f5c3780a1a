"""Daemons that follow the endpoints' registrations together, in virtual time.

The store answers at once and keeps a history. Trouble is put between it and single
daemons, and between daemons: calls that fail, answers and news that arrive late.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import asynccontextmanager, contextmanager

from chutelink.const import TABLE_ENDPOINTS
from chutelink.entry.news import SnapshotRequest, StoreNews
from chutelink.entry.state import EntryState
from chutelink.exceptions import HistoryLost, PlatformUnavailable
from chutelink.ids import DaemonId, EndpointId, ServiceName, StoreEra, WriteId
from chutelink.peers.silence import PeerSilence
from chutelink.platform.adapter import PreparedMachines
from chutelink.quarantine.service import Quarantine
from chutelink.store import Row, RowPage, WatchedTable
from chutelink.store.breaker import Breaker
from chutelink.store.http import SECOND_TRY_SHARE
from chutelink.watching.watch import StoreWatch

from ..fakes import make_core

BOUND_S = 2.0
"""How soon a leaving endpoint must get no request any more."""
SERVICE = ServiceName("llm")
CALL_S = 0.01
NEWS_S = 0.001
CONTACT_S = 3.0
"""After trouble of its own, or of the store, a daemon is not held to the bound."""
EXPIRE_S = 0.2
"""How often a daemon looks whether endpoints came back."""
CLOCK_OFFSET_S = 5000.0
"""The store's steady clock less that of the daemons."""
LIMIT_S = 1.0
"""Time limit of a call to the store, beside what it may be held back."""
MAX_PAUSE_S = 1.0
"""Longest pause of calls after several failures, as deployed."""
PEER_TIMEOUT_S = 1.5
"""How long peers in good order are silent at most, as deployed."""
PEER_BEAT_S = 0.4
OUTAGE_S = 2.4
"""Endpoints beat each 1.2 s, and their rows lapse after three beats."""
LAPSE_S = 4.8
"""When the row of an endpoint that has ended has lapsed, on the same beats."""
CALLS_PER_S = 1000
"""No test is about the budget of calls."""


class Registry:
    """The store's table of endpoints, with its history."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.changes: list[Row] = []
        self.version = 0
        self.era = 1
        self.forgotten = 0
        self.is_out = False
        self.calm_from_s = 0.0
        """When its last outage ended."""
        self.left_s: dict[EndpointId, float] = {}
        """When the store, in good order, acknowledged that an endpoint leaves."""
        self.changed = asyncio.Event()

    def register(self, name: str, state: str = "ready") -> None:
        """Write an endpoint's row."""
        value = {
            "service": SERVICE,
            "address": "10.0.0.1:80",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "models": [],
        }
        self._put(name, value)
        if state == "draining":
            self._note_left(name)

    def remove(self, name: str, *, is_leaving: bool = True) -> None:
        """Remove an endpoint's row."""
        self._put(name, None)
        if is_leaving:
            self._note_left(name)

    def forget_history(self) -> None:
        """Keep the rows, but no changes."""
        self.forgotten = self.version

    def copy(self) -> tuple[dict[str, Row], int]:
        """Return what the store holds now."""
        return dict(self.rows), self.version

    def restore(self, copy: tuple[dict[str, Row], int]) -> None:
        """Come back from a copy: what was written since is gone."""
        rows, self.version = copy
        self.rows = dict(rows)
        self.changes = [row for row in self.changes if row.version <= self.version]
        self.forgotten = min(self.forgotten, self.version)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def _note_left(self, name: str) -> None:
        now_s = asyncio.get_running_loop().time()
        if self.is_calm:
            self.left_s.setdefault(EndpointId(name), now_s)

    @property
    def is_calm(self) -> bool:
        """Whether the bound holds for what it acknowledges now."""
        now_s = asyncio.get_running_loop().time()
        return now_s >= self.calm_from_s + CONTACT_S

    def _put(self, name: str, value: dict | None) -> None:
        self.version += 1
        key = f"{TABLE_ENDPOINTS}/{name}"
        self.rows[key] = Row(key, self.version, WriteId(""), value)
        self.changes.append(self.rows[key])
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, after: int) -> RowPage:
        """Return every change after a version, or the rows of the whole table."""
        rows = [row for row in self.changes if row.version > after]
        if not after:
            rows = [row for row in self.rows.values() if row.value is not None]
        now_s = asyncio.get_running_loop().time() + CLOCK_OFFSET_S
        return RowPage(self.version, rows, now_s, StoreEra(self.era))


class StorePath(WatchedTable):
    """One daemon's way to the store."""

    def __init__(self, registry: Registry, rng: random.Random) -> None:
        self._registry = registry
        clock = asyncio.get_running_loop().time
        self._breaker = Breaker("store", CALLS_PER_S, clock, rng, MAX_PAUSE_S)
        self.is_cut = False
        self.is_refused = False
        """The store turns this daemon away, and serves the others."""
        self.answer_late_s: Callable[[], float] = lambda: 0.0
        """How much later than usual an answer arrives."""
        self.is_silent = False
        """The kept connection is silent, which the next call finds out."""
        self.calls = 0

    async def async_read(self, prefix, after_version=0):
        with self._counting():
            await self._async_send(0.0)
            return await self._async_answer(self._registry.page(0), 0.0)

    async def async_watch(self, prefix, after_version, wait_s):
        with self._counting():
            return await self._async_watch(after_version, wait_s)

    @contextmanager
    def _counting(self):
        """Refuse a call while the breaker is open; count what becomes of it."""
        self._breaker.before_call("test")
        try:
            yield
        except PlatformUnavailable:
            self._breaker.note_failure()
            raise
        self._breaker.note_success()

    async def _async_watch(self, after_version: int, wait_s: float) -> RowPage:
        await self._async_send(wait_s)
        registry = self._registry
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while after_version == registry.version and loop.time() < end_s:
            try:
                async with asyncio.timeout_at(end_s):
                    await registry.changed.wait()
            except TimeoutError:
                break
        if not registry.forgotten <= after_version <= registry.version:
            raise HistoryLost("forgotten", step="test")
        return await self._async_answer(registry.page(after_version), wait_s)

    async def async_transact(self, transaction):
        raise NotImplementedError

    async def _async_send(self, wait_s: float) -> None:
        self.calls += 1
        if self.is_refused:
            await asyncio.sleep(CALL_S)
            raise PlatformUnavailable("status 429", step="test")
        if self._is_unreachable:
            # The second try has a connection of its own.
            await self._async_second_try(wait_s)
        elif self.is_silent:
            self.is_silent = False
            await asyncio.sleep(wait_s + SECOND_TRY_SHARE * LIMIT_S)
        await asyncio.sleep(CALL_S / 2)

    @property
    def _is_unreachable(self) -> bool:
        return self.is_cut or self._registry.is_out

    async def _async_second_try(self, wait_s: float) -> None:
        """Send a call again on a new connection, and fail when that is not answered."""
        patience_s = wait_s + SECOND_TRY_SHARE * LIMIT_S
        await asyncio.sleep(patience_s)
        if self._is_unreachable:
            await asyncio.sleep(LIMIT_S + wait_s - patience_s)
            raise PlatformUnavailable("no answer in time", step="test")

    async def _async_answer(self, page: RowPage, wait_s: float) -> RowPage:
        late_s = self.answer_late_s()
        if late_s > LIMIT_S:
            await asyncio.sleep(LIMIT_S)
            raise PlatformUnavailable("no answer in time", step="test")
        await asyncio.sleep(CALL_S / 2 + late_s)
        return page


class Follower:
    """One daemon: its copy of the table, and what it believes of endpoints."""

    def __init__(self, fleet: WatchingFleet, rank: int, seed: int) -> None:
        self.name = DaemonId(f"d{rank}")
        self._fleet = fleet
        self.core = make_core(self.name)
        self.core.clock = asyncio.get_running_loop().time
        self.core.rng = random.Random(f"{seed}/{rank}")
        self.path = StorePath(fleet.registry, random.Random(f"{seed}/{rank}/path"))
        adapter = PreparedMachines()
        self.known = EntryState(self.core, adapter, Quarantine(self.core), LAPSE_S)
        self.watch = StoreWatch(
            self.core,
            self.path,
            {TABLE_ENDPOINTS: BOUND_S},
            lambda: rank,
            self._send,
            OUTAGE_S,
        )
        self.silence = PeerSilence(PEER_TIMEOUT_S)
        self.watch.alone_until_s = lambda: self.silence.alone_until_s(self.core.clock())
        self.watch.on_row = self.known.take_row
        self.watch.compact = adapter.compact_row
        self.watch.reply = lambda daemon, news: fleet.deliver(self, daemon, news)
        self.news_late_s: Callable[[DaemonId], float] = lambda peer: 0.0
        """How much later than usual its news reach a peer, infinite if never."""
        self.calm_from_s = 0.0
        """When its last trouble ended."""
        self.is_unlinked = False
        """No daemon hears it, and it hears none."""
        self.used: set[EndpointId] = set()
        """Endpoints that it has used at any time."""
        self.left_behind: set[EndpointId] = set()
        """Those of which it knew that they leave."""

    @property
    def is_calm(self) -> bool:
        """Whether it was in good order for long enough to be held to the bound."""
        return self.core.clock() >= self.calm_from_s + CONTACT_S

    async def async_beat(self) -> None:
        """Send the heartbeats of links."""
        await asyncio.sleep(PEER_BEAT_S * self.core.rng.random())
        while True:
            self._send(None)
            await asyncio.sleep(PEER_BEAT_S)

    def _send(self, news: StoreNews | SnapshotRequest | None) -> None:
        for peer in self._fleet.followers:
            if peer is not self:
                self._fleet.deliver(self, peer.name, news)

    def take(self, news: StoreNews | SnapshotRequest | None, source: DaemonId) -> None:
        self.silence.note_heard(self.core.clock())
        if news is None:
            return
        if isinstance(news, SnapshotRequest):
            self.watch.take_request(news)
        else:
            self.watch.take_news(news, source)

    def usable(self) -> set[EndpointId]:
        """Return the endpoints that a request may be sent to."""
        rows = self.known.endpoints.of_service(SERVICE, self.core.clock())
        return {row.record.id for row in rows}

    def note_left(self, left: set[EndpointId]) -> set[EndpointId]:
        """Return endpoints that it uses again after it knew that they leave."""
        usable = self.usable()
        self.left_behind |= (left & self.used) - usable
        self.used |= usable
        return self.left_behind & usable

    async def async_expire(self) -> None:
        await asyncio.sleep(EXPIRE_S * self.core.rng.random())
        while True:
            self.known.expire()
            await asyncio.sleep(EXPIRE_S)


class WatchingFleet:
    """Some daemons and their store; the first in rank reads for the others."""

    def __init__(self, daemons: int, seed: int) -> None:
        self.registry = Registry()
        self.rng = random.Random(seed)
        self.followers = [Follower(self, rank, seed) for rank in range(daemons)]
        self._free_s: dict[tuple[DaemonId, DaemonId], float] = {}
        self._tasks: list[asyncio.Task] = []

    def deliver(
        self,
        sender: Follower,
        peer: DaemonId,
        news: StoreNews | SnapshotRequest | None,
    ) -> None:
        """Let news arrive over one link, in the order in which it was sent."""
        loop = asyncio.get_running_loop()
        late_s = sender.news_late_s(peer)
        target = next(f for f in self.followers if f.name == peer)
        is_lost = sender.is_unlinked or target.is_unlinked
        if late_s == float("inf") or is_lost:
            return
        link = (sender.name, peer)
        at_s = max(self._free_s.get(link, 0.0), loop.time() + NEWS_S + late_s)
        self._free_s[link] = at_s
        loop.call_at(at_s, target.take, news, sender.name)

    def late_sends(self) -> list[tuple[DaemonId, EndpointId, float]]:
        """Return who would still send to endpoints that left over the bound ago."""
        now_s = asyncio.get_running_loop().time()
        if not self.registry.is_calm:
            return []
        return [
            (follower.name, endpoint, now_s - left_s)
            for follower in self.followers
            if follower.is_calm
            for endpoint, left_s in self.registry.left_s.items()
            if now_s - left_s > BOUND_S and endpoint in follower.usable()
        ]

    async def async_pass(self, time_s: float) -> None:
        """Let time pass; no calm daemon may send to what left over the bound ago."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + time_s
        while loop.time() < end_s:
            await asyncio.sleep(0.01)
            late = self.late_sends()
            assert not late, late
            for follower in self.followers:
                again = follower.note_left(self.registry.left_s.keys())
                assert not again, (follower.name, again)

    async def async_heartbeats(self) -> None:
        """Let endpoints write signs of life, as they do all day."""
        while True:
            await asyncio.sleep(0.13)
            if self.registry.is_out:
                continue
            living = [row for row in self.registry.rows.values() if row.value]
            if living:
                row = self.rng.choice(living)
                name = row.key.partition("/")[2]
                self.registry._put(name, row.value)

    def start_task(self, coroutine) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def async_start(self) -> None:
        for follower in self.followers:
            await follower.watch.start()
            self.start_task(follower.async_expire())
            self.start_task(follower.async_beat())
        await asyncio.sleep(0.5)

    async def async_close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for follower in self.followers:
            await follower.watch.stop()


@asynccontextmanager
async def async_fleet(daemons: int = 7, seed: int = 1, endpoints: int = 4):
    """Start daemons that know some endpoints, named e0, e1 and so on."""
    fleet = WatchingFleet(daemons, seed)
    for number in range(endpoints):
        fleet.registry.register(f"e{number}")
    await fleet.async_start()
    # Rows that nobody takes would let every check of what is not used pass.
    assert all(len(f.usable()) == endpoints for f in fleet.followers)
    try:
        yield fleet
    finally:
        await fleet.async_close()
