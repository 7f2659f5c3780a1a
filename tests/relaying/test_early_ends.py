"""Which ends of an endpoint's response end a stream to its caller as complete."""

from __future__ import annotations

import asyncio
import functools
import itertools
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from enum import Enum
from types import SimpleNamespace
from typing import NamedTuple

import aiohttp
import pytest
from aiohttp import web

from chutelink.reachability.relay_handler import RelayHandler
from chutelink.reachability.ticket import RelayTicket, TicketSigner
from standins.prepared_endpoint import EndpointStandin

from ..raw_server import RESET
from .ending_engine import (
    EVENTS,
    Ending,
    EndingEngine,
    Framing,
    Position,
    events_after,
)
from .relay_harness import RelayHarness, async_relay_harness

CALLER_RESUMES_AFTER = 1
TIME_LIMIT_MS = "400"


class Attempt(Enum):
    """Which attempt at the stream ends."""

    FIRST = "first"
    RESUMED_BY_DAEMON = "resumed_by_daemon"
    """The last one that the route allows."""
    RESUMED_BY_CALLER = "resumed_by_caller"


class Path(Enum):
    """How calls reach the endpoint."""

    DIRECT = "direct"
    RELAYED = "relayed"


class Case(NamedTuple):
    """An end of a response."""

    ending: Ending
    framing: Framing
    position: Position
    attempt: Attempt
    path: Path


class Received(NamedTuple):
    """What the caller received; ``is_complete`` is whether the end was regular."""

    body: bytes
    is_complete: bool


class OnePeer:
    """Relays all calls through one peer; stands for the choice of peers."""

    def __init__(self, core, port: int) -> None:
        self._peer = SimpleNamespace(id="d2", address="127.0.0.1", port=port)
        self._signer = TicketSigner("key", core.boot_id)
        self.is_direct = lambda endpoint: False
        self.note_relayed = self.note_not_relayed = lambda *args: None

    async def async_peers(self, endpoint, failure, homes=None):
        return [self._peer]

    def make_ticket(self, endpoint, peer, method, target, *, is_repeatable, **limits):
        record = endpoint.record
        ticket = RelayTicket(record.id, record.born_ms, is_repeatable)
        return self._signer.encode(ticket, method, target)


