"""Assembles the server for callers from its relays and policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..const import TABLE_CONFIG, TABLE_ENDPOINTS
from ..customers.gate import CustomerGate
from ..relaying.dispatching import Exchanges
from ..relaying.relay import Relay
from ..relaying.routing import LeastLoss
from ..relaying.stream import StreamRelay
from ..relaying.upstream import Upstream
from .dialect import Dialect
from .http import CallerHttp

if TYPE_CHECKING:
    from .app import EntryApp

MS_PER_S = 1000.0


def make_caller_server(
    app: EntryApp, dialect: Dialect, upstream: Upstream
) -> CallerHttp:
    """Return the server for callers, with relays that use the application's tables."""
    exchanges = _make_exchanges(app, dialect)
    customers = CustomerGate(
        app.quotas.keeper,
        lambda: app.watch.knowledge(TABLE_CONFIG),
        app.settings.entry.config_apply_ms / MS_PER_S,
    )
    exchanges.on_second_run = lambda exchange: customers.charge_again(
        exchange.admission
    )
    relay = Relay(exchanges, upstream)
    streams = StreamRelay(app, exchanges, upstream, relay)
    return CallerHttp(
        app,
        exchanges,
        relay,
        streams,
        customers,
        lambda: app.known.routes,
        app.is_ready,
    )


def _make_exchanges(app: EntryApp, dialect: Dialect) -> Exchanges:
    known = app.known
    exchanges = Exchanges(
        app,
        dialect,
        known.endpoints,
        known.health,
        known.prefixes,
        known.speeds,
        known.durations,
        known.reading,
        app.pending,
        app.loads,
        app.retries,
        LeastLoss(known.health, known.prefixes, known.speeds, known.durations),
        app.quarantine,
        app.permits,
    )
    exchanges.on_prompt = app.router.send
    exchanges.knowledge = lambda: app.watch.knowledge(TABLE_ENDPOINTS)
    return exchanges
