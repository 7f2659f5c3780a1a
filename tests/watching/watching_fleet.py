"""Simulated daemons that replicate the table of endpoints, in virtual time.

The simulated store answers at once and keeps a history. Faults are injected on the
connections of single daemons to the store and on the links between daemons: failed
calls, delayed answers, and delayed or lost updates.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import asynccontextmanager, contextmanager

from chutelink.const import TABLE_ENDPOINTS
from chutelink.entry.messages import SnapshotRequest, StoreUpdate
from chutelink.entry.state import EntryState
from chutelink.exceptions import HistoryLost, PlatformUnavailable
from chutelink.ids import DaemonId, EndpointId, ServiceName, StoreEra, WriteId
from chutelink.peers.isolation import IsolationDetector
from chutelink.platform.adapter import PreparedMachinesAdapter
from chutelink.quarantine.service import Quarantine
from chutelink.store import Row, RowPage, WatchableTable
from chutelink.store.breaker import CircuitBreaker
from chutelink.store.http import READ_RETRY_FRACTION
from chutelink.watching.watch import StoreWatch

from ..fakes import make_core

STALENESS_BOUND_S = 2.0
"""Time after which a leaving endpoint must not receive requests."""
SERVICE = ServiceName("llm")
CALL_DURATION_S = 0.01
LINK_DELAY_S = 0.001
RECOVERY_GRACE_S = 3.0
"""Time after a fault of a daemon or the store in which the bound is not checked."""
EXPIRY_INTERVAL_S = 0.2
"""Interval at which daemons drop endpoints that have not registered again."""
CLOCK_OFFSET_S = 5000.0
"""The store's monotonic clock minus that of the daemons."""
CALL_TIMEOUT_S = 1.0
"""Timeout of a call to the store, in addition to its long-poll wait."""
MAX_PAUSE_S = 1.0
"""Longest pause of the circuit breaker after several failures, as deployed."""
PEER_TIMEOUT_S = 1.5
"""Longest silence of healthy peers, as deployed."""
PEER_HEARTBEAT_S = 0.4
MIN_LAPSING_OUTAGE_S = 2.4
"""Shortest outage in which rows lapse.

Endpoints send heartbeats every 1.2 s, and their rows lapse after three intervals.
"""
ROW_LAPSE_S = 4.8
"""Time after which the row of an ended endpoint has lapsed, at the same interval."""
CALL_BUDGET_PER_S = 1000
"""High enough that no test reaches the call budget."""


class FakeStore:
    """The store's table of endpoints, with its history."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.changes: list[Row] = []
        self.version = 0
        self.era = 1
        self.history_start = 0
        self.is_down = False
        self.healthy_since_s = 0.0
        """End of the last outage."""
        self.leaving_since_s: dict[EndpointId, float] = {}
        """When the store, while healthy, acknowledged that an endpoint leaves."""
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
            self._record_leaving(name)

    def remove(self, name: str, *, is_leaving: bool = True) -> None:
        """Remove an endpoint's row."""
        self._put(name, None)
        if is_leaving:
            self._record_leaving(name)

    def drop_history(self) -> None:
        """Discard the change history, and keep the rows."""
        self.history_start = self.version

    def backup(self) -> tuple[dict[str, Row], int]:
        """Return a backup of the current rows and version."""
        return dict(self.rows), self.version

    def restore(self, backup: tuple[dict[str, Row], int]) -> None:
        """Restore a backup, losing later writes, and begin a new era."""
        rows, self.version = backup
        self.rows = dict(rows)
        self.changes = [row for row in self.changes if row.version <= self.version]
        self.history_start = min(self.history_start, self.version)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def _record_leaving(self, name: str) -> None:
        now_s = asyncio.get_running_loop().time()
        if self.is_healthy:
            self.leaving_since_s.setdefault(EndpointId(name), now_s)

    @property
    def is_healthy(self) -> bool:
        """Whether the bound applies to writes that are acknowledged now."""
        now_s = asyncio.get_running_loop().time()
        return now_s >= self.healthy_since_s + RECOVERY_GRACE_S

    def _put(self, name: str, value: dict | None) -> None:
        self.version += 1
        key = f"{TABLE_ENDPOINTS}/{name}"
        self.rows[key] = Row(key, self.version, WriteId(""), value)
        self.changes.append(self.rows[key])
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, after: int) -> RowPage:
        """Return all changes after a version, or the full table for version 0."""
        rows = [row for row in self.changes if row.version > after]
        if not after:
            rows = [row for row in self.rows.values() if row.value is not None]
        now_s = asyncio.get_running_loop().time() + CLOCK_OFFSET_S
        return RowPage(self.version, rows, now_s, StoreEra(self.era))


