"""Base class of the daemons, which owns their shared resources."""

from __future__ import annotations

import asyncio
import random
from abc import abstractmethod
from collections.abc import Callable
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp import web
from mode import Service
from opentelemetry.trace import NoOpTracer, Tracer

from . import __version__
from .clock import BoottimeLoop, now_s
from .const import MAX_HEADER_BYTES
from .exceptions import ChutelinkError, SettingsError
from .ids import BootId, DaemonId, make_id
from .log import EventLog, setup_logging
from .metrics import CONTENT_TYPE, Metrics
from .responses import BoundedConnector
from .serving.connection import HeadLimits
from .serving.const import DEFAULT_HEAD_TIMEOUT_S
from .serving.listening import bind_socket
from .serving.pool import PortShares, Standing
from .serving.port import HttpPort, ServingBounds
from .settings import DEFAULT_MEMORY_MB, DaemonSection
from .startup import (
    EXIT_FAILED,
    EXIT_OK,
    RELOAD_SIGNAL,
    STOP_SIGNALS,
    HeldSignals,
    StartupContext,
    prepare_startup,
)

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)
MAX_CONNECTIONS_PER_HOST = 0
"""0 disables aiohttp's limit."""
CLOSE_POLL_S = 0.05


class Application(Service):
    """Base class of the daemons.

    Owns the HTTP session and server, the log, the metrics and the tracer. Starts its
    services in order and stops them in reverse order.

    Parameters
    ----------
    program : str
        Name of the program in logs and traces.
    daemon : DaemonSection
        Identity and addresses of this process.
    """

    abstract = True

    def __init__(self, program: str, daemon: DaemonSection) -> None:
        super().__init__()
        self.program = program
        self.daemon = daemon
        self.daemon_id = DaemonId(daemon.id)
        self.boot_id = BootId(make_id())
        self.clock: Callable[[], float] = now_s
        self.rng = random.Random()
        self.events = EventLog(program)
        self.metrics = Metrics()
        self.tracer: Tracer = NoOpTracer()
        self.is_draining = False
        self.drain_requested = asyncio.Event()
        self.drain_requested_s = float("inf")
        self.session: aiohttp.ClientSession | None = None
        self.serving: ServingBounds | None = None
        self._runner: web.AppRunner | None = None
        self._port: HttpPort | None = None

    async def on_start(self) -> None:
        """Open the HTTP session, start the services, then listen."""
        connector = BoundedConnector(limit=0, limit_per_host=MAX_CONNECTIONS_PER_HOST)
        no_limit = aiohttp.ClientTimeout(total=None)
        self.session = aiohttp.ClientSession(connector=connector, timeout=no_limit)
        self.serving = self._make_bounds()
        if self.daemon.trace_url:
            await self._async_export_spans()
        await self.async_setup_parts()
        await self._async_listen()
        self.events.info(
            "started", daemon=self.daemon.id, version=__version__, boot=self.boot_id
        )

    async def _async_export_spans(self) -> None:
        """Record spans and export them to the collector."""
        from .trace_export import SpanExporter, SpanQueue, make_tracer

        queue = SpanQueue(self.metrics)
        self.tracer = make_tracer(self.program, self.daemon.id, queue)
        exporter = SpanExporter(queue, self.session, self.daemon.trace_url, self.events)
        await self.add_runtime_dependency(exporter)

    def request_drain(self, requested_s: float | None = None) -> None:
        """Request a graceful stop.

        The grace period starts with the first request, which may arrive while the
        services are still starting, or before (``requested_s``).
        """
        requested_s = self.clock() if requested_s is None else requested_s
        self.drain_requested_s = min(self.drain_requested_s, requested_s)
        self.drain_requested.set()

    async def on_shutdown(self) -> None:
        """Close the server and the session after the services have stopped."""
        if self._port is not None:
            self._port.close()
        if self._runner is not None:
            await self._runner.cleanup()
        if self.session is not None:
            await self.session.close()
        self.events.info("stopped", daemon=self.daemon.id)

    @abstractmethod
    async def async_setup_parts(self) -> None:
        """Create and start the services of this program."""

    @abstractmethod
    def add_routes(self, app: web.Application) -> None:
        """Add the HTTP routes of this program."""

    @abstractmethod
    async def async_drain(self) -> None:
        """Complete the work in progress before the daemon stops."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether this daemon is ready to serve."""

    def apply_settings(self, settings: msgspec.Struct) -> None:
        """Apply reloaded settings; the base class ignores them."""

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request body."""
        return 1_000_000

    @property
    def memory_mb(self) -> float:
        """Memory that the process may take."""
        return DEFAULT_MEMORY_MB

    @property
    def max_descriptors(self) -> int:
        """Descriptors that the process may have, 0 if only the system limits them."""
        return 0

    @property
    def port_share(self) -> float:
        """Share of the descriptors for connections to the port of all programs."""
        return PortShares().operators

    def head_limits(self) -> HeadLimits:
        """Return the limits of requests' heads."""
        return HeadLimits(MAX_HEADER_BYTES, DEFAULT_HEAD_TIMEOUT_S)

    def _make_bounds(self) -> ServingBounds:
        bounds = ServingBounds(
            self.clock, self.memory_mb, self.max_descriptors, lambda: self.head_limits()
        )
        bounds.on_closed = self._note_closed
        bounds.on_refused = self._note_refused
        return bounds

    def _note_closed(self, port: str, standing: Standing) -> None:
        labels = {"port": port, "standing": standing.name.lower()}
        self.metrics.closed_connections.inc(labels)
        self.events.warning("connection_closed_for_room", **labels)

    def _note_refused(self, port: str) -> None:
        self.metrics.refused_connections.inc({"port": port})
        self.events.warning("connection_refused", port=port)

    async def _async_listen(self) -> None:
        app = web.Application(client_max_size=self.max_body_bytes)
        app.router.add_get("/healthz", self._async_health)
        app.router.add_get("/readyz", self._async_ready)
        app.router.add_get("/metrics", self._async_metrics)
        self.add_routes(app)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
        )
        await self._runner.setup()
        self._port = await self.serving.async_open_port(
            self._runner.server,
            self.serving.make_pool("http", self.port_share),
            bind_socket(self.daemon.address, self.daemon.port),
            access_log=None,
        )

    async def async_close_server(self) -> None:
        """Stop accepting connections, and close each as soon as it is idle.

        Clients that don't read their responses would keep the daemon from stopping.
        """
        await self._port.async_stop_accepting()
        while self._port.close_idle():
            self._port.close_slow_readers()
            await asyncio.sleep(CLOSE_POLL_S)

    async def _async_health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok", "daemon": self.daemon.id})

    async def _async_ready(self, request: web.Request) -> web.Response:
        is_ready = self.is_ready() and not self.is_draining
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)

    async def _async_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.metrics.render(), headers={"Content-Type": CONTENT_TYPE}
        )


