"""The requests that a daemon has reason to watch, bounded in number. Pure."""

from __future__ import annotations

from ..ids import Fingerprint
from .const import MAX_HOLDS, MAX_SUSPECTS, SUSPECT_KEPT_S
from .judge import Judge
from .model import Ending, Hold, Suspect, Verdict


class SuspectTable:
    """Requests under which endpoints have ended, the latest last.

    Parameters
    ----------
    judge : Judge
        Says what endings mean.
    """

    def __init__(self, judge: Judge) -> None:
        self._judge = judge
        self._rows: dict[Fingerprint, Suspect] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._rows

    def get(self, fingerprint: Fingerprint) -> Suspect | None:
        """Return what is known of a request."""
        return self._rows.get(fingerprint)

    def verdict(self, fingerprint: Fingerprint, unix_s: float) -> Verdict:
        """Return what may be done with a request."""
        row = self._rows.get(fingerprint)
        return self._judge.judge(None if row is None else row.hold, unix_s)

    def holds(self) -> dict[Fingerprint, Hold]:
        """Return all requests that are kept away."""
        return {
            fingerprint: row.hold
            for fingerprint, row in self._rows.items()
            if row.hold is not None
        }

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
        row = self._touch(fingerprint, about, now_s)
        if ending in row.endings:
            return False
        row.endings += (ending,)
        is_new = row.hold is None and self._judge.is_guilty(row)
        if is_new:
            row.hold = self._judge.begin_hold(row, unix_s)
            row.held_s = now_s
        self._shrink(now_s)
        return is_new

    def put_hold(self, fingerprint: Fingerprint, hold: Hold, now_s: float) -> bool:
        """Take over a hold from the store; return whether it was not known."""
        row = self._touch(fingerprint, hold.about, now_s)
        is_new = row.hold is None
        if is_new:
            row.held_s = now_s
        row.hold = hold
        row.endings = tuple(dict.fromkeys((*hold.endings, *row.endings)))
        self._shrink(now_s)
        return is_new

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Forget what is held against a request; return whether there was anything."""
        return self._rows.pop(fingerprint, None) is not None

    def _touch(self, fingerprint: Fingerprint, about: str, now_s: float) -> Suspect:
        row = self._rows.pop(fingerprint, None) or Suspect(about)
        row.seen_s = now_s
        self._rows[fingerprint] = row
        return row

    def _shrink(self, now_s: float) -> None:
        """Forget the oldest; a hold gives way only to other holds."""
        old = [f for f, row in self._rows.items() if self._is_old(row, now_s)]
        held = [f for f, row in self._rows.items() if row.hold is not None]
        others = [f for f, row in self._rows.items() if row.hold is None]
        spare_holds = len(held) - MAX_HOLDS
        spare_others = len(others) - MAX_SUSPECTS
        dropped = {*old, *held[: max(0, spare_holds)], *others[: max(0, spare_others)]}
        for fingerprint in dropped:
            del self._rows[fingerprint]

    @staticmethod
    def _is_old(row: Suspect, now_s: float) -> bool:
        return row.hold is None and now_s - row.seen_s > SUSPECT_KEPT_S
