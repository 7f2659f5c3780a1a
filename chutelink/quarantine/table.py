"""The requests that a daemon has reason to watch, bounded in number. Pure."""

from __future__ import annotations

from ..ids import Fingerprint
from .const import MAX_HOLDS, MAX_SUSPECTS, SUSPECT_KEPT_S
from .judge import Judge
from .model import Ending, Hold, Suspect, Verdict


class SuspectTable:
    """Requests under which endpoints have ended.

    Those that are kept away and the others are in tables of their own, the latest
    last, so that the oldest give way without a look at all: one end may name hundreds.

    Parameters
    ----------
    judge : Judge
        Says what endings mean.
    """

    def __init__(self, judge: Judge) -> None:
        self._judge = judge
        self._free: dict[Fingerprint, Suspect] = {}
        self._held: dict[Fingerprint, Suspect] = {}

    def __len__(self) -> int:
        return len(self._free) + len(self._held)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._free or fingerprint in self._held

    @property
    def held(self) -> int:
        """How many requests are kept away."""
        return len(self._held)

    def get(self, fingerprint: Fingerprint) -> Suspect | None:
        """Return what is known of a request."""
        return self._free.get(fingerprint) or self._held.get(fingerprint)

    def verdict(self, fingerprint: Fingerprint, unix_s: float) -> Verdict:
        """Return what may be done with a request."""
        row = self._held.get(fingerprint)
        return self._judge.judge(None if row is None else row.hold, unix_s)

    def holds(self) -> dict[Fingerprint, Hold]:
        """Return all requests that are kept away."""
        return {fingerprint: row.hold for fingerprint, row in self._held.items()}

    def add_ending(
        self,
        fingerprint: Fingerprint,
        about: str,
        ending: Ending,
        now_s: float,
        unix_s: float,
    ) -> bool:
        """Take in that an endpoint ended under a request.

        Returns whether it is kept away from now on. One end counts once, whoever
        tells of it.
        """
        row = self._take_out(fingerprint) or Suspect(about)
        row.seen_s = now_s
        is_new = False
        if ending not in row.endings:
            row.endings += (ending,)
            is_new = row.hold is None and self._judge.is_guilty(row)
        if is_new:
            row.hold = self._judge.begin_hold(row, unix_s)
            row.held_s = now_s
        self._put_in(fingerprint, row, now_s)
        return is_new

    def put_hold(self, fingerprint: Fingerprint, hold: Hold, now_s: float) -> bool:
        """Take over a hold from the store; return whether it was not known."""
        row = self._take_out(fingerprint) or Suspect(hold.about)
        row.seen_s = now_s
        is_new = row.hold is None
        if is_new:
            row.held_s = now_s
        row.hold = hold
        row.endings = tuple(dict.fromkeys((*hold.endings, *row.endings)))
        self._put_in(fingerprint, row, now_s)
        return is_new

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Forget what is held against a request; return whether there was anything."""
        return self._take_out(fingerprint) is not None

    def _take_out(self, fingerprint: Fingerprint) -> Suspect | None:
        return self._free.pop(fingerprint, None) or self._held.pop(fingerprint, None)

    def _put_in(self, fingerprint: Fingerprint, row: Suspect, now_s: float) -> None:
        """Put a row last, and let the oldest ones give way; a hold only to others."""
        rows = self._free if row.hold is None else self._held
        rows[fingerprint] = row
        if len(self._held) > MAX_HOLDS:
            del self._held[next(iter(self._held))]
        while self._free and self._is_oldest_spare(now_s):
            del self._free[next(iter(self._free))]

    def _is_oldest_spare(self, now_s: float) -> bool:
        if len(self._free) > MAX_SUSPECTS:
            return True
        oldest = next(iter(self._free.values()))
        return now_s - oldest.seen_s > SUSPECT_KEPT_S
