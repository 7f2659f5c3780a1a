"""Endpoints of all services, with their load and state as seen by this daemon."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from ..coldstart.model import ColdStatus
from ..ids import (
    AdapterName,
    DaemonId,
    EndpointId,
    FailureDomainName,
    Incarnation,
    ModelName,
    ModelRef,
    ServiceName,
    SoftwareVersion,
    incarnation_of,
    model_ref,
)
from ..learning.endpoint_processes import EndpointProcessCache
from ..learning.peer_loads import PeerLoads
from ..limits.messages import EndpointLimit
from ..limits.model import LimitState
from ..origins.versions import VersionHistory
from .messages import EndpointLoad

if TYPE_CHECKING:
    from ..presence.check import Presence

NO_ADAPTER = AdapterName("")
UNKNOWN_SEQUENCE = -1
"""Order sequence before the first report of an endpoint has been read."""
PLACER_TIMEOUT_S = 3.0
"""How long a placer's messages take precedence over registrations.

Registrations are up to 2 s old; a placer sends a message every 0.4 s.
"""


class EndpointState(Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class RegistrationResult(Enum):
    """Effect of a registration on the endpoint table."""

    SAME = "same"
    CHANGED = "changed"
    """The endpoint is new, or its registration changes whether it may get requests."""
    RESTARTED = "restarted"
    """It is from a new process, which has none of the previous state."""
    OUTDATED = "outdated"
    """It is from an ended process, or predates the process's drain notice."""


class EndpointRecord(msgspec.Struct, frozen=True):
    """Registration of an endpoint.

    ``models`` maps each resident model to its adapters, as of some seconds ago;
    ``born_ms`` is the Unix time at which the process started, 0 if unknown: an
    endpoint may restart under the same id, without its previous state, and with another
    ``software_version``, which is None until the registration of the process is read.
    ``cold_left_s`` is how long the process will still be cold, 0 if it is warm.
    """

    id: EndpointId
    service: ServiceName
    address: str
    failure_domain: FailureDomainName
    state: EndpointState
    slots: int
    models: dict[ModelName, frozenset[AdapterName]]
    born_ms: int = 0
    software_version: SoftwareVersion | None = None
    cold_left_s: float = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """Identifier of this process of the endpoint."""
        return incarnation_of(self.id, self.born_ms)


class Endpoint:
    """An endpoint: its record and the state observed by this daemon.

    Parameters
    ----------
    record : EndpointRecord
        Registration of the endpoint.
    """

    def __init__(self, record: EndpointRecord) -> None:
        self.record = record
        self.models = dict(record.models)
        self.sequence = UNKNOWN_SEQUENCE
        self.last_sent_s = float("-inf")
        self.heard_s = float("-inf")
        """When this daemon last received a part of a response from it."""
        self.asked_s = float("-inf")
        self.is_being_asked = False
        self.presence: Presence | None = None
        """Result of the last call that asked whether it responds, at `presence_s`."""
        self.presence_s = float("-inf")
        self.requests = 0
        self.reading_s = 0.0
        self.by_ref: Counter[ModelRef] = Counter()
        self.other_requests = 0
        self.other_reading_s = 0.0
        self.other_by_ref: Counter[ModelRef] = Counter()
        self.closing: frozenset[ModelName] = frozenset()
        """Models that this daemon, as the placer, is unloading there."""
        self.lapsed_until_s: float | None = None
        """When it is removed unless it registers again; None while registered."""
        self.limit = LimitState()
        self.cold = ColdStatus()
        self.paused_until_s = float("-inf")
        """End of the pause that it requested from this daemon."""
        self.max_rejections_per_s: float | None = None
        """How many rejections for want of room it survives, if it states that."""
        self.unconfirmed_until_s = float("-inf")
        """End of the period in which its row may be left over from an ended process."""
        self.is_leaving = False
        """Whether it announced its shutdown, in a response or in a registration."""

    @property
    def is_ready(self) -> bool:
        """Whether it accepts new requests, according to its own announcements."""
        return self.record.state is EndpointState.READY and not self.is_leaving

    def is_usable(self, now_s: float) -> bool:
        """Return whether new requests may be sent to it."""
        if self.lapsed_until_s is not None and now_s >= self.lapsed_until_s:
            return False
        return self.is_ready and now_s >= self.unconfirmed_until_s

    def is_paused(self, now_s: float) -> bool:
        """Return whether it has asked this daemon to pause requests."""
        return now_s < self.paused_until_s

    @property
    def has_free_slot(self) -> bool:
        """Whether a request would run at once, as far as this daemon knows."""
        return self.total_requests < self.record.slots

    @property
    def is_full(self) -> bool:
        """Whether another request might have to be rejected, which may crash it."""
        is_brittle = self.max_rejections_per_s is not None
        return is_brittle and self.total_requests >= self.record.slots

    def accepts_from_s(self, now_s: float) -> float | None:
        """Return when it accepts requests again, None if it is unrestricted."""
        if self.limit.is_limited:
            return max(self.limit.next_send_s, self.paused_until_s)
        if self.cold.next_request_s > now_s:
            return max(self.cold.likely_s, self.paused_until_s)
        if self.is_paused(now_s):
            return self.paused_until_s
        return now_s if self.is_full else None

    @property
    def total_requests(self) -> int:
        """Requests in flight from all daemons."""
        return self.requests + self.other_requests

    def running(self, model: ModelName) -> int:
        """Return the number of requests in flight for a model and its adapters."""
        prefix = f"{model}/"
        return sum(
            count
            for counts in (self.by_ref, self.other_by_ref)
            for ref, count in counts.items()
            if ref == model or ref.startswith(prefix)
        )

    def running_adapter(self, model: ModelName, adapter: AdapterName) -> int:
        """Return the number of requests in flight for an adapter."""
        ref = model_ref(model, adapter)
        return self.by_ref[ref] + self.other_by_ref[ref]

    def holds(self, model: ModelName, adapter: AdapterName = NO_ADAPTER) -> bool:
        """Return whether a model and adapter can be requested here."""
        adapters = self.models.get(model)
        if adapters is None or model in self.closing:
            return False
        return not adapter or adapter in adapters

    def update_models(
        self,
        sequence: int,
        models: dict[ModelName, frozenset[AdapterName]],
    ) -> None:
        """Set the resident models as of an order sequence, unless that is outdated."""
        if sequence >= self.sequence:
            self.sequence = sequence
            self.models = models

    def update_record(self, record: EndpointRecord, has_placer: bool) -> None:
        """Apply a registration; models announced by a placer are newer."""
        self.record = record
        self.lapsed_until_s = None
        if not has_placer or self.sequence == UNKNOWN_SEQUENCE:
            self.models = dict(record.models)