class StoreConnection(WatchableTable):
    """One daemon's connection to the store."""

    def __init__(self, store: FakeStore, rng: random.Random) -> None:
        self._store = store
        clock = asyncio.get_running_loop().time
        self._breaker = CircuitBreaker(
            "store", CALL_BUDGET_PER_S, clock, rng, MAX_PAUSE_S
        )
        self.is_disconnected = False
        self.is_rejected = False
        """The store rejects the calls of this daemon, and serves the others."""
        self.answer_delay_s: Callable[[], float] = lambda: 0.0
        """Returns the extra delay of an answer."""
        self.is_connection_stale = False
        """The kept-alive connection is dead; the next call times out and retries."""
        self.calls = 0

    async def async_read(self, prefix, after_version=0):
        with self._through_breaker():
            await self._async_send(0.0)
            return await self._async_answer(self._store.page(0), 0.0)

    async def async_watch(self, prefix, after_version, wait_s):
        with self._through_breaker():
            return await self._async_watch(after_version, wait_s)

    @contextmanager
    def _through_breaker(self):
        """Reject a call while the breaker is open, and record its outcome."""
        self._breaker.before_call("test")
        try:
            yield
        except PlatformUnavailable:
            self._breaker.note_failure()
            raise
        self._breaker.note_success()

    async def _async_watch(self, after_version: int, wait_s: float) -> RowPage:
        await self._async_send(wait_s)
        store = self._store
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while after_version == store.version and loop.time() < end_s:
            try:
                async with asyncio.timeout_at(end_s):
                    await store.changed.wait()
            except TimeoutError:
                break
        if not store.history_start <= after_version <= store.version:
            raise HistoryLost("forgotten", step="test")
        return await self._async_answer(store.page(after_version), wait_s)

    async def async_transact(self, transaction):
        raise NotImplementedError

    async def _async_send(self, wait_s: float) -> None:
        self.calls += 1
        if self.is_rejected:
            await asyncio.sleep(CALL_DURATION_S)
            raise PlatformUnavailable("status 429", step="test")
        if self._is_unreachable:
            # The retry uses a new connection.
            await self._async_retry(wait_s)
        elif self.is_connection_stale:
            self.is_connection_stale = False
            await asyncio.sleep(wait_s + READ_RETRY_FRACTION * CALL_TIMEOUT_S)
        await asyncio.sleep(CALL_DURATION_S / 2)

    @property
    def _is_unreachable(self) -> bool:
        return self.is_disconnected or self._store.is_down

    async def _async_retry(self, wait_s: float) -> None:
        """Retry a call on a new connection, and fail if it gets no answer either."""
        retry_after_s = wait_s + READ_RETRY_FRACTION * CALL_TIMEOUT_S
        await asyncio.sleep(retry_after_s)
        if self._is_unreachable:
            await asyncio.sleep(CALL_TIMEOUT_S + wait_s - retry_after_s)
            raise PlatformUnavailable("no answer in time", step="test")

    async def _async_answer(self, page: RowPage, wait_s: float) -> RowPage:
        delay_s = self.answer_delay_s()
        if delay_s > CALL_TIMEOUT_S:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformUnavailable("no answer in time", step="test")
        await asyncio.sleep(CALL_DURATION_S / 2 + delay_s)
        return page


class SimulatedDaemon:
    """One daemon: its copy of the table and its state of the endpoints."""

    def __init__(self, fleet: SimulatedFleet, rank: int, seed: int) -> None:
        self.name = DaemonId(f"d{rank}")
        self._fleet = fleet
        self.core = make_core(self.name)
        self.core.clock = asyncio.get_running_loop().time
        self.core.rng = random.Random(f"{seed}/{rank}")
        self.connection = StoreConnection(
            fleet.store, random.Random(f"{seed}/{rank}/path")
        )
        adapter = PreparedMachinesAdapter()
        self.known = EntryState(self.core, adapter, Quarantine(self.core), ROW_LAPSE_S)
        self.watch = StoreWatch(
            self.core,
            self.connection,
            {TABLE_ENDPOINTS: STALENESS_BOUND_S},
            lambda: rank,
            self._send,
            MIN_LAPSING_OUTAGE_S,
        )
        self.isolation = IsolationDetector(PEER_TIMEOUT_S)
        self.watch.isolated_until_s = lambda: self.isolation.isolated_until_s(
            self.core.clock()
        )
        self.watch.on_row = self.known.apply_row
        self.watch.compact = adapter.compact_row
        self.watch.reply = lambda peer, message: fleet.deliver(self, peer, message)
        self.update_delay_s: Callable[[DaemonId], float] = lambda peer: 0.0
        """Returns the extra delay of its messages to a peer, infinite for a loss."""
        self.healthy_since_s = 0.0
        """End of its last fault."""
        self.is_isolated = False
        """Its links to all other daemons are down."""
        self.ever_used: set[EndpointId] = set()
        """Endpoints that were usable at any time."""
        self.known_leaving: set[EndpointId] = set()
        """Endpoints that it has stopped using because they leave."""

    @property
    def is_healthy(self) -> bool:
        """Whether it was without faults for long enough for the bound to apply."""
        return self.core.clock() >= self.healthy_since_s + RECOVERY_GRACE_S

    async def async_send_heartbeats(self) -> None:
        """Send heartbeats to the other daemons."""
        await asyncio.sleep(PEER_HEARTBEAT_S * self.core.rng.random())
        while True:
            self._send(None)
            await asyncio.sleep(PEER_HEARTBEAT_S)

    def _send(self, message: StoreUpdate | SnapshotRequest | None) -> None:
        for peer in self._fleet.daemons:
            if peer is not self:
                self._fleet.deliver(self, peer.name, message)

    def receive(
        self, message: StoreUpdate | SnapshotRequest | None, source: DaemonId
    ) -> None:
        self.isolation.note_message(self.core.clock())
        if message is None:
            return
        if isinstance(message, SnapshotRequest):
            self.watch.handle_snapshot_request(message)
        else:
            self.watch.apply_update(message, source)

    def usable(self) -> set[EndpointId]:
        """Return the endpoints that a request may be sent to."""
        rows = self.known.endpoints.of_service(SERVICE, self.core.clock())
        return {row.record.id for row in rows}

    def find_reused(self, leaving: set[EndpointId]) -> set[EndpointId]:
        """Return leaving endpoints that are usable again after they were dropped."""
        usable = self.usable()
        self.known_leaving |= (leaving & self.ever_used) - usable
        self.ever_used |= usable
        return self.known_leaving & usable

    async def async_run_expiry(self) -> None:
        await asyncio.sleep(EXPIRY_INTERVAL_S * self.core.rng.random())
        while True:
            self.known.expire()
            await asyncio.sleep(EXPIRY_INTERVAL_S)


