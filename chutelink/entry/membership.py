"""Registration and discovery of daemons through a table of the store."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import msgspec

from ..const import TABLE_MEMBERS
from ..core import Application
from ..exceptions import PlatformUnavailable, TransactionConflict, WriteOutcomeUnknown
from ..ids import (
    FIRST_ERA,
    NO_ERA,
    DaemonId,
    FailureDomainName,
    StoreEra,
    VmId,
    WriteId,
    make_id,
)
from ..peers.mesh import Mesh
from ..settings import EntrySection
from ..steps import async_run_step
from ..store import Row, RowPage, Transaction, WatchableTable, Write, decode_value
from ..tables.members import Member, Role

NS_PER_MS = 1_000_000
RETRY_S = 0.5
FIRST_START_S = 2.0
"""Time within which the daemons of a fleet start for the first time.

A daemon that starts later finds the versions that the others have stored.
"""
ISOLATED_RETRY_S = 2.0
"""Interval at which a daemon without links looks for peers; links form within 1 s."""


class MemberRow(msgspec.Struct, frozen=True):
    """Registration of a daemon with its address for peers.

    ``capacity`` is the processor share of its VM; ``started_s`` the time of the store's
    clock at which its process registered, 0 if it did not read that; ``era`` the era of
    the store known to it when it wrote the row. ``first_started_s`` is when the first
    process of this daemon registered in this era, 0 if that is unknown.
    """

    peer_address: str
    capacity: float = 0.0
    started_s: float = 0.0
    era: StoreEra = NO_ERA
    first_started_s: float = 0.0


class PreviousFleet(msgspec.Struct, frozen=True):
    """Registrations found in the store when a daemon starts.

    ``own_began_ago_s`` is how long ago the previous process of this daemon registered,
    None if there was none, 0 if the store may have lost its row or the row doesn't show
    it; ``capacities`` are those of all VMs that ever registered, ``daemons`` the ids of
    the daemons that had registered, and ``oldest_s`` is how long ago the first of them
    did so first.
    """

    own_began_ago_s: float | None
    capacities: list[float]
    daemons: frozenset[DaemonId] = frozenset()
    oldest_s: float = 0.0

    @property
    def is_first_start(self) -> bool:
        """Whether no daemon served before those that are starting now."""
        return self.own_began_ago_s is None and self.oldest_s <= FIRST_START_S


def make_member(core: Application, entry: EntrySection) -> Member:
    """Return the member record that this daemon announces to its peers."""
    daemon = core.daemon
    # Compared only with the values that peers remember for this daemon. If the
    # clock went back, the mesh raises the incarnation above them.
    incarnation = time.time_ns() // NS_PER_MS
    return Member(
        core.daemon_id,
        Role.GATEWAY,
        VmId(daemon.vm),
        FailureDomainName(daemon.failure_domain),
        daemon.address,
        port_of(entry.caller_listen),
        daemon.peer_port,
        core.boot_id,
        incarnation,
        capacity=entry.cpu_share * entry.cpu_cores,
    )


def port_of(listen: str) -> int:
    """Return the port of an address ``HOST:PORT``."""
    return int(listen.rpartition(":")[2])


class Registration:
    """Writes this daemon's row and reads the rows of the others.

    Previous registrations are read once. Then the daemon's own row is written: if two
    daemons start at the same time, the one that writes last finds the other.

    Parameters
    ----------
    core : Application
        The owning application.
    table : WatchableTable
        Table service that stores the rows.
    mesh : Mesh
        Receives the addresses of the peers.
    peer_address : str
        This daemon's own address for peers.
    capacity : float
        The processor share of its VM.
    era : callable
        Returns the latest known era of the store; the row is rewritten in each era.
    """

    def __init__(
        self,
        core: Application,
        table: WatchableTable,
        mesh: Mesh,
        peer_address: str,
        capacity: float = 0.0,
        *,
        era: Callable[[], StoreEra] = lambda: NO_ERA,
    ) -> None:
        self._core = core
        self._era = era
        self._table = table
        self._mesh = mesh
        self._peer_address = peer_address
        self._capacity = capacity
        self._has_read_previous = False
        self._answered_s = 0.0
        self._read_s = core.clock()
        self._first_started_s = 0.0
        self._read_era = NO_ERA
        self._written_era: StoreEra | None = None
        self._started_s: float | None = None
        self.on_previous_fleet: Callable[[PreviousFleet], None] = lambda previous: None
        self.on_registered: Callable[[], None] = lambda: None
        """Called once this process is known to be registered."""

    async def async_run(self) -> None:
        """Register and find peers, and repeat the search while there are no links."""
        while not self._core.should_stop:
            await async_run_step(
                self._core, self._core.events, "members.register", self._async_try_join
            )

    async def _async_try_join(self) -> None:
        try:
            await self._async_register()
            await self._async_find()
            await self._core.sleep(ISOLATED_RETRY_S)
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict) as error:
            self._core.events.warning("registration_failed", error=error)
            await self._core.sleep(RETRY_S * self._core.rng.uniform(1.0, 2.0))

    async def _async_register(self) -> None:
        """Write this daemon's row; the write is idempotent."""
        if self._written_era is not None and self._written_era >= self._era():
            return
        key = f"{TABLE_MEMBERS}/{self._core.daemon_id}"
        if not self._has_read_previous:
            await self._async_read_previous_fleet(key)
        started_s = self._started_s
        if started_s is None:
            started_s = self._answered_s + self._core.clock() - self._read_s
        row = MemberRow(
            self._peer_address,
            self._capacity,
            started_s,
            max(self._read_era, self._era()),
            self._first_started_s,
        )
        value = msgspec.to_builtins(row)
        transaction = Transaction(WriteId(make_id()), (), (Write(key, value),))
        commit = await self._table.async_transact(transaction)
        self._written_era = commit.era
        if self._started_s is None:
            self._started_s = started_s
            self.on_registered()

    async def _async_read_previous_fleet(self, own_key: str) -> None:
        """Read the previous registrations and report them, once per process."""
        page = await self._table.async_read(f"{TABLE_MEMBERS}/")
        self._has_read_previous = True
        self._answered_s, self._read_era = page.answered_s, page.era
        self._read_s = self._core.clock()
        rows = {row.key: self._decode(row) for row in page.rows}
        own = rows.get(own_key)
        if own_key not in rows:
            self._first_started_s = self._answered_s
        elif own is not None and own.era == page.era:
            self._first_started_s = own.first_started_s
        capacities = [row.capacity for row in rows.values() if row is not None]
        if own is None:
            capacities.append(self._capacity)
        prefix = f"{TABLE_MEMBERS}/"
        daemons = frozenset(DaemonId(key.removeprefix(prefix)) for key in rows)
        began_ago_s = _own_began_ago_s(page, own, is_present=own_key in rows)
        oldest_s = max(
            (_first_began_ago_s(page, row) for row in rows.values()), default=0.0
        )
        self.on_previous_fleet(
            PreviousFleet(began_ago_s, capacities, daemons, oldest_s)
        )

    def _decode(self, row: Row) -> MemberRow | None:
        """Return the decoded row, or None if it is invalid; other rows still count."""
        try:
            return decode_value(row, MemberRow)
        except PlatformUnavailable as error:
            self._core.events.warning("member_refused", key=row.key, error=error)
            return None

    async def _async_find(self) -> None:
        if self._mesh.linked_members():
            return
        page = await self._table.async_read(f"{TABLE_MEMBERS}/")
        rows = [self._decode(row) for row in page.rows]
        found = {row.peer_address for row in rows if row is not None}
        self._mesh.set_seeds(found - {self._peer_address})
        self._core.events.info("peers_found", peers=len(found))


def _first_began_ago_s(page: RowPage, row: MemberRow | None) -> float:
    """Return how long ago a daemon first registered, infinite if that is unknown."""
    if row is None or row.era != page.era or not row.first_started_s:
        return math.inf
    return page.answered_s - row.first_started_s


def _own_began_ago_s(
    page: RowPage, own: MemberRow | None, *, is_present: bool
) -> float | None:
    """Return how long ago the previous process registered, as far as its row shows.

    A row that can't be read, has no start time or may have been lost is taken for one
    that has just been written.
    """
    written_era = FIRST_ERA if own is None else max(FIRST_ERA, own.era)
    if written_era < page.era:
        return 0.0
    if own is None:
        return 0.0 if is_present else None
    return page.answered_s - own.started_s if own.started_s else 0.0
