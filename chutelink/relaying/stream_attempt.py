"""One attempt to stream from an endpoint."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import aiohttp

from ..entry.config import Route
from ..entry.endpoints import Endpoint
from ..entry.headers import AnswerKind
from ..exceptions import CallerGone, ConnectionBroken, EndpointFailed
from ..responses import EVENTS_PER_ITERATION, READ_BYTES, async_read_body
from .caller_stream import CallerStream
from .exchange import Exchange
from .relay import AttemptResult
from .response_end import (
    FIRST_NON_SUCCESS_STATUS,
    EndProof,
    Framing,
    framing_of,
    is_framed,
)
from .sse import EventSplitter, StreamEvent
from .upstream import BufferedResponse, forwarded_headers

if TYPE_CHECKING:
    from .stream import StreamRelay

MIN_FIRST_EVENT_TIMEOUT_S = 1.5
DEFAULT_STALL_TIMEOUT_S = 1.5
"""Time without an event after which another endpoint is tried.

Used where it is unknown how long callers wait for the next event.
"""
STALL_TIMEOUT_SHARE = 0.75
"""Stall timeout as a share of the time that callers wait for the next event.

A less urgent stream may be silent for seconds while others are served first. With a
fixed timeout of 1.5 s, a stream whose caller would have waited for 20 s never finished.
"""
MIN_RESUME_S = 0.2
"""With less time left, resuming a stream at an endpoint is of no use."""
TIME_LIMIT_MARGIN_S = 0.005
"""How much sooner an endpoint may reach its time limit, which is sent in whole ms."""
SOUND_EVENTS = 3
"""Events after which a prompt does not crash endpoints that begin to answer on it."""
MIN_LEARNED_TOKENS = 1000
"""Shorter prompts take too little time to measure an endpoint's prefill speed."""


def stall_timeout_s(route: Route) -> float | None:
    """Return the stall timeout; None where a stream may not resume elsewhere."""
    if not route.is_repeatable:
        return None
    return (
        STALL_TIMEOUT_SHARE * route.patience_s
        if route.patience_s
        else DEFAULT_STALL_TIMEOUT_S
    )