class SimulatedFleet:
    """Simulated daemons and their store; rank 0 reads for the others."""

    def __init__(self, daemon_count: int, seed: int) -> None:
        self.store = FakeStore()
        self.rng = random.Random(seed)
        self.daemons = [
            SimulatedDaemon(self, rank, seed) for rank in range(daemon_count)
        ]
        self._link_free_s: dict[tuple[DaemonId, DaemonId], float] = {}
        self._tasks: list[asyncio.Task] = []

    def deliver(
        self,
        sender: SimulatedDaemon,
        peer: DaemonId,
        message: StoreUpdate | SnapshotRequest | None,
    ) -> None:
        """Schedule the delivery of a message; each link keeps the order of messages."""
        loop = asyncio.get_running_loop()
        delay_s = sender.update_delay_s(peer)
        target = next(daemon for daemon in self.daemons if daemon.name == peer)
        is_lost = sender.is_isolated or target.is_isolated
        if delay_s == float("inf") or is_lost:
            return
        link = (sender.name, peer)
        at_s = max(
            self._link_free_s.get(link, 0.0), loop.time() + LINK_DELAY_S + delay_s
        )
        self._link_free_s[link] = at_s
        loop.call_at(at_s, target.receive, message, sender.name)

    def bound_violations(self) -> list[tuple[DaemonId, EndpointId, float]]:
        """Return healthy daemons that still use endpoints beyond the bound.

        Each entry has the daemon, the endpoint and the time since it left.
        """
        now_s = asyncio.get_running_loop().time()
        if not self.store.is_healthy:
            return []
        return [
            (daemon.name, endpoint, now_s - leaving_since_s)
            for daemon in self.daemons
            if daemon.is_healthy
            for endpoint, leaving_since_s in self.store.leaving_since_s.items()
            if now_s - leaving_since_s > STALENESS_BOUND_S
            and endpoint in daemon.usable()
        ]

    async def async_advance(self, time_s: float) -> None:
        """Advance the time, checking every 10 ms that leaving endpoints are not used.

        Healthy daemons must not use them beyond the bound, and no daemon may use one
        again that it has dropped.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + time_s
        while loop.time() < end_s:
            await asyncio.sleep(0.01)
            violations = self.bound_violations()
            assert not violations, violations
            for daemon in self.daemons:
                reused = daemon.find_reused(self.store.leaving_since_s.keys())
                assert not reused, (daemon.name, reused)

    async def async_write_heartbeats(self) -> None:
        """Write heartbeats of random endpoints while the store is up."""
        while True:
            await asyncio.sleep(0.13)
            if self.store.is_down:
                continue
            live = [row for row in self.store.rows.values() if row.value]
            if live:
                row = self.rng.choice(live)
                name = row.key.partition("/")[2]
                self.store._put(name, row.value)

    def start_task(self, coroutine) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def async_start(self) -> None:
        for daemon in self.daemons:
            await daemon.watch.start()
            self.start_task(daemon.async_run_expiry())
            self.start_task(daemon.async_send_heartbeats())
        await asyncio.sleep(0.5)

    async def async_close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.watch.stop()


@asynccontextmanager
async def async_fleet(daemon_count: int = 7, seed: int = 1, endpoints: int = 4):
    """Start a fleet whose daemons know endpoints named e0, e1 and so on."""
    fleet = SimulatedFleet(daemon_count, seed)
    for number in range(endpoints):
        fleet.store.register(f"e{number}")
    await fleet.async_start()
    # Without usable endpoints, every check that an endpoint is not used would pass.
    assert all(len(daemon.usable()) == endpoints for daemon in fleet.daemons)
    try:
        yield fleet
    finally:
        await fleet.async_close()
