"""Relay requests whose responses are buffered and forwarded complete."""

from __future__ import annotations

from contextlib import contextmanager
from enum import Enum

from ..entry.endpoints import Endpoint
from ..entry.headers import AnswerKind
from ..exceptions import (
    ChutelinkError,
    ConnectionBroken,
    EndpointFailed,
    EndpointIneligible,
    EndpointUnreachable,
    GrantExpired,
    MemoryAwaited,
)
from ..gateway.refusals import Outcome, Refusal, unavailable, unknown_outcome
from ..ids import model_ref
from ..quarantine.model import BrokenRun, Evidence
from ..silence.policy import SilencePolicy
from .exchange import Exchange
from .exchange_dispatcher import ExchangeDispatcher
from .response_end import framing_of
from .upstream import BufferedResponse, EndpointCall, Upstream

FIRST_SERVER_ERROR_STATUS = 500
FIRST_ATTEMPT_TIME_SHARE = 0.45
"""Share of the remaining time after which another attempt may follow."""
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class AttemptResult(Enum):
    """Result of an attempt, for logs and for the decision to retry."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    UNANSWERED = "unanswered"
    """A check of a stream's end brought nothing in time."""


class Relay:
    """Sends a request to endpoints until one answers, within the retry limits.

    Parameters
    ----------
    dispatcher : ExchangeDispatcher
        Endpoint selection and its tables.
    upstream : Upstream
        Connections to endpoints.
    """

    def __init__(self, dispatcher: ExchangeDispatcher, upstream: Upstream) -> None:
        self._dispatcher = dispatcher
        self._upstream = upstream
        self.silences = SilencePolicy(dispatcher, upstream.inquiry)

    async def async_relay_buffered(self, exchange: Exchange) -> BufferedResponse:
        """Return an endpoint's response, unchanged.

        Raises
        ------
        Refusal
            Its outcome is NOT_RUN only if no endpoint ran the request; else UNKNOWN.
        """
        last: BufferedResponse | None = None
        while True:
            row = await self.async_next_endpoint(exchange, last)
            if row is None:
                return last
            result, response = await self._async_attempt(exchange, row)
            if result is AttemptResult.ANSWERED:
                if (
                    response.status < FIRST_SERVER_ERROR_STATUS
                    or not exchange.is_repeatable
                ):
                    return response
                last = response
            if not self._can_retry(exchange, result):
                return self._final_response(exchange, last)

    async def async_next_endpoint(
        self, exchange: Exchange, last: BufferedResponse | None
    ) -> Endpoint | None:
        """Return the next endpoint, or None to forward the last response."""
        try:
            return await self._dispatcher.async_acquire(exchange)
        except Refusal as refusal:
            if last is not None:
                return None
            if exchange.may_have_run:
                raise unknown_outcome(refusal.title) from refusal
            raise

    def _final_response(
        self, exchange: Exchange, last: BufferedResponse | None
    ) -> BufferedResponse:
        """Return the response to forward, or raise the refusal."""
        if last is not None:
            return last
        is_late = exchange.left_s(self._dispatcher.core.clock()) <= 0
        retry_delay_s = self._dispatcher.retry_after_s(exchange)
        raise make_refusal(exchange, retry_delay_s, is_late=is_late)

    def _can_retry(self, exchange: Exchange, result: AttemptResult) -> bool:
        is_retry_safe = exchange.is_repeatable or not exchange.may_have_run
        if not is_retry_safe or exchange.left_s(self._dispatcher.core.clock()) <= 0:
            return False
        return self._dispatcher.take_retry(exchange)

    async def _async_attempt(
        self, exchange: Exchange, row: Endpoint
    ) -> tuple[AttemptResult, BufferedResponse | None]:
        clock = self._dispatcher.core.clock
        sent_s = clock()
        try:
            with self.track_in_flight(exchange, row):
                call = self._dispatcher.make_call(exchange, row)
                response = await self._async_exchange(exchange, row, call)
        except EndpointUnreachable as error:
            self.note_failure(exchange, row, AttemptResult.UNREACHABLE, error)
            return AttemptResult.UNREACHABLE, None
        except GrantExpired as error:
            self.note_not_sent(exchange, row, error)
            return AttemptResult.NOT_RUN, None
        except EndpointFailed as error:
            exchange.may_have_run |= error.is_sent
            exchange.release_memory()
            self.note_failure(exchange, row, AttemptResult.FAILED, error)
            await self.async_note_broken(exchange, row, error, sent_s)
            return AttemptResult.FAILED, None
        row.heard_s = clock()
        exchange.framing = framing_of(response.headers)
        self._dispatcher.signals.note(
            exchange, row, response.status, response.headers, sent_s
        )
        return self.classify_response(
            exchange, row, response, clock() - sent_s
        ), response

    async def _async_exchange(
        self, exchange: Exchange, row: Endpoint, call: EndpointCall
    ) -> BufferedResponse:
        """Send a call; it is ended early only if another endpoint can serve it.

        Raises
        ------
        EndpointFailed
            The call may have run, unless a timeout ended it before it was sent.
        """
        left_s = max(0.0, exchange.left_s(self._dispatcher.core.clock()))
        limit_s = FIRST_ATTEMPT_TIME_SHARE * left_s if exchange.is_repeatable else None
        silence = self.silences.make_timeout(exchange, row)
        try:
            async with silence:
                with silence.awaiting(limit_s):
                    return await self._upstream.async_exchange(row, call, left_s)
        except TimeoutError as error:
            raise call.make_timeout_error(
                "silent", "endpoint.exchange", row.record.id
            ) from error

    def classify_response(
        self,
        exchange: Exchange,
        row: Endpoint,
        response: BufferedResponse,
        took_s: float,
    ) -> AttemptResult:
        """Classify a response and update the endpoint's health."""
        kind = self._dispatcher.header_codec.classify(
            response.status, response.headers, exchange.meta.id
        )
        if kind is AnswerKind.NOT_RUN:
            self.note_not_run(exchange, row, response.status)
            return AttemptResult.NOT_RUN
        exchange.may_have_run = True
        endpoint = row.record.id
        error = EndpointFailed(
            f"status {response.status} {kind.value}", step="answer", peer=endpoint
        )
        if kind is AnswerKind.FOREIGN:
            self.note_failure(exchange, row, AttemptResult.FAILED, error)
            return AttemptResult.FAILED
        if response.status >= FIRST_SERVER_ERROR_STATUS:
            self.note_failure(exchange, row, AttemptResult.ANSWERED, error)
        else:
            now_s = self._dispatcher.core.clock()
            self._dispatcher.health.note_success(endpoint, now_s, took_s)
            self.note_completed_run(exchange)
        return AttemptResult.ANSWERED

    @contextmanager
    def track_in_flight(self, exchange: Exchange, row: Endpoint):
        """Count a request as in flight at an endpoint within the context."""
        exchange.tried.append(row.record.id)
        exchange.switch_to = None
        row.last_sent_s = self._dispatcher.core.clock()
        if row.limit.is_limited:
            self._dispatcher.core.metrics.limited_sends.inc({})
        row.requests += 1
        ref = model_ref(exchange.meta.model, exchange.meta.adapter)
        row.by_ref[ref] += 1
        try:
            yield
        finally:
            row.requests -= 1
            row.by_ref[ref] -= 1

    def note_not_run(self, exchange: Exchange, row: Endpoint, status: int) -> None:
        """Log that an endpoint did not run a request."""
        _return_to_silent(exchange)
        self._dispatcher.core.metrics.retries.inc({"reason": "not_run"})
        self._dispatcher.core.events.record(
            "attempt_not_run",
            request=exchange.meta.id,
            endpoint=row.record.id,
            status=status,
            model=exchange.meta.model,
            adapter=exchange.meta.adapter,
            sequence=row.sequence,
        )

    def note_not_sent(
        self, exchange: Exchange, row: Endpoint, error: GrantExpired
    ) -> None:
        """Log that a request was not sent since its grant had expired."""
        _return_to_silent(exchange)
        self._dispatcher.core.metrics.retries.inc({"reason": "grant_expired"})
        self._dispatcher.core.events.record(
            "attempt_not_sent",
            request=exchange.meta.id,
            endpoint=row.record.id,
            error=error,
        )

    async def async_note_broken(
        self,
        exchange: Exchange,
        row: Endpoint,
        error: EndpointFailed,
        sent_s: float,
    ) -> None:
        """Determine whether a run was interrupted because its endpoint crashed.

        Done before another endpoint is tried: a request that has crashed as many
        endpoints as are allowed is not sent to a further one.
        """
        record = row.record
        if not isinstance(error, ConnectionBroken):
            return
        if not self._dispatcher.table.is_registered(record):
            # It announced that it is leaving, or its registration was removed.
            return
        run = BrokenRun(
            exchange.fingerprint,
            f"{exchange.method} {exchange.host}{exchange.target}",
            record.id,
            record.born_ms,
            record.address,
            sent_s,
            error.is_new_connection,
            exchange.prompt_parts,
        )
        quarantine = self._dispatcher.quarantine
        if self._dispatcher.table.is_replaced(record):
            now_s = self._dispatcher.core.clock()
            quarantine.note_ended(run, Evidence.RESTARTED, now_s)
            return
        await quarantine.async_note_broken(run)

    def note_completed_run(self, exchange: Exchange) -> None:
        """Record that an endpoint ran a request to completion."""
        self._dispatcher.quarantine.note_success(exchange.fingerprint)
        self._dispatcher.quarantine.note_sound(exchange.prompt_parts)
        if exchange.meta.model:
            self._dispatcher.loads.note_served(
                exchange.meta.model,
                exchange.meta.adapter,
                exchange.requirements.home_regions,
            )

    def note_failure(
        self,
        exchange: Exchange,
        row: Endpoint,
        result: AttemptResult,
        error: ChutelinkError,
    ) -> None:
        """Log a failed attempt and update the endpoint's health."""
        if result is AttemptResult.UNREACHABLE:
            _return_to_silent(exchange)
        core = self._dispatcher.core
        health = self._dispatcher.health
        if isinstance(error, EndpointIneligible):
            # Says nothing about the endpoint's health.
            core.metrics.retries.inc({"reason": "ineligible"})
            core.events.record(
                "attempt_ineligible",
                request=exchange.meta.id,
                endpoint=row.record.id,
            )
            return
        if isinstance(error, MemoryAwaited):
            core.metrics.retries.inc({"reason": "no_memory"})
            core.events.record(
                "attempt_without_memory",
                request=exchange.meta.id,
                endpoint=row.record.id,
                left_s=exchange.left_s(core.clock()),
            )
            return
        if result is AttemptResult.UNREACHABLE:
            health.note_unreachable(row.record.id, core.clock())
            self._dispatcher.loads.urgent.set()
        else:
            health.note_failure(row.record.id, core.clock())
        if isinstance(error, ConnectionBroken):
            # The process may have crashed, and a cold one may have replaced it.
            health.on_unreachable(row.record.id)
        if result is not AttemptResult.ANSWERED:
            self._dispatcher.on_path_failure(row.record.address)
        core.metrics.retries.inc({"reason": result.value})
        core.events.record(
            "attempt_failed",
            request=exchange.meta.id,
            fingerprint=exchange.fingerprint,
            endpoint=row.record.id,
            result=result.value,
            tried=len(exchange.tried),
            left_s=exchange.left_s(core.clock()),
            error=error,
        )


def _return_to_silent(exchange: Exchange) -> None:
    """Prefer the silent endpoint that was given up for one that did not take over."""
    exchange.switch_to, exchange.given_up = exchange.given_up, None


def make_refusal(exchange: Exchange, retry_delay_s: float, *, is_late: bool) -> Refusal:
    """Return the refusal of a request that no endpoint answered.

    ``retry_delay_s`` is the Retry-After delay of a request that was not run.
    """
    if exchange.may_have_run:
        if is_late:
            return unknown_outcome("the time limit was reached", GATEWAY_TIMEOUT)
        return unknown_outcome("no endpoint answered in full", BAD_GATEWAY)
    refusal = unavailable("no endpoint took the request", retry_delay_s)
    refusal.outcome = Outcome.NOT_RUN
    return refusal
