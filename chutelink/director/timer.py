"""Timers for repeating and expiring unanswered orders."""

from __future__ import annotations

from collections.abc import Callable

from ..fleet import Artifact
from ..ids import EndpointName, FencingNumber
from ..tables.endpoints import EndpointReport
from ..tables.ledger import ClaimState, LedgerRow

FIRST_REPEAT_S = 1.0
MAX_REPEAT_S = 30.0


class OrderTimer:
    """Tracks the age of pending orders on this director's clock.

    Parameters
    ----------
    clock : callable
        Returns the time of a monotonic clock in seconds.
    order_lateness_s : float
        How long an order may still take effect, or 0 for no limit.
    """

    def __init__(self, clock: Callable[[], float], order_lateness_s: float) -> None:
        self._clock = clock
        self._order_lateness_s = order_lateness_s
        self._repeats: dict[tuple[EndpointName, Artifact], tuple[float, float]] = {}
        self._pending_since: dict[tuple[EndpointName, FencingNumber], float] = {}

    def due(
        self, name: EndpointName, row: LedgerRow, report: EndpointReport
    ) -> frozenset[Artifact]:
        """Return the artifacts whose order must be repeated, with backoff.

        A load whose order was answered is not repeated while the engine reports
        the artifact.
        """
        now_s = self._clock()
        held = {h.artifact for h in report.artifacts}
        due = set()
        for claim in row.claims:
            key = (name, claim.artifact)
            is_present = claim.artifact in held
            is_waiting = (claim.state is ClaimState.LOADING and not is_present) or (
                claim.state is ClaimState.UNLOADING
                and (is_present or bool(claim.pending))
            )
            if not is_waiting and not claim.pending:
                self._repeats.pop(key, None)
                continue
            if claim.state is ClaimState.LOADED:
                continue
            at_s, pause_s = self._repeats.setdefault(
                key, (now_s + FIRST_REPEAT_S, FIRST_REPEAT_S)
            )
            if now_s >= at_s:
                pause_s = min(MAX_REPEAT_S, pause_s * 2)
                self._repeats[key] = (now_s + pause_s, pause_s)
                due.add(claim.artifact)
        return frozenset(due)

    def expired(self, name: EndpointName, row: LedgerRow) -> list[FencingNumber]:
        """Return the pending orders that are older than ``order_lateness_s``."""
        limit_s = self._order_lateness_s
        now_s = self._clock()
        pending = {
            (name, order.fence) for claim in row.claims for order in claim.pending
        }
        known = {key for key in self._pending_since if key[0] == name}
        for key in known - pending:
            del self._pending_since[key]
        for key in pending:
            self._pending_since.setdefault(key, now_s)
        if limit_s == 0:
            return []
        return [f for n, f in pending if now_s - self._pending_since[n, f] > limit_s]
