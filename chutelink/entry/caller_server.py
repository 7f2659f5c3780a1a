"""Assembles the server for callers from its relays and policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..const import TABLE_CONFIG, TABLE_ENDPOINTS
from ..customers.access import CustomerAccess
from ..memory import (
    BODY_MEMORY_SHARE,
    RESPONSE_MEMORY_SHARE,
    MemoryBudget,
    make_memory_budget,
    make_request_memory,
)
from ..reachability.relay_handler import RelayHandler
from ..relaying.exchange_dispatcher import ExchangeDispatcher
from ..relaying.prefix_weighing import make_routing_policy
from ..relaying.relay import Relay
from ..relaying.stream import StreamRelay
from ..relaying.upstream import Upstream
from ..serving.const import FREE_BODY_BYTES
from .headers import HeaderCodec
from .http import CallerServer

if TYPE_CHECKING:
    from .app import EntryApp

MS_PER_S = 1000.0


def make_caller_server(
    app: EntryApp, header_codec: HeaderCodec, upstream: Upstream
) -> CallerServer:
    """Return the server for callers, with relays that use the application's tables."""
    dispatcher = _make_dispatcher(app, header_codec)
    customers = CustomerAccess(
        app.quotas.manager,
        lambda: app.watch.knowledge(TABLE_CONFIG),
        app.settings.entry.config_apply_ms / MS_PER_S,
    )
    dispatcher.on_rerun = lambda exchange: customers.charge_again(exchange.admission)
    relay = Relay(dispatcher, upstream)
    streams = StreamRelay(app, dispatcher, upstream, relay)
    relay_handler = _make_relay_handler(app, header_codec, upstream)
    callers = CallerServer(
        app,
        dispatcher,
        relay,
        streams,
        customers,
        lambda: app.known.routes,
        app.is_ready,
        relay_handler,
    )
    callers.body_memory = make_request_memory(
        app.settings.entry.memory_mb, BODY_MEMORY_SHARE, FREE_BODY_BYTES
    )
    relay_handler.body_memory = callers.body_memory
    return callers


def _make_relay_handler(
    app: EntryApp, header_codec: HeaderCodec, upstream: Upstream
) -> RelayHandler:
    known = app.known
    return RelayHandler(
        app,
        known.endpoints,
        known.health,
        app.partition,
        app.quarantine,
        header_codec,
        upstream,
        app.eligibility,
        app.regions,
    )


def _make_dispatcher(app: EntryApp, header_codec: HeaderCodec) -> ExchangeDispatcher:
    known = app.known
    dispatcher = ExchangeDispatcher(
        app,
        header_codec,
        known.endpoints,
        known.health,
        known.prefixes,
        known.speeds,
        known.durations,
        known.prefill_table,
        app.pending,
        app.loads,
        app.retry_budget,
        make_routing_policy(
            known.health,
            known.prefixes,
            known.speeds,
            known.durations,
            is_weighing=app.settings.entry.prefix_weighing,
        ),
        app.quarantine,
        app.permits,
        app.origins,
        app.eligibility,
        app.cold_grants,
    )
    dispatcher.homes = app.homes
    dispatcher.response_memory = _make_response_memory(app)
    dispatcher.drain.has_other_daemon = app.members.has_other_alive
    dispatcher.on_prompt = app.router.send
    dispatcher.on_path_failure = app.partition.note_failure
    dispatcher.knowledge = lambda: app.watch.knowledge(TABLE_ENDPOINTS)
    dispatcher.refresh_endpoints = lambda as_of_s, limit_s: app.watch.async_refresh(
        TABLE_ENDPOINTS, as_of_s, limit_s
    )
    return dispatcher


def _make_response_memory(app: EntryApp) -> MemoryBudget:
    memory = make_memory_budget(app.settings.entry.memory_mb, RESPONSE_MEMORY_SHARE)
    memory.on_wait = lambda endpoint: app.metrics.response_memory_waits.inc({})
    return memory
