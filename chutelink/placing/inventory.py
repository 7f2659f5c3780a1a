"""What the placer knows that an engine endpoint holds, and orders to it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from ..entry.endpoints import NO_ADAPTER, Endpoint
from ..ids import AdapterName, DaemonId, EndpointId, ModelName


class OrderAction(Enum):
    """What an order makes an engine do."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(msgspec.Struct, frozen=True):
    """One order.

    ``expected_sequence`` is how many orders the endpoint must have accepted when
    this one takes effect, so that a late one fails by itself; ``fence`` is the
    term of the placer's lease.
    """

    action: OrderAction
    model: ModelName
    adapter: AdapterName
    expected_sequence: int
    holder: DaemonId
    fence: int


class OrderAnswer(Enum):
    """How an endpoint answered an order."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    SETTLED = "settled"
    """There was no answer; a report showed that it is done."""
    CONFLICT = "conflict"
    FENCED_OFF = "fenced_off"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"


class EndpointReport(msgspec.Struct, frozen=True):
    """What an endpoint said of itself, some 100 ms ago.

    ``coming`` are adapters on their way; they take places already. ``on_disk`` has
    the copy first that gives way first; ``born_ms`` is the Unix time of its process's
    start, 0 where it says none: ``sequence`` counts from there.
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
    """Speaks to engine endpoints about what they hold."""

    @abstractmethod
    async def async_report(self, endpoint: Endpoint) -> EndpointReport:
        """Return the report of an endpoint.

        Raises
        ------
        EndpointFailed
            There was no answer in time, or it is not a report.
        """

    @abstractmethod
    async def async_order(self, endpoint: Endpoint, order: Order) -> OrderAnswer:
        """Send an order.

        Raises
        ------
        EndpointUnreachable
            Nothing was sent.
        EndpointFailed
            It may have been accepted, or may be later.
        """


MAX_REPORT_LAG_S = 1.0
"""Longest time by which a report may be old: they say some hundred ms."""


class Inventory:
    """What one endpoint holds after the orders that it is known to have accepted.

    Parameters
    ----------
    endpoint : EndpointId
        Which one.
    born_ms : int, default=0
        Which process of it, 0 where it says none.
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
        self.retry_after_s = float("-inf")
        self._outdated_since_s: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether a report was read."""
        return self.sequence >= 0

    @property
    def adapters(self) -> int:
        """How many adapter places are taken."""
        return sum(len(adapters) for adapters in self.models.values())

    def take_report(self, report: EndpointReport, now_s: float) -> None:
        """Take in a report; one from before the latest known order is ignored.

        So is one of the process before. Reports that go on to show fewer orders are
        right: an order was counted that the endpoint did not count, and each further
        one would be refused.
        """
        self.is_down = False
        self.read_s = now_s
        if report.born_ms < self.born_ms:
            return
        if report.born_ms > self.born_ms:
            # Another process: fewer orders are no sign that its report is late.
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
        """Whether the last report was from before the latest known order."""
        return self._outdated_since_s is not None

    def _may_be_delayed(self, now_s: float) -> bool:
        """Return whether reports with fewer orders may only be late."""
        if self._outdated_since_s is None:
            self._outdated_since_s = now_s
        return now_s - self._outdated_since_s < MAX_REPORT_LAG_S

    def apply_accepted(self, order: Order) -> None:
        """Take in that an order was accepted."""
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
        """Return whether it holds a model and adapter."""
        held = self.models.get(model)
        return held is not None and (not adapter or adapter in held)

    def has_weights(self, model: ModelName) -> bool:
        """Return whether a model is held, or a copy of its weights is kept."""
        is_copied = model in self.in_memory or model in self.on_disk
        return model in self.models or is_copied

    def models_with_weights(self) -> set[ModelName]:
        """Return all models that are held, or of whose weights a copy is kept."""
        return {*self.models, *self.in_memory, *self.on_disk}

    def reflects(self, order: Order) -> bool:
        """Return whether what an order was to do is done."""
        is_held = self.has(order.model, order.adapter)
        return is_held if order.action is OrderAction.LOAD else not is_held
