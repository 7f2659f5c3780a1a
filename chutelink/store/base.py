"""What the system asks of the platform, as abstract base classes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

import msgspec

from ..ids import NO_ERA, FailureDomainName, StoreEra, VmId, WriteId

ABSENT_VERSION = 0
UNREADABLE = {"unreadable": True}
"""Value of a row whose bytes no program of ours wrote, and nobody can read.

The row is there, and means nothing; the others of its table hold.
"""


class Row(msgspec.Struct, frozen=True):
    """A row of the table service.

    ``version`` rises over the whole table with each write; ``write_id`` names
    the transaction that wrote the row last; ``value`` is JSON.
    """

    key: str
    version: int
    write_id: WriteId
    value: Any


class RowPage(msgspec.Struct, frozen=True):
    """Rows of a prefix, and the highest version that the answer covers.

    ``answered_s`` is what the service's steady clock showed then, 0 where it has none.
    Versions can be compared within one ``era`` only.
    """

    version: int
    rows: list[Row]
    answered_s: float = 0.0
    era: StoreEra = NO_ERA

    def get(self, key: str) -> Row | None:
        """Return the row of a key, if it is in the page."""
        return next((row for row in self.rows if row.key == key), None)


class Check(msgspec.Struct, frozen=True):
    """A condition: the row has this version, 0 for absent."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A new value for a row, as JSON types; None deletes it."""

    key: str
    value: Any


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together if all checks hold."""

    id: WriteId
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Commit(msgspec.Struct, frozen=True):
    """A transaction that took effect: the version of its writes, and their era.

    Conditions on versions of an earlier era held by chance, or because the rows had
    not changed since the copy that the service came back from.
    """

    version: int
    era: StoreEra = NO_ERA


class VmState(Enum):
    """What the VM list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """A VM of the list, which may lag behind."""

    id: VmId
    failure_domain: FailureDomainName
    state: VmState
    address: str = ""
    peer_ports: tuple[int, ...] = ()


class TableService(ABC):
    """Rows with versions, changed by conditional transactions."""

    @abstractmethod
    async def async_read(self, prefix: str, after_version: int = 0) -> RowPage:
        """Return rows of a prefix that changed after a version.

        Raises
        ------
        PlatformUnavailable
            When there is no answer in time.
        """

    @abstractmethod
    async def async_transact(self, transaction: Transaction) -> Commit:
        """Commit a transaction.

        Raises
        ------
        TransactionConflict
            A check did not hold; nothing was changed.
        PlatformUnavailable
            Nothing was changed.
        WriteOutcomeUnknown
            The reply was lost; the writes may have taken effect, or still may.
        """


class WatchedTable(TableService):
    """A table service that also waits for changes and may drop its history."""

    @abstractmethod
    async def async_watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> RowPage:
        """Return rows that changed after a version, as soon as there is one.

        A row that was removed is returned with the value None. Without a change
        the page is empty after ``wait_s``.

        Raises
        ------
        HistoryLost
            The changes after this version are no longer kept: read all anew.
        PlatformUnavailable
            When there is no answer in time.
        """


class ObjectStore(ABC):
    """Bodies named by their content hash."""

    @abstractmethod
    async def async_put(self, name: str, body: bytes) -> None:
        """Store a body; storing the same one again changes nothing."""

    @abstractmethod
    async def async_get(self, name: str) -> bytes | None:
        """Return a body, or None when there is none of that name."""


class VmList(ABC):
    """The list of live and leaving VMs; it lags."""

    @abstractmethod
    async def async_list(self) -> list[Vm]:
        """Return the VMs as the list has them now."""


class Platform(msgspec.Struct, frozen=True):
    """The platform's parts, handed to the programs as one."""

    table: TableService
    objects: ObjectStore
    vms: VmList
