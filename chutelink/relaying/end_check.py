"""Checks the end of a stream by requesting what would come next.

A response without a length or chunks ends with its connection. That its process still
responds doesn't show that the response was complete: the process may have lost that
connection, or be about to exit. A resumed response without an event is unusual in any
framing: few streams break off after their last event.

An end that can't be checked, and isn't proven otherwise, doesn't end the stream: its
caller can resume a stream that was broken off, but not one that it takes for whole.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from ..entry.endpoints import Endpoint
from ..exceptions import EndpointFailed
from ..gateway.refusals import Refusal
from .caller_stream import CallerStream
from .end_history import EndHistory
from .exchange import Exchange
from .relay import AttemptResult
from .response_end import EndProof
from .stream_attempt import MIN_RESUME_S, stall_timeout_s
from .unproven_ends import UnprovenEnds

if TYPE_CHECKING:
    from .stream import StreamRelay

OPTIONAL_TIMEOUT_S = 1.0
"""Limit of the wait for an endpoint, and for checks of ends that count without them.

The caller of a whole stream has all events already.
"""
END_MARGIN_S = 0.1
"""How long before the deadline a resumption must have been answered.

An empty response may otherwise be one that has reached its time limit.
"""


class CheckResult(Enum):
    """Result of a check of the end of a stream."""

    CONFIRMED = "confirmed"
    """A resumption after the last event has brought no event."""
    EARLY = "early"
    """The resumption has brought further events."""
    NO_RETRY = "no_retry"
    """Time, attempts or the budget allow no resumption."""
    UNNUMBERED = "unnumbered"
    """The last event has no id, after which the stream could be resumed."""
    NOT_RESUMABLE = "not_resumable"
    """The request may run only once."""
    UNANSWERED = "unanswered"
    """No endpoint has run the resumption in time."""
    BROKEN = "broken"
    """The resumption has broken off without an event."""


RESULTS_WITHOUT_ANSWER = frozenset(
    {
        CheckResult.NO_RETRY,
        CheckResult.UNNUMBERED,
        CheckResult.NOT_RESUMABLE,
        CheckResult.UNANSWERED,
    }
)
"""Results that say nothing about the end."""


class _EndedResponse(msgspec.Struct, frozen=True):
    """A response whose end is checked.

    ``left_s`` is the time that was left until the deadline when it ended.
    """

    row: Endpoint
    events: int
    proof: EndProof
    left_s: float

    @property
    def is_unframed(self) -> bool:
        """Whether only the end of the connection has ended the response."""
        return self.proof is EndProof.SAME_PROCESS


class EndChecker:
    """Resumes streams whose end is not proven after their last event.

    Parameters
    ----------
    stream_relay : StreamRelay
        Sends the resumptions, and forwards what they bring.
    """

    def __init__(self, stream_relay: StreamRelay) -> None:
        self._stream_relay = stream_relay
        self._core = stream_relay.core
        self._dispatcher = stream_relay.dispatcher
        self._history = EndHistory()
        self._unproven_ends = UnprovenEnds(self._core.clock)

    def start(self, exchange: Exchange) -> None:
        """Find out whether an earlier attempt at a stream has ended without proof."""
        exchange.earlier_end = self._unproven_ends.take(exchange)

    async def async_check(
        self, exchange: Exchange, row: Endpoint, caller: CallerStream, events: int
    ) -> AttemptResult:
        """Return ANSWERED if a stream whose response has ended is complete.

        ``events`` is the number of events of that response. Events that are missing
        are forwarded. Any other result is that of the last attempt at the stream.
        """
        if not events and self._confirms_unproven_end(exchange, row):
            exchange.end_proof = EndProof.RESUMED
            return AttemptResult.ANSWERED
        while self._needs_check(exchange, events):
            # The endpoint has run the request to the end of its response.
            exchange.may_have_run = True
            before, proof = exchange.events, exchange.end_proof
            started_s = self._core.clock()
            ended = _EndedResponse(row, events, proof, exchange.left_s(started_s))
            result, other = await self._async_resume(exchange, ended, caller)
            self._note(exchange, row, result, started_s)
            if exchange.events == before:
                return self._decide(exchange, ended, result)
            self._note_early_end(exchange, ended)
            if result is not CheckResult.EARLY:
                return AttemptResult.FAILED
            row, events = other, exchange.events - before
        if exchange.end_proof is EndProof.FRAMING:
            self._history.note_framed(exchange.service.name, self._core.clock())
        return AttemptResult.ANSWERED

    @staticmethod
    def _needs_check(exchange: Exchange, events: int) -> bool:
        return not events or exchange.end_proof is EndProof.SAME_PROCESS

    async def _async_resume(
        self, exchange: Exchange, ended: _EndedResponse, caller: CallerStream
    ) -> tuple[CheckResult, Endpoint]:
        """Resume a stream after its last event, at the same endpoint if possible."""
        row = ended.row
        if not exchange.is_repeatable:
            return CheckResult.NOT_RESUMABLE, row
        if not exchange.can_resume:
            return CheckResult.UNNUMBERED, row
        if not self._reserve(exchange, ended):
            return CheckResult.NO_RETRY, row
        other = await self._async_acquire(exchange)
        if other is None:
            return CheckResult.UNANSWERED, row
        exchange.is_retry_reserved = False
        # Endpoints that haven't been tried remain bounded by the route's attempts.
        exchange.end_checks += 1
        before = exchange.events
        limit_s = self._answer_timeout_s(exchange, ended)
        try:
            result, response = await self._stream_relay.async_attempt(
                exchange, other, caller, answer_timeout_s=limit_s
            )
        finally:
            if exchange.events > before:
                self._dispatcher.on_rerun(exchange)
        if result in (AttemptResult.FAILED, AttemptResult.UNREACHABLE):
            return CheckResult.BROKEN, other
        if result is not AttemptResult.ANSWERED or response is not None:
            return CheckResult.UNANSWERED, other
        if exchange.events > before:
            return CheckResult.EARLY, other
        if self._is_leaving(other):
            return CheckResult.UNANSWERED, other
        return CheckResult.CONFIRMED, other

    def _confirms_unproven_end(self, exchange: Exchange, row: Endpoint) -> bool:
        """Return whether a resumption without an event follows an unproven end."""
        is_in_time = exchange.left_s(self._core.clock()) >= END_MARGIN_S
        return exchange.is_end_unproven and is_in_time and not self._is_leaving(row)

    def _answer_timeout_s(self, exchange: Exchange, ended: _EndedResponse) -> float:
        left_s = exchange.left_s(self._core.clock()) - END_MARGIN_S
        limit_s = stall_timeout_s(exchange.route)
        if self._proof_without_check(exchange, ended) is not None:
            limit_s = min(limit_s, OPTIONAL_TIMEOUT_S)
        return max(0.0, min(left_s, limit_s))

    def _is_leaving(self, row: Endpoint) -> bool:
        """Return whether an endpoint may be about to exit, and end streams early."""
        table, record = self._dispatcher.table, row.record
        return not table.is_registered(record) or table.is_replaced(record)

    def _reserve(self, exchange: Exchange, ended: _EndedResponse) -> bool:
        """Take a retry from the budget; the same endpoint has the prompt cached.

        Checks leave a part of it for failures, those whose result doesn't decide more.
        """
        if exchange.left_s(self._core.clock()) < MIN_RESUME_S:
            return False
        is_optional = self._proof_without_check(exchange, ended) is not None
        if not self._dispatcher.may_check_end(exchange, is_optional=is_optional):
            return False
        exchange.switch_to = ended.row.record.id
        if self._dispatcher.reserve_retry(exchange):
            return True
        exchange.switch_to = None
        return False

    async def _async_acquire(self, exchange: Exchange) -> Endpoint | None:
        try:
            async with asyncio.timeout(OPTIONAL_TIMEOUT_S):
                return await self._dispatcher.async_acquire(exchange)
        except (Refusal, TimeoutError):
            # The result of the check is logged.
            exchange.switch_to = None
            return None

    def _decide(
        self, exchange: Exchange, ended: _EndedResponse, result: CheckResult
    ) -> AttemptResult:
        """Return the result of a stream of which a check brought no further event."""
        proof: EndProof | None = None
        if result is CheckResult.CONFIRMED:
            proof = EndProof.RESUMED
        elif result in RESULTS_WITHOUT_ANSWER or exchange.has_all_tokens:
            proof = self._proof_without_check(exchange, ended)
        if ended.is_unframed and ended.events:
            self._note_unframed_end(exchange, result)
        exchange.end_proof = EndProof.NONE if proof is None else proof
        if proof is not None:
            return AttemptResult.ANSWERED
        if exchange.can_resume and result is not CheckResult.BROKEN:
            exchange.unproven_after = exchange.resume_after
            self._unproven_ends.note(exchange)
        self._core.events.record(
            "stream_end_unproven",
            request=exchange.meta.id,
            endpoint=ended.row.record.id,
            result=result.value,
            events=exchange.events,
            requested_tokens=exchange.meta.output_tokens,
        )
        return AttemptResult.FAILED

    def _note_unframed_end(self, exchange: Exchange, result: CheckResult) -> None:
        service, is_short = exchange.service.name, not exchange.has_all_tokens
        if result is CheckResult.CONFIRMED and is_short:
            self._history.note_confirmed(service)
        elif result is CheckResult.NOT_RESUMABLE:
            self._history.note_not_resumable(service, is_short=is_short)

    def _proof_without_check(
        self, exchange: Exchange, ended: _EndedResponse
    ) -> EndProof | None:
        """Return what shows that a stream is complete, None if nothing does.

        Neither the framing of a response without an event nor a process that responds
        shows it.
        """
        if exchange.has_all_tokens:
            return EndProof.TOKEN_LIMIT
        if self._is_leaving(ended.row):
            return None
        if self._repeats_earlier_end(exchange, ended):
            return EndProof.RESUMED
        if not ended.events or not ended.is_unframed:
            return None
        is_reliable = self._history.is_reliable(
            exchange.service.name,
            ended.row.record.id,
            self._core.clock(),
            is_resumable=exchange.is_repeatable,
        )
        return EndProof.HISTORY if is_reliable else None

    @staticmethod
    def _repeats_earlier_end(exchange: Exchange, ended: _EndedResponse) -> bool:
        """Return whether a caller's resumption of an unproven end brought no event."""
        if exchange.events or exchange.earlier_end is None:
            return False
        return ended.left_s >= END_MARGIN_S

    def _note_early_end(self, exchange: Exchange, ended: _EndedResponse) -> None:
        """Record that an endpoint has ended a response before the last event."""
        record = ended.row.record
        if ended.is_unframed:
            self._history.note_early(record.id, self._core.clock())
        error = EndpointFailed(
            "ended before the last event", step="response.end", peer=record.id
        )
        self._stream_relay.relay.note_failure(
            exchange, ended.row, AttemptResult.ANSWERED, error
        )

    def _note(
        self, exchange: Exchange, row: Endpoint, result: CheckResult, started_s: float
    ) -> None:
        self._core.metrics.end_checks.inc({"result": result.value})
        self._core.events.record(
            "stream_end_checked",
            request=exchange.meta.id,
            endpoint=row.record.id,
            result=result.value,
            tried=len(exchange.tried),
            resume_after=exchange.resume_after,
            took_s=self._core.clock() - started_s,
        )
