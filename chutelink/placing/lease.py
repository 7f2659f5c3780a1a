"""The placer's lease, which ensures that only one daemon at a time sends orders.

Clocks of different daemons are never compared: a contender measures on its own clock
how long the row has been unchanged, and the holder how long ago it sent the last
accepted renewal.

A store restored to an older state may have lost the row of a later holder. In the
new era, only that holder may take the lease before its validity has expired.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
from mode import Service

from ..core import Application
from ..entry.messages import LeaseYield
from ..exceptions import (
    LeaseNotHeld,
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import NO_ERA, BootId, DaemonId, WriteId, make_id
from ..steps import async_run_step
from ..store import Check, Row, Transaction, WatchableTable, Write, decode_value
from .inventory import ORDER_TIMEOUT_S
from .lease_row import (
    KEY_LEASE,
    LeasePhase,
    PlacerRow,
    call_timeout,
    may_have_lost_row,
    next_term,
)

VALIDITY_S = 2.2
"""Validity of the lease after sending a renewal, so that two renewals may fail."""
EXPIRY_S = 2.5
"""Time without renewal after which a contender may take the lease.

``VALIDITY_S`` plus a margin for clock drift.
"""
MIN_VALIDITY_S = ORDER_TIMEOUT_S - (EXPIRY_S - VALIDITY_S)
"""Validity left when an order is sent, so that it ends before the lease expires."""
RENEW_PERIOD_S = 0.8
TICK_S = 0.1
HOLDER_TIMEOUT_S = 1.3
"""Time without a heartbeat from the holder after which other daemons read the row.