@asynccontextmanager
async def async_peer(harness: RelayHarness):
    """Relay the calls of a harness through a peer, and yield the peer's server."""
    quarantine = SimpleNamespace(
        fingerprint=lambda content: "",
        part_fingerprints=lambda parts: (),
        async_note_broken=lambda run: asyncio.sleep(0),
    )
    handler = RelayHandler(
        harness.core,
        harness.state.endpoints,
        harness.state.health,
        SimpleNamespace(is_partitioned=False, note_failure=lambda address: None),
        quarantine,
        SimpleNamespace(decode_request=lambda headers: None),
        harness.upstream,
    )
    peer = web.Server(handler.async_handle)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(peer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    harness.upstream.relays = OnePeer(harness.core, port)
    try:
        yield peer
    finally:
        server.close()


async def async_request(harness: RelayHarness, **headers: str) -> Received:
    """Return what a caller receives as the stream."""
    sent = {"X_Model": "m0", "X_Token_Count": f"10,{EVENTS}"} | headers
    body = b""
    try:
        async with harness.request("/stream/x", **sent) as answer:
            if answer.status != 200:
                return Received(b"", is_complete=False)
            async for part in answer.content.iter_any():
                body += part
    except aiohttp.ClientError:
        return Received(body, is_complete=False)
    return Received(body, is_complete=True)


async def async_play(case: Case) -> Received:
    """Play a case; the next endpoint is registered when one gets its request."""
    async with AsyncExitStack() as stack:
        harness = await stack.enter_async_context(async_relay_harness())
        harness.configure()
        if case.path is Path.RELAYED:
            await stack.enter_async_context(async_peer(harness))
        engine = EndingEngine("i-1", case.ending, case.framing, case.position)
        first = engine
        if case.attempt is Attempt.RESUMED_BY_DAEMON:
            between = Position.BETWEEN_EVENTS
            first = EndingEngine("i-0", Ending.RESET, Framing.CHUNKS, between)
        for each in (engine, first):
            await each.async_start()
            stack.callback(each.close)
            each.on_drain = lambda each: harness.state.apply_row(each.registration())
        other = EndpointStandin("i-2", "llm", {"m0": []}, 0.05)
        await harness.machines.async_add(other, "127.0.0.1")
        engine.on_request = lambda: harness.register(other)
        if first is not engine:
            first.on_request = lambda: harness.state.apply_row(engine.registration())
        harness.state.apply_row(first.registration())
        headers = {}
        if case.attempt is Attempt.RESUMED_BY_CALLER:
            headers["Last_Event_Id"] = str(CALLER_RESUMES_AFTER)
        if case.ending is Ending.TIME_LIMIT:
            headers["X_Deadline_Ms"] = TIME_LIMIT_MS
        return await async_request(harness, **headers)


def is_early(case: Case, received: Received) -> bool:
    """Return whether a stream without all of its events ended as complete."""
    is_resumed = case.attempt is Attempt.RESUMED_BY_CALLER
    whole = events_after(CALLER_RESUMES_AFTER if is_resumed else 0)
    return received.is_complete and received.body != whole


def cases_of(ending: Ending, framing: Framing) -> list[Case]:
    rest = itertools.product(Position, Attempt, Path)
    return [Case(ending, framing, *other) for other in rest]


async def async_play_all(cases: list[Case]) -> list[Case]:
    """Return the cases whose stream ended early as complete."""
    received = await asyncio.gather(*map(async_play, cases))
    return [c for c, r in zip(cases, received, strict=True) if is_early(c, r)]


@pytest.mark.parametrize("framing", Framing, ids=lambda framing: framing.value)
@pytest.mark.parametrize("ending", Ending, ids=lambda ending: ending.value)
def test_stream_is_not_complete_before_its_last_event(ending, framing):
    """Guards against ends of endpoints' responses that count as ends of streams."""
    early = asyncio.run(async_play_all(cases_of(ending, framing)))
    assert early == []


def close_connections(peer: web.Server, *, is_reset: bool) -> None:
    """End the connections of a peer's process."""
    for handler in peer.connections:
        if handler.transport is None:
            continue
        if is_reset:
            sock = handler.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        handler.transport.close()


@asynccontextmanager
async def async_relayed_engine(framing: Framing, position: Position):
    """Yield a harness, its peer and an engine that only the peer reaches."""
    async with async_relay_harness() as harness, async_peer(harness) as peer:
        harness.configure()
        engine = EndingEngine("i-1", Ending.CONNECTION_LOST, framing, position)
        await engine.async_start()
        harness.state.apply_row(engine.registration())
        yield harness, peer, engine
        engine.close()


async def async_play_peer_that_stops(
    framing: Framing, position: Position, *, is_reset: bool
) -> Received:
    async with async_relayed_engine(framing, position) as (harness, peer, engine):
        loop = asyncio.get_running_loop()
        # The engine ends its response 10 ms after it has sent the part.
        stop = functools.partial(close_connections, peer, is_reset=is_reset)
        engine.on_request = lambda: (
            loop.call_later(0.005, stop) if len(engine.requests) == 1 else None
        )
        return await async_request(harness)


async def async_play_peer_that_stops_after_its_check(
    framing: Framing, position: Position, *, is_reset: bool
) -> Received:
    async with async_relayed_engine(framing, position) as (harness, peer, _):
        verify, calls = harness.upstream.ends.async_verify, []

        async def async_verify_and_stop(*args, **options):
            proof = await verify(*args, **options)
            if not calls:
                close_connections(peer, is_reset=is_reset)
            calls.append(proof)
            return proof

        harness.upstream.ends.async_verify = async_verify_and_stop
        return await async_request(harness)


@pytest.mark.parametrize(
    "async_play_peer",
    [async_play_peer_that_stops, async_play_peer_that_stops_after_its_check],
    ids=["within", "after_check"],
)
@pytest.mark.parametrize("is_reset", [False, True], ids=["fin", "rst"])
def test_peer_that_stops_does_not_end_a_stream(async_play_peer, is_reset):
    """Guards against ends of peers that count as ends of the streams they relay."""

    async def async_test():
        cases = list(itertools.product(Framing, Position))
        plays = [async_play_peer(*case, is_reset=is_reset) for case in cases]
        received = await asyncio.gather(*plays)
        whole = events_after(0)
        pairs = zip(cases, received, strict=True)
        assert [c for c, r in pairs if r.is_complete and r.body != whole] == []

    asyncio.run(async_test())


def test_whole_stream_without_a_length_is_complete():
    """Guards against checks of ends that cut whole streams off."""

    async def async_test():
        sound = (Ending.CONNECTION_LOST, Framing.CONNECTION, Position.AFTER_LAST_EVENT)
        cases = [Case(*sound, *rest) for rest in itertools.product(Attempt, Path)]
        received = await asyncio.gather(*map(async_play, cases))
        pairs = zip(cases, received, strict=True)
        assert [c for c, r in pairs if not r.is_complete or is_early(c, r)] == []

    asyncio.run(async_test())
