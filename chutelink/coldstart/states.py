"""The cold states of all endpoints, as known to this daemon."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..core import Application
from ..entry.config import ServiceSpec
from ..entry.endpoints import Endpoint, EndpointTable
from ..ids import EndpointId, FailureDomainName, ServiceName
from .messages import ColdEndpoint
from .model import ColdState


class ColdStates:
    """Applies what registrations, responses and failures say of the cold state.

    The state itself is in the rows of the endpoint table. Services without a limit for
    cold endpoints are never treated as cold.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : EndpointTable
        The endpoints.
    services : callable
        Returns the configured services.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        services: Callable[[], Mapping[ServiceName, ServiceSpec]],
    ) -> None:
        self._core = core
        self._table = table
        self._services = services
        self._not_warm: dict[EndpointId, ColdState] = {}
        """The state last logged of endpoints that are cold or unknown.

        Endpoints that are missing here are warm, which is checked for each request.
        """

    def limited_service(self, service: ServiceName) -> ServiceSpec | None:
        """Return a service if its cold endpoints have a limit, else None."""
        spec = self._services().get(service)
        return spec if spec is not None and spec.has_cold_limit else None

    def state(self, row: Endpoint) -> ColdState:
        """Return the current state of an endpoint."""
        spec = self.limited_service(row.record.service)
        if spec is None:
            return ColdState.WARM
        return row.cold.state_at(self._core.clock(), spec.cold_s)

    def is_cold(self, row: Endpoint) -> bool:
        """Return whether requests to an endpoint need a grant."""
        if row.record.id not in self._not_warm:
            return False
        return self.state(row) is not ColdState.WARM

    def note_config(self) -> None:
        """Handle a new configuration: endpoints may have been read before it."""
        for row in self._table.rows.values():
            self._log_change(row, "configuration")

    def note_registration(self, row: Endpoint, *, is_restored: bool) -> None:
        """Apply the registration of an endpoint that has just been received.

        A row of a store that was restored from a backup may be old: it doesn't show
        that the process is warm.
        """
        left_s = row.record.cold_left_s
        if left_s > 0 or not is_restored:
            row.cold.note_registration(left_s, self._core.clock())
            self._log_change(row, "registration")
        elif not row.cold.is_known:
            self._mark_unknown(row, "restored_row")

    def note_response(
        self, row: Endpoint, left_s: float, sent_s: float, *, is_success: bool
    ) -> bool:
        """Apply what the response to a request sent at ``sent_s`` states.

        An error may be from another endpoint at a reused address, so that only a
        success shows that the process is warm. Returns whether a warm process has
        become cold, which other daemons have to know.
        """
        was_cold = self.is_cold(row)
        if left_s > 0 or is_success:
            row.cold.note_response(left_s, sent_s, self._core.clock())
            self._log_change(row, "response")
        return not was_cold and self.is_cold(row)

    def note_peer(self, cold: ColdEndpoint) -> None:
        """Apply a response that another daemon has got; it can't end a state."""
        row = self._table.rows.get(cold.endpoint)
        if row is not None and row.record.born_ms == cold.born_ms:
            never_s = float("-inf")
            row.cold.note_response(cold.left_s, never_s, self._core.clock())
            self._log_change(row, "peer")

    def note_unreachable(self, endpoint: EndpointId) -> None:
        """Handle a failed connection: the process may have restarted."""
        row = self._table.rows.get(endpoint)
        if row is not None:
            self._mark_unknown(row, "unreachable")

    def note_restarted(self, endpoint: EndpointId) -> None:
        """Handle a new process whose registration may not have been read yet."""
        self._mark_unknown(self._table.rows[endpoint], "restart")

    def mark_unknown(self, failure_domain: FailureDomainName) -> None:
        """Treat the endpoints of a failure domain as cold until their state is read.

        Called when an evacuated failure domain is taken back.
        """
        for row in self._table.rows.values():
            if row.record.failure_domain == failure_domain:
                self._mark_unknown(row, "failure_domain")

    def update(self) -> None:
        """Log the endpoints that have become warm with time, and count the others."""
        if not self._not_warm:
            return
        for endpoint in list(self._not_warm):
            row = self._table.rows.get(endpoint)
            if row is None:
                del self._not_warm[endpoint]
            else:
                self._log_change(row, "time")
        self._core.metrics.endpoints_cold.set({}, len(self._not_warm))

    def _mark_unknown(self, row: Endpoint, source: str) -> None:
        row.cold.mark_unknown(self._core.clock())
        self._log_change(row, source)

    def _log_change(self, row: Endpoint, source: str) -> None:
        endpoint = row.record.id
        before = self._not_warm.get(endpoint, ColdState.WARM)
        state = self.state(row)
        if state is before:
            return
        if state is ColdState.WARM:
            del self._not_warm[endpoint]
        else:
            self._not_warm[endpoint] = state
        self._core.metrics.endpoints_cold.set({}, len(self._not_warm))
        self._core.events.record(
            "endpoint_cold_state",
            endpoint=endpoint,
            born_ms=row.record.born_ms,
            state=state.value,
            before=before.value,
            source=source,
        )
