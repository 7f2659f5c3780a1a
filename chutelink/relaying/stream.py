"""Relay streams event by event, going on at another endpoint where allowed."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from ..core import Application
from ..entry.config import Route
from ..entry.dialect import AnswerKind
from ..entry.endpoints import Endpoint
from ..exceptions import (
    ChutelinkError,
    ConnectionBroken,
    EndpointFailed,
    EndpointUnreachable,
)
from ..gateway.refusals import Refusal
from .caller_stream import CallerStream
from .dispatching import Exchanges
from .events import EventSplitter, StreamEvent
from .exchange import Exchange
from .relay import AttemptResult, Relay, give_up
from .upstream import Upstream, WholeResponse, forwarded_headers

FIRST_EVENT_OBJECTIVES = 2.0
"""How many objectives an endpoint may take to its first event."""
MIN_FIRST_EVENT_S = 1.5
STALL_S = 1.5
"""Silence within a stream after which another endpoint is tried.

Of callers of whom it is not known how long they wait for the next event.
"""
STALL_SHARE = 0.75
"""The same, as a share of the time that callers wait for the next event.

A less urgent stream may be silent for seconds while others are served first. Cut
after 1.5 s each time, one whose caller would have waited for 20 s was never finished.
"""
MIN_RESUME_S = 0.2
"""With less time left no other endpoint would get anything done."""
FIRST_FAILURE = 300
MIN_LEARNED_TOKENS = 1000
"""Prompts that are read long enough to tell how fast an endpoint is."""


class StreamRelay:
    """Relays streams.

    Parameters
    ----------
    core : Application
        The owner.
    exchanges : Exchanges
        Tables and policies.
    upstream : Upstream
        Connections to endpoints.
    relay : Relay
        Counts and judges attempts.
    """

    def __init__(
        self,
        core: Application,
        exchanges: Exchanges,
        upstream: Upstream,
        relay: Relay,
    ) -> None:
        self._core = core
        self._exchanges = exchanges
        self._upstream = upstream
        self._relay = relay

    async def async_relay(
        self, exchange: Exchange, caller: CallerStream
    ) -> WholeResponse | web.StreamResponse:
        """Relay a stream; an answer that is none is returned whole.

        Raises
        ------
        Refusal
            Nothing was sent to the caller.
        """
        exchange.resume_after = exchange.meta.resume_after
        last: WholeResponse | None = None
        while True:
            try:
                row = await self._relay.async_next(exchange, last)
            except Refusal:
                if caller.is_begun:
                    return caller.abort()
                raise
            if row is None:
                return last
            result, answer = await self._async_attempt(exchange, row, caller)
            if result is AttemptResult.ANSWERED:
                if answer is None:
                    return await caller.async_finish()
                if answer.status < 500 or not exchange.is_repeatable:
                    return answer if not caller.is_begun else caller.abort()
                last = None if caller.is_begun else answer
            if not self._may_go_on(exchange):
                return self._end(exchange, caller, last)

    def _may_go_on(self, exchange: Exchange) -> bool:
        if exchange.may_have_run and not exchange.is_repeatable:
            return False
        if exchange.left_s(self._core.clock()) < MIN_RESUME_S:
            return False
        return self._exchanges.may_repeat(exchange)

    def _end(
        self, exchange: Exchange, caller: CallerStream, last: WholeResponse | None
    ) -> WholeResponse | web.StreamResponse:
        if caller.is_begun:
            return caller.abort()
        if last is not None:
            return last
        is_late = exchange.left_s(self._core.clock()) <= 0
        back_s = self._exchanges.retry_after_s(exchange)
        raise give_up(exchange, back_s, is_late=is_late)

    async def _async_attempt(
        self, exchange: Exchange, row: Endpoint, caller: CallerStream
    ) -> tuple[AttemptResult, WholeResponse | None]:
        """Send to one endpoint; no answer with ANSWERED is a finished stream."""
        sent_s = self._core.clock()
        events_before = caller.events
        attempt = _Attempt(self, exchange, row, caller)
        try:
            with self._relay.under_way(exchange, row):
                return await attempt.async_run(sent_s)
        except EndpointUnreachable as error:
            self._relay.note_failure(exchange, row, AttemptResult.UNREACHABLE, error)
            return AttemptResult.UNREACHABLE, None
        except EndpointFailed as error:
            exchange.may_have_run = True
            self._relay.note_failure(exchange, row, AttemptResult.FAILED, error)
            self._note_broken(exchange, row, caller.events - events_before, error)
            await self._relay.async_note_broken(exchange, row, error, sent_s)
            return AttemptResult.FAILED, None
        finally:
            attempt.release()

    def _note_broken(
        self, exchange: Exchange, row: Endpoint, events: int, error: ChutelinkError
    ) -> None:
        self._core.events.record(
            "stream_broken",
            request=exchange.meta.id,
            endpoint=row.record.id,
            events=events,
            resume_after=exchange.resume_after,
            resumable=exchange.is_repeatable,
            error=error.message,
        )


def stall_limit_s(route: Route) -> float | None:
    """Return after what silence a stream goes on elsewhere; None where it may not."""
    if not route.is_repeatable:
        return None
    return STALL_SHARE * route.patience_s if route.patience_s else STALL_S


class _Attempt:
    """One endpoint's part of a stream."""

    def __init__(
        self,
        owner: StreamRelay,
        exchange: Exchange,
        row: Endpoint,
        caller: CallerStream,
    ) -> None:
        self._owner = owner
        self._exchange = exchange
        self._row = row
        self._caller = caller
        self._reading_s = 0.0
        self._read_expected_s = 0.0
        self._longest_pause_s = 0.0
        self._first_event_s: float | None = None

    async def async_run(
        self, sent_s: float
    ) -> tuple[AttemptResult, WholeResponse | None]:
        """Send the request and pass on what comes."""
        owner, exchange, row = self._owner, self._exchange, self._row
        self._claim_reading()
        call = owner._exchanges.make_call(exchange, row)
        limit_s = max(0.0, exchange.left_s(sent_s))
        try:
            async with asyncio.timeout(limit_s):
                async with owner._upstream.async_open(row, call) as response:
                    return await self._async_take(response, sent_s)
        except TimeoutError as error:
            raise EndpointFailed(
                "no end in time", step="stream", peer=row.record.id
            ) from error

    async def _async_take(
        self, response: aiohttp.ClientResponse, sent_s: float
    ) -> tuple[AttemptResult, WholeResponse | None]:
        exchange, row = self._exchange, self._row
        self._owner._exchanges.signals.note(
            exchange, row, response.status, response.headers, sent_s
        )
        kind = self._owner._exchanges.dialect.classify(
            response.status, response.headers, exchange.meta.id
        )
        if kind is not AnswerKind.ANSWERED or response.status >= FIRST_FAILURE:
            body = b"" if kind is AnswerKind.FOREIGN else await response.read()
            answer = WholeResponse(response.status, response.headers, body)
            took_s = self._owner._core.clock() - sent_s
            if kind is AnswerKind.FOREIGN:
                response.close()
            return self._owner._relay.judge(exchange, row, answer, took_s), answer
        await self._async_pass_on(response, sent_s)
        self._owner._relay.note_good_run(exchange)
        self._note_duration()
        limit_s = exchange.route.max_pause_s
        is_paused = 0 < limit_s < self._longest_pause_s
        self._owner._exchanges.loads.note_stream(row.record.id, is_paused=is_paused)
        return AttemptResult.ANSWERED, None

    async def _async_pass_on(
        self, response: aiohttp.ClientResponse, sent_s: float
    ) -> None:
        """Pass whole events on until the endpoint ends its answer."""
        caller, row = self._caller, self._row
        splitter = EventSplitter()
        headers = forwarded_headers(response.headers)
        limit_s = self._first_limit_s()
        while True:
            chunk = await self._async_chunk(response, limit_s)
            if not chunk:
                break
            for event in splitter.feed(chunk):
                self._check_order(event)
                await caller.async_begin(response.status, headers)
                await caller.async_send(event)
                self._note_event(sent_s)
            limit_s = stall_limit_s(self._exchange.route)
        if splitter.has_rest:
            raise ConnectionBroken(
                "ended within an event", step="stream", peer=row.record.id
            )
        await caller.async_begin(response.status, headers)

    async def _async_chunk(
        self, response: aiohttp.ClientResponse, limit_s: float | None
    ) -> bytes:
        try:
            async with asyncio.timeout(limit_s):
                return await response.content.readany()
        except TimeoutError as error:
            raise EndpointFailed(
                "silent within its answer", step="stream", peer=self._row.record.id
            ) from error

    def _first_limit_s(self) -> float | None:
        exchange = self._exchange
        has_more = len(exchange.tried) < exchange.route.max_endpoints
        if not exchange.is_repeatable or not has_more:
            return None
        objective_s = exchange.route.objective_s
        return max(MIN_FIRST_EVENT_S, FIRST_EVENT_OBJECTIVES * objective_s)

    def _check_order(self, event: StreamEvent) -> None:
        """Refuse an event that does not follow the last one that was passed on."""
        exchange = self._exchange
        if event.id is None:
            return
        last = exchange.resume_after
        if last is not None and event.id != last + 1:
            raise EndpointFailed(
                f"event {event.id} after {last}",
                step="stream",
                peer=self._row.record.id,
            )
        exchange.resume_after = event.id

    def _claim_reading(self) -> None:
        """Count the prompt as being read at the endpoint."""
        exchanges, exchange, row = self._owner._exchanges, self._exchange, self._row
        now_s = self._owner._core.clock()
        chain = exchange.candidate.chain
        cached = exchanges.prefixes.cached_parts(row.record.id, chain, now_s)
        kept = exchange.candidate.chain_tokens[cached - 1] if cached else 0
        tokens = max(0, exchange.meta.prompt_tokens - kept)
        before_s = row.reading_s + row.other_reading_s
        self._reading_s = exchanges.speeds.read_s(exchange.meta.model, tokens)
        row.reading_s += self._reading_s
        if tokens >= MIN_LEARNED_TOKENS and before_s <= self._reading_s:
            factor = exchanges.speeds.endpoint_factor(row.record.id)
            self._read_expected_s = factor * (self._reading_s + before_s)
        exchanges.note_prompt(exchange, row, self._reading_s)
        exchanges.prefixes.note(row.record.id, chain, now_s)
        exchanges.loads.note_prompt(row.record.id, chain)

    def _note_event(self, sent_s: float) -> None:
        """Note an event and the pause before it; with the first, a prompt is read."""
        exchange, caller = self._exchange, self._caller
        now_s = self._owner._core.clock()
        if caller.last_event_s is not None:
            pause_s = now_s - caller.last_event_s
            exchange.longest_pause_s = max(exchange.longest_pause_s, pause_s)
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        caller.last_event_s = now_s
        if self._first_event_s is None:
            self._first_event_s = now_s
        if not self._reading_s:
            return
        self.release()
        core = self._owner._core
        if self._exchange.first_event_s is None:
            self._exchange.first_event_s = core.clock() - self._exchange.started_s
        took_s = core.clock() - sent_s
        endpoint = self._row.record.id
        exchanges = self._owner._exchanges
        exchanges.health.note_success(endpoint, core.clock(), took_s)
        exchanges.speeds.note(
            exchange.meta.model, endpoint, self._read_expected_s, took_s
        )

    def _note_duration(self) -> None:
        """Learn how long this part of the stream held a place."""
        if self._first_event_s is None:
            return
        took_s = self._owner._core.clock() - self._first_event_s
        self._owner._exchanges.durations.note(self._exchange.meta.model, took_s)

    def release(self) -> None:
        """Stop counting the prompt as being read."""
        self._row.reading_s = max(0.0, self._row.reading_s - self._reading_s)
        self._reading_s = 0.0
