"""Enforce the rate limits and pauses that endpoints request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..coldstart.grants import ColdGrantManager
from ..core import Application
from ..eligibility.checker import EligibilityChecker
from ..entry.endpoints import Endpoint, EndpointTable
from ..limits.const import MAX_DELAY_S, MIN_RETRY_AFTER_S
from ..limits.permits import PermitManager
from .exchange import Exchange

SEND_MARGIN_S = 0.1
"""Reserve for the network path to the endpoint and for delayed state updates."""


class BackPressureGate:
    """Admits a request to an endpoint when the endpoint accepts requests.

    Requests to an endpoint with a rate limit need a permit. An endpoint that requested
    a pause gets no requests until the pause is over, and one that may crash if it
    rejects requests none while all its slots are taken. Requests to a cold endpoint,
    or one in an unknown state, need a grant.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : EndpointTable
        The endpoints.
    permits : PermitManager
        Grants permits.
    eligibility : EligibilityChecker
        Decides which endpoints a request may be sent to.
    cold_grants : ColdGrantManager
        Requests grants for cold endpoints.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        permits: PermitManager,
        eligibility: EligibilityChecker,
        cold_grants: ColdGrantManager,
    ) -> None:
        self._core = core
        self._table = table
        self._permits = permits
        self._eligibility = eligibility
        self._cold_grants = cold_grants

    def available_rows(
        self, rows: list[Endpoint], exchange: Exchange
    ) -> list[Endpoint]:
        """Return the endpoints that may accept a request in time.

        Endpoints without a limit, and those whose limit may have been lifted, are
        preferred: the permits of the others are kept for requests that only they can
        serve. Cold endpoints are used while no warm one has a free slot.
        """
        now_s = self._core.clock()
        latest_s = now_s + self._max_delay_s(exchange, now_s)
        rows = [
            row
            for row in rows
            if not row.is_paused(now_s)
            and not row.is_full
            and row.limit.next_send_s <= latest_s
        ]
        if self.has_cold_limit(exchange):
            rows = self._prefer_warm(rows, now_s, latest_s)
        preferred = [
            row
            for row in rows
            if not row.limit.is_limited or row.limit.is_unconfirmed(now_s)
        ]
        return preferred or rows

    async def async_admit(self, exchange: Exchange, row: Endpoint) -> bool:
        """Wait for permission if needed; return whether the request may be sent now.

        If not, the caller of this method has to choose another endpoint.
        """
        exchange.send_before_s = None
        if row.limit.is_limited and not await self._async_admit_limited(exchange, row):
            return False
        if not self._cold_grants.states.is_cold(row):
            return True
        return await self._async_admit_cold(exchange, row)

    def has_cold_limit(self, exchange: Exchange) -> bool:
        """Return whether cold endpoints of the request's service need grants."""
        states = self._cold_grants.states
        return states.limited_service(exchange.service.name) is not None

    def send_left_s(self, exchange: Exchange) -> Callable[[], float] | None:
        """Return a function for the remaining validity of the request's grant.

        None is returned if the request needs no grant.
        """
        send_before_s = exchange.send_before_s
        if send_before_s is None:
            return None
        return lambda: send_before_s - self._core.clock()

    async def _async_admit_limited(self, exchange: Exchange, row: Endpoint) -> bool:
        """Wait for a permit of an endpoint with a rate limit."""
        limit = row.limit
        record = row.record
        max_delay_s = self._max_delay_s(exchange, self._core.clock())
        permit = await self._permits.async_request_permit(
            record.id, record.born_ms, limit.rate_per_s, max_delay_s
        )
        limit.next_send_s = self._core.clock() + permit.delay_s
        if not permit.is_granted:
            return False
        await asyncio.sleep(permit.delay_s)
        return self._is_still_eligible(exchange, row)

    async def _async_admit_cold(self, exchange: Exchange, row: Endpoint) -> bool:
        """Request a grant, if one is likely in time."""
        now_s = self._core.clock()
        wait_s = row.cold.next_request_s - now_s
        if wait_s > 0:
            if wait_s > self._max_delay_s(exchange, now_s):
                return False
            await asyncio.sleep(wait_s)
            if not self._is_still_eligible(exchange, row):
                return False
            if not self._cold_grants.states.is_cold(row):
                return True
        exchange.send_before_s = await self._cold_grants.async_request(row)
        if exchange.send_before_s is None:
            return False
        return self._is_still_eligible(exchange, row)

    def _prefer_warm(
        self, rows: list[Endpoint], now_s: float, latest_s: float
    ) -> list[Endpoint]:
        """Return the warm endpoints with a free slot, or else what is available next.

        These are cold endpoints with a free slot that may grant a request now, then
        warm ones without a free slot, then the cold one that is likely to grant first.
        """
        cold: list[Endpoint] = []
        warm: list[Endpoint] = []
        for row in rows:
            (cold if self._cold_grants.states.is_cold(row) else warm).append(row)
        if not cold:
            return rows
        free = [row for row in warm if row.has_free_slot]
        if free:
            return free
        askable = [row for row in cold if row.cold.next_request_s <= now_s]
        if warm:
            return [row for row in askable if row.has_free_slot] or warm
        if askable:
            return askable
        first = min(cold, key=lambda row: row.cold.next_request_s)
        return [first] if first.cold.next_request_s <= latest_s else []

    def retry_delay_s(self, rows: list[Endpoint]) -> float | None:
        """Return the Retry-After delay, None if no endpoint applies back pressure.

        The delay is randomized, so that callers that are refused at the same time
        don't retry at the same time.
        """
        now_s = self._core.clock()
        available_from_s = [row.accepts_from_s(now_s) for row in rows]
        if not available_from_s or None in available_from_s:
            return None
        wait_s = max(MIN_RETRY_AFTER_S, min(available_from_s) - now_s)
        return self._core.rng.uniform(wait_s, 2 * wait_s)

    def _max_delay_s(self, exchange: Exchange, now_s: float) -> float:
        """Return how long a request may wait and be served before its caller leaves."""
        last_s = exchange.first_event_deadline_s
        latest_s = last_s - (exchange.expected_s or 0.0) - SEND_MARGIN_S
        return min(MAX_DELAY_S, max(0.0, latest_s - now_s))

    def _is_still_eligible(self, exchange: Exchange, row: Endpoint) -> bool:
        """Return whether an endpoint can still serve the request after the wait."""
        if self._table.rows.get(row.record.id) is not row:
            return False
        now_s = self._core.clock()
        if not row.is_usable(now_s) or row.is_paused(now_s):
            return False
        if self._eligibility.reason(row, exchange.requirements, now_s) is not None:
            return False
        meta = exchange.meta
        is_engine = exchange.service.engine is not None and bool(meta.model)
        return not is_engine or row.holds(meta.model, meta.adapter)
