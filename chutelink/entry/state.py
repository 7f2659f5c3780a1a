"""State of an entry daemon: routes and endpoints from the store, and statistics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..coldstart.states import ColdStates
from ..const import KEY_ROUTING_CONFIG, TABLE_ENDPOINTS
from ..core import Application
from ..exceptions import ConfigInvalid, EndpointFailed
from ..ids import EndpointId, ServiceName
from ..learning.durations import DurationTable
from ..learning.health import HealthTable
from ..learning.held_prefixes import HeldPrefixTable
from ..learning.prefill import PrefillTable
from ..learning.prefixes import PrefixTable
from ..learning.speeds import SpeedTable
from ..quarantine.service import Quarantine
from ..watching.table_state import RowChange
from .adapter import PlatformAdapter
from .config import RouteTable, ServiceSpec
from .endpoints import (
    Endpoint,
    EndpointRecord,
    EndpointState,
    EndpointTable,
    RegistrationResult,
)

PREFIX_ENDPOINTS = f"{TABLE_ENDPOINTS}/"
DEFAULT_LAPSE_S = 4.0
"""Three heartbeats of one second, plus one for the delay of the last write."""


class EntryState:
    """Decodes rows of the store and applies them to the routes and endpoints.

    Parameters
    ----------
    core : Application
        The owning application.
    adapter : PlatformAdapter
        Decodes rows.
    quarantine : Quarantine
        Notified when endpoint processes restart or their registrations lapse.
    lapse_s : float, default=DEFAULT_LAPSE_S
        How long a registration stays in the store without heartbeats.
    is_weighing_prefixes : bool, default=False
        Whether to estimate what engines hold from the size of their memory.
    """

    def __init__(
        self,
        core: Application,
        adapter: PlatformAdapter,
        quarantine: Quarantine,
        lapse_s: float = DEFAULT_LAPSE_S,
        *,
        is_weighing_prefixes: bool = False,
    ) -> None:
        self._core = core
        self._quarantine = quarantine
        self._lapse_s = lapse_s
        self._adapter = adapter
        self.routes: RouteTable | None = None
        self.endpoints = EndpointTable()
        self.endpoints.on_restarted = self._handle_restart
        self.endpoints.on_leaving = self._handle_leaving
        self.cold = ColdStates(core, self.endpoints, self._services)
        self.health = HealthTable()
        self.health.on_unreachable = self.cold.note_unreachable
        self.prefixes = (
            HeldPrefixTable(self._kv_capacity_tokens)
            if is_weighing_prefixes
            else PrefixTable()
        )
        self.speeds = SpeedTable()
        self.durations = DurationTable()
        self.prefill_table = PrefillTable()
        self._former_services: dict[ServiceName, ServiceSpec] = {}
        self.on_config: Callable[[], None] = lambda: None
        self.on_endpoints: Callable[[], None] = lambda: None

    def find_service(self, name: ServiceName) -> ServiceSpec | None:
        """Return the specification of a service, None if it was never configured.

        Responses of endpoints may outlast the configuration of their service.
        """
        return self._services().get(name) or self._former_services.get(name)

    def _services(self) -> dict[ServiceName, ServiceSpec]:
        return {} if self.routes is None else self.routes.config.services

    def apply_row(self, change: RowChange) -> None:
        """Apply a changed or removed row."""
        if change.key == KEY_ROUTING_CONFIG:
            if change.value is not None:
                self._apply_config(change.value)
        elif change.key.startswith(PREFIX_ENDPOINTS):
            name = change.key[len(PREFIX_ENDPOINTS) :]
            if change.value is None:
                self._handle_removed_row(EndpointId(name), change)
            else:
                self._apply_endpoint(name, change)

    def note_superseded_row(self, change: RowChange) -> None:
        """Keep the software version of an endpoint that came and left between reads.

        Other daemons may have sent requests to it.
        """
        if not change.key.startswith(PREFIX_ENDPOINTS):
            return
        name = change.key[len(PREFIX_ENDPOINTS) :]
        try:
            record = self._adapter.decode_endpoint(name, change.value)
        except EndpointFailed:
            # Endpoints of invalid registrations get no requests.
            return
        version = record.software_version
        if version is None:
            return
        versions = self.endpoints.versions
        if version not in versions.versions(record.service, self._core.clock()):
            self._core.events.record(
                "endpoint_superseded",
                endpoint=record.id,
                service=record.service,
                software_version=version,
                row_version=change.version,
                source=change.source,
            )
        versions.note_used(record.service, version)

    def _apply_config(self, value: Any) -> None:
        try:
            config = self._adapter.decode_config(value)
        except ConfigInvalid as error:
            self._core.events.error("config_refused", error=error)
            return
        in_force = self.routes.config.version if self.routes is not None else None
        if in_force is not None and config.version <= in_force:
            self._core.events.info(
                "config_ignored", version=config.version, in_force=in_force
            )
            return
        self._former_services |= self._services()
        self.routes = RouteTable(config)
        self.cold.note_config()
        self.speeds.set_sizes(
            {
                name: model.weights_mb
                for service in config.services.values()
                if service.engine is not None
                for name, model in service.engine.models.items()
            }
        )
        self._core.metrics.config_version.set({}, config.version)
        self._core.events.info(
            "config_in_force",
            version=config.version,
            before=in_force,
            routes=len(config.routes),
            services=len(config.services),
        )
        self.on_config()

    def _apply_endpoint(self, name: str, change: RowChange) -> None:
        try:
            record = self._adapter.decode_endpoint(name, change.value)
        except EndpointFailed as error:
            self._reject_endpoint(EndpointId(name), error)
            return
        now_s = self._core.clock()
        if change.is_restored:
            result = self.endpoints.put_restored(record, now_s, self._lapse_s)
        else:
            result = self.endpoints.put(record, now_s)
        if result is RegistrationResult.OUTDATED:
            return
        row = self.endpoints.rows[record.id]
        self.cold.note_registration(row, is_restored=change.is_restored)
        if record.state is EndpointState.DRAINING:
            self._quarantine.note_leaving(record.incarnation)
        if result is not RegistrationResult.SAME:
            self._core.events.record(
                "endpoint_seen",
                endpoint=record.id,
                service=record.service,
                address=record.address,
                state=record.state.value,
                software_version=record.software_version,
                models=",".join(record.models),
                row_version=change.version,
                source=change.source,
                age_s=change.age_s,
                last_sent_s=self._since_last_sent_s(record.id),
            )
        self.on_endpoints()

    def _reject_endpoint(self, endpoint: EndpointId, error: EndpointFailed) -> None:
        """Remove the endpoint of an invalid row, so that it gets no more requests."""
        self._core.events.warning("endpoint_refused", endpoint=endpoint, error=error)
        row = self.endpoints.remove(endpoint)
        if row is not None:
            self._forget(row, "refused")

    def _handle_restart(self, before: EndpointRecord, record: EndpointRecord) -> None:
        """Discard statistics of the previous process, except the VM's speed."""
        self._core.events.record(
            "endpoint_restarted",
            endpoint=record.id,
            born_ms=record.born_ms,
            before_ms=before.born_ms,
        )
        self.health.forget(record.id)
        self.prefixes.forget(record.id)
        self.prefill_table.forget(record.id)
        self.cold.note_restarted(record.id)
        self._quarantine.note_restarted(before.incarnation)

    def _handle_leaving(self, record: EndpointRecord) -> None:
        self._quarantine.note_leaving(record.incarnation)
        self.on_endpoints()

    def _since_last_sent_s(self, endpoint: EndpointId) -> float:
        """Return the time since this daemon's last request there, infinite if none."""
        return self._core.clock() - self.endpoints.rows[endpoint].last_sent_s

    def _handle_removed_row(self, endpoint: EndpointId, change: RowChange) -> None:
        row = self.endpoints.rows.get(endpoint)
        if row is None:
            return
        if row.is_ready and self._core.clock() < change.back_until_s:
            self.endpoints.lapse(endpoint, change.back_until_s)
            self._core.events.record(
                "endpoint_lapsed",
                endpoint=endpoint,
                row_version=change.version,
                source=change.source,
                age_s=change.age_s,
            )
            return
        self._core.events.record(
            "endpoint_removed",
            endpoint=endpoint,
            row_version=change.version,
            source=change.source,
            age_s=change.age_s,
            last_sent_s=self._since_last_sent_s(endpoint),
        )
        self.endpoints.remove(endpoint)
        if row.is_ready:
            self._quarantine.note_registration_lapsed(row.record.incarnation)
        self._forget(row, "removed")

    def _kv_capacity_tokens(self, endpoint: EndpointId) -> int | None:
        """Return the memory of an endpoint; 0 if unknown, None if it doesn't exist."""
        row = self.endpoints.rows.get(endpoint)
        if row is None:
            return None
        services = self.routes.config.services if self.routes is not None else {}
        service = services.get(row.record.service)
        if service is None or service.engine is None:
            return 0
        return service.engine.kv_capacity_tokens

    def update_prefixes(self) -> None:
        """Remove from the estimate what unloads and a freeze make obsolete."""
        self.prefixes.note_alive(self._core.clock())
        self.prefixes.forget_unloaded(self.endpoints.rows.values())

    def expire(self) -> None:
        """Remove endpoints that did not register again after an outage."""
        for row in self.endpoints.expire(self._core.clock()):
            self._forget(row, "lapsed")

    def _forget(self, row: Endpoint, reason: str) -> None:
        self.health.forget(row.record.id)
        self.prefixes.forget(row.record.id)
        self.speeds.forget(row.record.id)
        self.prefill_table.forget(row.record.id)
        self._quarantine.forget_endpoint(row.record.id)
        self._core.events.record(
            "endpoint_gone",
            endpoint=row.record.id,
            service=row.record.service,
            reason=reason,
        )
        self.on_endpoints()
