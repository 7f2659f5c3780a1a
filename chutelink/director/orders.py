"""Carry out one step at an endpoint: claim first, then send."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result

from ..const import PREFIX_LEASE_TERM, PREFIX_LEDGER
from ..core import Application
from ..endpoints.client import EndpointClient
from ..endpoints.messages import Order, OrderAnswer, OrderResult
from ..exceptions import (
    EndpointFailed,
    EndpointUnreachable,
    InvariantViolated,
    OrderNotPossible,
)
from ..fleet.model import EndpointSpec
from ..ids import BootId, EndpointName, FailureDomainName, FencingNumber
from ..store import Check, TableService, Write, async_commit
from ..systems.ledger import (
    allocate_fence,
    apply_answer,
    apply_report,
    check_memory,
    claim_load,
    claim_unload,
    expire_pending,
    release_unloaded,
    remove_refused_load,
)
from ..systems.reconcile import Action, ActionKind, order_action
from ..tables.endpoints import ArtifactState, EndpointReport
from ..tables.ledger import Claim, ClaimState, LedgerRow, OrderAction
from ..tables.state import StateTable, VersionedRow
from .leases import LeaseManager


class OrderExecutor:
    """Writes ledger rows under the lease and sends the orders they allot.

    Parameters
    ----------
    core : Application
        The owner.
    table : TableService
        Where the ledger is.
    client : EndpointClient
        To send orders.
    leases : LeaseKeeper
        Checked in each transaction, and again right before each send.
    state : StateTable
        The rows as last known; own writes are put there.
    order_timeout_s : float
        How long an answer is waited for.
    """

    def __init__(
        self,
        core: Application,
        table: TableService,
        client: EndpointClient,
        leases: LeaseManager,
        state: StateTable,
        order_timeout_s: float,
    ) -> None:
        self._core = core
        self._table = table
        self._client = client
        self._leases = leases
        self._state = state
        self._order_timeout_s = order_timeout_s
        self.on_loaded: Callable[[EndpointName], None] = lambda name: None

    async def async_create_row(self, spec: EndpointSpec) -> None:
        """Write the first row of an endpoint."""
        row = LedgerRow(spec.name, spec.accelerators, spec.memory_mb)
        await self._async_write(spec.failure_domain, row, 0)

    async def async_resize(self, spec: EndpointSpec, stored: VersionedRow) -> None:
        """Take the size that the file declares, if the claims still fit."""
        row = msgspec.structs.replace(
            stored.row, accelerators=spec.accelerators, memory_mb=spec.memory_mb
        )
        await self._async_write(spec.failure_domain, row, stored.version)

    async def async_apply_report(
        self, spec: EndpointSpec, report: EndpointReport
    ) -> None:
        """Bring the row in line with a report; write it only if it changed."""
        stored = self._state.ledger[spec.name]
        if report.boot_id != stored.row.boot_id:
            return
        loaded = [
            held.artifact
            for held in report.artifacts
            if held.state is ArtifactState.LOADED
        ]
        row = apply_report(stored.row, loaded)
        if _has_newly_loaded(stored.row, row):
            self.on_loaded(spec.name)
        row = release_unloaded(row, [held.artifact for held in report.artifacts])
        if row != stored.row:
            await self._async_write(spec.failure_domain, row, stored.version)

    async def async_expire(
        self, spec: EndpointSpec, fences: list[FencingNumber]
    ) -> None:
        """Give up on orders that are past the bound on lateness."""
        stored = self._state.ledger[spec.name]
        row = expire_pending(stored.row, fences)
        await self._async_write(spec.failure_domain, row, stored.version)

    async def async_execute(
        self, spec: EndpointSpec, action: Action, boot_id: BootId
    ) -> None:
        """Claim, send and note the answer of one step.

        Raises
        ------
        ChutelinkError
            Nothing was sent, or the order may still take effect; the claim of
            an order that may was written before.
        """
        stored = self._state.ledger[spec.name]
        row, order = _claim_action(stored.row, action)
        guard = self._guard_checks(action)
        await self._async_write(spec.failure_domain, row, stored.version, guard)
        with self._core.tracer.start_as_current_span(
            "director.order",
            attributes={"endpoint": spec.name, "action": order.action.value},
        ):
            answer = await self._async_send(spec, order)
        if answer is None:
            self._count_order(order.action, "unanswered")
            return
        self._count_order(order.action, answer.result.value)
        await self._async_apply_answer(spec, action, order, answer, boot_id)

    def _guard_checks(self, action: Action) -> list[Check]:
        if action.guard is None:
            return []
        stored = self._state.ledger[action.guard]
        return [Check(PREFIX_LEDGER + action.guard, stored.version)]

    async def _async_send(self, spec: EndpointSpec, order: Order) -> OrderAnswer | None:
        """Send an order; None means that it may still take effect."""
        self._leases.check_held(spec.failure_domain, "order.send")
        try:
            answer = await self._client.async_order(spec, order, self._order_timeout_s)
        except EndpointUnreachable as error:
            # Proof that this very order will not arrive, though not of others.
            self._core.events.warning("order_not_sent", error=error)
            return None
        except EndpointFailed as error:
            self._core.events.warning("order_unanswered", error=error)
            return None
        self._core.events.info(
            "order_answered",
            endpoint=spec.name,
            action=order.action.value,
            artifact=f"{order.name}@{order.version}",
            fence=order.fence,
            result=answer.result.value,
        )
        return answer

    async def _async_apply_answer(
        self,
        spec: EndpointSpec,
        action: Action,
        order: Order,
        answer: OrderAnswer,
        boot_id: BootId,
    ) -> None:
        stored = self._state.ledger[spec.name]
        row = stored.row
        if answer.result is OrderResult.STALE:
            # Only a later order of another director can be the cause.
            self._leases.lose(spec.failure_domain)
            return
        row = apply_answer(row, order.fence, checks_fencing=spec.checks_fencing)
        if answer.result is OrderResult.REFUSED and order.action is OrderAction.LOAD:
            row = remove_refused_load(row, action.artifact)
        if action.kind is ActionKind.FENCE:
            row = msgspec.structs.replace(row, boot_id=boot_id)
        if row != stored.row:
            await self._async_write(spec.failure_domain, row, stored.version)

    async def _async_write(
        self,
        failure_domain: FailureDomainName,
        row: LedgerRow,
        version: int,
        extra: list[Check] | None = None,
    ) -> None:
        """Write a row under the lease; the invariant is asserted on each write."""
        try:
            check_memory(row)
        except InvariantViolated:
            self._core.metrics.violations.inc({"step": "ledger.memory"})
            raise
        term_version = self._leases.check_held(failure_domain, "ledger.write")
        key = PREFIX_LEDGER + row.endpoint
        written = await async_commit(
            self._table,
            [
                Check(key, version),
                Check(PREFIX_LEASE_TERM + failure_domain, term_version),
                *(extra or []),
            ],
            [Write(key, msgspec.to_builtins(row))],
        )
        self._state.put_ledger(row.endpoint, row, written)

    def _count_order(self, action: OrderAction, result: str) -> None:
        self._core.metrics.moves.inc({"action": action.value, "result": result})


def _has_newly_loaded(before: LedgerRow, after: LedgerRow) -> bool:
    """Return whether an artifact is held now that was not before."""
    return any(
        claim.state is ClaimState.LOADED and not before.holds(claim.artifact)
        for claim in after.claims
    )


def _claim_action(row: LedgerRow, action: Action) -> tuple[LedgerRow, Order]:
    """Return the row with the claim of a step, and the order that it allots."""
    artifact = action.artifact
    if action.kind is ActionKind.FENCE:
        row = allocate_fence(row)
        return row, Order(row.fence, OrderAction.FENCE)
    if action.kind is ActionKind.REMOVE_UNEXPLAINED:
        row = allocate_fence(row)
        order = Order(row.fence, OrderAction.UNLOAD, artifact.name, artifact.version)
        return row, order
    if action.kind is ActionKind.LOAD:
        changed = claim_load(
            row,
            artifact,
            action.artifact_kind,
            action.accelerators,
            action.memory_mb,
        )
        return _build_order(changed, action, OrderAction.LOAD)
    if action.kind is ActionKind.UNLOAD:
        return _build_order(claim_unload(row, artifact), action, OrderAction.UNLOAD)
    return _claim_repeat(row, row.claim_of(artifact), action)


def _claim_repeat(
    row: LedgerRow, claim: Claim, action: Action
) -> tuple[LedgerRow, Order]:
    wanted = order_action(claim)
    if wanted is OrderAction.UNLOAD:
        return _build_order(claim_unload(row, claim.artifact), action, wanted)
    changed = claim_load(
        row, claim.artifact, claim.kind, claim.accelerators, claim.memory_mb
    )
    return _build_order(changed, action, wanted)


def _build_order(
    changed: Result[LedgerRow, str], action: Action, wanted: OrderAction
) -> tuple[LedgerRow, Order]:
    if isinstance(changed, Failure):
        raise OrderNotPossible(
            changed.failure(), step="ledger.claim", peer=action.endpoint
        )
    row = changed.unwrap()
    order = Order(
        row.fence,
        wanted,
        action.artifact.name,
        action.artifact.version,
        action.accelerators,
        action.memory_mb,
    )
    return row, order
