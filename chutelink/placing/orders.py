"""Execute changes: send orders to endpoints and determine their outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..core import Application
from ..entry.config import EngineSpec
from ..entry.endpoints import NO_ADAPTER, Endpoint, EndpointTable
from ..exceptions import (
    EndpointFailed,
    EndpointIneligible,
    EndpointUnreachable,
    InvariantViolated,
)
from ..ids import AdapterName, ModelName, ServiceName
from .capacity import fits
from .changes import Change
from .inventory import EngineClient, Inventory, Order, OrderAction, OrderAnswer
from .lease import PlacerLease

UNLOAD_NOTICE_S = 0.03
"""Time for other daemons to learn that a model is closing before it is unloaded."""
MIN_POLL_PERIOD_S = 0.05
"""Minimum interval between reports while waiting for an order to complete."""
POLL_PERIOD_SHARE = 0.15
"""Interval between reports as a share of the time waited, which bounds their number."""
MAX_LEARNED_LAG_S = 0.5
REPORT_LAG_SMOOTHING = 0.2
"""Smoothing factor of the learned report lag."""
UNLOAD_TIMEOUT_S = 20.0
"""Timeout of a model unload, for which the endpoint first completes its streams.

The endpoint accepts no other order during this time, so a shorter timeout has no
benefit.
"""
ADAPTER_UNLOAD_TIMEOUT_S = 0.4
"""Timeout of an adapter unload if the adapter turns out to be in use."""
LOAD_TIMEOUT_FACTOR = 4.0
"""Load timeout as a multiple of the expected time; concurrent loads are slower."""


def publish_models(table: EndpointTable, inventory: Inventory) -> None:
    """Update the endpoint table, so that requests are routed by what is held now."""
    table.update_models(
        inventory.endpoint,
        inventory.born_ms,
        inventory.sequence,
        dict(inventory.models),
    )


class OrderSender:
    """Sends orders to endpoints while the lease is held, one at a time per endpoint.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    lease : PlacerLease
        Permits orders and provides their fencing token.
    client : EngineClient
        Client for reports and orders.
    table : EndpointTable
        The endpoints.
    engine_of : callable
        Returns the engine specification of a service, None if it has none.
    is_eligible : callable
        Returns whether an endpoint may get orders.
    """

    def __init__(
        self,
        core: Application,
        lease: PlacerLease,
        client: EngineClient,
        table: EndpointTable,
        engine_of: Callable[[ServiceName], EngineSpec | None],
        is_eligible: Callable[[Endpoint], bool] = lambda row: True,
    ) -> None:
        self._core = core
        self._lease = lease
        self._client = client
        self._table = table
        self._engine_of = engine_of
        self._is_eligible = is_eligible
        self._report_lag_s = 0.0

    async def async_report(self, inventory: Inventory) -> None:
        """Fetch an endpoint's report and apply it to the inventory.

        Raises
        ------
        EndpointUnreachable, EndpointFailed
            No report was received.
        """
        row = self._table.rows.get(inventory.endpoint)
        if row is None:
            raise EndpointFailed(
                "endpoint is not registered", step="report", peer=inventory.endpoint
            )
        report = await self._client.async_report(row)
        if not inventory.is_known:
            self._core.events.record(
                "endpoint_first_report",
                endpoint=inventory.endpoint,
                sequence=report.sequence,
                models=",".join(report.models),
                in_memory=",".join(report.in_memory),
                on_disk=",".join(report.on_disk),
            )
        inventory.apply_report(report, self._core.clock())
        if not inventory.is_busy:
            publish_models(self._table, inventory)

    async def async_execute(
        self, change: Change, inventory: Inventory, row: Endpoint
    ) -> None:
        """Unload, then load; each step completes before the next one starts.

        Raises
        ------
        LeaseNotHeld
            The lease was lost before an order was sent.
        EndpointUnreachable, EndpointFailed
            A step failed or did not complete in time.
        InvariantViolated
            The load would exceed the endpoint's capacity.
        """
        if change.unload_models:
            await asyncio.sleep(UNLOAD_NOTICE_S)
        for model, adapter in change.unload_adapters:
            await self._async_order(inventory, row, OrderAction.UNLOAD, model, adapter)
        for model in change.unload_models:
            await self._async_order(inventory, row, OrderAction.UNLOAD, model)
            publish_models(self._table, inventory)
            await self._async_wait_until_idle(
                inventory, UNLOAD_TIMEOUT_S, row.running(model)
            )
        await self._async_order(
            inventory, row, OrderAction.LOAD, change.model, change.adapter
        )
        if not change.adapter:
            await asyncio.sleep(change.load_s)
            timeout_s = LOAD_TIMEOUT_FACTOR * change.load_s
            await self._async_wait_until_idle(inventory, timeout_s)
        if not inventory.has(change.model, change.adapter):
            raise EndpointFailed(
                "endpoint does not report the model or adapter as loaded",
                step="load",
                peer=change.endpoint,
            )
        publish_models(self._table, inventory)
        self._core.metrics.moves.inc({"action": "load", "result": "done"})

    async def _async_order(
        self,
        inventory: Inventory,
        row: Endpoint,
        action: OrderAction,
        model: ModelName,
        adapter: AdapterName = NO_ADAPTER,
    ) -> None:
        """Send an order and determine whether it was accepted.

        Raises
        ------
        LeaseNotHeld
            The order was not sent.
        EndpointIneligible
            The endpoint may get no more orders; the order was not sent.
        EndpointUnreachable, EndpointFailed
            The order is not known to have been accepted. It may still be accepted
            later, but only if the endpoint accepts no other order before.
        """
        if self._table.rows.get(inventory.endpoint) is not row:
            # The change was planned for a process that no longer exists.
            raise EndpointUnreachable(
                "endpoint was removed or restarted",
                step="order",
                peer=inventory.endpoint,
            )
        if not self._is_eligible(row):
            # Also between the orders of one change, which may take seconds.
            raise EndpointIneligible(
                "may get no more orders", step="order", peer=inventory.endpoint
            )
        if action is OrderAction.LOAD:
            self._check_capacity(inventory, row, model, adapter)
        try:
            with self._lease.sending_order() as fence:
                daemon = self._core.daemon_id
                sequence = inventory.sequence
                order = Order(action, model, adapter, sequence, daemon, fence)
                answer = await self._client.async_order(row, order)
        except EndpointFailed as error:
            await self._async_resolve_outcome(inventory, order, error)
            answer = OrderAnswer.SETTLED
        self._core.events.record(
            "order_answered",
            endpoint=inventory.endpoint,
            action=action.value,
            model=model,
            adapter=adapter,
            sequence=order.expected_sequence,
            fence=fence,
            answer=answer.value,
        )
        await self._async_apply_answer(inventory, order, answer)

    async def _async_apply_answer(
        self, inventory: Inventory, order: Order, answer: OrderAnswer
    ) -> None:
        """Update the inventory according to the answer to an order.

        Raises
        ------
        EndpointUnreachable, EndpointFailed
            The order was rejected or did not complete in time.
        """
        if answer is OrderAnswer.SETTLED:
            return
        is_adapter_unload = order.adapter and order.action is OrderAction.UNLOAD
        if answer is OrderAnswer.ACCEPTED and is_adapter_unload:
            # The adapter is in use and occupies its slot until its requests complete.
            await self._async_wait_for_adapter_unload(inventory, order)
        elif answer is OrderAnswer.ACCEPTED or (
            # Unused adapters are unloaded at once, which counts as an accepted order.
            answer is OrderAnswer.ALREADY_HOLDS and is_adapter_unload
        ):
            inventory.apply_accepted(order)
        elif answer is OrderAnswer.ALREADY_HOLDS:
            await self.async_report(inventory)
        else:
            raise EndpointFailed(answer.value, step="order", peer=inventory.endpoint)

    def _check_capacity(
        self,
        inventory: Inventory,
        row: Endpoint,
        model: ModelName,
        adapter: AdapterName,
    ) -> None:
        """Reject orders that exceed the endpoint's capacity, whatever was planned.

        Raises
        ------
        InvariantViolated
            The model or adapter does not fit.
        """
        engine = self._engine_of(row.record.service)
        if engine is not None and fits(inventory, engine, model, adapter):
            return
        self._core.metrics.violations.inc({"step": "placement.room"})
        raise InvariantViolated(
            f"no capacity left for {model} {adapter}",
            step="placement.room",
            peer=inventory.endpoint,
        )

    async def _async_resolve_outcome(
        self, inventory: Inventory, order: Order, error: EndpointFailed
    ) -> None:
        """Determine the outcome of an unanswered order from a report.

        A higher sequence alone is no proof, because an earlier, delayed order may have
        been accepted instead. The report must show the effect of the order itself.

        Raises
        ------
        EndpointUnreachable, EndpointFailed
            The order is not known to have been accepted.
        """
        await self.async_report(inventory)
        is_newer = inventory.sequence > order.expected_sequence
        if inventory.is_busy or not is_newer or not inventory.reflects(order):
            raise error

    async def _async_wait_for_adapter_unload(
        self, inventory: Inventory, order: Order
    ) -> None:
        """Wait until an adapter that was in use has been unloaded."""
        inventory.sequence = order.expected_sequence + 1
        end_s = self._core.clock() + ADAPTER_UNLOAD_TIMEOUT_S
        while self._core.clock() < end_s:
            await asyncio.sleep(MIN_POLL_PERIOD_S)
            await self.async_report(inventory)
            if not inventory.has(order.model, order.adapter):
                return
        raise EndpointUnreachable(
            "adapter is still in use",
            step="order.wait",
            peer=inventory.endpoint,
        )

    async def _async_wait_until_idle(
        self, inventory: Inventory, timeout_s: float, running: int = 0
    ) -> None:
        """Wait until the endpoint has completed its order.

        The wait also updates the learned report lag, unless ``running`` requests have
        delayed the order.
        """
        started_s = self._core.clock()
        await asyncio.sleep(self._report_lag_s)
        while True:
            await self.async_report(inventory)
            waited_s = self._core.clock() - started_s
            if not inventory.is_busy:
                break
            if waited_s >= timeout_s:
                raise EndpointUnreachable(
                    "order did not complete in time",
                    step="order.wait",
                    peer=inventory.endpoint,
                )
            await asyncio.sleep(max(MIN_POLL_PERIOD_S, POLL_PERIOD_SHARE * waited_s))
        if not running:
            lag_s = min(MAX_LEARNED_LAG_S, max(0.0, waited_s - MIN_POLL_PERIOD_S))
            self._report_lag_s += REPORT_LAG_SMOOTHING * (lag_s - self._report_lag_s)
