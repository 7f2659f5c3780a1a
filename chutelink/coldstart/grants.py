"""Requests for grants, to the holder of the placer's lease."""

from __future__ import annotations

from collections.abc import Callable

from ..core import Application
from ..entry.endpoints import Endpoint, EndpointTable
from ..ids import DaemonId
from ..limits.const import PERMIT_TIMEOUT_S
from ..limits.pending import PendingAnswers
from .const import COLD_RETRY_PAUSE_S, COLD_SEND_WITHIN_S
from .granter import ColdGranter
from .messages import ColdGrantAnswer, ColdGrantRequest
from .model import Grant, GrantVerdict
from .states import ColdStates

RETRY_SPREAD_S = 0.05
"""Random part of the time until a grant is requested again."""
UNCERTAIN_VERDICTS = frozenset(
    {GrantVerdict.NOT_HOLDER, GrantVerdict.NO_HOLDER, GrantVerdict.NO_ANSWER}
)
"""Refusals after which a grant may only be likely once the endpoint is warm."""


class ColdGrantManager:
    """Requests grants for this daemon's requests, and answers other daemons.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : EndpointTable
        The endpoints.
    states : ColdStates
        The cold states of the endpoints.
    """

    def __init__(
        self, core: Application, table: EndpointTable, states: ColdStates
    ) -> None:
        self._core = core
        self.states = states
        self.granter = ColdGranter(table, states, core.clock)
        self._pending: PendingAnswers[Grant] = PendingAnswers()
        self._paused_until_s = float("-inf")
        self.holder: Callable[[], DaemonId | None] = lambda: None
        """Returns the daemon that sent the last message of a placer."""
        self.linked: Callable[[], set[DaemonId]] = set
        """Returns the daemons to which there is a link."""
        self.send: Callable[[DaemonId, ColdGrantRequest | ColdGrantAnswer], None] = (
            lambda to, message: None
        )

    async def async_request(self, row: Endpoint) -> float | None:
        """Return until when a request may be sent, None if no grant was issued."""
        spec = self.states.limited_service(row.record.service)
        if spec is None:
            return self._core.clock() + COLD_SEND_WITHIN_S
        asked_s = self._core.clock()
        grant = await self._async_ask(row, spec.cold_per_s)
        now_s = self._core.clock()
        if grant.verdict is GrantVerdict.GRANTED:
            if now_s <= asked_s + COLD_SEND_WITHIN_S:
                self._core.metrics.cold_grants.inc({"verdict": grant.verdict.value})
                return asked_s + COLD_SEND_WITHIN_S
            grant = Grant(GrantVerdict.EXPIRED, COLD_RETRY_PAUSE_S)
        self._note_refused(row, grant, row.cold.ends_s(spec.cold_s))
        return None

    def handle_request(self, request: ColdGrantRequest) -> None:
        """Answer another daemon's request."""
        grant = self.granter.decide(request)
        answer = ColdGrantAnswer(
            self._core.daemon_id, request.number, grant.verdict, grant.retry_in_s
        )
        self.send(request.daemon, answer)

    def handle_answer(self, answer: ColdGrantAnswer) -> None:
        """Handle the answer to a request; a late one is discarded."""
        grant = Grant(answer.verdict, answer.retry_in_s)
        self._pending.resolve(answer.number, grant)

    async def _async_ask(self, row: Endpoint, cold_per_s: float) -> Grant:
        own = self._core.daemon_id
        request = ColdGrantRequest(
            own,
            self._pending.next_number(),
            row.record.id,
            row.record.born_ms,
            cold_per_s,
        )
        holder = self.holder()
        if holder == own or self.granter.may_grant:
            return self.granter.decide(request)
        is_paused = self._core.clock() < self._paused_until_s
        if holder is None or holder not in self.linked() or is_paused:
            return Grant(GrantVerdict.NO_HOLDER, COLD_RETRY_PAUSE_S)
        grant = await self._pending.async_wait(
            request.number, lambda: self.send(holder, request), PERMIT_TIMEOUT_S
        )
        if grant is None:
            # Other endpoints are tried without waiting for this daemon again.
            self._paused_until_s = self._core.clock() + COLD_RETRY_PAUSE_S
            return Grant(GrantVerdict.NO_ANSWER, COLD_RETRY_PAUSE_S)
        return grant

    def _note_refused(self, row: Endpoint, grant: Grant, cold_until_s: float) -> None:
        now_s = self._core.clock()
        spread_s = self._core.rng.uniform(0.0, RETRY_SPREAD_S)
        request_s = min(cold_until_s, now_s + grant.retry_in_s + spread_s)
        is_uncertain = grant.verdict in UNCERTAIN_VERDICTS
        row.cold.defer(request_s, cold_until_s if is_uncertain else request_s)
        self._core.metrics.cold_grants.inc({"verdict": grant.verdict.value})
        self._core.events.record(
            "cold_grant_refused",
            endpoint=row.record.id,
            verdict=grant.verdict.value,
            holder=self.holder() or "",
            retry_in_s=max(0.0, request_s - now_s),
        )
