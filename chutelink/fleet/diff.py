"""Differences between two fleet files."""

from __future__ import annotations

from enum import Enum

import msgspec

from .model import FleetSpec

_TABLES = (
    "failure_domains",
    "endpoints",
    "request_classes",
    "models",
    "adapters",
    "services",
    "callers",
)
_SECRET_FIELDS = frozenset({"key_sha256"})


class ChangeKind(Enum):
    """Kind of difference of an entity."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(msgspec.Struct, frozen=True):
    """A difference of one entity; ``detail`` lists the changed fields."""

    kind: ChangeKind
    table: str
    name: str
    detail: str = ""

    def __str__(self) -> str:
        detail = f" ({self.detail})" if self.detail else ""
        return f"{self.kind.value} {self.table} {self.name}{detail}"


def diff_fleets(old: FleetSpec | None, new: FleetSpec) -> list[Change]:
    """Return the changes from the old fleet to the new one."""
    changes: list[Change] = []
    if old is not None and old.options != new.options:
        detail = _field_changes(old.options, new.options)
        changes.append(Change(ChangeKind.CHANGED, "fleet", "options", detail))
    for table in _TABLES:
        before = getattr(old, table) if old is not None else {}
        changes += _diff_table(table, before, getattr(new, table))
    return changes


def _diff_table(table: str, before: dict, after: dict) -> list[Change]:
    changes: list[Change] = []
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            changes.append(Change(ChangeKind.REMOVED, table, name))
        elif name not in before:
            changes.append(Change(ChangeKind.ADDED, table, name))
        elif before[name] != after[name]:
            detail = _field_changes(before[name], after[name])
            changes.append(Change(ChangeKind.CHANGED, table, name, detail))
    return changes


def _field_changes(before: msgspec.Struct, after: msgspec.Struct) -> str:
    parts: list[str] = []
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if old == new:
            continue
        shown = "changed" if field in _SECRET_FIELDS else f"{old} -> {new}"
        parts.append(f"{field}: {shown}")
    return ", ".join(parts)
