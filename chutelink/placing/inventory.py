"""The placer's view of what an engine endpoint holds, and orders to endpoints."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from ..entry.endpoints import NO_ADAPTER, Endpoint
from ..ids import AdapterName, DaemonId, EndpointId, ModelName

ORDER_TIMEOUT_S = 0.6
"""Timeout of orders and reports.

Endpoints answer within about 10 ms; a partitioned one never does.
"""


class OrderAction(Enum):
    """The action of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(msgspec.Struct, frozen=True):
    """An order to load or unload a model or adapter.

    ``expected_sequence`` is the number of orders that the endpoint must have accepted
    before this one, so that a delayed order is rejected; ``fence`` is the fencing
    token, the term of the placer's lease.
    """

    action: OrderAction
    model: ModelName
    adapter: AdapterName
    expected_sequence: int
    holder: DaemonId
    fence: int


class OrderAnswer(Enum):
    """An endpoint's response to an order."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    SETTLED = "settled"
    """There was no response, but a report showed that the order took effect."""
    CONFLICT = "conflict"
    FENCED_OFF = "fenced_off"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"


class EndpointReport(msgspec.Struct, frozen=True):
    """An endpoint's report of its state, which may be some 100 ms old.

    ``coming`` are adapters being loaded, which already occupy slots. ``on_disk`` is in
    eviction order; ``born_ms`` is the Unix time at which its process started, 0 if
    unknown, and ``sequence`` counts the orders accepted since then.
    """

    sequence: int
    is_busy: bool
    models: dict[ModelName, frozenset[AdapterName]]
    coming: tuple[tuple[ModelName, AdapterName], ...] = ()
    in_memory: frozenset[ModelName] = frozenset()
    on_disk: tuple[ModelName, ...] = ()
    queued: int = 0
    active: int = 0
    kv_used_tokens: int = 0
    kv_total_tokens: int = 0
    born_ms: int = 0


class EngineClient(ABC):
    """Client for the reports and orders of engine endpoints."""

    @abstractmethod
    async def async_report(self, endpoint: Endpoint) -> EndpointReport:
        """Return the report of an endpoint.

        Raises
        ------
        EndpointFailed
            There was no response in time, or it is not a valid report.
        """

    @abstractmethod
    async def async_order(self, endpoint: Endpoint, order: Order) -> OrderAnswer:
        """Send an order.

        Raises
        ------
        EndpointUnreachable
            The order was not sent.
        EndpointFailed
            The order may have been accepted, or may still be.
        """


MAX_REPORT_LAG_S = 1.0
"""Maximum age of a report; the operators state a few hundred ms."""


class Inventory:
    """What an endpoint holds after the orders that it is known to have accepted.

    ``is_changing`` is set while the placer executes a change or fetches a report there,
    ``is_busy`` while the endpoint executes an order, and ``is_down`` after a report
    failed. After a failure, the endpoint is left alone until ``retry_after_s``.
    ``silent_since_s`` is when reports began to fail, None if the last was received.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    born_ms : int, default=0
        Start time of its process, 0 if unknown.
    """

    def __init__(self, endpoint: EndpointId, born_ms: int = 0) -> None:
        self.endpoint = endpoint
        self.born_ms = born_ms
        self.sequence = -1
        self.models: dict[ModelName, frozenset[AdapterName]] = {}
        self.in_memory: frozenset[ModelName] = frozenset()
        self.on_disk: tuple[ModelName, ...] = ()
        self.read_s = float("-inf")
        self.is_busy = False
        self.is_changing = False
        self.is_down = False
        self.silent_since_s: float | None = None
        self.retry_after_s = float("-inf")
        self._outdated_since_s: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether a report has been read."""
        return self.sequence >= 0

    @property
    def adapters(self) -> int:
        """Number of occupied adapter slots."""
        return sum(len(adapters) for adapters in self.models.values())

    def apply_report(self, report: EndpointReport, now_s: float) -> None:
        """Apply a report, unless it predates the latest known order.

        Reports of a previous process are ignored as well. If reports keep showing fewer
        orders than expected, they are correct: an order was counted here that the
        endpoint did not count, and every further order would be rejected.
        """
        self.is_down = False
        self.silent_since_s = None
        self.read_s = now_s
        if report.born_ms < self.born_ms:
            return
        if report.born_ms > self.born_ms:
            # A new process counts from zero, so a lower sequence is not outdated.
            self.born_ms = report.born_ms
            self.sequence = -1
        if report.sequence < self.sequence and self._may_be_delayed(now_s):
            return
        self._outdated_since_s = None
        models = dict(report.models)
        for model, adapter in report.coming:
            models[model] = models.get(model, frozenset()) | {adapter}
        self.sequence = report.sequence
        self.models = models
        self.in_memory = report.in_memory
        self.on_disk = report.on_disk
        self.is_busy = report.is_busy

    @property
    def is_outdated(self) -> bool:
        """Whether the last report predates the latest known order."""
        return self._outdated_since_s is not None

    def _may_be_delayed(self, now_s: float) -> bool:
        """Return whether reports with fewer orders may merely be delayed."""
        if self._outdated_since_s is None:
            self._outdated_since_s = now_s
        return now_s - self._outdated_since_s < MAX_REPORT_LAG_S

    def apply_accepted(self, order: Order) -> None:
        """Apply an order that the endpoint has accepted."""
        self.sequence = order.expected_sequence + 1
        self._outdated_since_s = None
        if order.adapter:
            held = self.models.get(order.model, frozenset())
            is_load = order.action is OrderAction.LOAD
            change = {order.adapter}
            self.models[order.model] = held | change if is_load else held - change
        elif order.action is OrderAction.UNLOAD:
            self.models.pop(order.model, None)
            self.is_busy = True
        else:
            self.models.setdefault(order.model, frozenset())
            self.is_busy = True

    def has(self, model: ModelName, adapter: AdapterName = NO_ADAPTER) -> bool:
        """Return whether the endpoint holds the model and adapter."""
        held = self.models.get(model)
        return held is not None and (not adapter or adapter in held)

    def has_weights(self, model: ModelName) -> bool:
        """Return whether the endpoint holds the model or a copy of its weights."""
        is_copied = model in self.in_memory or model in self.on_disk
        return model in self.models or is_copied

    def models_with_weights(self) -> set[ModelName]:
        """Return all models that the endpoint holds or has a copy of the weights of."""
        return {*self.models, *self.in_memory, *self.on_disk}

    def reflects(self, order: Order) -> bool:
        """Return whether the inventory reflects the effect of an order."""
        is_held = self.has(order.model, order.adapter)
        return is_held if order.action is OrderAction.LOAD else not is_held