class StreamAttempt:
    """One attempt to stream from an endpoint.

    ``answer_timeout_s`` limits the wait for the first event of a check of a stream's
    end; None for other attempts.
    """

    def __init__(
        self,
        stream_relay: StreamRelay,
        exchange: Exchange,
        row: Endpoint,
        caller: CallerStream,
        *,
        answer_timeout_s: float | None = None,
    ) -> None:
        self._answer_timeout_s = answer_timeout_s
        self._stream_relay = stream_relay
        self._exchange = exchange
        self._row = row
        self._caller = caller
        self._pending_prefill_s = 0.0
        self._expected_prefill_s = 0.0
        self._longest_pause_s = 0.0
        self._first_event_s: float | None = None
        self._events = 0
        self._has_response = False
        self._silence = stream_relay.relay.silences.make_timeout(
            exchange, row, has_response=lambda: self._has_response
        )

    async def async_run(
        self, sent_s: float
    ) -> tuple[AttemptResult, BufferedResponse | None]:
        """Send the request and forward the response.

        Raises
        ------
        CallerGone
            The caller has left or doesn't read; the endpoint has not failed.
        EndpointFailed
            The response is incomplete, or a timeout ended the call before it was sent.
        """
        stream_relay, exchange, row = self._stream_relay, self._exchange, self._row
        self._start_prefill()
        call = stream_relay.dispatcher.make_call(exchange, row)
        limit_s = max(0.0, exchange.left_s(stream_relay.core.clock()))
        try:
            async with (
                asyncio.timeout(limit_s),
                asyncio.timeout(self._answer_timeout_s) as self._answer_timeout,
                self._silence,
                AsyncExitStack() as stack,
            ):
                with self._silence.awaiting(self._first_event_timeout_s()):
                    response = await stack.enter_async_context(
                        stream_relay.upstream.async_open(row, call)
                    )
                self._has_response = True
                row.heard_s = stream_relay.core.clock()
                return await self._async_handle_response(response, sent_s)
        except TimeoutError as error:
            if self._caller.is_sending:
                self._caller.abort()
                raise CallerGone("did not read in time", step="stream") from error
            if self._answer_timeout.expired() and not self._events:
                return AttemptResult.UNANSWERED, None
            message = "silent" if self._silence.has_expired else "no end in time"
            raise call.make_timeout_error(message, "stream", row.record.id) from error

    async def _async_handle_response(
        self, response: aiohttp.ClientResponse, sent_s: float
    ) -> tuple[AttemptResult, BufferedResponse | None]:
        exchange, row = self._exchange, self._row
        exchange.framing = framing_of(response.headers)
        exchange.end_proof = EndProof.NONE
        self._stream_relay.dispatcher.signals.note(
            exchange, row, response.status, response.headers, sent_s
        )
        kind = self._stream_relay.dispatcher.header_codec.classify(
            response.status, response.headers, exchange.meta.id
        )
        if (
            kind is not AnswerKind.ANSWERED
            or response.status >= FIRST_NON_SUCCESS_STATUS
        ):
            body = await self._async_read_body(response, kind)
            buffered = BufferedResponse(response.status, response.headers, body)
            took_s = self._stream_relay.core.clock() - sent_s
            if kind is AnswerKind.FOREIGN:
                response.close()
            return self._stream_relay.relay.classify_response(
                exchange, row, buffered, took_s
            ), buffered
        await self._async_forward_events(response, sent_s)
        if self._answer_timeout_s is not None and not self._events:
            # A check of the end: the attempt before it has recorded the run.
            return AttemptResult.ANSWERED, None
        self._stream_relay.relay.note_completed_run(exchange)
        self._note_duration()
        limit_s = exchange.route.max_pause_s
        is_paused = 0 < limit_s < self._longest_pause_s
        self._stream_relay.dispatcher.loads.note_stream(
            row.record.id, is_paused=is_paused
        )
        return AttemptResult.ANSWERED, None

    async def _async_read_body(
        self, response: aiohttp.ClientResponse, kind: AnswerKind
    ) -> bytes:
        """Return the body of a response that is no stream; a foreign one has none."""
        if kind is AnswerKind.FOREIGN:
            return b""
        max_bytes = self._stream_relay.upstream.max_answer_bytes
        return await async_read_body(response, max_bytes, self._exchange.lease)

    async def _async_forward_events(
        self, response: aiohttp.ClientResponse, sent_s: float
    ) -> None:
        """Forward complete events until the endpoint ends its response."""
        caller, row = self._caller, self._row
        dispatcher = self._stream_relay.dispatcher
        splitter = EventSplitter()
        headers = forwarded_headers(response.headers)
        limit_s = self._first_event_timeout_s()
        forwarded = 0
        while True:
            if self._exchange.lease is not None:
                await self._exchange.lease.async_resize(splitter.buffered_bytes)
            chunk = await self._async_read_chunk(response, limit_s)
            if not chunk:
                break
            for event in splitter.feed(chunk):
                is_comment = event.is_comment
                if not is_comment:
                    self._answer_timeout.reschedule(None)
                    self._check_event_id(event)
                dispatcher.versions.note_event(self._exchange, row)
                await caller.async_send_headers(response.status, headers)
                await caller.async_send(event)
                if not is_comment:
                    self._note_event(sent_s)
                forwarded += 1
                if forwarded % EVENTS_PER_ITERATION == 0:
                    # A write that doesn't wait lets no other task run.
                    await asyncio.sleep(0)
            limit_s = stall_timeout_s(self._exchange.route)
        if splitter.has_partial_event:
            raise ConnectionBroken(
                "ended within an event", step="stream", peer=row.record.id
            )
        await self._async_verify_end(response)
        await caller.async_send_headers(response.status, headers)

    async def _async_verify_end(self, response: aiohttp.ClientResponse) -> None:
        """Raise if the end of a response can't be the end of the stream.

        A stream that is resumed after its last event has no further ones; any other
        stream has at least one.
        """
        has_all_tokens = self._exchange.has_all_tokens
        left_s = self._exchange.left_s(self._stream_relay.core.clock())
        is_cut_by_limit = left_s <= TIME_LIMIT_MARGIN_S and not has_all_tokens
        if is_cut_by_limit and framing_of(response.headers) is not Framing.LENGTH:
            raise EndpointFailed(
                "ended at its time limit", step="stream", peer=self._row.record.id
            )
        is_resumed = bool(self._exchange.resume_after)
        if not self._events and not is_resumed:
            # With framing, the connection and the process are intact.
            broken = EndpointFailed if is_framed(response) else ConnectionBroken
            raise broken(
                "ended before its first event",
                step="stream",
                peer=self._row.record.id,
            )
        try:
            proof = await self._stream_relay.upstream.ends.async_verify(
                self._row, response, is_repeatable=self._exchange.is_repeatable
            )
        except ConnectionBroken:
            raise
        except EndpointFailed:
            if not has_all_tokens:
                raise
            self._exchange.end_proof = EndProof.TOKEN_LIMIT
            return
        if not is_framed(response):
            # The peer that relays a response sends it in chunks, and verifies its end.
            proof = EndProof.SAME_PROCESS
        self._exchange.end_proof = proof

    async def _async_read_chunk(
        self, response: aiohttp.ClientResponse, limit_s: float | None
    ) -> bytes:
        with self._silence.awaiting(limit_s):
            chunk = await response.content.read(READ_BYTES)
        if chunk:
            self._row.heard_s = self._stream_relay.core.clock()
        return chunk

    def _first_event_timeout_s(self) -> float | None:
        """Return the timeout, a share of the time that the caller waits from now on.

        The rest of that time is left to another endpoint.
        """
        exchange = self._exchange
        if exchange.events or not exchange.is_repeatable:
            return stall_timeout_s(exchange.route)
        now_s = self._stream_relay.core.clock()
        left_s = exchange.first_event_deadline_s - now_s
        return max(MIN_FIRST_EVENT_TIMEOUT_S, STALL_TIMEOUT_SHARE * left_s)

    def _check_event_id(self, event: StreamEvent) -> None:
        """Raise if an event does not directly follow the last one forwarded."""
        exchange = self._exchange
        exchange.is_last_event_numbered = event.id is not None
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

    def _start_prefill(self) -> None:
        """Count the prompt as in prefill at the endpoint."""
        dispatcher, exchange, row = (
            self._stream_relay.dispatcher,
            self._exchange,
            self._row,
        )
        now_s = self._stream_relay.core.clock()
        chain = exchange.candidate.chain
        cached = dispatcher.prefixes.cached_parts(row.record.id, chain, now_s)
        cached_tokens = exchange.candidate.chain_tokens[cached - 1] if cached else 0
        tokens = max(0, exchange.meta.prompt_tokens - cached_tokens)
        before_s = row.reading_s + row.other_reading_s
        self._pending_prefill_s = dispatcher.speeds.read_s(exchange.meta.model, tokens)
        row.reading_s += self._pending_prefill_s
        if tokens >= MIN_LEARNED_TOKENS and before_s <= self._pending_prefill_s:
            factor = dispatcher.speeds.endpoint_factor(row.record.id)
            self._expected_prefill_s = factor * (self._pending_prefill_s + before_s)
        dispatcher.note_prompt(exchange, row, self._pending_prefill_s)

    def _note_event(self, sent_s: float) -> None:
        """Record an event and the pause before it; the first one ends prefill."""
        exchange, caller = self._exchange, self._caller
        now_s = self._stream_relay.core.clock()
        if caller.last_event_s is not None:
            pause_s = now_s - caller.last_event_s
            exchange.longest_pause_s = max(exchange.longest_pause_s, pause_s)
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        caller.last_event_s = now_s
        self._events += 1
        exchange.events += 1
        if self._events == SOUND_EVENTS:
            quarantine = self._stream_relay.dispatcher.quarantine
            quarantine.note_sound(exchange.prompt_parts)
        if self._first_event_s is None:
            self._first_event_s = now_s
        if not self._pending_prefill_s:
            return
        self.stop_prefill()
        core = self._stream_relay.core
        if self._exchange.first_event_s is None:
            self._exchange.first_event_s = core.clock() - self._exchange.started_s
        took_s = core.clock() - sent_s
        endpoint = self._row.record.id
        dispatcher = self._stream_relay.dispatcher
        dispatcher.health.note_success(endpoint, core.clock(), took_s)
        dispatcher.speeds.note(
            exchange.meta.model, endpoint, self._expected_prefill_s, took_s
        )

    def _note_duration(self) -> None:
        """Record how long this attempt occupied a batch slot."""
        if self._first_event_s is None:
            return
        took_s = self._stream_relay.core.clock() - self._first_event_s
        self._stream_relay.dispatcher.durations.note(self._exchange.meta.model, took_s)

    def stop_prefill(self) -> None:
        """Stop counting the prompt as in prefill."""
        self._row.reading_s = max(0.0, self._row.reading_s - self._pending_prefill_s)
        self._pending_prefill_s = 0.0
