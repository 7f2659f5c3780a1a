"""Carry changes out: orders to endpoints, and what became of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..core import Application
from ..entry.config import EngineSpec
from ..entry.endpoints import NO_ADAPTER, Endpoint, EndpointTable
from ..exceptions import EndpointFailed, EndpointUnreachable, InvariantViolated
from ..ids import AdapterName, ModelName, ServiceName
from .capacity import fits
from .changes import Change
from .inventory import EngineClient, Inventory, Order, OrderAction, OrderAnswer
from .lease import PlacerLease

UNLOAD_NOTICE_S = 0.03
"""Time for the others to hear of a model that closes before it is unloaded."""
MIN_POLL_PERIOD_S = 0.05
"""Shortest pause between reports while waiting for an order's end."""
POLL_PERIOD_SHARE = 0.15
"""Pause between reports, as a share of the time waited: each is charged for."""
MAX_REPORT_LAG_S = 0.5
REPORT_LAG_SMOOTHING = 0.2
"""Share of an error that the learned lag of reports takes over."""
UNLOAD_TIMEOUT_S = 20.0
"""An endpoint ends the streams of a model before it gives the model up.

It takes no other order meanwhile, so that giving up on it gains nothing.
"""
ADAPTER_UNLOAD_TIMEOUT_S = 0.4
"""How long to wait for an adapter that turned out to be in use."""
LOAD_TIMEOUT_FACTOR = 4.0
"""Loads take longer while many run."""


def publish_models(table: EndpointTable, inventory: Inventory) -> None:
    """Let requests be sent for what an endpoint holds now."""
    table.take_models(
        inventory.endpoint,
        inventory.born_ms,
        inventory.sequence,
        dict(inventory.models),
    )


class OrderSender:
    """Sends orders one after the other to an endpoint, under the lease.

    Parameters
    ----------
    core : Application
        The owner.
    lease : PlacerLease
        Says whether orders may be sent, and with which fence.
    client : EngineClient
        Speaks to endpoints.
    table : EndpointTable
        The endpoints.
    engine_of : callable
        Returns what the engines of a service can hold.
    """

    def __init__(
        self,
        core: Application,
        lease: PlacerLease,
        client: EngineClient,
        table: EndpointTable,
        engine_of: Callable[[ServiceName], EngineSpec | None],
    ) -> None:
        self._core = core
        self._lease = lease
        self._client = client
        self._table = table
        self._engine_of = engine_of
        self._report_lag_s = 0.0

    async def async_report(self, inventory: Inventory) -> None:
        """Read an endpoint's report into its inventory.

        Raises
        ------
        EndpointUnreachable, EndpointFailed
            There was none.
        """
        row = self._table.rows.get(inventory.endpoint)
        if row is None:
            raise EndpointFailed("gone", step="report", peer=inventory.endpoint)
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
        inventory.take_report(report, self._core.clock())
        if not inventory.is_busy:
            publish_models(self._table, inventory)

    async def async_execute(
        self, change: Change, inventory: Inventory, row: Endpoint
    ) -> None:
        """Unload, then load; each step ends before the next one begins."""
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
            raise EndpointFailed("not loaded", step="load", peer=change.endpoint)
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
        """Send an order and find out whether it was accepted.

        Raises
        ------
        LeaseNotHeld
            Nothing was sent.
        EndpointUnreachable, EndpointFailed
            It is not known to have been accepted. It may be later, but then only
            while nothing else was.
        """
        if self._table.rows.get(inventory.endpoint) is not row:
            # What was planned is of a process that has ended.
            raise EndpointUnreachable(
                "gone or restarted", step="order", peer=inventory.endpoint
            )
        if action is OrderAction.LOAD:
            self._check_capacity(inventory, row, model, adapter)
        fence = self._lease.begin_order()
        order = Order(
            action, model, adapter, inventory.sequence, self._core.daemon_id, fence
        )
        try:
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
        """Bring the inventory in line with an answer."""
        if answer is OrderAnswer.SETTLED:
            return
        is_adapter_unload = order.adapter and order.action is OrderAction.UNLOAD
        if answer is OrderAnswer.ACCEPTED and is_adapter_unload:
            # It is in use and keeps its place until it is not any more.
            await self._async_wait_for_adapter_unload(inventory, order)
        elif answer is OrderAnswer.ACCEPTED or (
            # Unused adapters go at once, which counts as an order accepted.
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
        """Refuse to order more than an endpoint holds, whatever was planned.

        Raises
        ------
        InvariantViolated
            There is no room.
        """
        engine = self._engine_of(row.record.service)
        if engine is not None and fits(inventory, engine, model, adapter):
            return
        self._core.metrics.violations.inc({"step": "placement.room"})
        raise InvariantViolated(
            f"no room for {model} {adapter}",
            step="placement.room",
            peer=inventory.endpoint,
        )

    async def _async_resolve_outcome(
        self, inventory: Inventory, order: Order, error: EndpointFailed
    ) -> None:
        """Learn from a report what became of an order without an answer.

        A higher number of orders alone proves nothing: an earlier order, late, may
        have been accepted instead. Only the order's own effect counts.
        """
        await self.async_report(inventory)
        is_newer = inventory.sequence > order.expected_sequence
        if inventory.is_busy or not is_newer or not inventory.reflects(order):
            raise error

    async def _async_wait_for_adapter_unload(
        self, inventory: Inventory, order: Order
    ) -> None:
        """Wait until an adapter that was in use has given up its place."""
        inventory.sequence = order.expected_sequence + 1
        end_s = self._core.clock() + ADAPTER_UNLOAD_TIMEOUT_S
        while self._core.clock() < end_s:
            await asyncio.sleep(MIN_POLL_PERIOD_S)
            await self.async_report(inventory)
            if not inventory.has(order.model, order.adapter):
                return
        raise EndpointUnreachable(
            "adapter still in use", step="order.wait", peer=inventory.endpoint
        )

    async def _async_wait_until_idle(
        self, inventory: Inventory, timeout_s: float, running: int = 0
    ) -> None:
        """Wait until no order is under way, by its time or by what is running."""
        started_s = self._core.clock()
        await asyncio.sleep(self._report_lag_s)
        while True:
            await self.async_report(inventory)
            waited_s = self._core.clock() - started_s
            if not inventory.is_busy:
                break
            if waited_s >= timeout_s:
                raise EndpointUnreachable(
                    "order not done in time",
                    step="order.wait",
                    peer=inventory.endpoint,
                )
            await asyncio.sleep(max(MIN_POLL_PERIOD_S, POLL_PERIOD_SHARE * waited_s))
        if not running:
            lag_s = min(MAX_REPORT_LAG_S, max(0.0, waited_s - MIN_POLL_PERIOD_S))
            self._report_lag_s += REPORT_LAG_SMOOTHING * (lag_s - self._report_lag_s)
