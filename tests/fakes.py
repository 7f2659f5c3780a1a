"""Fakes of the platform interfaces and of the application object."""

from __future__ import annotations

import random
from types import SimpleNamespace

import msgspec
from opentelemetry.trace import NoOpTracer

from chutelink.customers.buckets import QuotaBounds
from chutelink.customers.quotas import QuotaManager
from chutelink.exceptions import (
    HistoryLost,
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from chutelink.ids import NO_ERA, BootId, DaemonId, ServiceName, SoftwareVersion
from chutelink.log import EventLog
from chutelink.metrics import Metrics
from chutelink.origins.registrations import RegistrationLog
from chutelink.origins.versions import VersionHistory
from chutelink.store import (
    Commit,
    ObjectStore,
    Platform,
    Row,
    RowPage,
    StorePosition,
    TableService,
    Transaction,
    Vm,
    VmList,
)
from standins.platform import Table


class FakeTable(TableService):
    """The stand-in platform's table without HTTP, with fault injection per call."""

    def __init__(self) -> None:
        self.table = Table()
        self.era = NO_ERA
        self.is_out = False
        self.lose_replies = 0
        self.late: list[Transaction] = []
        self.late_writes = 0

    async def async_read(self, prefix: str, after_version: int = 0) -> RowPage:
        if self.is_out:
            raise PlatformUnavailable("outage", step="table.read")
        page = self.table.read(prefix, after_version)
        return msgspec.structs.replace(page, era=self.era)

    async def async_transact(self, transaction: Transaction) -> Commit:
        if self.is_out:
            raise PlatformUnavailable("outage", step="table.transact")
        if self.late_writes:
            self.late_writes -= 1
            self.late.append(transaction)
            raise WriteOutcomeUnknown("late", step="table.transact")
        conflict = self.table.first_conflict(transaction.checks)
        if conflict is not None:
            raise TransactionConflict(conflict, step="table.transact", peer=conflict)
        version = self.table.commit(transaction)
        if self.lose_replies:
            self.lose_replies -= 1
            raise WriteOutcomeUnknown("lost", step="table.transact")
        return Commit(version, self.era)

    def copy(self) -> tuple[dict[str, Row], int]:
        """Return a backup of the table."""
        return dict(self.table.rows), self.table.version

    def restore(self, copy: tuple[dict[str, Row], int]) -> None:
        """Restore the table from a backup, which loses all later writes."""
        rows, version = copy
        self.table.rows, self.table.version = dict(rows), version
        self.era += 1

    def deliver_late(self) -> None:
        """Commit the delayed writes whose preconditions still hold."""
        while self.late:
            transaction = self.late.pop()
            if self.table.first_conflict(transaction.checks) is None:
                self.table.commit(transaction)


class FakeRegistrations(RegistrationLog):
    """Registrations of endpoints, read up to the version of a fake table.

    ``changes`` holds the software versions of registrations by the table's version;
    those up to ``lost_version`` can't be read any more.
    """

    def __init__(self, table: FakeTable, versions: VersionHistory) -> None:
        self._table = table
        self._versions = versions
        self.changes: list[tuple[int, SoftwareVersion]] = []
        self.lost_version = -1

    def position(self) -> StorePosition | None:
        return StorePosition(self._table.table.version, self._table.era)

    async def async_replay(self, since: StorePosition) -> None:
        if since.era != self._table.era:
            raise PlatformUnavailable("restored", step="test")
        if since.version <= self.lost_version:
            raise HistoryLost("lost", step="test")
        for version, name in self.changes:
            if version > since.version:
                self._versions.note_used(ServiceName("llm"), name)


class FakeObjects(ObjectStore):
    """An object store in memory; ``on_get`` is called during each read."""

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}
        self.on_get = lambda: None

    async def async_put(self, name: str, body: bytes) -> None:
        self.bodies[name] = body

    async def async_get(self, name: str) -> bytes | None:
        self.on_get()
        return self.bodies.get(name)


class FakeVms(VmList):
    """A VM list in memory."""

    def __init__(self) -> None:
        self.vms: list[Vm] = []

    async def async_list(self) -> list[Vm]:
        return self.vms


def make_platform() -> Platform:
    """Return a platform whose services are fakes."""
    return Platform(FakeTable(), FakeObjects(), FakeVms())


def make_core(name: str = "d1", domain: str = "a") -> SimpleNamespace:
    """Return a stub of the application, with a clock that the test sets."""
    core = SimpleNamespace(
        daemon_id=DaemonId(name),
        boot_id=BootId(f"boot-{name}"),
        daemon=SimpleNamespace(id=name, failure_domain=domain),
        rng=random.Random(7),
        events=EventLog("test"),
        metrics=Metrics(),
        tracer=NoOpTracer(),
        now_s=100.0,
        is_draining=False,
    )
    core.clock = lambda: core.now_s
    return core


def make_quota_manager(
    core: SimpleNamespace, *, is_lending: bool = True
) -> QuotaManager:
    """Return a daemon's quota manager, with round bounds."""
    bounds = QuotaBounds(window_s=8.0, excess_share=0.1, slack=0.0)
    return QuotaManager(core, bounds, is_lending=is_lending)


def make_exchange(request_id: str) -> SimpleNamespace:
    """Return a stub of an exchange that only has a request id."""
    return SimpleNamespace(meta=SimpleNamespace(id=request_id))
