"""The shared state of placement, as one director last read it."""

from __future__ import annotations

import msgspec

from ..const import PREFIX_HEALTH, PREFIX_LEDGER
from ..ids import EndpointName, FailureDomainName
from ..store import Row, decode_value
from .ledger import LedgerRow


class HealthRow(msgspec.Struct, frozen=True):
    """What the holder of a failure domain's lease tells the other directors.

    ``demand`` is sequences running or waiting by model, rounded so that the
    row changes seldom.
    """

    usable: tuple[EndpointName, ...] = ()
    demand: dict[str, int] = {}


class VersionedRow(msgspec.Struct, frozen=True):
    """A ledger row with the version that a condition must name."""

    version: int
    row: LedgerRow


class StateTable:
    """Ledger and health rows by name; changed by reading and by own writes."""

    def __init__(self) -> None:
        self.ledger: dict[EndpointName, VersionedRow] = {}
        self.health: dict[FailureDomainName, HealthRow] = {}
        self.health_versions: dict[FailureDomainName, int] = {}
        self.version = 0
        self.is_read = False
        self.changes = 0

    def forget_version(self) -> None:
        """Read all rows anew the next time."""
        self.version = 0
        self.is_read = False

    def take(self, row: Row) -> None:
        """Take in a row that was read."""
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
        """Keep a ledger row unless a later one is known."""
        known = self.ledger.get(name)
        if known is None or version > known.version:
            self.ledger[name] = VersionedRow(version, row)
            self.changes += 1

    def put_health(
        self, domain: FailureDomainName, row: HealthRow, version: int
    ) -> None:
        """Keep a health row unless a later one is known."""
        if version > self.health_versions.get(domain, 0):
            self.health[domain] = row
            self.changes += 1
            self.health_versions[domain] = version

    def rows(self) -> dict[EndpointName, LedgerRow]:
        """Return the ledger rows without their versions."""
        return {name: kept.row for name, kept in self.ledger.items()}

    def usable(self) -> frozenset[EndpointName]:
        """Return the endpoints that their directors say take new models."""
        names = [name for row in self.health.values() for name in row.usable]
        return frozenset(names)

    def demand(self) -> dict[str, float]:
        """Return the demand of each model over all failure domains."""
        total: dict[str, float] = {}
        for row in self.health.values():
            for model, count in row.demand.items():
                total[model] = total.get(model, 0.0) + count
        return total
