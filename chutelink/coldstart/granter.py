"""Grants for requests to cold endpoints, issued by the holder of the placer's lease."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..entry.endpoints import EndpointTable
from ..ids import EndpointId
from ..placing.lease import PlacerLease
from .const import COLD_RETRY_PAUSE_S, COLD_WINDOW_S
from .messages import ColdGrantRequest
from .model import Grant, GrantVerdict
from .states import ColdStates
from .window import GrantWindow


class ColdGranter:
    """Issues grants while this daemon holds the placer's lease.

    A grant counts even if its answer is lost. Windows are kept only as long as they
    have grants, so that memory is bounded by the grants of ``COLD_WINDOW_S``.

    Parameters
    ----------
    table : EndpointTable
        The endpoints.
    states : ColdStates
        The limits of services.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self, table: EndpointTable, states: ColdStates, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._states = states
        self._clock = clock
        self._windows: dict[EndpointId, GrantWindow] = {}
        self.lease: PlacerLease | None = None
        """The placer's lease; None before it exists."""

    @property
    def may_grant(self) -> bool:
        """Whether this daemon may act as the placer now."""
        return self.lease is not None and self.lease.may_order

    def decide(self, request: ColdGrantRequest) -> Grant:
        """Issue or refuse a grant."""
        # The time is taken before the lease is checked. If this daemon is suspended in
        # between, the lease has expired.
        now_s = self._clock()
        if not self.may_grant:
            return Grant(GrantVerdict.NOT_HOLDER, COLD_RETRY_PAUSE_S)
        wait_s = COLD_WINDOW_S - self.lease.term_age_s
        if wait_s > 0:
            return Grant(GrantVerdict.TERM_TOO_NEW, wait_s)
        window = self._window(request, now_s)
        if request.born_ms < window.born_ms:
            return Grant(GrantVerdict.OUTDATED_PROCESS, COLD_RETRY_PAUSE_S)
        max_grants = self._max_grants(request)
        if window.take(max_grants, now_s):
            return Grant(GrantVerdict.GRANTED)
        return Grant(GrantVerdict.WINDOW_FULL, window.retry_in_s(max_grants, now_s))

    def _window(self, request: ColdGrantRequest, now_s: float) -> GrantWindow:
        """Return the endpoint's window, for its newest known process."""
        endpoint = request.endpoint
        window = self._windows.get(endpoint)
        if window is None:
            self._remove_empty(now_s)
            window = self._windows[endpoint] = GrantWindow(request.born_ms)
        row = self._table.rows.get(endpoint)
        known_ms = 0 if row is None else row.record.born_ms
        window.born_ms = max(window.born_ms, request.born_ms, known_ms)
        return window

    def _max_grants(self, request: ColdGrantRequest) -> int:
        """Return the grants per window, by the lower of both daemons' configurations.

        One of them may not have the latest configuration yet.
        """
        per_s = request.cold_per_s
        row = self._table.rows.get(request.endpoint)
        if row is not None:
            spec = self._states.limited_service(row.record.service)
            per_s = per_s if spec is None else min(per_s, spec.cold_per_s)
        return math.floor(per_s)

    def _remove_empty(self, now_s: float) -> None:
        for endpoint, window in list(self._windows.items()):
            if window.is_empty(now_s):
                del self._windows[endpoint]
