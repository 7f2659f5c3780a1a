"""Error responses that state whether the request was run and when to retry."""

from __future__ import annotations

import math
from enum import Enum

import msgspec
from aiohttp import web

from ..const import CONTENT_TYPE_PROBLEM, HEADER_OUTCOME, HEADER_RETRY_AFTER


class Outcome(Enum):
    """Whether a request without an endpoint's response may have been run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(Exception):
    """A request ends with an error response instead of an endpoint's response.

    Parameters
    ----------
    status : int
        HTTP status.
    title : str
        Human-readable reason.
    outcome : Outcome
        Whether any part of the request may have been run.
    retry_after_s : float or None, default=1.0
        Value of ``Retry-After``; sent only with NOT_RUN, and not if it is None.
    detail : str, default=""
        Further information, such as the position of an error in the body.
    """

    def __init__(
        self,
        status: int,
        title: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = 1.0,
        detail: str = "",
    ) -> None:
        super().__init__(title)
        self.status = status
        self.title = title
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.detail = detail

    def to_problem(self) -> dict[str, object]:
        """Return the body as an RFC 9457 problem document."""
        problem: dict[str, object] = {
            "type": "about:blank",
            "title": self.title,
            "status": self.status,
            "outcome": self.outcome.value,
        }
        if self.detail:
            problem["detail"] = self.detail
        return problem

    def to_response(
        self, *, allow_fractional_retry_after: bool = False
    ) -> web.Response:
        """Return the HTTP response for the caller.

        ``Retry-After`` is in whole seconds, rounded up, unless the caller accepts
        fractions of a second.
        """
        headers = {HEADER_OUTCOME: self.outcome.value}
        if self.outcome is Outcome.NOT_RUN and self.retry_after_s is not None:
            whole_s = max(1, math.ceil(self.retry_after_s))
            exact_s = f"{self.retry_after_s:.2f}"
            headers[HEADER_RETRY_AFTER] = (
                exact_s if allow_fractional_retry_after else str(whole_s)
            )
        if self.status == 401:
            headers["WWW-Authenticate"] = "Bearer"
        return web.Response(
            status=self.status,
            body=msgspec.json.encode(self.to_problem()),
            headers=headers,
            content_type=CONTENT_TYPE_PROBLEM,
        )

    def to_event(self) -> bytes:
        """Return the server-sent event that ends a stream without its end marker."""
        body = msgspec.json.encode(self.to_problem())
        return b"event: error\ndata: " + body + b"\n\n"


def unauthorized() -> Refusal:
    """Return the refusal for a missing or unknown API key."""
    return Refusal(401, "key missing or unknown")


def over_quota(retry_after_s: float) -> Refusal:
    """Return the refusal for a request that exceeds its customer's quota."""
    return Refusal(429, "over the customer's quota", retry_after_s=retry_after_s)


def forbidden() -> Refusal:
    """Return the refusal for a name that the caller may not use."""
    return Refusal(403, "not permitted for this key")


def not_found(what: str) -> Refusal:
    """Return the refusal for a name that is permitted but not declared."""
    return Refusal(404, f"{what} is not declared")


def malformed(detail: str) -> Refusal:
    """Return the refusal for a request that can't be parsed or is invalid."""
    return Refusal(400, "malformed request", detail=detail)


def unavailable(title: str, retry_after_s: float) -> Refusal:
    """Return the refusal for a request that can't be run now."""
    return Refusal(503, title, retry_after_s=retry_after_s)


def unresumable(reason: str) -> Refusal:
    """Return the refusal of a stream that can't be resumed, also not later."""
    detail = f"{reason}; request the stream again from its beginning"
    return Refusal(
        503, "the stream cannot be resumed", retry_after_s=None, detail=detail
    )


def unknown_outcome(title: str, status: int = 502) -> Refusal:
    """Return the error for a request that may have been run."""
    return Refusal(status, title, outcome=Outcome.UNKNOWN)
