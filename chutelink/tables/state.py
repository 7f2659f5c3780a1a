"""Shared placement state, as last read by this process."""

from __future__ import annotations

import msgspec

from ..const import PREFIX_HEALTH, PREFIX_LEDGER
from ..ids import EndpointName, FailureDomainName
from ..store import Row, decode_value
from .ledger import LedgerRow


class HealthRow(msgspec.Struct, frozen=True):
    """State that the holder of a failure domain's lease publishes to other directors.

    ``demand`` is the number of running or waiting sequences by model, rounded so
    that the row rarely changes.
    """

    usable: tuple[EndpointName, ...] = ()
    demand: dict[str, int] = {}


class VersionedRow(msgspec.Struct, frozen=True):
    """A ledger row with the version to use in a transaction's check."""

    version: int
    row: LedgerRow


class StateTable:
    """Ledger and health rows by name; updated by reads and by own writes."""

    def __init__(self) -> None:
        self.ledger: dict[EndpointName, VersionedRow] = {}
        self.health: dict[FailureDomainName, HealthRow] = {}
        self.health_versions: dict[FailureDomainName, int] = {}
        self.version = 0
        self.is_read = False
        self.changes = 0

    def reset_version(self) -> None:
        """Make the next read return all rows."""
        self.version = 0
        self.is_read = False

    def put_row(self, row: Row) -> None:
        """Store a row that was read."""
        if row.key.startswith(PREFIX_LEDGER):
            value = decode_value(row, LedgerRow)
            name = EndpointName(row.key[len(PREFIX_LEDGER) :])
            if value is not None:
                self.put_ledger(name, value, row.version)
        elif row.key.startswith(PREFIX_HEALTH):
            domain = FailureDomainName(row.key[len(PREFIX_HEALTH) :])
            value = decode_value(row, HealthRow)
            if value is not None:
                self.put_health(domain, value, row.version)

    def put_ledger(self, name: EndpointName, row: LedgerRow, version: int) -> None:
        """Store a ledger row unless a newer one is known."""
        known = self.ledger.get(name)
        if known is None or version > known.version:
            self.ledger[name] = VersionedRow(version, row)
            self.changes += 1

    def put_health(
        self, domain: FailureDomainName, row: HealthRow, version: int
    ) -> None:
        """Store a health row unless a newer one is known."""
        if version > self.health_versions.get(domain, 0):
            self.health[domain] = row
            self.changes += 1
            self.health_versions[domain] = version

    def rows(self) -> dict[EndpointName, LedgerRow]:
        """Return the ledger rows without their versions."""
        return {name: versioned.row for name, versioned in self.ledger.items()}

    def usable(self) -> frozenset[EndpointName]:
        """Return the endpoints that their directors report as able to load models."""
        names = [name for row in self.health.values() for name in row.usable]
        return frozenset(names)

    def demand(self) -> dict[str, float]:
        """Return the total demand of each model over all failure domains."""
        total: dict[str, float] = {}
        for row in self.health.values():
            for model, count in row.demand.items():
                total[model] = total.get(model, 0.0) + count
        return total
