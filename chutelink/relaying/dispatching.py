"""The choice of endpoints for requests, and what they wait for before it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from multidict import CIMultiDict

from ..core import Application
from ..entry.config import Route
from ..entry.dialect import Dialect, Dispatch, RequestMeta
from ..entry.endpoints import Endpoint, EndpointTable
from ..entry.loads import LoadBook
from ..entry.news import PromptNews
from ..entry.pending import PendingTable
from ..gateway.refusals import Refusal, unavailable
from ..ids import DaemonId, FailureDomainName, model_ref
from ..learning.durations import DurationTable
from ..learning.health import HealthTable
from ..learning.prefixes import PrefixTable, hash_chain
from ..learning.reading import ReadingTable
from ..learning.speeds import SpeedTable
from ..limits.permits import PermitDesk
from ..quarantine.service import Quarantine
from ..watching.followed import Knowledge
from .backpressure import SEND_MARGIN_S, BackPressureGate
from .exchange import Exchange, urgency_of
from .gate import QuarantineGate
from .modelwait import ModelWaiter, may_be_loaded
from .retries import RetryShare
from .routing import Candidate, RoutingPolicy
from .signals import SignalReader
from .upstream import EndpointCall
from .waiting import RETRY_SHARE

DEFAULT_RETRY_S = 0.5
MIN_BACK_S = 0.2


class Exchanges:
    """All that sending requests needs: tables, policies and the budget.

    Parameters
    ----------
    core : Application
        The owner.
    dialect : Dialect
        How headers are read and written.
    table, health, prefixes, speeds, durations, reading, pending, loads, retries
        What is known of endpoints, and what is told of them.
    policy : RoutingPolicy
        Chooses endpoints.
    quarantine : Quarantine
        Knows requests by their content, and which ended their endpoints.
    permits : PermitDesk
        Grants permits for endpoints that name a limit.
    """

    def __init__(
        self,
        core: Application,
        dialect: Dialect,
        table: EndpointTable,
        health: HealthTable,
        prefixes: PrefixTable,
        speeds: SpeedTable,
        durations: DurationTable,
        reading: ReadingTable,
        pending: PendingTable,
        loads: LoadBook,
        retries: RetryShare,
        policy: RoutingPolicy,
        quarantine: Quarantine,
        permits: PermitDesk,
    ) -> None:
        self.core = core
        self.dialect = dialect
        self.table = table
        self.health = health
        self.prefixes = prefixes
        self.speeds = speeds
        self.durations = durations
        self.reading = reading
        self.pending = pending
        self.loads = loads
        self.retries = retries
        self._policy = policy
        self.quarantine = quarantine
        self.gate = QuarantineGate(quarantine)
        self._waiter = ModelWaiter(core, table, speeds, pending, loads)
        self.signals = SignalReader(core, dialect, table, loads)
        self._back_pressure = BackPressureGate(core, table, permits)
        self.is_closing = False
        self.on_prompt: Callable[[PromptNews], None] = lambda _: None
        self.on_second_run: Callable[[Exchange], None] = lambda _: None
        """Called when a request is sent once more that may have run."""
        self.knowledge: Callable[[], Knowledge | None] = lambda: None

    def stop_waiting(self) -> None:
        """Refuse what waits for a model, now and from now on: this daemon ends."""
        self.is_closing = self._waiter.is_closing = True
        self.pending.signal()

    def make_candidate(self, meta: RequestMeta, route: Route) -> Candidate:
        """Return what the choice of endpoints needs of a request."""
        tokens = 0
        totals = []
        for part in meta.prompt:
            tokens += part.tokens
            totals.append(tokens)
        return Candidate(
            model=meta.model,
            adapter=meta.adapter,
            prompt_tokens=meta.prompt_tokens,
            chain=hash_chain(meta.model, meta.adapter, meta.prompt),
            chain_tokens=tuple(totals),
            failure_domain=FailureDomainName(self.core.daemon.failure_domain),
            objective_s=route.objective_s,
        )

    def note_arrival(self, exchange: Exchange) -> None:
        """Count a request for the budget of repeats and for placement."""
        now_s = self.core.clock()
        self.retries.note_request(exchange.service.name, now_s)
        if exchange.service.engine is not None and exchange.meta.model:
            meta = exchange.meta
            read_s = self.speeds.read_s(meta.model, meta.prompt_tokens)
            self.speeds.note_prompt(read_s)
            self.loads.note_arrival(meta.model, meta.adapter, read_s)

    async def async_acquire(self, exchange: Exchange) -> Endpoint:
        """Return the endpoint to send to next, waiting for a load where it pays.

        Raises
        ------
        Refusal
            There is none in time, or the request is kept away.
        """
        row = await self._async_find(exchange)
        # It may have waited for seconds, and others may have run it meanwhile.
        self.gate.check(exchange)
        if exchange.left_s(self.core.clock()) <= 0:
            # After a suspension of the VM too: nobody waits for an answer any more.
            raise unavailable("the time limit was reached", DEFAULT_RETRY_S)
        return row

    async def _async_find(self, exchange: Exchange) -> Endpoint:
        row = await self._async_find_open(exchange)
        if row is not None:
            return row
        try:
            row = await self._async_wait_for_model(exchange)
        except Refusal:
            self._check_back_pressure(exchange)
            raise
        if not await self._back_pressure.async_admit(exchange, row):
            self._check_back_pressure(exchange)
            raise unavailable("no endpoint is ready", DEFAULT_RETRY_S)
        return row

    async def _async_wait_for_model(self, exchange: Exchange) -> Endpoint:
        if not may_be_loaded(exchange):
            raise unavailable("no endpoint is ready", DEFAULT_RETRY_S)
        return await self._waiter.async_wait(exchange, self._choose)

    def _check_back_pressure(self, exchange: Exchange) -> None:
        """Refuse what only endpoints could serve that take nothing for now.

        Raises
        ------
        Refusal
            All endpoints that could serve it are at their limits, or have requested
            a pause.
        """
        back_s = self._back_pressure.back_in_s(self._reachable(exchange))
        if back_s is not None:
            raise unavailable("endpoints take no more for now", back_s)

    def retry_after_s(self, exchange: Exchange) -> float:
        """Return when the caller of a request that was not run should come back."""
        back_s = self._back_pressure.back_in_s(self._reachable(exchange))
        return DEFAULT_RETRY_S if back_s is None else back_s

    async def _async_find_open(self, exchange: Exchange) -> Endpoint | None:
        """Return an endpoint that may be sent to now, None if there is none in time."""
        while True:
            row = self._choose(exchange)
            if row is not None:
                self._check_backlog(exchange)
                row = await self._async_until_room(exchange, row)
            if row is None or await self._back_pressure.async_admit(exchange, row):
                return row

    async def _async_until_room(
        self, exchange: Exchange, row: Endpoint
    ) -> Endpoint | None:
        """Wait while a prompt would make streams pause, as long as it is in time.

        Returns the endpoint to send to, None if there is none any more.
        """
        while row is not None and not exchange.tried:
            now_s = self.core.clock()
            room_in_s = self._room_in_s(exchange, row, now_s)
            due_s = exchange.started_s + exchange.route.objective_s
            latest_s = due_s - exchange.expected_s - SEND_MARGIN_S
            if room_in_s <= 0 or now_s + room_in_s > latest_s or self.is_closing:
                break
            await asyncio.sleep(room_in_s)
            row = self._choose(exchange)
        return row

    def _room_in_s(self, exchange: Exchange, row: Endpoint, now_s: float) -> float:
        """Return after what time an endpoint could read a prompt."""
        endpoint = row.record.id
        read_s = self._policy.own_read_s(row, exchange.candidate, now_s)
        read_s *= self.speeds.endpoint_factor(endpoint)
        max_pause_s = exchange.route.max_pause_s
        return self.reading.room_in_s(endpoint, read_s, now_s, max_pause_s)

    def note_prompt(self, exchange: Exchange, row: Endpoint, read_s: float) -> None:
        """Take in, and tell the others, that a prompt is being sent."""
        here_s = read_s * self.speeds.endpoint_factor(row.record.id)
        self.reading.note(row.record.id, here_s, self.core.clock())
        ref = model_ref(exchange.meta.model, exchange.meta.adapter)
        daemon = DaemonId(self.core.daemon.id)
        self.on_prompt(PromptNews(daemon, row.record.id, ref, read_s))

    def _check_backlog(self, exchange: Exchange) -> None:
        """Refuse at once what would be late at the best endpoint there is.

        Answers the load of a model whose endpoints are full: what is sent all the
        same makes everything behind it late too. The first rank is sent all the
        same: endpoints admit it first, and its callers would come back to be refused
        again.

        Raises
        ------
        Refusal
            The backlog is too long.
        """
        if exchange.tried or exchange.service.engine is None:
            return
        if not exchange.priority or exchange.resume_after is not None:
            return
        now_s = self.core.clock()
        due_s = exchange.started_s + exchange.route.objective_s - now_s
        if exchange.expected_s <= due_s:
            return
        # After a mean stream those that hold the places now have most likely ended.
        stream_s = self.durations.mean_s(exchange.meta.model)
        back_s = max(exchange.expected_s - due_s, stream_s, MIN_BACK_S)
        back_s = min(back_s, RETRY_SHARE * exchange.left_s(now_s))
        raise unavailable("endpoints are busy", back_s)

    def _reachable(self, exchange: Exchange) -> list[Endpoint]:
        """Return the endpoints that hold what is requested and can be reached."""
        now_s = self.core.clock()
        rows = self.table.of_service(exchange.service.name, now_s)
        meta = exchange.meta
        if exchange.service.engine is not None and meta.model:
            rows = [row for row in rows if row.holds(meta.model, meta.adapter)]
        return [r for r in rows if self.health.is_reachable(r.record.id, now_s)]

    def _untried(self, exchange: Exchange) -> list[Endpoint]:
        """Return the endpoints that a request may be sent to."""
        rows = self._reachable(exchange)
        others = [r for r in rows if r.record.id not in exchange.tried]
        if others or not (exchange.is_repeatable and exchange.may_have_run):
            # Where only one holds the model, it may well answer the second time.
            return others
        return rows

    def _choose(self, exchange: Exchange) -> Endpoint | None:
        now_s = self.core.clock()
        rows = self._back_pressure.open_rows(self._untried(exchange), exchange)
        if len(rows) > 1:
            free = [r for r in rows if self._room_in_s(exchange, r, now_s) <= 0]
            rows = free or rows
        row = self._policy.choose(rows, exchange.candidate, now_s)
        exchange.knowledge = self.knowledge()
        if row is not None:
            expected_s = self._policy.expected_s(row, exchange.candidate, now_s)
            exchange.expected_s = expected_s
        return row

    def make_call(self, exchange: Exchange, row: Endpoint) -> EndpointCall:
        """Return the request as it goes to an endpoint now."""
        headers = CIMultiDict(exchange.headers)
        customer = exchange.admission.customer
        dispatch = Dispatch(
            endpoint=row.record.id,
            deadline_s=exchange.left_s(self.core.clock()),
            urgency=urgency_of(exchange),
            resume_after=exchange.resume_after,
            customer=customer.name if customer is not None else None,
        )
        self.dialect.encode_dispatch(headers, dispatch)
        return EndpointCall(
            exchange.method,
            exchange.target,
            exchange.host,
            headers,
            exchange.body,
            exchange.is_repeatable,
        )

    def may_repeat(self, exchange: Exchange) -> bool:
        """Spend one repeat of the budget; return whether it may be sent again."""
        if len(exchange.tried) >= exchange.route.max_endpoints:
            return False
        if exchange.is_trial or self.gate.is_held(exchange):
            return False
        if not self.retries.take(exchange.service.name, self.core.clock()):
            return False
        if exchange.may_have_run:
            self.on_second_run(exchange)
        return True