async def _async_run(
    make_application: Callable[[], Application],
    reload: Callable[[Application], None],
    held: HeldSignals,
) -> int:
    app = make_application()
    loop = asyncio.get_running_loop()

    def handle_signals() -> None:
        for number, arrived_s in held.take():
            if number == RELOAD_SIGNAL:
                reload(app)
            else:
                app.request_drain(arrived_s)

    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        loop.add_signal_handler(number, handle_signals)
    # The event loop is still woken, but doesn't record when a signal arrived.
    held.hold()
    handle_signals()
    try:
        await app.start()
    except (OSError, ChutelinkError) as error:
        app.events.error("start_failed", error=error)
        await app.stop()
        return EXIT_FAILED
    # Also returns when a service crashes.
    await app.wait(app.drain_requested.wait())
    if app.crash_reason is None:
        app.is_draining = True
        app.events.info("draining", daemon=app.daemon.id)
        await app.async_drain()
    await app.stop()
    if app.crash_reason is not None:
        app.events.error("crashed", error=repr(app.crash_reason))
        return EXIT_FAILED
    return EXIT_OK


def run_program(
    program: str,
    description: str,
    kind: type[SettingsT],
    make_application: Callable[[SettingsT], Application],
) -> int:
    """Parse the command line, check the settings and run a daemon.

    Returns
    -------
    int
        0 after a graceful stop, 1 after a failure.

    Raises
    ------
    SystemExit
        With code 2 for invalid settings.
    """
    held = HeldSignals()
    held.hold()
    start = prepare_startup(program, description, kind)
    return run_daemon(start, make_application, held)


def run_daemon(
    start: StartupContext[SettingsT],
    make_application: Callable[[SettingsT], Application],
    held: HeldSignals,
) -> int:
    """Run a daemon until it is asked to stop.

    ``held`` are the signals since the process started.

    Returns
    -------
    int
        0 after a graceful stop, 1 after a failure.
    """

    def reload(app: Application) -> None:
        try:
            app.apply_settings(start.reload_settings())
        except SettingsError as error:
            app.events.error("settings_refused", error=error)
            return
        app.events.info("settings_reloaded", file=start.path)

    setup_logging(start.settings.daemon.log_level)
    with asyncio.Runner(loop_factory=BoottimeLoop) as runner:
        return runner.run(
            _async_run(lambda: make_application(start.settings), reload, held)
        )
