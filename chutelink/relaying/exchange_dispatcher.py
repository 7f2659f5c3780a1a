"""Endpoint selection for requests, including the waits before a dispatch."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from multidict import CIMultiDict

from ..coldstart.grants import ColdGrantManager
from ..coldstart.states import ColdStates
from ..core import Application
from ..eligibility.checker import EligibilityChecker
from ..eligibility.model import IneligibleReason
from ..entry.config import Route
from ..entry.endpoints import Endpoint, EndpointTable
from ..entry.headers import Dispatch, HeaderCodec, RequestMeta
from ..entry.load_tracker import LoadTracker
from ..entry.messages import PromptNotice
from ..entry.pending import PendingTable
from ..entry.shutdown import Drain
from ..gateway.refusals import Refusal, unavailable
from ..ids import DaemonId, FailureDomainName, model_ref
from ..learning.durations import DurationTable
from ..learning.health import HealthTable
from ..learning.prefill import PrefillTable
from ..learning.prefixes import PrefixTable, hash_chain
from ..learning.speeds import SpeedTable
from ..limits.permits import PermitManager
from ..memory import MemoryBudget
from ..origins.manager import OriginManager
from ..quarantine.service import Quarantine
from ..regions.homes import HomeRegions
from ..watching.table_state import TableFreshness
from .backpressure import SEND_MARGIN_S, BackPressureGate
from .call_progress import CallProgress
from .exchange import Exchange, urgency_of
from .model_wait import HONORED_RETRY_SHARE
from .model_waiter import ModelWaiter, can_be_loaded
from .quarantine_gate import QuarantineGate
from .retry_budget import RetryBudgetShare
from .routing import PrefixChoice, RoutingPolicy, RoutingRequest
from .signals import SignalReader
from .upstream import EndpointCall
from .version_gate import VersionGate
from .waits import StoppableWaits

CHECK_BUDGET_SHARE = 0.9
"""Share of the retry budget that checks of ends may use; the rest is for failures."""
OPTIONAL_CHECK_BUDGET_SHARE = 0.5
"""The same for checks of ends that count without them."""
DEFAULT_RETRY_DELAY_S = 0.5
MIN_RETRY_DELAY_S = 0.2
OUTDATED_POLL_S = 0.02
REFUSAL_TITLES = {
    IneligibleReason.EVACUATED: "all endpoints are in evacuated failure domains",
    IneligibleReason.OUTSIDE_HOME_REGIONS: "no endpoint is in the home regions",
}
RETRY_DELAYS_S = {
    IneligibleReason.EVACUATED: 1.0,
    IneligibleReason.OUTSIDE_HOME_REGIONS: 1.0,
}
"""Retry-After delays: operators end an evacuation or change homes within seconds."""


async def _async_skip_refresh(as_of_s: float, limit_s: float) -> None:
    """Read nothing, where the list of endpoints doesn't come from a store."""


