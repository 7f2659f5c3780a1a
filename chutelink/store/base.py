"""Abstract base classes of the platform services that the system depends on."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

import msgspec

from ..ids import NO_ERA, FailureDomainName, StoreEra, VmId, WriteId

ABSENT_VERSION = 0
UNREADABLE = {"unreadable": True}
"""Value of a row that cannot be decoded because another program wrote it.

The row exists but carries no data; the other rows of the table stay valid.
"""


class Row(msgspec.Struct, frozen=True):
    """A row of the table service.

    ``version`` comes from a counter that increases with each write to the table;
    ``write_id`` identifies the last transaction that wrote the row; ``value`` is JSON.
    """

    key: str
    version: int
    write_id: WriteId
    value: Any


class RowPage(msgspec.Struct, frozen=True):
    """Rows of a prefix, and the highest version that the response covers.

    ``answered_s`` is the service's monotonic clock at the time of the response, or 0
    if the service has none. Versions are only comparable within one ``era``.
    """

    version: int
    rows: list[Row]
    answered_s: float = 0.0
    era: StoreEra = NO_ERA

    def get(self, key: str) -> Row | None:
        """Return the row for a key, or None if the page does not contain it."""
        return next((row for row in self.rows if row.key == key), None)


class StorePosition(msgspec.Struct, frozen=True):
    """Version of the service, in an era, up to which changes are known."""

    version: int
    era: StoreEra = NO_ERA


class Check(msgspec.Struct, frozen=True):
    """A precondition: the row has this version; 0 means that it does not exist."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A new value for a row, as JSON types; None deletes the row."""

    key: str
    value: Any


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied atomically if all checks hold."""

    id: WriteId
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Commit(msgspec.Struct, frozen=True):
    """A committed transaction: the version of its writes, and their era.

    If the checks named versions of an earlier era, they held by coincidence, or
    because the rows had not changed since the backup that the service was restored
    from.
    """

    version: int
    era: StoreEra = NO_ERA


class VmState(Enum):
    """State of a VM in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """An entry of the VM list; it may be out of date."""

    id: VmId
    failure_domain: FailureDomainName
    state: VmState
    address: str = ""
    peer_ports: tuple[int, ...] = ()


class TableService(ABC):
    """Versioned rows that are changed by conditional transactions."""

    @abstractmethod
    async def async_read(self, prefix: str, after_version: int = 0) -> RowPage:
        """Return the rows of a prefix that changed after a version.

        Raises
        ------
        PlatformUnavailable
            The service did not respond in time.
        """

    @abstractmethod
    async def async_transact(self, transaction: Transaction) -> Commit:
        """Commit a transaction.

        Raises
        ------
        TransactionConflict
            A check did not hold; no write was applied.
        PlatformUnavailable
            No write was applied.
        WriteOutcomeUnknown
            The response was lost; the writes may have been applied, or may still be.
        """


class WatchableTable(TableService):
    """A table service that supports waiting for changes and may drop old changes."""

    @abstractmethod
    async def async_watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> RowPage:
        """Wait until a row changes after a version and return the changed rows.

        A deleted row is returned with the value None. If nothing changes within
        ``wait_s``, the page is empty.

        Raises
        ------
        HistoryLost
            The service no longer has the changes after this version; the caller
            must read all rows again.
        PlatformUnavailable
            The service did not respond in time.
        """


class ObjectStore(ABC):
    """Immutable objects, addressed by their content hash."""

    @abstractmethod
    async def async_put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same object again has no effect."""

    @abstractmethod
    async def async_get(self, name: str) -> bytes | None:
        """Return an object's body, or None if no object has that name."""


class VmList(ABC):
    """The list of live and leaving VMs; it may be out of date."""

    @abstractmethod
    async def async_list(self) -> list[Vm]:
        """Return the current content of the list."""


class Platform(msgspec.Struct, frozen=True):
    """The platform services that a program uses."""

    table: TableService
    objects: ObjectStore
    vms: VmList
