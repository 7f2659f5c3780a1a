"""Headers of the operators' callers and endpoints."""

from __future__ import annotations

import math
from email.utils import parsedate_to_datetime

from multidict import CIMultiDict, CIMultiDictProxy

from ..const import HEADER_RETRY_AFTER
from ..customers.keys import HEADER_KEY
from ..entry.dialect import (
    AnswerKind,
    Dialect,
    Dispatch,
    EndpointSignals,
    PromptPart,
    RequestMeta,
)
from ..ids import AdapterName, ModelName, RequestId

HEADER_REQUEST_ID = "X-Request-Id"
HEADER_DEADLINE_MS = "X-Deadline-Ms"
HEADER_MODEL = "X-Model"
HEADER_TOKEN_COUNT = "X-Token-Count"
HEADER_PROMPT_PREFIX = "X-Prompt-Prefix"
HEADER_LAST_EVENT = "Last-Event-Id"
HEADER_EXPECT_INSTANCE = "X-Expect-Instance"
HEADER_URGENCY = "X-Request-Urgency"
HEADER_SEAL = "X-Server-Seal"
HEADER_NOT_EXECUTED = "X-Not-Executed"
HEADER_LIMIT = "Server-Limit"
"""Requests a second that an endpoint takes from all daemons together."""
HEADER_CUSTOMER = "X-Tenant"
"""Names the customer to endpoints; callers may send it, and it says nothing then."""
RESERVED_HEADERS = (
    HEADER_EXPECT_INSTANCE,
    HEADER_URGENCY,
    # Whose a request is, this system alone says; no key leaves it.
    HEADER_CUSTOMER,
    HEADER_KEY,
    # Take a reserved slot, keep or copy the memory of a run, or read another's.
    "X-Hold",
    "X-Pin-Ms",
    "X-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
)
"""What the system alone may say to an endpoint; callers send some of them too."""
HEADER_LEAVING = "Server-Leaving"
LEAVING = "1"
HEADER_DATE = "Date"
MAX_PAUSE_S = 300.0
"""Longest pause that is kept; an endpoint that wants more is asked again then."""
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
NOT_RUN_STATUSES = frozenset({408, 429, 503})
"""Callers take these as a promise; an endpoint's own hold only with its header."""
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300


def _decode_ints(text: str) -> list[int]:
    try:
        return [int(part) for part in text.split(",")]
    except ValueError:
        return []


def _decode_prompt(text: str) -> tuple[PromptPart, ...]:
    """Return the parts; a header that is not understood shares nothing."""
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if not tokens.isdecimal():
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _decode_amount(text: str) -> float | None:
    """Return a decimal number that is not negative, None for anything else."""
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and amount >= 0 else None


def _decode_limit(headers: CIMultiDictProxy[str]) -> float | None:
    return _decode_amount(headers[HEADER_LIMIT])


def _decode_pause(headers: CIMultiDictProxy[str]) -> float | None:
    """Return the pause in seconds; a date counts from the answer's own."""
    amount = _decode_amount(headers[HEADER_RETRY_AFTER])
    if amount is None:
        amount = _decode_date_pause(headers)
    return None if amount is None else min(MAX_PAUSE_S, amount)


def _decode_date_pause(headers: CIMultiDictProxy[str]) -> float | None:
    try:
        until = parsedate_to_datetime(headers[HEADER_RETRY_AFTER])
        answered = parsedate_to_datetime(headers[HEADER_DATE])
        return max(0.0, (until - answered).total_seconds())
    except (LookupError, ValueError, TypeError):
        # The caller names the header, and logs it.
        return None


class PlatformDialect(Dialect):
    """The headers of the prepared machines."""

    def decode_request(self, headers: CIMultiDictProxy[str]) -> RequestMeta | None:
        """Return what a request says of itself, or None without an id."""
        request_id = headers.get(HEADER_REQUEST_ID)
        if not request_id:
            return None
        deadline_ms = headers.get(HEADER_DEADLINE_MS, "")
        model, _, adapter = headers.get(HEADER_MODEL, "").partition("/")
        counts = _decode_ints(headers.get(HEADER_TOKEN_COUNT, ""))
        last_event = headers.get(HEADER_LAST_EVENT, "")
        return RequestMeta(
            id=RequestId(request_id),
            deadline_s=int(deadline_ms) / 1000 if deadline_ms.isdecimal() else None,
            model=ModelName(model),
            adapter=AdapterName(adapter),
            prompt_tokens=counts[0] if counts else 0,
            output_tokens=counts[1] if len(counts) > 1 else 0,
            prompt=_decode_prompt(headers.get(HEADER_PROMPT_PREFIX, "")),
            resume_after=int(last_event) if last_event.isdecimal() else None,
            counted_tokens=sum(counts) if counts else None,
        )

    def remove_reserved(self, headers: CIMultiDict[str]) -> None:
        """Drop what only this system may ask of an endpoint, however often sent."""
        for name in RESERVED_HEADERS:
            headers.popall(name, None)

    def encode_dispatch(self, headers: CIMultiDict[str], dispatch: Dispatch) -> None:
        """Put what the relay adds into the headers for an endpoint."""
        headers[HEADER_EXPECT_INSTANCE] = dispatch.endpoint
        headers[HEADER_DEADLINE_MS] = str(max(1, int(dispatch.deadline_s * 1000)))
        if dispatch.urgency is not None:
            headers[HEADER_URGENCY] = str(dispatch.urgency)
        if dispatch.customer is not None:
            headers[HEADER_CUSTOMER] = dispatch.customer
        if dispatch.resume_after is not None:
            headers[HEADER_LAST_EVENT] = str(dispatch.resume_after)

    def classify(
        self, status: int, headers: CIMultiDictProxy[str], request: RequestId
    ) -> AnswerKind:
        """Return what an answer means, from its status line and headers."""
        echoed = headers.get(HEADER_REQUEST_ID)
        if echoed is not None and echoed != request:
            return AnswerKind.FOREIGN
        if status == HTTP_MISDIRECTED or HEADER_NOT_EXECUTED in headers:
            return AnswerKind.NOT_RUN
        if echoed is None or status in NOT_RUN_STATUSES:
            return AnswerKind.FOREIGN
        is_success = FIRST_SUCCESS <= status < FIRST_REDIRECT
        if is_success and HEADER_SEAL not in headers:
            return AnswerKind.FOREIGN
        if "Content-Encoding" in headers:
            return AnswerKind.FOREIGN
        return AnswerKind.ANSWERED

    def decode_signals(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> EndpointSignals:
        """Return what an endpoint's answer says of the endpoint."""
        decoders = {HEADER_LIMIT: _decode_limit}
        if status == HTTP_UNAVAILABLE:
            decoders[HEADER_RETRY_AFTER] = _decode_pause
        amounts = {
            name: decode(headers)
            for name, decode in decoders.items()
            if name in headers
        }
        return EndpointSignals(
            limit_per_s=amounts.get(HEADER_LIMIT),
            is_leaving=headers.get(HEADER_LEAVING, "").strip() == LEAVING,
            pause_s=amounts.get(HEADER_RETRY_AFTER),
            unreadable=tuple(name for name, value in amounts.items() if value is None),
        )
