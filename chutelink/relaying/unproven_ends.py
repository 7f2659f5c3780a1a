"""Streams that were broken off as nothing proved their end."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from ..ids import CustomerName, RequestId, ServiceName
from .exchange import Exchange

MAX_ENDS = 4096
MAX_ID_CHARS = 200
"""Callers can't name longer ids when they resume a stream."""
RETENTION_S = 120.0
"""How long callers resume streams."""


class _StreamKey(NamedTuple):
    """Identifies a stream; ``began_by`` is the attempt that brought its first event."""

    service: ServiceName
    customer: CustomerName | None
    began_by: RequestId


class _UnprovenEnd(NamedTuple):
    """The event after which a stream has ended, and when."""

    after: int
    at_s: float


class UnprovenEnds:
    """Remembers after which event streams ended, for callers that resume them.

    Without this, a caller whose stream is whole would be broken off at each of its
    attempts while no retry is left to check the end.

    Parameters
    ----------
    clock : Callable[[], float]
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ends: OrderedDict[_StreamKey, _UnprovenEnd] = OrderedDict()

    def note(self, exchange: Exchange) -> None:
        """Record that a stream has ended after its last event without a proof."""
        key = _key_of(exchange)
        if key is None or not exchange.is_repeatable:
            return
        self._ends[key] = _UnprovenEnd(exchange.resume_after, self._clock())
        self._ends.move_to_end(key)
        if len(self._ends) > MAX_ENDS:
            self._ends.popitem(last=False)

    def take(self, exchange: Exchange) -> int | None:
        """Return the event after which the stream of a new attempt has ended.

        None if that isn't known, or if it isn't the event after which the caller
        resumes. The end is forgotten, as the attempt may bring further events.
        """
        self._discard_old()
        key = _key_of(exchange)
        end = None if key is None else self._ends.pop(key, None)
        if end is None or end.after != exchange.meta.resume_after:
            return None
        return end.after

    def _discard_old(self) -> None:
        oldest_s = self._clock() - RETENTION_S
        while self._ends and next(iter(self._ends.values())).at_s < oldest_s:
            self._ends.popitem(last=False)


def _key_of(exchange: Exchange) -> _StreamKey | None:
    """Return the key of a stream, None if its caller doesn't name it, or can't."""
    meta, customer = exchange.meta, exchange.admission.customer
    began_by = meta.resumes if meta.resume_after else meta.id
    if began_by is None or len(began_by) > MAX_ID_CHARS:
        return None
    name = None if customer is None else customer.name
    return _StreamKey(exchange.service.name, name, began_by)