class ExchangeDispatcher:
    """Selects endpoints for requests, and holds the tables that this uses.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    header_codec : HeaderCodec
        Decodes and encodes headers.
    table, health, prefixes, speeds, durations, prefill_table, pending, loads
        State of endpoints, and updates for other daemons.
    retry_budget : RetryBudgetShare
        Limits retries.
    policy : RoutingPolicy
        Chooses among the eligible endpoints.
    quarantine : Quarantine
        Identifies requests by content, and tracks those that crash endpoints.
    permits : PermitManager
        Grants permits for endpoints with a rate limit.
    origins : OriginManager
        Records of which software version began a stream.
    eligibility : EligibilityChecker
        Decides which endpoints a request may be sent to.
    cold_grants : ColdGrantManager, optional
        Requests grants for cold endpoints.
    """

    def __init__(
        self,
        core: Application,
        header_codec: HeaderCodec,
        table: EndpointTable,
        health: HealthTable,
        prefixes: PrefixTable,
        speeds: SpeedTable,
        durations: DurationTable,
        prefill_table: PrefillTable,
        pending: PendingTable,
        loads: LoadTracker,
        retry_budget: RetryBudgetShare,
        policy: RoutingPolicy,
        quarantine: Quarantine,
        permits: PermitManager,
        origins: OriginManager,
        eligibility: EligibilityChecker | None = None,
        cold_grants: ColdGrantManager | None = None,
    ) -> None:
        self.core = core
        self.header_codec = header_codec
        self.table = table
        self.health = health
        self.prefixes = prefixes
        self.speeds = speeds
        self.durations = durations
        self.prefill_table = prefill_table
        self.pending = pending
        self.loads = loads
        self.retry_budget = retry_budget
        self._policy = policy
        self.quarantine = quarantine
        self.drain = Drain(core)
        self.response_memory: MemoryBudget | None = None
        """Memory that responses share, None if only each of them is limited."""
        self.waits = StoppableWaits(self.drain)
        self.gate = QuarantineGate(quarantine, self.waits)
        self._eligibility = eligibility or EligibilityChecker()
        if cold_grants is None:
            # No service has a limit for cold endpoints.
            cold_grants = ColdGrantManager(core, table, ColdStates(core, table, dict))
        self._model_waiter = ModelWaiter(
            core, table, speeds, pending, loads, self._eligibility
        )
        self.signals = SignalReader(
            core,
            header_codec,
            table,
            loads,
            lambda: retry_budget.daemons,
            cold_grants.states,
        )
        self._back_pressure = BackPressureGate(
            core, table, permits, self._eligibility, cold_grants
        )
        self.homes: HomeRegions | None = None
        """The home regions of requests, None if they may be served anywhere."""
        self.on_prompt: Callable[[PromptNotice], None] = lambda _: None
        self.on_rerun: Callable[[Exchange], None] = lambda _: None
        """Called when a request that may have run is sent again."""
        self.on_path_failure: Callable[[str], None] = lambda _: None
        """Called with the address of an endpoint that did not respond."""
        self.knowledge: Callable[[], TableFreshness | None] = lambda: None
        self.refresh_endpoints: Callable[[float, float], Awaitable[None]] = (
            _async_skip_refresh
        )
        """Reads the list of endpoints unless it is known as of a time."""
        self.versions = VersionGate(
            core,
            table,
            origins,
            lambda: self.knowledge(),
            lambda as_of_s, limit_s: self.refresh_endpoints(as_of_s, limit_s),
        )

    def start_draining(self, deadline_s: float) -> None:
        """Refuse requests that could last longer, also those that wait already.

        ``deadline_s`` is when the requests in flight are ended.
        """
        self.drain.deadline_s = deadline_s
        self.waits.refuse_unfinishable()

    def stop_waiting(self) -> None:
        """Refuse requests that wait for an endpoint now or later; used on shutdown."""
        self.waits.stop()

    def make_routing_request(self, meta: RequestMeta, route: Route) -> RoutingRequest:
        """Return the properties of a request that endpoint selection uses."""
        tokens = 0
        totals = []
        for part in meta.prompt:
            tokens += part.tokens
            totals.append(tokens)
        return RoutingRequest(
            model=meta.model,
            adapter=meta.adapter,
            prompt_tokens=meta.prompt_tokens,
            chain=hash_chain(meta.model, meta.adapter, meta.prompt),
            chain_tokens=tuple(totals),
            failure_domain=FailureDomainName(self.core.daemon.failure_domain),
            objective_s=route.objective_s,
            output_tokens=meta.output_tokens,
        )

    def note_arrival(self, exchange: Exchange) -> None:
        """Count a request for the retry budget and for placement."""
        now_s = self.core.clock()
        self.retry_budget.note_request(exchange.service.name, now_s)
        if exchange.service.engine is not None and exchange.meta.model:
            meta = exchange.meta
            read_s = self.speeds.read_s(meta.model, meta.prompt_tokens)
            self.speeds.note_prompt(read_s)
            self.loads.note_arrival(meta.model, meta.adapter, read_s)

    async def async_acquire(self, exchange: Exchange) -> Endpoint:
        """Return the endpoint for the next attempt, waiting for a load if useful.

        Raises
        ------
        Refusal
            No endpoint is available in time, or the request is quarantined.
        """
        async with self.waits.async_refuse_at_stop(exchange):
            while self._eligibility.is_outdated():
                await asyncio.sleep(OUTDATED_POLL_S)
            row = await self._async_find_endpoint(exchange)
        # The wait may have taken seconds, in which other daemons may have run it.
        self.gate.check(exchange)
        if exchange.left_s(self.core.clock()) <= 0:
            # The caller has given up. Also happens after a suspension of the VM.
            raise unavailable("the time limit was reached", DEFAULT_RETRY_DELAY_S)
        if not exchange.may_have_run:
            # The wait may have ended as the daemon was asked to stop.
            self.drain.check(exchange.deadline_s)
        return row

    async def _async_find_endpoint(self, exchange: Exchange) -> Endpoint:
        row = await self._async_find_available(exchange)
        if row is not None:
            return row
        self._check_version(exchange)
        self._check_eligibility(exchange)
        try:
            row = await self._async_wait_for_model(exchange)
        except Refusal:
            self._check_back_pressure(exchange)
            raise
        if await self._back_pressure.async_admit(exchange, row):
            return row
        if self._back_pressure.has_cold_limit(exchange):
            row = await self._async_find_available(exchange)
            if row is not None:
                return row
        self._check_back_pressure(exchange)
        raise unavailable("no endpoint is ready", DEFAULT_RETRY_DELAY_S)

    def _check_eligibility(self, exchange: Exchange) -> None:
        """Refuse a request at once that no endpoint of its service may get.

        Raises
        ------
        Refusal
            All endpoints of the service are ineligible.
        """
        now_s = self.core.clock()
        rows = self.table.of_service(exchange.service.name, now_s)
        reason = self._eligibility.common_reason(rows, exchange.requirements, now_s)
        if reason is None:
            return
        self.core.events.record(
            "request_ineligible", request=exchange.meta.id, reason=reason.value
        )
        raise unavailable(REFUSAL_TITLES[reason], RETRY_DELAYS_S[reason])

    async def _async_wait_for_model(self, exchange: Exchange) -> Endpoint:
        if not can_be_loaded(exchange):
            raise unavailable("no endpoint is ready", DEFAULT_RETRY_DELAY_S)
        return await self._model_waiter.async_wait(exchange, self._choose_or_refuse)

    def _check_back_pressure(self, exchange: Exchange) -> None:
        """Refuse a request if all endpoints that could serve it apply back pressure.

        Raises
        ------
        Refusal
            All these endpoints are at their limits or have requested a pause.
        """
        retry_delay_s = self._back_pressure.retry_delay_s(
            self._reachable_rows(exchange)
        )
        if retry_delay_s is not None:
            raise unavailable("endpoints take no more for now", retry_delay_s)

    def retry_after_s(self, exchange: Exchange) -> float:
        """Return the Retry-After delay of a request that was not run."""
        retry_delay_s = self._back_pressure.retry_delay_s(
            self._reachable_rows(exchange)
        )
        return DEFAULT_RETRY_DELAY_S if retry_delay_s is None else retry_delay_s

    async def _async_find_available(self, exchange: Exchange) -> Endpoint | None:
        """Return an endpoint that accepts the request, None if none does in time."""
        while True:
            row = self._choose(exchange)
            if row is not None:
                self._check_backlog(exchange)
                row = await self._async_wait_for_capacity(exchange, row)
            if row is None or await self._back_pressure.async_admit(exchange, row):
                return row

    async def _async_wait_for_capacity(
        self, exchange: Exchange, row: Endpoint
    ) -> Endpoint | None:
        """Wait while the prompt would make streams pause, if the caller has the time.

        Returns the endpoint to send to, None if none is available any more.
        """
        while row is not None and not exchange.may_have_run:
            now_s = self.core.clock()
            capacity_in_s = self._capacity_in_s(exchange, row, now_s)
            last_s = exchange.first_event_deadline_s
            latest_s = last_s - exchange.expected_s - SEND_MARGIN_S
            if capacity_in_s <= 0 or now_s + capacity_in_s > latest_s:
                break
            await asyncio.sleep(capacity_in_s)
            row = self._choose(exchange)
        return row

    def _capacity_in_s(self, exchange: Exchange, row: Endpoint, now_s: float) -> float:
        """Return the time until an endpoint has capacity for the prompt."""
        endpoint = row.record.id
        read_s = self._policy.uncached_read_s(row, exchange.candidate, now_s)
        read_s *= self.speeds.endpoint_factor(endpoint)
        max_pause_s = exchange.route.max_pause_s
        return self.prefill_table.prefill_delay_s(endpoint, read_s, now_s, max_pause_s)

    def note_prompt(self, exchange: Exchange, row: Endpoint, read_s: float) -> None:
        """Record that a prompt is sent, and announce it to the other daemons."""
        self._count_prompt_tokens(exchange.prefix_choice)
        candidate = exchange.candidate
        sizes = self.prefixes.sizes(candidate)
        self.prefixes.note(row.record.id, candidate.chain, self.core.clock(), sizes)
        self.loads.note_prompt(row.record.id, candidate.chain, sizes)
        endpoint_read_s = read_s * self.speeds.endpoint_factor(row.record.id)
        self.prefill_table.note(row.record.id, endpoint_read_s, self.core.clock())
        ref = model_ref(exchange.meta.model, exchange.meta.adapter)
        daemon = DaemonId(self.core.daemon.id)
        self.on_prompt(PromptNotice(daemon, row.record.id, ref, read_s))

    def _count_prompt_tokens(self, choice: PrefixChoice | None) -> None:
        if choice is None:
            return
        counter = self.core.metrics.prompt_tokens
        counter.add({"kind": "read"}, choice.read_tokens)
        counter.add({"kind": "read_in_vain"}, choice.read_in_vain_tokens)
        counter.add({"kind": "saved"}, choice.held_tokens)

    def _check_backlog(self, exchange: Exchange) -> None:
        """Refuse a request whose caller would leave before the best endpoint answers.

        It is refused at once: until its caller left, it would delay all requests that
        are queued behind it. Requests of the highest priority are exempt: endpoints
        admit them first, so that the expected time doesn't apply to them.

        Raises
        ------
        Refusal
            The backlog is too long.
        """
        if exchange.may_have_run or exchange.service.engine is None:
            return
        if not exchange.priority:
            return
        now_s = self.core.clock()
        excess_s = exchange.expected_s - (exchange.first_event_deadline_s - now_s)
        if excess_s <= 0:
            return
        # After a mean stream duration the current streams have most likely ended.
        stream_s = self.durations.mean_s(exchange.meta.model)
        retry_delay_s = max(excess_s, stream_s, MIN_RETRY_DELAY_S)
        retry_delay_s = min(retry_delay_s, HONORED_RETRY_SHARE * exchange.left_s(now_s))
        raise unavailable("endpoints are busy", retry_delay_s)

    def _reachable_rows(self, exchange: Exchange) -> list[Endpoint]:
        """Return the reachable endpoints that have the requested model and adapter."""
        now_s = self.core.clock()
        rows = self.table.of_service(exchange.service.name, now_s)
        rows = self._eligibility.eligible(rows, exchange.requirements, now_s)
        rows = self.versions.matching_rows(exchange, rows)
        meta = exchange.meta
        if exchange.service.engine is not None and meta.model:
            rows = [row for row in rows if row.holds(meta.model, meta.adapter)]
        return [r for r in rows if self.health.is_reachable(r.record.id, now_s)]

    def _eligible_rows(self, exchange: Exchange) -> list[Endpoint]:
        """Return the reachable endpoints that the request may still be sent to."""
        rows = self._reachable_rows(exchange)
        if exchange.switch_to is not None:
            chosen = [r for r in rows if r.record.id == exchange.switch_to]
            if chosen:
                return chosen
        if len(set(exchange.tried)) >= exchange.route.max_endpoints:
            rows = [r for r in rows if r.record.id in exchange.tried]
        others = [r for r in rows if r.record.id not in exchange.tried]
        if others or not (exchange.is_repeatable and exchange.may_have_run):
            # The only endpoint with the model may well answer a second attempt.
            return others
        return rows

    def alternatives(self, exchange: Exchange) -> list[Endpoint]:
        """Return the endpoints that can take over from the current attempt's.

        That endpoint is returned if there is no other: its connection may be broken
        without a notice.
        """
        reachable = self._reachable_rows(exchange)
        others = [row for row in reachable if row.record.id not in exchange.tried]
        return self._back_pressure.available_rows(others or reachable, exchange)

    def choose_among(self, rows: list[Endpoint], exchange: Exchange) -> Endpoint | None:
        """Return the best of some endpoints for a request, None if there are none."""
        return self._policy.choose(rows, exchange.candidate, self.core.clock())

    def _choose(self, exchange: Exchange) -> Endpoint | None:
        now_s = self.core.clock()
        eligible = self._eligible_rows(exchange)
        rows = self._back_pressure.available_rows(eligible, exchange)
        if len(rows) > 1:
            free = [r for r in rows if self._capacity_in_s(exchange, r, now_s) <= 0]
            rows = free or rows
        row = self._policy.choose(rows, exchange.candidate, now_s)
        exchange.knowledge = self.knowledge()
        if row is not None:
            expected_s = self._policy.expected_s(row, exchange.candidate, now_s)
            exchange.expected_s = expected_s
            exchange.prefix_choice = self._policy.prefix_choice(
                row, eligible, exchange.candidate, now_s
            )
        return row

    def _choose_or_refuse(self, exchange: Exchange) -> Endpoint | None:
        row = self._choose(exchange)
        if row is None:
            self._check_version(exchange)
            # The home regions or the endpoints may have changed during the wait.
            self._check_eligibility(exchange)
        return row

    def _check_version(self, exchange: Exchange) -> None:
        """Refuse a stream that no endpoint of its software version can continue."""
        now_s = self.core.clock()
        rows = self.table.of_service(exchange.service.name, now_s)
        rows = self._eligibility.eligible(rows, exchange.requirements, now_s)
        self.versions.check(exchange, rows)

    def make_call(self, exchange: Exchange, row: Endpoint) -> EndpointCall:
        """Return the call to an endpoint, with the headers of this dispatch.

        The last attempt uses no pooled connection, which may just have been closed. Nor
        does another attempt at one endpoint: a late response to the attempt before has
        the same request id.
        """
        is_first = exchange.tried.count(row.record.id) <= 1
        headers = CIMultiDict(exchange.headers)
        customer = exchange.admission.customer
        now_s = self.core.clock()
        dispatch = Dispatch(
            endpoint=row.record.id,
            deadline_s=exchange.left_s(now_s),
            urgency=urgency_of(exchange, now_s),
            resume_after=exchange.resume_after,
            customer=customer.name if customer is not None else None,
        )
        self.header_codec.encode_dispatch(headers, dispatch)
        exchange.last_call = CallProgress()
        if exchange.lease is not None:
            exchange.lease.restart(row.record.id)
        return EndpointCall(
            exchange.method,
            exchange.target,
            exchange.host,
            headers,
            exchange.body,
            exchange.is_repeatable and is_first and self.may_retry(exchange),
            lambda: self._may_send(exchange, row),
            self._back_pressure.send_left_s(exchange),
            exchange.requirements,
            exchange.last_call,
            exchange.lease,
        )

    def _may_send(self, exchange: Exchange, row: Endpoint) -> bool:
        now_s = self.core.clock()
        return self._eligibility.may_send(row, exchange.requirements, now_s)

    def take_retry(self, exchange: Exchange) -> bool:
        """Return whether a request may be retried; if so, take one from the budget.

        The retry of a stream whose end is unproven is another check of the end.
        """
        is_check = exchange.is_end_unproven
        if is_check and not self.may_check_end(exchange, is_optional=False):
            return False
        if not self.reserve_retry(exchange):
            return False
        exchange.is_retry_reserved = False
        if exchange.may_have_run and not is_check:
            self.on_rerun(exchange)
        return True

    def may_retry(self, exchange: Exchange) -> bool:
        """Return whether a request may be retried, apart from the retry budget."""
        is_return = exchange.switch_to in exchange.tried
        attempts = len(exchange.tried) - exchange.end_checks
        if attempts >= exchange.route.max_endpoints and not is_return:
            return False
        return not exchange.is_trial and not self.gate.is_quarantined(exchange)

    def has_retry_left(self, exchange: Exchange) -> bool:
        """Return whether the budget has a retry left, or one has been reserved."""
        now_s = self.core.clock()
        return exchange.is_retry_reserved or self.retry_budget.has_left(
            exchange.service.name, now_s
        )

    def may_check_end(self, exchange: Exchange, *, is_optional: bool) -> bool:
        """Return whether the budget has a retry left for the check of an end.

        ``is_optional`` is whether the end counts without the check.
        """
        share = OPTIONAL_CHECK_BUDGET_SHARE if is_optional else CHECK_BUDGET_SHARE
        return exchange.is_retry_reserved or self.retry_budget.has_left(
            exchange.service.name, self.core.clock(), share
        )

    def reserve_retry(self, exchange: Exchange) -> bool:
        """Take a retry from the budget for the next attempt, if that is allowed."""
        if not self.may_retry(exchange):
            return False
        if not exchange.is_retry_reserved:
            exchange.is_retry_reserved = self.retry_budget.take(
                exchange.service.name, self.core.clock()
            )
        return exchange.is_retry_reserved
