"""Failure domains that the operators have evacuated. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from ..core import Application
from ..ids import FailureDomainName
from ..store import UNREADABLE
from ..watching.table_state import RowChange


class EvacuationTable:
    """Copies the operators' evacuations from the rows that the store watch reports.

    A row's key alone evacuates its failure domain, whatever its value is. The domain
    stays evacuated until the row is reported as removed: neither an outage nor the
    restoration of the store removes it, see ``TableCopy``.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    """

    def __init__(self, core: Application) -> None:
        self._core = core
        self._domains: set[FailureDomainName] = set()
        self.on_changed: Callable[[], None] = lambda: None
        """Called when an evacuation has begun or ended."""
        self.on_ended: Callable[[FailureDomainName], None] = lambda failure_domain: None
        """Called with a failure domain that is back in service."""

    @property
    def domains(self) -> frozenset[FailureDomainName]:
        """The evacuated failure domains."""
        return frozenset(self._domains)

    @property
    def has_any(self) -> bool:
        """Whether any failure domain is evacuated."""
        return bool(self._domains)

    def is_evacuated(self, failure_domain: FailureDomainName) -> bool:
        """Return whether a failure domain is evacuated."""
        return failure_domain in self._domains

    def apply_row(self, failure_domain: FailureDomainName, change: RowChange) -> None:
        """Apply a changed or removed row that asks to evacuate a failure domain."""
        if change.value is None:
            self._end(failure_domain, change)
            return
        if change.value == UNREADABLE:
            self._core.events.warning(
                "evacuation_unreadable",
                failure_domain=failure_domain,
                row_version=change.version,
            )
        self._begin(failure_domain, change)

    def _begin(self, failure_domain: FailureDomainName, change: RowChange) -> None:
        if failure_domain in self._domains:
            return
        self._domains.add(failure_domain)
        self._log("evacuation_begun", failure_domain, change)
        self.on_changed()

    def _end(self, failure_domain: FailureDomainName, change: RowChange) -> None:
        if failure_domain not in self._domains:
            return
        self._domains.discard(failure_domain)
        self._log("evacuation_ended", failure_domain, change)
        # First, so that the endpoints' states are known before requests go there.
        self.on_ended(failure_domain)
        self.on_changed()

    def _log(
        self, event: str, failure_domain: FailureDomainName, change: RowChange
    ) -> None:
        self._core.metrics.evacuated.set({}, len(self._domains))
        self._core.events.info(
            event,
            failure_domain=failure_domain,
            row_version=change.version,
            source=change.source,
            age_s=change.age_s,
            restored=change.is_restored,
        )
