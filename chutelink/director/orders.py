"""Executes actions at endpoints: writes the claim, then sends the order."""

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
    """Writes ledger rows under a lease and sends the corresponding orders.

    Parameters
    ----------
    core : Application
        The application that owns the executor.
    table : TableService
        Table that stores the ledger.
    client : EndpointClient
        Client that sends orders to endpoints.
    leases : LeaseManager
        Checked in each transaction and again immediately before each send.
    state : StateTable
        Last known rows, updated with this director's writes.
    order_timeout_s : float
        Timeout for an order's answer.
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
        """Create the ledger row of an endpoint."""
        row = LedgerRow(spec.name, spec.accelerators, spec.memory_mb)
        await self._async_write(spec.failure_domain, row, 0)

    async def async_resize(self, spec: EndpointSpec, stored: VersionedRow) -> None:
        """Set the declared accelerators and memory, if the claims still fit."""
        row = msgspec.structs.replace(
            stored.row, accelerators=spec.accelerators, memory_mb=spec.memory_mb
        )
        await self._async_write(spec.failure_domain, row, stored.version)

    async def async_apply_report(
        self, spec: EndpointSpec, report: EndpointReport
    ) -> None:
        """Update the ledger row from a report and write it if it changed."""
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
        """Remove pending orders that exceeded ``order_lateness_s``."""
        stored = self._state.ledger[spec.name]
        row = expire_pending(stored.row, fences)
        await self._async_write(spec.failure_domain, row, stored.version)

    async def async_execute(
        self, spec: EndpointSpec, action: Action, boot_id: BootId
    ) -> None:
        """Write the claim of an action, send its order and apply the answer.

        Raises
        ------
        ChutelinkError
            Either no order was sent, or the order may still take effect. In the
            second case its claim has already been written.
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
        """Send an order and return its answer, or None if it stays pending."""
        self._leases.check_held(spec.failure_domain, "order.send")
        try:
            answer = await self._client.async_order(spec, order, self._order_timeout_s)
        except EndpointUnreachable as error:
            # This order was not delivered, but earlier orders may still be.
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
            # The endpoint has seen a later order, which only another director can
            # have sent.
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
        """Write a row under the lease after checking the memory invariant."""
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
    """Return whether an artifact has become loaded."""
    return any(
        claim.state is ClaimState.LOADED and not before.holds(claim.artifact)
        for claim in after.claims
    )


def _claim_action(row: LedgerRow, action: Action) -> tuple[LedgerRow, Order]:
    """Return the row with an action's claim, and the order to send."""
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
