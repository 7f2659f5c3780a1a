"""Gateway application: creates the components and connects them."""

from __future__ import annotations

import asyncio

from aiohttp import web
from mode import Service

from ..daemon import Daemon
from ..endpoints.notifications import TOPIC_LOADED, decode_loaded
from ..exceptions import PeerMessageInvalid
from ..peers.messages import Broadcast
from ..serving.connection import HeadLimits
from ..serving.const import DEFAULT_HEAD_TIMEOUT_S
from ..serving.pool import PortShares
from ..settings import GatewaySettings
from ..steps import async_run_step
from ..tables.members import Role
from .claims import ClaimManager
from .components import GatewayComponents
from .http import GatewayHttp

DRAIN_POLL_S = 0.05
SHUTDOWN_MARGIN_S = 0.8
"""Part of the grace period that is reserved for ending requests and closing."""
END_TIMEOUT_S = 0.4
"""Time in which requests that were ended are answered and their claims are stored."""
QUEUE_PUBLISH_INTERVAL_S = 1.0


class GatewayApp(Daemon):
    """Daemon that serves callers' requests."""

    role = Role.GATEWAY

    def __init__(self, settings: GatewaySettings) -> None:
        super().__init__("chutelink-gateway", settings)
        self.components: GatewayComponents | None = None
        self.http: GatewayHttp | None = None
        self._has_published_queue = False

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request body in bytes."""
        return self.settings.gateway.max_body_bytes

    @property
    def memory_mb(self) -> float:
        """Memory that the process may take."""
        return self.settings.gateway.memory_mb

    @property
    def max_descriptors(self) -> int:
        """Descriptors that the process may have, 0 if only the system limits them."""
        return self.settings.gateway.max_descriptors

    @property
    def port_share(self) -> float:
        """Share of the descriptors for connections of callers and operators."""
        return PortShares().callers

    def head_limits(self) -> HeadLimits:
        """Return the limits of requests' heads."""
        return HeadLimits(
            self.settings.gateway.max_header_bytes, DEFAULT_HEAD_TIMEOUT_S
        )

    async def async_setup_role(self) -> None:
        """Create the components that serve callers."""
        settings = self.settings
        claims = ClaimManager(
            self,
            self.platform.table,
            settings.gateway.claim_flush_s,
            settings.gateway.claim_wait_s,
            self.members.is_gone,
        )
        self.components = GatewayComponents(
            self, settings, self.client, claims, self.endpoints, self.members
        )
        self.http = GatewayHttp(self.components, self.config_manager)
        self.monitor.on_change = self.components.dispatcher.dispatch_waiting
        self.components.dispatcher.async_refresh_reports = self.monitor.async_refresh
        self.mesh.on_members_changed = self._update_rate_limits
        self.mesh.on_broadcast = self._handle_broadcast
        await self.add_runtime_dependency(claims)

    def add_routes(self, app: web.Application) -> None:
        """Register the HTTP routes for callers and operators."""
        super().add_routes(app)
        self.http.add_routes(app)

    def is_ready(self) -> bool:
        """Return whether the fleet is known and each endpoint was polled once."""
        rows = self.endpoints.rows.values()
        is_polled = all(row.report is not None or row.report_failures for row in rows)
        return super().is_ready() and is_polled

    def on_fleet_change(self) -> None:
        """Apply the callers and policies of the active fleet."""
        fleet = self.config_manager.fleet
        self.components.sync_keys(fleet)
        self.components.dispatcher.sync(fleet)
        self._update_rate_limits()

    def _handle_broadcast(self, broadcast: Broadcast) -> None:
        """Request a report from an endpoint that announced a loaded artifact."""
        if broadcast.topic != TOPIC_LOADED:
            return
        try:
            loaded = decode_loaded(broadcast.body, broadcast.origin)
        except PeerMessageInvalid as error:
            self.events.warning("news_invalid", error=error)
            return
        self.monitor.request_report(loaded.endpoint)

    def _update_rate_limits(self) -> None:
        fleet = self.config_manager.fleet
        if fleet is None:
            return
        live_gateways = len(self.members.live(Role.GATEWAY))
        gateways = min(live_gateways, self.settings.gateway.subset)
        self.components.callers.sync(fleet, gateways, self.clock())
        self._update_rate_shares()

    def _update_rate_shares(self) -> None:
        queues = self.mesh.queues
        other_rates_per_s = queues.caller_rates_of_others(self.daemon_id, self.clock())
        self.components.callers.apply_usage_of_others(other_rates_per_s)

    @Service.task
    async def _async_publish_queue(self) -> None:
        """Publish queue lengths and caller rates to peers while either is nonzero.

        One empty update follows the last nonzero one, to clear it at the peers.
        """
        while not self.should_stop:
            await self.sleep(QUEUE_PUBLISH_INTERVAL_S)
            await async_run_step(
                self, self.events, "queue.publish", self._publish_queue
            )

    def _publish_queue(self) -> None:
        waiting = self.components.dispatcher.waiting_by_model()
        callers_per_s = self.components.callers.collect_usage(QUEUE_PUBLISH_INTERVAL_S)
        has_data = bool(waiting or callers_per_s)
        if has_data or self._has_published_queue:
            self.mesh.publish_queue(waiting, callers_per_s)
        self._has_published_queue = has_data
        self._update_rate_shares()

    async def async_drain(self) -> None:
        """Drain the gateway and return once no request is in flight.

        Peers stop listing this gateway at once. Callers may cache an address for
        ``valid_s``, so new requests are accepted for that long plus
        ``drain_margin_s``; then the server stops accepting connections and the
        requests in flight are completed. What is left shortly before the end of the
        grace period is ended with an error response.
        """
        self.mesh.announce_leaving()
        daemon = self.settings.daemon
        accepting_s = self.settings.gateway.valid_s + daemon.drain_margin_s
        if (left_s := self._grace_left_s()) is not None:
            accepting_s = min(accepting_s, left_s)
        await asyncio.sleep(accepting_s)
        try:
            async with asyncio.timeout(self._grace_left_s()):
                await self._async_complete_requests()
        except TimeoutError:
            self.components.ender.end_all()
            await self._async_complete_ended()

    def _grace_left_s(self) -> float | None:
        """Return the time until requests are ended, None if they never are."""
        grace_s = self.settings.gateway.grace_s
        if not grace_s:
            return None
        end_s = self.drain_requested_s + grace_s - SHUTDOWN_MARGIN_S
        return max(0.0, end_s - self.clock())

    async def _async_complete_requests(self) -> None:
        """Close the server, and wait until no request is in flight."""
        await self.async_close_server()
        while self.components.running_tasks:
            await asyncio.sleep(DRAIN_POLL_S)

    async def _async_complete_ended(self) -> None:
        """Wait for the responses to requests that were ended.

        Connections whose callers neither read the response nor send the rest of the
        request would hold up the clean-up of the server for seconds.
        """
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._async_complete_requests()
        except TimeoutError:
            left = self._port.abort_connections()
            self.events.warning("connections_aborted", left=left)
