"""Codec for the headers of the operators' callers and endpoints."""

from __future__ import annotations

from email.utils import parsedate_to_datetime

from multidict import CIMultiDict, CIMultiDictProxy

from ..const import HEADER_RETRY_AFTER
from ..customers.keys import HEADER_KEY
from ..entry.headers import (
    AnswerKind,
    Dispatch,
    EndpointSignals,
    HeaderCodec,
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
HEADER_RESUMES = "Resumes"
"""Names the attempt that brought the first event of the stream to be resumed."""
MAX_REQUEST_ID_CHARS = 200
"""Longer ids in ``Resumes`` are ignored; no daemon remembers them."""
HEADER_EXPECT_INSTANCE = "X-Expect-Instance"
HEADER_URGENCY = "X-Request-Urgency"
HEADER_SEAL = "X-Server-Seal"
HEADER_NOT_EXECUTED = "X-Not-Executed"
HEADER_LIMIT = "Server-Limit"
"""Maximum requests per second to an endpoint, summed over all daemons."""
HEADER_BRITTLE = "Server-Brittle"
"""Maximum rejections per second, for all daemons, that an endpoint survives."""
HEADER_COLD_MS = "X-Cold-Ms"
"""How long an endpoint will still be cold after its start, 0 if it is warm."""
HEADER_CUSTOMER = "X-Tenant"
"""Tells endpoints the customer; a value sent by a caller is discarded."""
RESERVED_HEADERS = (
    HEADER_EXPECT_INSTANCE,
    HEADER_URGENCY,
    # Only the daemon may assert the customer, and keys must not reach endpoints.
    HEADER_CUSTOMER,
    HEADER_KEY,
    # Use a reserved slot; keep or copy the KV cache of a run, or read that of another.
    "X-Hold",
    "X-Pin-Ms",
    "X-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
)
"""Headers that only a daemon may send to an endpoint; removed from requests."""
HEADER_LEAVING = "Server-Leaving"
LEAVING = "1"
HEADER_DATE = "Date"
MS_PER_S = 1000.0
MAX_DIGITS = 15
"""Maximum length of integers; floats represent all of them exactly."""
MAX_AMOUNT = 1e12
MAX_PAUSE_S = 300.0
"""Upper bound for a requested pause; an endpoint that needs longer repeats it."""
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
NOT_RUN_STATUSES = frozenset({408, 429, 503})
"""Callers take these statuses to mean that the request was not run.

An endpoint's answer with one of them is only trusted with ``X-Not-Executed``.
"""
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300


def _decode_integer(text: str) -> int | None:
    """Return a non-negative integer, or None if it is malformed or too large."""
    text = text.strip()
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _decode_integers(text: str) -> list[int]:
    """Return integers separated by commas, none if one of them is invalid."""
    numbers = [_decode_integer(part) for part in text.split(",")]
    return [] if None in numbers else numbers


def _decode_prompt(text: str) -> tuple[PromptPart, ...]:
    """Return the prompt's parts; a malformed header yields none."""
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        count = _decode_integer(tokens)
        if count is None:
            return ()
        parts.append(PromptPart(part_id, count))
    return tuple(parts)


def _decode_resumes(headers: CIMultiDictProxy[str]) -> RequestId | None:
    """Return the attempt that began the stream, None if there is no valid id."""
    value = headers.get(HEADER_RESUMES, "").strip()
    return RequestId(value) if 0 < len(value) <= MAX_REQUEST_ID_CHARS else None


def _decode_amount(text: str) -> float | None:
    """Return a number from 0 to ``MAX_AMOUNT``, or None for anything else."""
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if 0 <= amount <= MAX_AMOUNT else None


def _decode_limit(headers: CIMultiDictProxy[str]) -> float | None:
    return _decode_amount(headers[HEADER_LIMIT])


def _decode_brittle(headers: CIMultiDictProxy[str]) -> float | None:
    return _decode_amount(headers[HEADER_BRITTLE])


def _decode_cold_left(headers: CIMultiDictProxy[str]) -> float | None:
    """Return in seconds how long an endpoint will still be cold."""
    left_ms = _decode_amount(headers[HEADER_COLD_MS])
    return None if left_ms is None else left_ms / MS_PER_S


def _decode_pause(headers: CIMultiDictProxy[str]) -> float | None:
    """Return the pause in seconds; a date is relative to the answer's Date header."""
    amount = _decode_amount(headers[HEADER_RETRY_AFTER])
    if amount is None:
        amount = _decode_date_pause(headers)
    return None if amount is None else min(MAX_PAUSE_S, amount)


def _decode_date_pause(headers: CIMultiDictProxy[str]) -> float | None:
    try:
        retry_at = parsedate_to_datetime(headers[HEADER_RETRY_AFTER])
        answered_at = parsedate_to_datetime(headers[HEADER_DATE])
        return max(0.0, (retry_at - answered_at).total_seconds())
    except (LookupError, ValueError, TypeError, OverflowError):
        # The caller of decode_signals logs the header as unreadable.
        return None


class PlatformHeaderCodec(HeaderCodec):
    """Reads and writes the headers of the prepared machines' protocols."""

    def decode_request(self, headers: CIMultiDictProxy[str]) -> RequestMeta | None:
        """Return a request's metadata, or None if it has no id."""
        request_id = headers.get(HEADER_REQUEST_ID)
        if not request_id:
            return None
        deadline_ms = _decode_integer(headers.get(HEADER_DEADLINE_MS, ""))
        model, _, adapter = headers.get(HEADER_MODEL, "").partition("/")
        counts = _decode_integers(headers.get(HEADER_TOKEN_COUNT, ""))
        return RequestMeta(
            id=RequestId(request_id),
            deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
            model=ModelName(model),
            adapter=AdapterName(adapter),
            prompt_tokens=counts[0] if counts else 0,
            output_tokens=counts[1] if len(counts) > 1 else 0,
            prompt=_decode_prompt(headers.get(HEADER_PROMPT_PREFIX, "")),
            resume_after=_decode_integer(headers.get(HEADER_LAST_EVENT, "")),
            resumes=_decode_resumes(headers),
            counted_tokens=sum(counts) if counts else None,
        )

    def remove_reserved(self, headers: CIMultiDict[str]) -> None:
        """Remove all occurrences of headers that only a daemon may send."""
        for name in RESERVED_HEADERS:
            headers.popall(name, None)

    def encode_dispatch(self, headers: CIMultiDict[str], dispatch: Dispatch) -> None:
        """Set the headers that the relay adds for an endpoint."""
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
        """Classify an answer by its status and headers."""
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
        """Return what an answer signals about its endpoint's load and state."""
        decoders = {
            HEADER_LIMIT: _decode_limit,
            HEADER_BRITTLE: _decode_brittle,
            HEADER_COLD_MS: _decode_cold_left,
        }
        if status == HTTP_UNAVAILABLE:
            decoders[HEADER_RETRY_AFTER] = _decode_pause
        values = {
            name: decode(headers)
            for name, decode in decoders.items()
            if name in headers
        }
        return EndpointSignals(
            limit_per_s=values.get(HEADER_LIMIT),
            is_leaving=headers.get(HEADER_LEAVING, "").strip() == LEAVING,
            pause_s=values.get(HEADER_RETRY_AFTER),
            max_rejections_per_s=values.get(HEADER_BRITTLE),
            cold_left_s=values.get(HEADER_COLD_MS),
            unreadable=tuple(name for name, value in values.items() if value is None),
        )
