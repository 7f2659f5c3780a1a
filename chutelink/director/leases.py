"""Leases of failure domains.

Each director measures time on its own clock only; clocks are never compared.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from mode import Service

from ..const import PREFIX_LEASE, PREFIX_LEASE_TERM
from ..core import Application
from ..exceptions import (
    ChutelinkError,
    LeaseNotHeld,
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..ids import FailureDomainName
from ..settings import DirectorSection
from ..steps import async_run_step
from ..store import Check, TableService, Write, async_commit, decode_value
from ..tables.leases import Lease, LeaseRow, LeaseState, TermRow

RENEWALS_PER_LEASE = 4
FOREIGN_WAIT_FACTOR = 3.0
"""Multiplies the wait before taking an expired lease of another failure domain.

The longer wait gives the directors of that failure domain precedence.
"""


class LeaseManager(Service):
    """Acquires and renews leases.

    Parameters
    ----------
    core : Application
        The application that owns the manager.
    table : TableService
        Table that stores the leases.
    settings : DirectorSection
        Provides the lease duration and its safety margin.
    """

    def __init__(
        self, core: Application, table: TableService, settings: DirectorSection
    ) -> None:
        super().__init__()
        self._core = core
        self._table = table
        self._settings = settings
        self.leases: dict[FailureDomainName, Lease] = {}
        self.is_releasing = False
        self.on_change: Callable[[], None] = lambda: None
        self.has_director: Callable[[FailureDomainName], bool] = lambda name: False

    def sync(self, failure_domains: list[FailureDomainName]) -> None:
        """Set the failure domains whose leases this director contends for."""
        for name in failure_domains:
            self.leases.setdefault(name, Lease(name))
        for name in self.leases.keys() - set(failure_domains):
            del self.leases[name]

    def held(self) -> list[FailureDomainName]:
        """Return the failure domains whose leases are currently held."""
        now_s = self._core.clock()
        return [n for n, lease in self.leases.items() if lease.is_held(now_s)]

    def check_held(self, name: FailureDomainName, step: str) -> int:
        """Return the version of the lease's term row.

        Raises
        ------
        LeaseNotHeld
            The lease is not held, or it expires within the margin.
        """
        lease = self.leases.get(name)
        if lease is None or not lease.is_held(self._core.clock()):
            raise LeaseNotHeld("lease not held", step=step, peer=name)
        return lease.term_version

    def lose(self, name: FailureDomainName) -> None:
        """Stop using the lease of a failure domain immediately."""
        lease = self.leases.get(name)
        if lease is not None and lease.state is LeaseState.HELD:
            self._lose(lease)

    @Service.task
    async def _async_loop(self) -> None:
        pause_s = self._settings.lease_s / RENEWALS_PER_LEASE
        while not self.should_stop:
            if not self.is_releasing:
                await async_run_step(
                    self, self._core.events, "leases.tick", self._async_tick
                )
            await self.sleep(pause_s * self._core.rng.uniform(0.8, 1.0))

    async def _async_tick(self) -> None:
        try:
            await self._async_refresh()
        except PlatformUnavailable as error:
            self._core.events.warning("lease_watch_failed", error=error)
            return
        for lease in list(self.leases.values()):
            try:
                await self._async_contend(lease)
            except TransactionConflict:
                self._lose(lease)
            except (PlatformUnavailable, WriteOutcomeUnknown) as error:
                self._core.events.warning("lease_write_failed", error=error)
        self._notify_change()

    async def _async_refresh(self) -> None:
        page = await self._table.async_read(PREFIX_LEASE)
        now_s = self._core.clock()
        for name, lease in self.leases.items():
            row = page.get(PREFIX_LEASE + name)
            version = row.version if row is not None else 0
            lease.observe(decode_value(row, LeaseRow), version, now_s)

    async def _async_contend(self, lease: Lease) -> None:
        now_s = self._core.clock()
        if lease.state is LeaseState.HELD:
            if not self._is_own_domain(lease) and self.has_director(
                lease.failure_domain
            ):
                await self._async_release_lease(lease)
            else:
                await self._async_renew(lease)
        elif lease.may_take(now_s, self._takeover_wait_s(lease)):
            await self._async_take(lease)

    def _takeover_wait_s(self, lease: Lease) -> float:
        """Return how long the row must be unchanged before the lease may be taken."""
        if self._is_own_domain(lease):
            return 0.0 if lease.is_free else self._settings.lease_s
        factor = 1.0 if lease.is_free else FOREIGN_WAIT_FACTOR
        return self._settings.lease_s * factor

    def _is_own_domain(self, lease: Lease) -> bool:
        return lease.failure_domain == self._core.daemon.failure_domain

    async def _async_renew(self, lease: Lease) -> None:
        row = lease.row
        if row is None or row.boot_id != self._core.boot_id:
            self._lose(lease)
            return
        await self._async_write(lease, row.counter + 1)

    async def _async_take(self, lease: Lease) -> None:
        """Take a lease by writing its row and its term row in one transaction."""
        key = PREFIX_LEASE_TERM + lease.failure_domain
        found = (await self._table.async_read(key)).get(key)
        version = found.version if found is not None else 0
        term = TermRow(self._core.daemon_id, self._core.boot_id)
        counter = lease.row.counter + 1 if lease.row is not None else 1
        lease.term_version = await self._async_write(
            lease,
            counter,
            [Check(key, version)],
            [Write(key, msgspec.to_builtins(term))],
        )
        lease.state = LeaseState.HELD
        self._core.events.info("lease_taken", failure_domain=lease.failure_domain)

    async def _async_write(
        self,
        lease: Lease,
        counter: int,
        checks: list[Check] | None = None,
        writes: list[Write] | None = None,
        *,
        is_released: bool = False,
    ) -> int:
        """Write the lease's row.

        The lease duration starts before the write, so that the lease ends here
        no later than other directors assume.
        """
        started_s = self._core.clock()
        key = PREFIX_LEASE + lease.failure_domain
        row = LeaseRow(self._core.daemon_id, self._core.boot_id, counter, is_released)
        version = await async_commit(
            self._table,
            [Check(key, lease.row_version), *(checks or [])],
            [Write(key, msgspec.to_builtins(row)), *(writes or [])],
        )
        lease.observe(row, version, self._core.clock())
        length_s = self._settings.lease_s - self._settings.lease_margin_s
        lease.held_until_s = started_s + length_s
        return version

    def _lose(self, lease: Lease) -> None:
        if lease.state is LeaseState.HELD:
            self._core.events.warning("lease_lost", failure_domain=lease.failure_domain)
        lease.lose(self._core.clock())
        self._notify_change()

    async def async_release(self) -> None:
        """Release all leases, so that other directors need not wait for expiry."""
        self.is_releasing = True
        for lease in self.leases.values():
            if lease.state is LeaseState.HELD:
                await self._async_release_lease(lease)

    async def _async_release_lease(self, lease: Lease) -> None:
        """Stop using a lease immediately, then mark it as released."""
        lease.lose(self._core.clock())
        counter = lease.row.counter + 1 if lease.row is not None else 1
        try:
            await self._async_write(lease, counter, is_released=True)
        except ChutelinkError as error:
            self._core.events.warning("lease_release_failed", error=error)
        lease.lose(self._core.clock())
        self._core.events.info("lease_given_back", failure_domain=lease.failure_domain)

    def _notify_change(self) -> None:
        self.on_change()
        self._core.metrics.lease_held.set({}, len(self.held()))
