"""Where lasting state is kept: tables, objects and the VM list, run by others."""

from .base import (
    UNREADABLE,
    Check,
    Commit,
    ObjectStore,
    Platform,
    Row,
    RowPage,
    TableService,
    Transaction,
    Vm,
    VmList,
    VmState,
    WatchedTable,
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
    "TableService",
    "Transaction",
    "Vm",
    "VmList",
    "VmState",
    "WatchedTable",
    "Write",
    "async_commit",
    "async_setup_platform",
    "decode_value",
]
