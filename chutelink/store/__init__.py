"""Clients of the platform services that hold durable state.

The platform provides a table service, an object store and the VM list.
"""

from .base import (
    UNREADABLE,
    Check,
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
    VmState,
    WatchableTable,
    Write,
)
from .http import async_setup_platform
from .transactions import async_commit, decode_value

__all__ = [
    "UNREADABLE",
    "Check",
    "Commit",
    "ObjectStore",
    "Platform",
    "Row",
    "RowPage",
    "StorePosition",
    "TableService",
    "Transaction",
    "Vm",
    "VmList",
    "VmState",
    "WatchableTable",
    "Write",
    "async_commit",
    "async_setup_platform",
    "decode_value",
]