def _is_older_state(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Return whether a record predates the draining state of the same process."""
    is_leaving = known.state is EndpointState.DRAINING
    return is_leaving and record.state is EndpointState.READY


class EndpointTable:
    """Endpoints by id and by service."""

    def __init__(self) -> None:
        self.rows: dict[EndpointId, Endpoint] = {}
        self._others = PeerLoads()
        self._leaving = EndpointProcessCache()
        self._removed = EndpointProcessCache()
        self.versions = VersionHistory()
        """Software versions that the endpoints run, by service."""
        self.last_placer_message_s = float("-inf")
        self.placer_known_as_of_s = float("-inf")
        """Time as of which the placer's messages show the processes of endpoints.

        A daemon that stood still handles messages that were sent long before.
        """
        self.unread_named_s = float("-inf")
        """When the placer last named an endpoint whose registration was never read."""
        self.on_restarted: Callable[[EndpointRecord, EndpointRecord], None] = (
            lambda before, record: None
        )
        """Called with the records of the previous and the new process."""
        self.on_leaving: Callable[[EndpointRecord], None] = lambda record: None
        """Called when a process has announced its shutdown."""

    def of_service(self, service: ServiceName, now_s: float) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        return [
            row
            for row in self.rows.values()
            if row.record.service == service and row.is_usable(now_s)
        ]

    def put(self, record: EndpointRecord, now_s: float) -> RegistrationResult:
        """Apply a registration and return its effect."""
        row = self.rows.get(record.id)
        if row is None:
            row = self.rows[record.id] = Endpoint(record)
            self.versions.add(record.service, record.software_version)
            # Its row may have been missing during a store outage.
            row.is_leaving = self._leaving.has(record.id, record.born_ms)
            self._record_draining(row)
            return RegistrationResult.CHANGED
        if record.born_ms > row.record.born_ms:
            self._record_draining(self._restart(row, record))
            return RegistrationResult.RESTARTED
        if record.born_ms < row.record.born_ms:
            # Other daemons may have sent requests to the ended process.
            if record.software_version is not None:
                self.versions.note_used(record.service, record.software_version)
            return RegistrationResult.OUTDATED
        if _is_older_state(row.record, record):
            return RegistrationResult.OUTDATED
        is_changed = row.record.state is not record.state
        self._replace_version(row.record, record)
        row.update_record(record, now_s - self.last_placer_message_s < PLACER_TIMEOUT_S)
        self._record_draining(row)
        return RegistrationResult.CHANGED if is_changed else RegistrationResult.SAME

    def put_restored(
        self, record: EndpointRecord, now_s: float, lapse_s: float
    ) -> RegistrationResult:
        """Apply a registration from a store that was restored from a backup.

        The process of an endpoint that had been removed before may have ended. Such an
        endpoint is not used for ``lapse_s``, the time after which a registration
        without heartbeats lapses.
        """
        is_known = record.id in self.rows
        result = self.put(record, now_s)
        if not is_known and self._removed.has(record.id, record.born_ms):
            self.rows[record.id].unconfirmed_until_s = now_s + lapse_s
        return result

    def _record_draining(self, row: Endpoint) -> None:
        if row.record.state is EndpointState.DRAINING:
            row.is_leaving = True
            self._leaving.note(row.record.id, row.record.born_ms)

    def update_models(
        self,
        endpoint: EndpointId,
        born_ms: int,
        sequence: int,
        models: dict[ModelName, frozenset[AdapterName]],
    ) -> None:
        """Set the resident models of an endpoint process as of an order sequence.

        The sender may learn of a restart before the registration shows it.
        """
        row = self.rows.get(endpoint)
        if row is None or born_ms < row.record.born_ms:
            return
        if born_ms > row.record.born_ms:
            record = msgspec.structs.replace(
                row.record, born_ms=born_ms, models={}, software_version=None
            )
            row = self._restart(row, record)
        row.update_models(sequence, models)

    def note_named(self, endpoint: EndpointId, born_ms: int, now_s: float) -> None:
        """Record that the placer has named an endpoint process."""
        if endpoint not in self.rows and not self._removed.has(endpoint, born_ms):
            self.unread_named_s = now_s

    def note_placer(self, sent_s: float) -> None:
        """Record a message of the placer with the time at which it was sent."""
        self.placer_known_as_of_s = max(self.placer_known_as_of_s, sent_s)

    def note_leaving(self, endpoint: EndpointId, born_ms: int) -> bool:
        """Record that a process is shutting down; return whether that is new.

        Registrations of the same process don't revert this: if an endpoint shuts down
        during a store outage, its row says ``ready`` until the store is back.
        """
        row = self.rows.get(endpoint)
        if row is None or row.is_leaving or born_ms != row.record.born_ms:
            return False
        row.is_leaving = True
        self._leaving.note(endpoint, born_ms)
        self.on_leaving(row.record)
        return True

    def update_limit(self, limit: EndpointLimit, now_s: float) -> None:
        """Apply the limit of an endpoint that another daemon has received."""
        row = self.rows.get(limit.endpoint)
        if row is None or limit.born_ms != row.record.born_ms:
            return
        if limit.limit_per_s is None:
            row.limit.lift()
        else:
            row.limit.note(limit.limit_per_s, now_s)

    def _restart(self, before: Endpoint, record: EndpointRecord) -> Endpoint:
        """Replace the state of an endpoint after its process restarted."""
        row = self.rows[record.id] = Endpoint(record)
        self._replace_version(before.record, record)
        self._leaving.forget(record.id)
        self.on_restarted(before.record, record)
        return row

    def _replace_version(self, before: EndpointRecord, record: EndpointRecord) -> None:
        key = (record.service, record.software_version)
        if key == (before.service, before.software_version):
            return
        # Added first: the version of a process may only now become known.
        self.versions.add(record.service, record.software_version)
        self.versions.remove(before.service, before.software_version)

    def is_registered(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint is registered and not shutting down.

        This is also true if its process has been replaced by another one since.
        """
        row = self.rows.get(record.id)
        if row is None or row.lapsed_until_s is not None:
            return False
        return row.is_ready

    def is_replaced(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint's process has been replaced by a newer one."""
        row = self.rows.get(record.id)
        return row is not None and row.record.born_ms > record.born_ms

    def remove(self, endpoint: EndpointId) -> Endpoint | None:
        """Remove an endpoint and return its row, if it existed."""
        row = self.rows.pop(endpoint, None)
        if row is not None:
            self._removed.note(endpoint, row.record.born_ms)
            self.versions.remove(row.record.service, row.record.software_version)
        return row

    def lapse(self, endpoint: EndpointId, until_s: float) -> None:
        """Keep an endpoint that vanished during a store outage until ``until_s``."""
        row = self.rows.get(endpoint)
        if row is not None and row.lapsed_until_s is None:
            row.lapsed_until_s = until_s

    def expire(self, now_s: float) -> list[Endpoint]:
        """Remove and return the endpoints that did not register again in time."""
        ended = [
            row
            for row in self.rows.values()
            if row.lapsed_until_s is not None and now_s >= row.lapsed_until_s
        ]
        for row in ended:
            self.remove(row.record.id)
        return ended

    def set_other_load(
        self, daemon: DaemonId, loads: list[EndpointLoad], now_s: float
    ) -> None:
        """Replace the load of another daemon."""
        self._others.set_loads(daemon, loads, now_s)
        self._sum_others()

    def forget_silent(self, now_s: float) -> None:
        """Discard the load of daemons that no longer send reports."""
        if self._others.forget_silent(now_s):
            self._sum_others()

    def add_sent(self, daemon: DaemonId, load: EndpointLoad) -> None:
        """Add a request that another daemon sent since its last load report."""
        self._others.add_sent(daemon, load)
        self._add_other(load)

    def _sum_others(self) -> None:
        for row in self.rows.values():
            row.other_requests = 0
            row.other_reading_s = 0.0
            row.other_by_ref.clear()
        for load in self._others.loads():
            self._add_other(load)

    def _add_other(self, load: EndpointLoad) -> None:
        row = self.rows.get(load.endpoint)
        if row is not None:
            row.other_requests += load.requests
            row.other_reading_s += load.reading_s
            row.other_by_ref.update(load.by_ref)
