"""State of the endpoints as known to this process.

It is not stored; a new process rebuilds it from reports within seconds.
"""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

import msgspec

from ..fleet.model import Artifact, EndpointKind, EndpointSpec, FleetSpec
from ..ids import BootId, EndpointName, FencingNumber

REPORT_FAILURES_UNTIL_LOST = 3
FIRST_EXCLUSION_S = 0.5
MAX_EXCLUSION_S = 8.0


class EndpointState(Enum):
    """Whether an endpoint accepts new requests."""

    UNKNOWN = "unknown"
    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


class ArtifactState(Enum):
    """State of an artifact at an engine."""

    LOADING = "loading"
    LOADED = "loaded"
    DRAINING = "draining"


class ReportedArtifact(msgspec.Struct, frozen=True):
    """An artifact in an engine's report; memory is per accelerator."""

    name: str
    version: str
    state: ArtifactState
    accelerators: tuple[int, ...]
    memory_mb: int
    fence: FencingNumber
    running: int = 0
    waiting: int = 0

    @property
    def artifact(self) -> Artifact:
        """The artifact's name and version."""
        return Artifact(self.name, self.version)


class EndpointReport(msgspec.Struct, frozen=True):
    """An endpoint's report of its own state; the load may be out of date."""

    boot_id: BootId
    leaving: bool = False
    fence: FencingNumber = FencingNumber(0)
    running: int = 0
    waiting: int = 0
    prefill_tokens_per_s: float = 10_000.0
    step_s: float = 0.02
    artifacts: tuple[ReportedArtifact, ...] = ()
    cached_prefixes: tuple[str, ...] = ()


class Endpoint:
    """An endpoint's state; each field is changed only by the component that owns it."""

    __slots__ = (
        "cached_prefixes",
        "excluded_until_s",
        "failures",
        "inflight",
        "inflight_at_report",
        "is_drained",
        "is_vm_leaving",
        "loaded",
        "name",
        "report",
        "report_asked_s",
        "report_failures",
        "reported_at_s",
        "spec",
        "state",
    )

    def __init__(self, spec: EndpointSpec) -> None:
        self.name = spec.name
        self.spec = spec
        self.state = EndpointState.UNKNOWN
        self.report: EndpointReport | None = None
        self.reported_at_s = float("-inf")
        self.report_asked_s = float("-inf")
        self.report_failures = 0
        self.loaded: frozenset[Artifact] = frozenset()
        self.cached_prefixes: frozenset[str] = frozenset()
        self.inflight = 0
        self.inflight_at_report = 0
        self.failures = 0
        self.excluded_until_s = float("-inf")
        self.is_drained = False
        self.is_vm_leaving = False

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent to the endpoint."""
        return self.state is EndpointState.LIVE

    def estimated_load(self) -> int:
        """Return the estimated number of sequences at the endpoint.

        It is that of the last report, adjusted for this process's own requests.
        """
        if self.report is None:
            return self.inflight
        others = self.report.running + self.report.waiting - self.inflight_at_report
        return max(0, others) + self.inflight

    def free_slots(self) -> int:
        """Return the number of further requests that this process may send now."""
        others = self.estimated_load() - self.inflight
        own_slots = max(1, self.spec.slots - others)
        return own_slots - self.inflight


class EndpointTable:
    """Endpoints by name, indexed by the artifacts that they have loaded."""

    def __init__(self) -> None:
        self.rows: dict[EndpointName, Endpoint] = {}
        self._holders: dict[Artifact, set[EndpointName]] = defaultdict(set)

    def sync(self, fleet: FleetSpec) -> None:
        """Apply the endpoints that the fleet declares and remove all others.

        An endpoint whose URL has changed starts again in an unknown state.
        """
        for name in self.rows.keys() - fleet.endpoints.keys():
            self._update_index(self.rows.pop(name), frozenset())
        for name, spec in fleet.endpoints.items():
            row = self.rows.get(name)
            if row is None or row.spec.url != spec.url:
                self.rows[name] = Endpoint(spec)
            else:
                row.spec = spec

    def note_report(
        self,
        name: EndpointName,
        report: EndpointReport,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Record a report that has just arrived.

        A report that was requested before the known one is ignored: it is older and
        may show a state that an order has changed since.
        """
        row = self.rows.get(name)
        if row is None or asked_s < row.report_asked_s:
            return
        row.report_asked_s = asked_s
        row.report = report
        row.reported_at_s = now_s
        row.report_failures = 0
        row.inflight_at_report = row.inflight
        row.cached_prefixes = frozenset(report.cached_prefixes)
        loaded = frozenset(
            held.artifact
            for held in report.artifacts
            if held.state is ArtifactState.LOADED
        )
        self._update_index(row, loaded)
        self.update_state(row)

    def note_service_alive(self, name: EndpointName, now_s: float) -> None:
        """Record that a plain service responded to its health check."""
        self.note_report(name, EndpointReport(boot_id=BootId("")), now_s, now_s)

    def note_report_failure(self, name: EndpointName) -> None:
        """Count a missing report; several in a row mark the endpoint as lost."""
        row = self.rows.get(name)
        if row is None:
            return
        row.report_failures += 1
        self.update_state(row)

    def note_departures(
        self, leaving_vms: frozenset[str], drained: frozenset[str]
    ) -> None:
        """Record the leaving VMs, and the endpoints and VMs that operators drain."""
        for row in self.rows.values():
            row.is_vm_leaving = row.spec.vm in leaving_vms
            row.is_drained = row.name in drained or row.spec.vm in drained
            self.update_state(row)

    def update_state(self, row: Endpoint) -> None:
        """Derive the state; one source that reports leaving is enough for LEAVING."""
        says_leaving = row.report is not None and row.report.leaving
        if row.report_failures >= REPORT_FAILURES_UNTIL_LOST:
            row.state = EndpointState.LOST
        elif says_leaving or row.is_vm_leaving or row.is_drained:
            row.state = EndpointState.LEAVING
        elif row.report is not None:
            row.state = EndpointState.LIVE

    def note_failure(self, name: EndpointName, now_s: float) -> None:
        """Exclude an endpoint for a while after a failed exchange."""
        row = self.rows.get(name)
        if row is None:
            return
        row.failures = min(row.failures + 1, 8)
        pause_s = min(MAX_EXCLUSION_S, FIRST_EXCLUSION_S * 2 ** (row.failures - 1))
        row.excluded_until_s = now_s + pause_s

    def note_success(self, name: EndpointName) -> None:
        """Shorten the next exclusion of an endpoint by one step."""
        row = self.rows.get(name)
        if row is not None and row.failures:
            row.failures -= 1

    def holders(self, artifacts: tuple[Artifact, ...]) -> list[Endpoint]:
        """Return the endpoints that have loaded all of these artifacts."""
        if not artifacts:
            return []
        names = set.intersection(*(self._holders.get(a, set()) for a in artifacts))
        return [self.rows[name] for name in sorted(names)]

    def engines(self) -> list[Endpoint]:
        """Return the endpoints that are engines."""
        return [r for r in self.rows.values() if r.spec.kind is EndpointKind.ENGINE]

    def _update_index(self, row: Endpoint, loaded: frozenset[Artifact]) -> None:
        for artifact in row.loaded - loaded:
            self._holders[artifact].discard(row.name)
        for artifact in loaded - row.loaded:
            self._holders[artifact].add(row.name)
        row.loaded = loaded
