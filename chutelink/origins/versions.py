"""Software versions that the endpoints of each service run or ran recently."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import msgspec

from ..ids import ServiceName, SoftwareVersion
from .const import RETENTION_S


class _Usage(msgspec.Struct):
    """Number of endpoints that run a version, and since when there has been none.

    The time is that of the first check after the last endpoint left.
    """

    endpoints: int = 0
    unused_since_s: float | None = None
    was_seen: bool = False


class VersionHistory:
    """Counts the endpoints of each version, and keeps versions that have left.

    The version of an endpoint is None while its registration has not been read.
    """

    def __init__(self) -> None:
        self._usages: dict[ServiceName, dict[SoftwareVersion | None, _Usage]] = (
            defaultdict(dict)
        )
        self.on_mixed: Callable[[ServiceName], None] = lambda service: None
        """Called when a service gets another version beside those it had."""

    def add(self, service: ServiceName, version: SoftwareVersion | None) -> None:
        """Count an endpoint."""
        usage = self._usages[service].setdefault(version, _Usage())
        usage.endpoints += 1
        usage.unused_since_s = None
        self._note_mixed(service, version, usage)

    def add_recent(self, service: ServiceName, version: SoftwareVersion) -> None:
        """Keep a version that another daemon has seen."""
        usage = self._usages[service].setdefault(version, _Usage())
        self._note_mixed(service, version, usage)

    def note_used(self, service: ServiceName, version: SoftwareVersion) -> None:
        """Keep a version that has served, as other daemons or an old row say.

        Without endpoints, it is kept for ``RETENTION_S`` from the next check on.
        """
        self.add_recent(service, version)
        self._usages[service][version].unused_since_s = None

    def _note_mixed(
        self, service: ServiceName, version: SoftwareVersion | None, usage: _Usage
    ) -> None:
        is_new = version is not None and not usage.was_seen
        usage.was_seen = True
        if is_new and len(self._usages[service].keys() - {None}) > 1:
            self.on_mixed(service)

    def remove(self, service: ServiceName, version: SoftwareVersion | None) -> None:
        """Stop counting an endpoint."""
        usage = self._usages[service][version]
        usage.endpoints -= 1
        if version is None and not usage.endpoints:
            # The registration has been read, and its version is counted instead.
            del self._usages[service][version]

    def versions(
        self, service: ServiceName, now_s: float
    ) -> set[SoftwareVersion | None]:
        """Return the versions that may have begun a stream that can be resumed now."""
        usages = self._usages.get(service, {})
        for version, usage in list(usages.items()):
            if usage.endpoints:
                continue
            if usage.unused_since_s is None:
                usage.unused_since_s = now_s
            if now_s - usage.unused_since_s > RETENTION_S:
                del usages[version]
        return set(usages)

    def all_versions(self, now_s: float) -> dict[ServiceName, list[SoftwareVersion]]:
        """Return the known versions of all services."""
        return {
            service: sorted(self.versions(service, now_s) - {None})
            for service in list(self._usages)
        }

    def mixed_services(self, now_s: float) -> set[ServiceName]:
        """Return the services that have, or recently had, several versions."""
        return {name for name in list(self._usages) if self.is_mixed(name, now_s)}

    def is_mixed(self, service: ServiceName, now_s: float) -> bool:
        """Return whether a service has, or recently had, more than one version."""
        return len(self.versions(service, now_s) - {None}) > 1
