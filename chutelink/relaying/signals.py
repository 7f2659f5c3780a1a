"""Process the state that endpoints report in response headers."""

from __future__ import annotations

from collections.abc import Callable

from multidict import CIMultiDictProxy

from ..coldstart.messages import ColdEndpoint
from ..coldstart.states import ColdStates
from ..core import Application
from ..entry.endpoints import Endpoint, EndpointTable
from ..entry.headers import AnswerKind, HeaderCodec
from ..entry.load_tracker import LoadTracker
from ..entry.messages import LeavingEndpoint
from ..limits.messages import EndpointLimit
from .exchange import Exchange

FIRST_NON_SUCCESS_STATUS = 300
UNAVAILABLE_STATUS = 503
MIN_REJECTIONS_PER_S = 1.0
"""Assumed for endpoints that state less, which would otherwise be paused for long."""


class SignalReader:
    """Applies limits, pauses and leaving notices from responses, and logs changes.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    header_codec : HeaderCodec
        Decodes headers.
    table : EndpointTable
        The endpoints.
    loads : LoadTracker
        Collects updates for other daemons.
    count_daemons : callable
        Returns how many daemons send requests.
    cold : ColdStates
        The cold states of the endpoints.
    """

    def __init__(
        self,
        core: Application,
        header_codec: HeaderCodec,
        table: EndpointTable,
        loads: LoadTracker,
        count_daemons: Callable[[], int],
        cold: ColdStates,
    ) -> None:
        self._core = core
        self._header_codec = header_codec
        self._table = table
        self._loads = loads
        self._count_daemons = count_daemons
        self._cold = cold

    def note(
        self,
        exchange: Exchange,
        row: Endpoint,
        status: int,
        headers: CIMultiDictProxy[str],
        sent_s: float,
    ) -> None:
        """Process the response to a request that was sent at ``sent_s``."""
        if self._table.rows.get(row.record.id) is not row:
            # The response is from a former process of this endpoint.
            return
        signals = self._header_codec.decode_signals(status, headers)
        for name in signals.unreadable:
            self._core.events.warning(
                "endpoint_header_unreadable",
                endpoint=row.record.id,
                header=name,
                value=headers[name][:80],
            )
        kind = self._header_codec.classify(status, headers, exchange.meta.id)
        # A refusal may be from another endpoint at a reused address, and an error
        # from a proxy in front of the endpoint: only a success lifts a limit.
        is_success = kind is AnswerKind.ANSWERED and status < FIRST_NON_SUCCESS_STATUS
        if signals.limit_per_s is not None or (is_success and not signals.unreadable):
            self._note_limit(exchange, row, signals.limit_per_s, sent_s)
        if signals.cold_left_s is not None:
            self._note_cold(row, signals.cold_left_s, sent_s, is_success=is_success)
        if signals.is_leaving:
            self._note_leaving(exchange, row)
        if signals.pause_s:
            self._note_pause(exchange, row, signals.pause_s)
        if signals.max_rejections_per_s is not None or is_success:
            row.max_rejections_per_s = signals.max_rejections_per_s
        is_rejected = kind is AnswerKind.NOT_RUN and status == UNAVAILABLE_STATUS
        if is_rejected and row.max_rejections_per_s is not None:
            self._note_rejection(exchange, row)

    def _note_cold(
        self, row: Endpoint, left_s: float, sent_s: float, *, is_success: bool
    ) -> None:
        if self._cold.note_response(row, left_s, sent_s, is_success=is_success):
            record = row.record
            self._loads.note_cold(ColdEndpoint(record.id, record.born_ms, left_s))

    def _note_rejection(self, exchange: Exchange, row: Endpoint) -> None:
        """Pause until this daemon's share of rejections allows for another one."""
        rate_per_s = max(MIN_REJECTIONS_PER_S, row.max_rejections_per_s)
        self._note_pause(exchange, row, self._count_daemons() / rate_per_s)

    def _note_pause(self, exchange: Exchange, row: Endpoint, pause_s: float) -> None:
        now_s = self._core.clock()
        left_s = max(0.0, row.paused_until_s - now_s)
        row.paused_until_s = max(row.paused_until_s, now_s + pause_s)
        self._core.metrics.pauses.inc({})
        self._core.events.record(
            "endpoint_pause",
            endpoint=row.record.id,
            pause_s=pause_s,
            left_s=left_s,
            request=exchange.meta.id,
        )

    def _note_leaving(self, exchange: Exchange, row: Endpoint) -> None:
        record = row.record
        if not self._table.note_leaving(record.id, record.born_ms):
            return
        self._loads.note_leaving(LeavingEndpoint(record.id, record.born_ms))
        self._core.events.record(
            "endpoint_leaving",
            endpoint=record.id,
            state=record.state.value,
            request=exchange.meta.id,
        )

    def _note_limit(
        self,
        exchange: Exchange,
        row: Endpoint,
        limit_per_s: float | None,
        sent_s: float,
    ) -> None:
        before = row.limit.rate_per_s
        if limit_per_s is not None:
            is_changed = row.limit.note(limit_per_s, self._core.clock())
        else:
            is_changed = row.limit.note_unlimited(sent_s)
        if is_changed or limit_per_s is not None:
            record = row.record
            limit = EndpointLimit(record.id, record.born_ms, limit_per_s)
            self._loads.note_limit(limit, is_changed=is_changed)
        if is_changed:
            self._core.events.record(
                "endpoint_limit",
                endpoint=row.record.id,
                limit_per_s=limit_per_s,
                before_per_s=before,
                request=exchange.meta.id,
            )
