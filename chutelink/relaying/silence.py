"""Ends attempts at silent endpoints once another attempt is the better choice.

A silent endpoint may be overloaded, stopped for a moment or gone. If nothing else can
serve the request, giving up its response can only lose it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from types import TracebackType
from typing import TYPE_CHECKING

from ..entry.endpoints import Endpoint
from .exchange import Exchange

if TYPE_CHECKING:
    from .exchange_dispatcher import ExchangeDispatcher

MIN_STREAM_SWITCH_S = 0.3
"""With less time left, a stream would not get far at another endpoint."""
FIRST_RECHECK_INTERVAL_S = 0.1
MAX_RECHECK_INTERVAL_S = 0.4
"""Limits of the interval between two decisions, which doubles while a silence lasts.

Each decision looks at all endpoints of the service.
"""


def is_responsive(row: Endpoint, since_s: float) -> bool:
    """Return whether an endpoint may be expected to respond.

    It responded after ``since_s``, or nothing was sent to it after that time. So of
    several requests at silent endpoints only one tries an endpoint that may be silent
    as well; the others follow once it has responded.
    """
    return row.heard_s > since_s or row.last_sent_s <= since_s


class SilenceTimeout:
    """Timeout of an attempt that is due only if another attempt may follow.

    Time in which nothing is awaited from the endpoint doesn't count.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    may_switch : callable
        Called with the start of a silence, in seconds of the clock, when it has lasted
        for the limit, and at intervals afterwards. Returns whether to end the attempt.
    """

    def __init__(
        self, clock: Callable[[], float], may_switch: Callable[[float], bool]
    ) -> None:
        self._clock = clock
        self._may_switch = may_switch
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._awaited_since_s: float | None = None
        self._limit_s: float | None = None
        self._recheck_interval_s = FIRST_RECHECK_INTERVAL_S
        self.has_expired = False
        """Whether the attempt was ended because of a silence."""

    async def __aenter__(self) -> SilenceTimeout:
        await self._timeout.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        """Raise TimeoutError if the attempt was ended because of a silence."""
        self._cancel_timer()
        return await self._timeout.__aexit__(exc_type, exc, traceback)

    @contextmanager
    def awaiting(self, limit_s: float | None) -> Iterator[None]:
        """Limit the wait for the endpoint's next data to ``limit_s``; None is no limit.

        The timer is kept between waits, as most take a few ms.
        """
        self._awaited_since_s = self._clock()
        self._limit_s = limit_s
        if limit_s is not None:
            self._ensure_timer(limit_s)
        try:
            yield
        finally:
            self._awaited_since_s = None

    def _ensure_timer(self, delay_s: float) -> None:
        """Start the timer, unless it is due before ``delay_s`` has passed."""
        loop = asyncio.get_running_loop()
        if self._timer is not None and self._timer.when() <= loop.time() + delay_s:
            return
        self._cancel_timer()
        self._timer = loop.call_later(delay_s, self._check)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._awaited_since_s is None or self._limit_s is None:
            # The next wait starts the timer again.
            return
        left_s = self._limit_s - (self._clock() - self._awaited_since_s)
        if left_s > 0:
            self._recheck_interval_s = FIRST_RECHECK_INTERVAL_S
            self._ensure_timer(left_s)
            return
        if self._may_switch(self._awaited_since_s):
            self.has_expired = True
            self._timeout.reschedule(asyncio.get_running_loop().time())
            return
        self._ensure_timer(self._recheck_interval_s)
        self._recheck_interval_s = min(
            2 * self._recheck_interval_s, MAX_RECHECK_INTERVAL_S
        )


class SilenceDecision(Enum):
    """Whether a silent endpoint is given up, and why not."""

    SWITCH = "switch"
    NO_TIME = "no_time"
    NO_ATTEMPT = "no_attempt"
    """The route allows no further one, or the request may crash endpoints."""
    NO_BUDGET = "no_budget"
    NO_ENDPOINT = "no_endpoint"
    """No other endpoint can serve the request, or all are silent."""
    RESPONDS = "responds"
    """The endpoint responds to other requests; this one may be queued there."""


class SilencePolicy:
    """Decides whether an attempt at a silent endpoint is ended.

    Parameters
    ----------
    dispatcher : ExchangeDispatcher
        Endpoint selection and the retry budget.
    """

    def __init__(self, dispatcher: ExchangeDispatcher) -> None:
        self._dispatcher = dispatcher
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
            if not has_response() and row.heard_s > since_s:
                decision = SilenceDecision.RESPONDS
            else:
                decision = self._decide(exchange, since_s)
            if decision is not last:
                last = decision
                self._note(exchange, row, since_s, decision)
            return decision is SilenceDecision.SWITCH

        return SilenceTimeout(self._core.clock, may_switch)

    def _decide(self, exchange: Exchange, since_s: float) -> SilenceDecision:
        now_s = self._core.clock()
        if not self._dispatcher.may_retry(exchange):
            return SilenceDecision.NO_ATTEMPT
        min_left_s = MIN_STREAM_SWITCH_S if exchange.route.is_stream else 0.0
        if exchange.left_s(now_s) <= min_left_s:
            return SilenceDecision.NO_TIME
        other = self._dispatcher.choose_alternative(exchange, since_s)
        if other is None:
            return SilenceDecision.NO_ENDPOINT
        if not self._dispatcher.reserve_retry(exchange):
            return SilenceDecision.NO_BUDGET
        # Recorded at once, so that no other request tries a silent endpoint as well.
        other.last_sent_s = now_s
        exchange.switch_to = other.record.id
        return SilenceDecision.SWITCH

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
            decision=decision.value,
            switch_to=exchange.switch_to or "",
            tried=len(exchange.tried),
        )
