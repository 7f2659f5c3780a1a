"""Relay requests whose answers are passed on whole."""

from __future__ import annotations

from contextlib import contextmanager
from enum import Enum

from ..entry.dialect import AnswerKind
from ..entry.endpoints import Endpoint
from ..exceptions import (
    ChutelinkError,
    ConnectionBroken,
    EndpointFailed,
    EndpointUnreachable,
)
from ..gateway.refusals import Outcome, Refusal, unavailable, unknown_outcome
from ..ids import model_ref
from ..quarantine.model import BrokenRun, Evidence
from .dispatching import Exchanges
from .exchange import Exchange
from .upstream import Upstream, WholeResponse

SERVER_ERROR = 500
FIRST_TRY_SHARE = 0.45
"""Share of the time left that the first endpoint of a repeatable request gets."""
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class AttemptResult(Enum):
    """How an attempt ended, for logs and for what may follow."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    FAILED = "failed"


class Relay:
    """Sends a request to endpoints until one answers, as often as is allowed.

    Parameters
    ----------
    exchanges : Exchanges
        Tables and policies.
    upstream : Upstream
        Connections to endpoints.
    """

    def __init__(self, exchanges: Exchanges, upstream: Upstream) -> None:
        self._exchanges = exchanges
        self._upstream = upstream

    async def async_whole(self, exchange: Exchange) -> WholeResponse:
        """Return an endpoint's answer, unchanged.

        Raises
        ------
        Refusal
            NOT_RUN only when nothing was run; else UNKNOWN.
        """
        last: WholeResponse | None = None
        while True:
            row = await self.async_next(exchange, last)
            if row is None:
                return last
            result, answer = await self._async_attempt(exchange, row)
            if result is AttemptResult.ANSWERED:
                if answer.status < SERVER_ERROR or not exchange.is_repeatable:
                    return answer
                last = answer
            if not self._may_go_on(exchange, result):
                return self._last_word(exchange, last)

    async def async_next(
        self, exchange: Exchange, last: WholeResponse | None
    ) -> Endpoint | None:
        """Return the next endpoint, or None to pass the last answer on."""
        try:
            return await self._exchanges.async_acquire(exchange)
        except Refusal as refusal:
            if last is not None:
                return None
            if exchange.may_have_run:
                raise unknown_outcome(refusal.title) from refusal
            raise

    def _last_word(
        self, exchange: Exchange, last: WholeResponse | None
    ) -> WholeResponse:
        """Return the answer to pass on, or raise the refusal."""
        if last is not None:
            return last
        is_late = exchange.left_s(self._exchanges.core.clock()) <= 0
        back_s = self._exchanges.retry_after_s(exchange)
        raise give_up(exchange, back_s, is_late=is_late)

    def _may_go_on(self, exchange: Exchange, result: AttemptResult) -> bool:
        is_safe = exchange.is_repeatable or not exchange.may_have_run
        if not is_safe or exchange.left_s(self._exchanges.core.clock()) <= 0:
            return False
        return self._exchanges.may_repeat(exchange)

    async def _async_attempt(
        self, exchange: Exchange, row: Endpoint
    ) -> tuple[AttemptResult, WholeResponse | None]:
        clock = self._exchanges.core.clock
        sent_s = clock()
        call = self._exchanges.make_call(exchange, row)
        try:
            with self.under_way(exchange, row):
                limit_s = self._limit_s(exchange, sent_s)
                answer = await self._upstream.async_exchange(row, call, limit_s)
        except EndpointUnreachable as error:
            self.note_failure(exchange, row, AttemptResult.UNREACHABLE, error)
            return AttemptResult.UNREACHABLE, None
        except EndpointFailed as error:
            exchange.may_have_run = True
            self.note_failure(exchange, row, AttemptResult.FAILED, error)
            await self.async_note_broken(exchange, row, error, sent_s)
            return AttemptResult.FAILED, None
        self._exchanges.signals.note(
            exchange, row, answer.status, answer.headers, sent_s
        )
        return self.judge(exchange, row, answer, clock() - sent_s), answer

    def judge(
        self, exchange: Exchange, row: Endpoint, answer: WholeResponse, took_s: float
    ) -> AttemptResult:
        """Classify an answer and learn from it."""
        kind = self._exchanges.dialect.classify(
            answer.status, answer.headers, exchange.meta.id
        )
        if kind is AnswerKind.NOT_RUN:
            self.note_not_run(exchange, row, answer.status)
            return AttemptResult.NOT_RUN
        exchange.may_have_run = True
        endpoint = row.record.id
        error = EndpointFailed(
            f"status {answer.status} {kind.value}", step="answer", peer=endpoint
        )
        if kind is AnswerKind.FOREIGN:
            self.note_failure(exchange, row, AttemptResult.FAILED, error)
            return AttemptResult.FAILED
        if answer.status >= SERVER_ERROR:
            self.note_failure(exchange, row, AttemptResult.ANSWERED, error)
        else:
            now_s = self._exchanges.core.clock()
            self._exchanges.health.note_success(endpoint, now_s, took_s)
            self.note_good_run(exchange)
        return AttemptResult.ANSWERED

    def _limit_s(self, exchange: Exchange, now_s: float) -> float:
        """Return how long the endpoint tried last may take."""
        left_s = exchange.left_s(now_s)
        has_more = len(exchange.tried) < exchange.route.max_endpoints
        if exchange.is_repeatable and has_more:
            return max(0.0, FIRST_TRY_SHARE * left_s)
        return max(0.0, left_s)

    @contextmanager
    def under_way(self, exchange: Exchange, row: Endpoint):
        """Count a request at an endpoint while it is there."""
        exchange.tried.append(row.record.id)
        row.last_sent_s = self._exchanges.core.clock()
        if row.limit.is_limited:
            self._exchanges.core.metrics.limited_sends.inc({})
        row.requests += 1
        ref = model_ref(exchange.meta.model, exchange.meta.adapter)
        row.by_ref[ref] += 1
        try:
            yield
        finally:
            row.requests -= 1
            row.by_ref[ref] -= 1

    def note_not_run(self, exchange: Exchange, row: Endpoint, status: int) -> None:
        """Log that an endpoint did not take a request."""
        self._exchanges.core.metrics.retries.inc({"reason": "not_run"})
        self._exchanges.core.events.record(
            "attempt_not_run",
            request=exchange.meta.id,
            endpoint=row.record.id,
            status=status,
            model=exchange.meta.model,
            adapter=exchange.meta.adapter,
            sequence=row.sequence,
        )

    async def async_note_broken(
        self,
        exchange: Exchange,
        row: Endpoint,
        error: EndpointFailed,
        sent_s: float,
    ) -> None:
        """Find out whether a run was broken off because its endpoint ended.

        Before another endpoint is tried, which is spared where the request has ended
        as many as are allowed.
        """
        record = row.record
        if not isinstance(error, ConnectionBroken):
            return
        if not self._exchanges.table.is_registered(record):
            # It has said that it leaves, or its registration was removed.
            return
        run = BrokenRun(
            exchange.fingerprint,
            f"{exchange.method} {exchange.host}{exchange.target}",
            record.id,
            record.born_ms,
            record.address,
            sent_s,
            error.is_new_connection,
        )
        quarantine = self._exchanges.quarantine
        if self._exchanges.table.is_replaced(record):
            now_s = self._exchanges.core.clock()
            quarantine.note_ended(run, Evidence.RESTARTED, now_s)
            return
        await quarantine.async_note_broken(run)

    def note_good_run(self, exchange: Exchange) -> None:
        """Take in that an endpoint has run a request to its end."""
        self._exchanges.quarantine.note_success(exchange.fingerprint)
        if exchange.meta.model:
            self._exchanges.loads.note_served(
                exchange.meta.model, exchange.meta.adapter
            )

    def note_failure(
        self,
        exchange: Exchange,
        row: Endpoint,
        result: AttemptResult,
        error: ChutelinkError,
    ) -> None:
        """Log a failed attempt and learn from it."""
        core = self._exchanges.core
        health = self._exchanges.health
        if result is AttemptResult.UNREACHABLE:
            health.note_unreachable(row.record.id, core.clock())
            self._exchanges.loads.urgent.set()
        else:
            health.note_failure(row.record.id, core.clock())
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


def give_up(exchange: Exchange, back_s: float, *, is_late: bool) -> Refusal:
    """Return the refusal of a request that no endpoint answered.

    ``back_s`` is when its caller should come back if it was not run.
    """
    if exchange.may_have_run:
        if is_late:
            return unknown_outcome("the time limit was reached", GATEWAY_TIMEOUT)
        return unknown_outcome("no endpoint answered in full", BAD_GATEWAY)
    refusal = unavailable("no endpoint took the request", back_s)
    refusal.outcome = Outcome.NOT_RUN
    return refusal
