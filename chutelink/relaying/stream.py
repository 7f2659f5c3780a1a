"""Relay streams event by event; resume at another endpoint where allowed."""

from __future__ import annotations

from aiohttp import web

from ..core import Application
from ..entry.endpoints import Endpoint
from ..exceptions import (
    ChutelinkError,
    EndpointFailed,
    EndpointUnreachable,
    GrantExpired,
)
from ..gateway.refusals import Refusal
from .caller_stream import CallerStream
from .end_check import EndChecker
from .exchange import Exchange
from .exchange_dispatcher import ExchangeDispatcher
from .relay import AttemptResult, Relay, make_refusal
from .stream_attempt import MIN_RESUME_S, StreamAttempt
from .upstream import BufferedResponse, Upstream


class StreamRelay:
    """Relays streams.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    dispatcher : ExchangeDispatcher
        Endpoint selection and its tables.
    upstream : Upstream
        Connections to endpoints.
    relay : Relay
        Tracks attempts and classifies responses.
    """

    def __init__(
        self,
        core: Application,
        dispatcher: ExchangeDispatcher,
        upstream: Upstream,
        relay: Relay,
    ) -> None:
        self.core = core
        self.dispatcher = dispatcher
        self.upstream = upstream
        self.relay = relay
        self._end_checker = EndChecker(self)

    async def async_relay(
        self, exchange: Exchange, caller: CallerStream
    ) -> BufferedResponse | web.StreamResponse:
        """Relay a stream; a response that is not a stream is returned complete.

        Raises
        ------
        Refusal
            No endpoint served the request, and nothing was sent to the caller.
        """
        exchange.resume_after = exchange.meta.resume_after
        self._end_checker.start(exchange)
        async with self.dispatcher.waits.async_refuse_at_stop(exchange):
            await self.dispatcher.versions.async_admit(exchange)
        last: BufferedResponse | None = None
        while True:
            try:
                row = await self.relay.async_next_endpoint(exchange, last)
            except Refusal:
                if caller.has_sent_headers:
                    return caller.abort()
                raise
            if row is None:
                return last
            events_before = exchange.events
            is_confirmation = exchange.may_have_run and exchange.is_end_unproven
            try:
                result, buffered = await self.async_attempt(exchange, row, caller)
            finally:
                # Confirmations are reruns only if they bring further events.
                if is_confirmation and exchange.events > events_before:
                    self.dispatcher.on_rerun(exchange)
            if result is AttemptResult.ANSWERED and buffered is None:
                result = await self._end_checker.async_check(
                    exchange, row, caller, exchange.events - events_before
                )
            if result is AttemptResult.ANSWERED:
                if buffered is None:
                    left_s = exchange.left_s(self.core.clock())
                    response = await caller.async_finish(left_s)
                    self.dispatcher.versions.note_completed(exchange)
                    return response
                if buffered.status < 500 or not exchange.is_repeatable:
                    return buffered if not caller.has_sent_headers else caller.abort()
                last = None if caller.has_sent_headers else buffered
            if not self._can_retry(exchange):
                return self._finish_failed(exchange, caller, last)

    def _can_retry(self, exchange: Exchange) -> bool:
        if exchange.may_have_run and not exchange.is_repeatable:
            return False
        if exchange.events and not exchange.can_resume:
            # Another attempt would send the events again that the caller has.
            return False
        if exchange.left_s(self.core.clock()) < MIN_RESUME_S:
            return False
        return self.dispatcher.take_retry(exchange)

    def _finish_failed(
        self, exchange: Exchange, caller: CallerStream, last: BufferedResponse | None
    ) -> BufferedResponse | web.StreamResponse:
        if caller.has_sent_headers:
            return caller.abort()
        if last is not None:
            return last
        is_late = exchange.left_s(self.core.clock()) <= 0
        retry_delay_s = self.dispatcher.retry_after_s(exchange)
        raise make_refusal(exchange, retry_delay_s, is_late=is_late)

    async def async_attempt(
        self,
        exchange: Exchange,
        row: Endpoint,
        caller: CallerStream,
        *,
        answer_timeout_s: float | None = None,
    ) -> tuple[AttemptResult, BufferedResponse | None]:
        """Send to one endpoint; ANSWERED without a response is a finished stream.

        If nothing has come after ``answer_timeout_s``, the result is UNANSWERED.
        """
        sent_s = self.core.clock()
        if exchange.resume_after:
            self._log_resumed_stream(exchange, row)
        events_before = caller.events
        attempt = StreamAttempt(
            self, exchange, row, caller, answer_timeout_s=answer_timeout_s
        )
        try:
            with self.relay.track_in_flight(exchange, row):
                return await attempt.async_run(sent_s)
        except EndpointUnreachable as error:
            self.relay.note_failure(exchange, row, AttemptResult.UNREACHABLE, error)
            return AttemptResult.UNREACHABLE, None
        except GrantExpired as error:
            self.relay.note_not_sent(exchange, row, error)
            return AttemptResult.NOT_RUN, None
        except EndpointFailed as error:
            exchange.may_have_run |= error.is_sent
            exchange.release_memory()
            self.relay.note_failure(exchange, row, AttemptResult.FAILED, error)
            self._log_broken_stream(exchange, row, caller.events - events_before, error)
            await self.relay.async_note_broken(exchange, row, error, sent_s)
            return AttemptResult.FAILED, None
        finally:
            attempt.stop_prefill()

    def _log_resumed_stream(self, exchange: Exchange, row: Endpoint) -> None:
        meta = exchange.meta
        self.core.events.record(
            "stream_resumed",
            request=meta.id,
            resumes=meta.resumes or "",
            resume_after=exchange.resume_after,
            by="caller" if exchange.resume_after == meta.resume_after else "daemon",
            endpoint=row.record.id,
            software_version=row.record.software_version,
        )

    def _log_broken_stream(
        self, exchange: Exchange, row: Endpoint, events: int, error: ChutelinkError
    ) -> None:
        self.core.events.record(
            "stream_broken",
            request=exchange.meta.id,
            endpoint=row.record.id,
            software_version=row.record.software_version,
            events=events,
            resume_after=exchange.resume_after,
            resumable=exchange.is_repeatable,
            error=error.message,
        )
