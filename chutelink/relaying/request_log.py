"""Request log lines and request metrics."""

from __future__ import annotations

import msgspec
from aiohttp import web

from ..core import Application
from ..customers.access import Admission
from ..customers.quotas import QuotaVerdict
from .exchange import Exchange

MAX_SUCCESS_LINES_PER_S = 5.0
"""Rate limit of lines for successful requests and for those over a quota."""
SUCCESS_LINE_BURST = 20.0
FIRST_ERROR_STATUS = 400
ANSWERED = "answered"
CUT = "cut"
"""Outcome of a stream that ended before its last event; its caller knows."""
CUT_AT_STOP = "cut_at_stop"
"""Outcome of a request whose response was cut off as the daemon stopped."""


class RequestResult(msgspec.Struct, frozen=True):
    """The result of a request; ``reason`` is why it was refused."""

    status: int
    outcome: str
    reason: str


class RequestLog:
    """Logs failed and late requests, and a limited rate of all others.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    """

    def __init__(self, core: Application) -> None:
        self._core = core
        self._tokens = SUCCESS_LINE_BURST
        self._updated_s = core.clock()
        self._suppressed_lines = 0

    def note(
        self,
        request: web.BaseRequest,
        exchange: Exchange | None,
        admission: Admission,
        result: RequestResult,
        started_s: float,
    ) -> None:
        """Count a completed request, and log it.

        Requests over a quota share the rate limit of lines for successful requests: a
        customer may exceed its quota many times over for an unlimited time.
        """
        now_s = self._core.clock()
        took_s = now_s - started_s
        route = exchange.route.name if exchange is not None else ""
        self._core.metrics.requests.inc(
            {"outcome": result.outcome, "status": str(result.status)}
        )
        self._core.metrics.request_seconds.observe({"route": route}, took_s)
        if exchange is not None and exchange.knowledge is not None:
            age_s = exchange.knowledge.age_s
            self._core.metrics.endpoints_age_seconds.observe({}, age_s)
        is_late = exchange is not None and _is_late(exchange, took_s)
        is_success = result.outcome == ANSWERED and result.status < FIRST_ERROR_STATUS
        is_over_quota = admission.decision.verdict is QuotaVerdict.OVER
        is_rate_limited = is_over_quota or (is_success and not is_late)
        if is_rate_limited and not self._take_token(now_s):
            self._suppressed_lines += 1
            return
        self._emit(request, exchange, admission, result, took_s)

    def _take_token(self, now_s: float) -> bool:
        refill = (now_s - self._updated_s) * MAX_SUCCESS_LINES_PER_S
        self._tokens = min(SUCCESS_LINE_BURST, self._tokens + refill)
        self._updated_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _emit(
        self,
        request: web.BaseRequest,
        exchange: Exchange | None,
        admission: Admission,
        result: RequestResult,
        took_s: float,
    ) -> None:
        fields: dict[str, object] = {
            "request": request.headers.get("X-Request-Id", ""),
            "status": result.status,
            "outcome": result.outcome,
            "reason": result.reason,
            "took_s": took_s,
        }
        fields |= _admission_fields(admission)
        if exchange is None:
            fields |= {"host": request.host, "path": request.raw_path[:80]}
        else:
            fields |= {
                "fingerprint": exchange.fingerprint,
                "held_by": exchange.held_by,
                "caller": exchange.caller,
                "route": exchange.route.name,
                "service": exchange.service.name,
                "model": exchange.meta.model,
                "adapter": exchange.meta.adapter,
                "endpoints": ",".join(exchange.tried),
                "objective_s": exchange.route.objective_s,
                "limit_s": exchange.deadline_s - exchange.started_s,
                "drain_left_s": exchange.drain_left_s,
                "may_have_run": exchange.may_have_run,
                "attempts": len(exchange.tried),
                "reused_connection": exchange.last_call.is_reused,
                "framing": "" if exchange.framing is None else exchange.framing.value,
                "end_proof": exchange.end_proof.value
                if exchange.route.is_stream
                else "",
                "events": exchange.events,
                "resumes": exchange.meta.resumes or "",
                "last_event_id": exchange.meta.resume_after,
                "resume_after": exchange.resume_after,
                "first_event_s": exchange.first_event_s,
                "expected_s": exchange.expected_s,
                "longest_pause_s": exchange.longest_pause_s,
                "max_pause_s": exchange.route.max_pause_s,
            }
            if exchange.prefix_choice is not None:
                fields |= {
                    "held_tokens": exchange.prefix_choice.held_tokens,
                    "best_other_tokens": exchange.prefix_choice.best_other_tokens,
                }
            if exchange.knowledge is not None:
                fields |= {
                    "endpoints_version": exchange.knowledge.version,
                    "endpoints_age_s": exchange.knowledge.age_s,
                }
        if self._suppressed_lines:
            fields["good_left_out"] = self._suppressed_lines
            self._suppressed_lines = 0
        self._core.events.record("request", **fields)


def _admission_fields(admission: Admission) -> dict[str, object]:
    """Return the admission's log fields; empty where no keys are required."""
    if admission.config_version is None:
        return {}
    customer, decision = admission.customer, admission.decision
    return {
        "customer": customer.name if customer is not None else "",
        "config_version": admission.config_version,
        "config_age_s": admission.config_age_s,
        "quota": decision.verdict.value,
        "quota_cost": decision.cost,
        "quota_level": decision.level,
        "quota_share": decision.share,
    }


def _is_late(exchange: Exchange, took_s: float) -> bool:
    """Return whether a response, first event or pause missed its objective."""
    if exchange.longest_pause_s > exchange.route.max_pause_s > 0:
        return True
    first_s = took_s if exchange.first_event_s is None else exchange.first_event_s
    return first_s > exchange.route.objective_s
