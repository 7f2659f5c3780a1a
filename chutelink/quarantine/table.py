"""Bounded table of suspect requests. Does no I/O."""

from __future__ import annotations

from ..ids import Fingerprint
from .const import MAX_HOLDS, MAX_SUSPECTS, SUSPECT_RETENTION_S
from .model import Ending, Hold, Suspect, Verdict
from .policy import QuarantinePolicy


class SuspectTable:
    """Requests that were running when endpoints terminated.

    Held requests and the others are in separate dictionaries, the latest last, so that
    the oldest are evicted without a scan: one termination may add hundreds of requests.

    Parameters
    ----------
    policy : QuarantinePolicy
        Decides when requests are held and for how long.
    """

    def __init__(self, policy: QuarantinePolicy) -> None:
        self._policy = policy
        self._free: dict[Fingerprint, Suspect] = {}
        self._held: dict[Fingerprint, Suspect] = {}

    def __len__(self) -> int:
        return len(self._free) + len(self._held)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._free or fingerprint in self._held

    @property
    def held(self) -> int:
        """Number of held requests."""
        return len(self._held)

    def get(self, fingerprint: Fingerprint) -> Suspect | None:
        """Return the entry of a request, None if it is unknown."""
        return self._free.get(fingerprint) or self._held.get(fingerprint)

    def verdict(self, fingerprint: Fingerprint, unix_s: float) -> Verdict:
        """Return whether a request may run."""
        row = self._held.get(fingerprint)
        return self._policy.decide(None if row is None else row.hold, unix_s)

    def holds(self) -> dict[Fingerprint, Hold]:
        """Return the holds of all held requests."""
        return {fingerprint: row.hold for fingerprint, row in self._held.items()}

    def add_ending(
        self,
        fingerprint: Fingerprint,
        about: str,
        ending: Ending,
        now_s: float,
        unix_s: float,
    ) -> bool:
        """Add an endpoint termination to a request.

        Returns whether this puts the request on hold. A termination counts once,
        whichever daemons report it.
        """
        row = self._pop(fingerprint) or Suspect(about)
        row.seen_s = now_s
        is_new = False
        if ending not in row.endings:
            row.endings += (ending,)
            is_new = row.hold is None and self._policy.should_hold(row)
        if is_new:
            row.hold = self._policy.begin_hold(row, unix_s)
            row.held_s = now_s
        self._insert(fingerprint, row, now_s)
        return is_new

    def put_hold(self, fingerprint: Fingerprint, hold: Hold, now_s: float) -> bool:
        """Apply a hold from the store; return whether the request was not held yet."""
        row = self._pop(fingerprint) or Suspect(hold.about)
        row.seen_s = now_s
        is_new = row.hold is None
        if is_new:
            row.held_s = now_s
        row.hold = hold
        row.endings = tuple(dict.fromkeys((*hold.endings, *row.endings)))
        self._insert(fingerprint, row, now_s)
        return is_new

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Remove a request; return whether it was in the table."""
        return self._pop(fingerprint) is not None

    def _pop(self, fingerprint: Fingerprint) -> Suspect | None:
        return self._free.pop(fingerprint, None) or self._held.pop(fingerprint, None)

    def _insert(self, fingerprint: Fingerprint, row: Suspect, now_s: float) -> None:
        """Insert a row as the latest and evict the oldest; only holds evict holds."""
        rows = self._free if row.hold is None else self._held
        rows[fingerprint] = row
        if len(self._held) > MAX_HOLDS:
            del self._held[next(iter(self._held))]
        while self._free and self._should_evict_oldest(now_s):
            del self._free[next(iter(self._free))]

    def _should_evict_oldest(self, now_s: float) -> bool:
        if len(self._free) > MAX_SUSPECTS:
            return True
        oldest = next(iter(self._free.values()))
        return now_s - oldest.seen_s > SUSPECT_RETENTION_S
