"""Keep requests away that end the endpoints that run them.

An endpoint's end is counted against each request that was running there, by content
and by process of the endpoint, over all daemons. What ended too many is refused; one
run that ends well clears it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from ..core import Application
from ..ids import EndpointId, Fingerprint, Incarnation
from .const import (
    HOLD_S,
    MAX_ABOUT_CHARS,
    MAX_TRIALS,
    MIN_BACK_S,
    TELL_DELAY_S,
)
from .ends import EndLog
from .fingerprint import RequestContent, make_fingerprint
from .judge import EndingCount, Judge
from .model import BrokenRun, Evidence, Hold, Verdict
from .news import ClearedNews, EndedRun, EndingNews, QuarantineNews
from .probe import ConnectProbe, EndingProbe
from .proof import EndingProof
from .table import SuspectTable


async def _async_no_trial(fingerprint: Fingerprint) -> bool:
    """Allow no trial: without the store two daemons might try at once."""
    return False


def _printable(text: str) -> str:
    """Return text that can be told and stored, whatever bytes a caller has sent."""
    return text.encode("ascii", "backslashreplace").decode()[:MAX_ABOUT_CHARS]


class Quarantine:
    """Says of each request whether it may run, and learns what runs have done.

    Parameters
    ----------
    core : Application
        The owner.
    probe : EndingProbe, optional
        Tells an ending from a broken connection.
    judge : Judge, optional
        Says what endings mean.
    unix_clock : callable, default=time.time
        Time of day in seconds, for holds that outlast daemons.

    Attributes
    ----------
    send : callable
        Tells the other daemons.
    on_held, on_cleared : callable
        Called with what this daemon itself has found, to be kept in the store.
    async_claim_trial : callable
        Returns whether this daemon alone may try a request whose hold has run out.
    """

    def __init__(
        self,
        core: Application,
        probe: EndingProbe | None = None,
        judge: Judge | None = None,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._core = core
        self._proof = EndingProof(core, probe or ConnectProbe(), self.note_ended)
        self._ends = EndLog()
        self._untold: list[EndedRun] = []
        self.judge = judge or EndingCount()
        self.unix_clock = unix_clock
        self.table = SuspectTable(self.judge)
        self.send: Callable[[QuarantineNews], None] = lambda news: None
        self.on_held: Callable[[Fingerprint], None] = lambda fingerprint: None
        self.on_cleared: Callable[[Fingerprint], None] = lambda fingerprint: None
        self.async_claim_trial: Callable[[Fingerprint], Awaitable[bool]] = (
            _async_no_trial
        )

    def fingerprint(self, content: RequestContent) -> Fingerprint:
        """Return what a request has in common with its repetitions."""
        return make_fingerprint(self._core.daemon.peer_key, content)

    def verdict(self, fingerprint: Fingerprint) -> Verdict:
        """Return whether a request may run."""
        return self.table.verdict(fingerprint, self.unix_clock())

    def back_in_s(self, fingerprint: Fingerprint) -> float:
        """Return when it is worth sending a request again that is kept away."""
        row = self.table.get(fingerprint)
        if row is None or row.hold is None:
            return MIN_BACK_S
        left_s = row.hold.until_unix_s - self.unix_clock()
        # After the last trial only operators free it, and nobody knows when.
        return max(HOLD_S if row.hold.trials >= MAX_TRIALS else MIN_BACK_S, left_s)

    async def async_note_broken(self, run: BrokenRun) -> None:
        """Take in that a run was broken off; return when it was looked into."""
        await self._proof.async_check(run)

    def note_restarted(self, incarnation: Incarnation) -> None:
        """Take in that an endpoint is back as another process."""
        self._proof.note_restarted(incarnation)

    def note_vanished(self, incarnation: Incarnation) -> None:
        """Take in that the registration of a ready endpoint has lapsed."""
        self._proof.note_vanished(incarnation)

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Drop what is only known of an endpoint that is gone."""
        self._ends.forget(endpoint)

    def note_success(self, fingerprint: Fingerprint) -> None:
        """Take in that a run ended well: it is not what ends endpoints."""
        self.free(fingerprint, "ran_well")

    def free(self, fingerprint: Fingerprint, reason: str) -> bool:
        """Let a request run again at all daemons; return whether it was known."""
        if not self.clear(fingerprint, reason):
            return False
        self.on_cleared(fingerprint)
        self.send(ClearedNews(fingerprint))
        return True

    def clear(self, fingerprint: Fingerprint, reason: str) -> bool:
        """Let a request run again here; return whether it was known."""
        row = self.table.get(fingerprint)
        if row is None:
            return False
        self.table.clear(fingerprint)
        self._core.events.info(
            "suspect_cleared",
            fingerprint=fingerprint,
            reason=reason,
            endings=len(row.endings),
            was_held=row.hold is not None,
        )
        self._show_holds()
        return True

    def take_hold(self, fingerprint: Fingerprint, hold: Hold) -> None:
        """Take over a hold that lies in the store."""
        if self.table.put_hold(fingerprint, hold, self._core.clock()):
            self._log_hold(fingerprint, hold, "store")

    def take_endings(self, news: EndingNews, source: str) -> None:
        """Take in what another daemon had running where endpoints ended."""
        now_s = self._core.clock()
        for run in news.runs:
            ending = self._ends.take(run.ending, now_s - run.noticed_ago_s, now_s)
            self._add(EndedRun(run.fingerprint, run.about, ending), source)

    def note_ended(self, run: BrokenRun, evidence: Evidence, broken_s: float) -> None:
        """Take in that an endpoint is proved to have ended under a run.

        ``broken_s`` is when the run was broken off, on this daemon's clock.
        """
        ending = self._ends.name(run, broken_s)
        self._core.metrics.endings.inc({"evidence": evidence.value})
        self._core.events.record(
            "ended_under",
            fingerprint=run.fingerprint,
            endpoint=run.endpoint,
            ending=ending.label,
            evidence=evidence.value,
        )
        about = _printable(run.about)
        ago_s = max(0.0, self._core.clock() - broken_s)
        ended = EndedRun(run.fingerprint, about, ending, ago_s)
        if self._add(ended, "own_run"):
            self.on_held(run.fingerprint)
        if not self._untold:
            asyncio.get_running_loop().call_later(TELL_DELAY_S, self._tell)
        self._untold.append(ended)

    def _tell(self) -> None:
        runs, self._untold = self._untold, []
        self.send(EndingNews(runs))

    def _add(self, run: EndedRun, source: str) -> bool:
        is_held = self.table.add_ending(
            run.fingerprint,
            run.about,
            run.ending,
            self._core.clock(),
            self.unix_clock(),
        )
        if is_held:
            hold = self.table.get(run.fingerprint).hold
            self._log_hold(run.fingerprint, hold, source)
        return is_held

    def _log_hold(self, fingerprint: Fingerprint, hold: Hold, source: str) -> None:
        self._core.events.warning(
            "suspect_held",
            fingerprint=fingerprint,
            about=hold.about,
            endings=",".join(ending.label for ending in hold.endings),
            trials=hold.trials,
            left_s=hold.until_unix_s - self.unix_clock(),
            source=source,
        )
        self._show_holds()

    def _show_holds(self) -> None:
        self._core.metrics.held_requests.set({}, self.table.held)
