"""Decides whether an attempt at a silent endpoint is ended for another attempt.

A silent endpoint may be overloaded, stopped for a moment or gone. If nothing else can
serve the request, giving up its response can only lose it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from ..entry.endpoints import Endpoint
from ..presence.inquiry import EndpointInquiry
from ..relaying.exchange import Exchange
from .timeout import SilenceTimeout

if TYPE_CHECKING:
    from ..relaying.exchange_dispatcher import ExchangeDispatcher

MIN_STREAM_SWITCH_S = 0.3
"""With less time left, a stream would not get far at another endpoint."""


class SilenceDecision(Enum):
    """Whether a silent endpoint is given up, and why not."""

    SWITCH = "switch"
    GONE = "gone"
    """Its process has ended, so that no further data can come."""
    NO_TIME = "no_time"
    NO_ATTEMPT = "no_attempt"
    """The route allows no further one, or the request may crash endpoints."""
    NO_BUDGET = "no_budget"
    NO_ENDPOINT = "no_endpoint"
    """No other endpoint can serve the request, or none has responded since then."""
    NO_MEMORY = "no_memory"
    """The response is not read now; the endpoint isn't silent."""
    RESPONDS = "responds"
    """The endpoint responds to other requests; this one may be queued there."""


ENDING_DECISIONS = frozenset({SilenceDecision.SWITCH, SilenceDecision.GONE})


class SilencePolicy:
    """Decides whether an attempt at a silent endpoint is ended.

    Another endpoint is used if it has responded since the silence began. Endpoints of
    which that isn't known are asked, as all of them may be silent.

    Parameters
    ----------
    dispatcher : ExchangeDispatcher
        Endpoint selection and the retry budget.
    inquiry : EndpointInquiry
        Asks endpoints whether they respond.
    """

    def __init__(
        self, dispatcher: ExchangeDispatcher, inquiry: EndpointInquiry
    ) -> None:
        self._dispatcher = dispatcher
        self._inquiry = inquiry
        self._core = dispatcher.core

    def make_timeout(
        self,
        exchange: Exchange,
        row: Endpoint,
        *,
        has_response: Callable[[], bool] = lambda: True,
    ) -> SilenceTimeout:
        """Return the timeout of an attempt.

        Until ``has_response``, an endpoint that responds to other requests is not
        given up: it may delay the head of its response until the request runs.
        """
        last: SilenceDecision | None = None

        def may_switch(since_s: float) -> bool:
            nonlocal last
            if exchange.lease is not None and exchange.lease.is_waiting:
                decision = SilenceDecision.NO_MEMORY
            elif not has_response() and row.heard_s > since_s:
                decision = SilenceDecision.RESPONDS
            else:
                decision = self._decide(exchange, row, since_s)
            if decision is not last:
                last = decision
                self._note(exchange, row, since_s, decision)
            return decision in ENDING_DECISIONS

        return SilenceTimeout(self._core.clock, may_switch)

    def _decide(
        self, exchange: Exchange, row: Endpoint, since_s: float
    ) -> SilenceDecision:
        now_s = self._core.clock()
        dispatcher = self._dispatcher
        self._inquiry.ask(row)
        is_registered = dispatcher.table.is_registered(row.record)
        if self._inquiry.is_gone(row, since_s, is_registered=is_registered):
            return SilenceDecision.GONE
        if not dispatcher.may_retry(exchange):
            return SilenceDecision.NO_ATTEMPT
        min_left_s = MIN_STREAM_SWITCH_S if exchange.route.is_stream else 0.0
        if exchange.left_s(now_s) <= min_left_s:
            return SilenceDecision.NO_TIME
        if not dispatcher.has_retry_left(exchange):
            return SilenceDecision.NO_BUDGET
        rows = dispatcher.alternatives(exchange)
        heard = [r for r in rows if self._inquiry.has_responded(r, since_s)]
        other = dispatcher.choose_among(heard, exchange)
        if other is None:
            self._ask_next(exchange, rows, since_s)
            return SilenceDecision.NO_ENDPOINT
        dispatcher.reserve_retry(exchange)
        exchange.switch_to = other.record.id
        exchange.given_up = row.record.id
        return SilenceDecision.SWITCH

    def _ask_next(
        self, exchange: Exchange, rows: list[Endpoint], since_s: float
    ) -> None:
        """Ask the best endpoint that has not been asked since the silence began."""
        unasked = [row for row in rows if row.asked_s <= since_s]
        row = self._dispatcher.choose_among(unasked or rows, exchange)
        if row is not None:
            self._inquiry.ask(row)

    def _note(
        self,
        exchange: Exchange,
        row: Endpoint,
        since_s: float,
        decision: SilenceDecision,
    ) -> None:
        self._core.metrics.silences.inc({"decision": decision.value})
        self._core.events.record(
            "endpoint_silent",
            request=exchange.meta.id,
            endpoint=row.record.id,
            silent_s=self._core.clock() - since_s,
            others_heard=row.heard_s > since_s,
            presence="" if row.presence is None else row.presence.value,
            decision=decision.value,
            switch_to=exchange.switch_to or "",
            tried=len(exchange.tried),
        )