The holder sends a heartbeat every 0.4 s.
"""
RANK_DELAY_S = 0.3
"""Additional delay per rank, so that few daemons contend at the same time."""
CONTEND_PERIOD_S = 0.6


class PlacerLease(Service):
    """Takes the lease when its holder is silent, and renews it while held.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : WatchableTable
        The table that contains the lease's row.
    rank : callable
        Returns this daemon's rank among the live daemons.
    holder_gap_s : float
        Minimum time between two changes of the holder that sends orders.
    send : callable
        Broadcasts a message to the other daemons.
    """

    def __init__(
        self,
        core: Application,
        table: WatchableTable,
        rank: Callable[[], int],
        holder_gap_s: float,
        send: Callable[[LeaseYield], None],
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._rank = rank
        self._holder_gap_s = holder_gap_s
        self._send = send
        self.phase = LeasePhase.FOLLOWING
        self.term = 0
        self.is_leaving = False
        self.is_deferring: Callable[[], bool] = lambda: False
        """Returns whether another daemon should hold the lease."""
        self._row: PlacerRow | None = None
        self._version = 0
        self._era = NO_ERA
        self._store_version = 0
        self._unchanged_since_s: float | None = None
        self._read_s = float("-inf")
        self._valid_until_s = float("-inf")
        self._renewed_s = float("-inf")
        self._orders_from_s = float("inf")
        self._taken_s = float("-inf")
        self._holder_heard_s = core.clock()
        self._highest_term = 0
        self._is_unconfirmed = False
        self._yields = 0
        self._yielded: LeaseYield | None = None
        self._yielded_s = float("-inf")
        self._orders_in_flight = 0
        self._no_orders_in_flight = asyncio.Event()
        self._no_orders_in_flight.set()
        self._is_handing_over = False
        self._unsent_yield: LeaseYield | None = None

    @property
    def is_held(self) -> bool:
        """Whether this daemon is the placer now."""
        if self.phase is not LeasePhase.HELD or self._is_unconfirmed:
            return False
        return self._core.clock() < self._valid_until_s

    @property
    def may_order(self) -> bool:
        """Whether orders may be sent now.

        After a takeover this is only the case once the holder gap has passed.
        """
        if self.is_leaving:
            return False
        now_s = self._core.clock()
        is_valid = now_s + MIN_VALIDITY_S < self._valid_until_s
        return self.is_held and is_valid and now_s >= self._orders_from_s

    @property
    def term_age_s(self) -> float:
        """Time since this daemon took the lease for its term."""
        return self._core.clock() - self._taken_s

    def begin_order(self) -> int:
        """Return the fencing token for an order that is sent immediately.

        Raises
        ------
        LeaseNotHeld
            Another daemon may be the placer.
        """
        if not self.may_order:
            raise LeaseNotHeld("lease not held", step="order.begin", peer=KEY_LEASE)
        return self.term

    @contextmanager
    def sending_order(self) -> Iterator[int]:
        """Return the fencing token for the order that is sent within the context.

        The lease is handed over only once all orders have been answered or have timed
        out, so that none arrives after those of the next holder.

        Raises
        ------
        LeaseNotHeld
            Another daemon may be the placer.
        """
        fence = self.begin_order()
        self._orders_in_flight += 1
        self._no_orders_in_flight.clear()
        try:
            yield fence
        finally:
            self._orders_in_flight -= 1
            if not self._orders_in_flight:
                self._no_orders_in_flight.set()
                self._send_yield()

    def note_holder(self, daemon: DaemonId, term: int) -> None:
        """Record that the holder of a term is alive."""
        self._highest_term = max(self._highest_term, term)
        if term >= self.term:
            self._holder_heard_s = self._core.clock()
            if daemon != self._core.daemon_id and term > self.term:
                self._lose("another_holder", term)

    def note_yield(self, message: LeaseYield) -> None:
        """Record that the holder has stopped sending orders."""
        if message.term >= self.term and message.daemon != self._core.daemon_id:
            self._yielded = message
            self._yielded_s = self._core.clock()

    @Service.task
    async def _async_loop(self) -> None:
        while not self.should_stop:
            await async_run_step(
                self, self._core.events, "lease.tick", self._async_tick
            )
            await self.sleep(TICK_S)

    async def _async_tick(self) -> None:
        if self._is_handing_over:
            return
        try:
            if self._should_hand_over():
                await self._async_hand_over()
            elif self.phase is LeasePhase.HELD:
                await self._async_maintain()
            elif not self.is_leaving and self._should_contend():
                await self._async_contend()
        except TransactionConflict:
            # Another daemon wrote the row, or the store was restored to an older state.
            self._unchanged_since_s = None
            self._is_unconfirmed = True
        except (PlatformUnavailable, WriteOutcomeUnknown) as error:
            self._core.events.warning("lease_call_failed", error=error)
            self._yield_lease()

    def _yield_lease(self) -> None:
        """Stop sending orders until a renewal succeeds, and let others take over.

        They are told once no order is under way any more.
        """
        if self.phase is not LeasePhase.HELD or self._is_unconfirmed:
            return
        self._is_unconfirmed = True
        held_s = self.term_age_s
        self._core.events.warning("lease_yielded", term=self.term, held_s=held_s)
        self._yields += 1
        daemon = self._core.daemon_id
        self._unsent_yield = LeaseYield(daemon, self.term, held_s, self._yields)
        if not self._orders_in_flight:
            self._send_yield()

    def _send_yield(self) -> None:
        """Send a pending yield, unless this daemon has resumed or lost the lease."""
        message, self._unsent_yield = self._unsent_yield, None
        if message is None or not self._is_unconfirmed:
            return
        if self.phase is LeasePhase.HELD and message.term == self.term:
            self._send(message)

    def _should_hand_over(self) -> bool:
        """Return whether to release the lease for another daemon.

        An unconfirmed holder must read the row first, as it may no longer be its own.
        """
        is_confirmed = self.phase is LeasePhase.HELD and not self._is_unconfirmed
        return is_confirmed and self.is_deferring()

    def _should_contend(self) -> bool:
        now_s = self._core.clock()
        rank_delay_s = RANK_DELAY_S * self._rank()
        if now_s - self._read_s < CONTEND_PERIOD_S or self.is_deferring():
            return False
        if self._has_yielded() and now_s - self._yielded_s > rank_delay_s:
            return True
        timeout_s = HOLDER_TIMEOUT_S if self._row or self.term else 0.0
        return now_s - self._holder_heard_s > timeout_s + rank_delay_s

    def _has_yielded(self) -> bool:
        """Return whether the holder has yielded and sent no heartbeat since."""
        return self._yielded is not None and self._yielded_s >= self._holder_heard_s

    async def _async_maintain(self) -> None:
        now_s = self._core.clock()
        if now_s >= self._valid_until_s:
            self._lose("expired", self.term)
        elif self._is_unconfirmed:
            await self._async_recover()
        elif now_s - self._renewed_s >= RENEW_PERIOD_S:
            await self._async_renew()

    async def _async_renew(self) -> None:
        self._renewed_s = self._core.clock()
        row = msgspec.structs.replace(
            self._row,
            counter=self._row.counter + 1,
            held_s=self.term_age_s,
            yields=self._yields,
            era=self._era,
        )
        await self._async_write(row)

    async def _async_recover(self) -> None:
        """Read the row after a failed or unconfirmed write, then renew the lease."""
        await self._async_read()
        if self._core.clock() >= self._valid_until_s:
            self._lose("expired", self.term)
            return
        is_own = self._row is not None and self._row.boot_id == self._core.boot_id
        if not is_own and may_have_lost_row(self._row, self._era):
            # The store was restored and lost this daemon's row: take the lease again.
            await self._async_take(max(0.0, self._orders_from_s - self._core.clock()))
            return
        if not is_own:
            self._lose("taken", self.term)
            return
        await self._async_renew()
        self._is_unconfirmed = False
        self._core.events.info("lease_regained", term=self.term)

    async def _async_contend(self) -> None:
        """Read the row, and take the lease if it is free or has expired."""
        self._read_s = self._core.clock()
        await self._async_read()
        order_delay_s = self._takeover_delay_s()
        if order_delay_s is not None:
            await self._async_take(order_delay_s)

    async def _async_read(self) -> None:
        async with call_timeout():
            page = await self._table.async_read(KEY_LEASE)
        found = page.get(KEY_LEASE)
        version = found.version if found is not None else 0
        is_same = (page.era, version) == (self._era, self._version)
        if not is_same or self._unchanged_since_s is None:
            self._unchanged_since_s = self._core.clock()
        self._era, self._version = page.era, version
        self._store_version = page.version
        self._row = self._decode(found)

    def _decode(self, row: Row | None) -> PlacerRow | None:
        """Return the decoded row, or a placeholder if it can't be decoded.

        A row of an unknown format names no holder, but there may be one. It is treated
        like a silent holder, and the next term is above all known terms.
        """
        try:
            return decode_value(row, PlacerRow)
        except PlatformUnavailable as error:
            self._core.events.warning("lease_row_invalid", error=error)
            return PlacerRow(DaemonId(""), BootId(""), self._highest_term, 0)

    def _takeover_delay_s(self) -> float | None:
        """Return how long to delay orders after a takeover, None if it is too early.

        The previous holder sends no more orders, but the holder must not change twice
        within the gap.
        """
        row = self._row
        unchanged_s = self._core.clock() - self._unchanged_since_s
        if may_have_lost_row(row, self._era):
            if unchanged_s < EXPIRY_S:
                return None
            return max(0.0, self._holder_gap_s - unchanged_s)
        if row is None:
            return 0.0
        if row.holder == self._core.daemon_id:
            return self._remaining_delay_s(row, unchanged_s)
        if not row.is_released and self._has_yielded() and self._is_yield_current(row):
            return max(0.0, self._holder_gap_s - self._yielded.held_s)
        if not row.is_released and unchanged_s < EXPIRY_S:
            return None
        return max(0.0, self._holder_gap_s - row.held_s - unchanged_s)

    def _remaining_delay_s(self, row: PlacerRow, unchanged_s: float) -> float:
        """Return the rest of the delay that this daemon's own row says it owes.

        The row was written by a former process, which has exited and sends nothing
        more, or by this one in a takeover whose reply was lost. Neither takeover ends
        the delay that is due after another daemon's orders.
        """
        delay_s = row.order_delay_s
        if delay_s is None:
            delay_s = self._holder_gap_s
        return max(0.0, delay_s - row.held_s - unchanged_s)

    def _is_yield_current(self, row: PlacerRow) -> bool:
        """Return whether the holder has not resumed since the received yield.

        Messages may be delayed. Without this check, a holder that had already regained
        the lease would be replaced while it sends orders.
        """
        return self._yielded.term == row.term and row.yields < self._yielded.number

    async def _async_take(self, order_delay_s: float) -> None:
        term = next_term(self._row, self._era, self._store_version)
        row = PlacerRow(
            self._core.daemon_id,
            self._core.boot_id,
            term,
            1,
            era=self._era,
            order_delay_s=order_delay_s,
        )
        before = self._row
        self._renewed_s = self._core.clock()
        await self._async_write(row)
        self.phase = LeasePhase.HELD
        self.term = term
        self._highest_term = max(self._highest_term, term)
        self._is_unconfirmed = False
        self._yields = 0
        self._taken_s = self._core.clock()
        self._orders_from_s = self._taken_s + order_delay_s
        self._core.metrics.lease_held.set({}, 1)
        self._core.events.info(
            "lease_taken",
            term=term,
            before=before.holder if before is not None else "",
            orders_in_s=order_delay_s,
        )

    async def _async_write(self, row: PlacerRow) -> None:
        """Write the row; the validity of the lease starts before the call.

        Raises
        ------
        TransactionConflict
            Another daemon has written the row, or the store was restored to an older
            state. In the latter case, the version matched by coincidence, and the
            write does not grant the lease.
        PlatformUnavailable, WriteOutcomeUnknown
            The row must be read before any further action.
        """
        started_s = self._core.clock()
        check = Check(KEY_LEASE, self._version)
        write = Write(KEY_LEASE, msgspec.to_builtins(row))
        transaction = Transaction(WriteId(make_id()), (check,), (write,))
        async with call_timeout():
            commit = await self._table.async_transact(transaction)
        if commit.era != self._era:
            raise TransactionConflict("another era", step="lease.write", peer=KEY_LEASE)
        self._version = commit.version
        self._row = row
        self._unchanged_since_s = self._core.clock()
        self._valid_until_s = started_s + VALIDITY_S

    def _lose(self, reason: str, term: int) -> None:
        if self.phase is LeasePhase.HELD:
            self._core.events.warning("lease_lost", reason=reason, term=term)
            self._core.metrics.lease_held.set({}, 0)
        self.phase = LeasePhase.FOLLOWING
        self._valid_until_s = float("-inf")
        self._orders_from_s = float("inf")

    async def async_release(self) -> None:
        """Stop sending orders immediately and let another daemon take over."""
        self.is_leaving = True
        if self.phase is LeasePhase.HELD:
            await self._async_hand_over()

    async def _async_hand_over(self) -> None:
        """Release the lease once no order is under way, and tell the other daemons."""
        self._orders_from_s = float("inf")
        self._is_handing_over = True
        try:
            await self._async_wait_for_orders()
            await self._async_write_release()
        finally:
            self._is_handing_over = False

    async def _async_wait_for_orders(self) -> None:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await self._no_orders_in_flight.wait()
        except TimeoutError:
            self._core.events.warning("orders_not_ended", orders=self._orders_in_flight)

    async def _async_write_release(self) -> None:
        held_s = self.term_age_s
        row = msgspec.structs.replace(
            self._row,
            counter=self._row.counter + 1,
            is_released=True,
            held_s=held_s,
        )
        try:
            await self._async_write(row)
        except (PlatformUnavailable, WriteOutcomeUnknown, TransactionConflict) as error:
            self._core.events.warning("lease_release_failed", error=error)
        daemon = self._core.daemon_id
        self._send(LeaseYield(daemon, self.term, held_s, self._yields + 1))
        self._lose("released", self.term)
