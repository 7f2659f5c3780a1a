"""The gateway's application object: wiring only."""

from __future__ import annotations

import asyncio

from aiohttp import web
from mode import Service

from ..daemon import Daemon
from ..endpoints.news import TOPIC_LOADED, decode_loaded
from ..exceptions import PeerMessageInvalid
from ..peers.messages import Broadcast
from ..settings import GatewaySettings
from ..tables.members import Role
from .claims import ClaimKeeper
from .http import GatewayHttp
from .parts import GatewayParts

DRAIN_POLL_S = 0.05
QUEUE_NEWS_INTERVAL_S = 1.0


class GatewayApp(Daemon):
    """Answers callers."""

    role = Role.GATEWAY

    def __init__(self, settings: GatewaySettings) -> None:
        super().__init__("chutelink-gateway", settings)
        self.parts: GatewayParts | None = None
        self.http: GatewayHttp | None = None

    @property
    def max_body_bytes(self) -> int:
        """The largest request body taken."""
        return self.settings.gateway.max_body_bytes

    async def async_setup_role(self) -> None:
        """Create the parts that serve callers."""
        settings = self.settings
        claims = ClaimKeeper(
            self,
            self.platform.table,
            settings.gateway.claim_flush_s,
            settings.gateway.claim_wait_s,
            self.members.is_gone,
        )
        self.parts = GatewayParts(
            self, settings, self.client, claims, self.endpoints, self.members
        )
        self.http = GatewayHttp(self.parts, self.keeper)
        self.monitor.on_change = self.parts.dispatcher.tick
        self.parts.dispatcher.async_refresh = self.monitor.async_refresh
        self.mesh.on_members_changed = self._share_limits
        self.mesh.on_broadcast = self._take_broadcast
        await self.add_runtime_dependency(claims)

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for callers and for operators."""
        super().add_routes(app)
        self.http.add_routes(app)

    def is_ready(self) -> bool:
        """Return whether the fleet is known and each endpoint was asked once."""
        rows = self.endpoints.rows.values()
        is_asked = all(row.report is not None or row.report_failures for row in rows)
        return super().is_ready() and is_asked

    def on_fleet(self) -> None:
        """Take callers and policies of the fleet in force."""
        fleet = self.keeper.fleet
        self.parts.sync_keys(fleet)
        self.parts.dispatcher.sync(fleet)
        self._share_limits()

    def _take_broadcast(self, broadcast: Broadcast) -> None:
        """Read the report of an endpoint that has loaded something."""
        if broadcast.topic != TOPIC_LOADED:
            return
        try:
            news = decode_loaded(broadcast.body, broadcast.origin)
        except PeerMessageInvalid as error:
            self.events.warning("news_invalid", error=error)
            return
        self.monitor.request_report(news.endpoint)

    def _share_limits(self) -> None:
        fleet = self.keeper.fleet
        if fleet is None:
            return
        live = len(self.members.live(Role.GATEWAY))
        gateways = min(live, self.settings.gateway.subset)
        self.parts.callers.sync(fleet, gateways, self.clock())
        self._share_use()

    def _share_use(self) -> None:
        queues = self.mesh.queues
        others_per_s = queues.callers_of_others(self.daemon_id, self.clock())
        self.parts.callers.share(others_per_s)

    @Service.task
    async def _async_publish_queue(self) -> None:
        """Tell the others what waits here and who uses it, if there is anything."""
        was_published = False
        while not self.should_stop:
            await self.sleep(QUEUE_NEWS_INTERVAL_S)
            waiting = self.parts.dispatcher.waiting_by_model()
            callers_per_s = self.parts.callers.take_usage(QUEUE_NEWS_INTERVAL_S)
            has_news = bool(waiting or callers_per_s)
            if has_news or was_published:
                self.mesh.publish_queue(waiting, callers_per_s)
            was_published = has_news
            self._share_use()

    async def async_drain(self) -> None:
        """Leave: out of the answers at once, out of service when nobody calls.

        Callers may keep an address for ``valid_s``, so requests are taken for
        that long and a margin; then no more, and everything in flight is finished.
        """
        self.mesh.announce_leaving()
        daemon = self.settings.daemon
        await asyncio.sleep(self.settings.gateway.valid_s + daemon.drain_margin_s)
        await self.async_close_server()
        while self.parts.running_tasks:
            await asyncio.sleep(DRAIN_POLL_S)
