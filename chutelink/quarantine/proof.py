"""Find out of which broken runs the endpoint has ended, at once or later."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from ..core import Application
from ..ids import Incarnation
from .const import LATE_PROOF_S
from .model import BrokenRun, Evidence
from .probe import EndingProbe, ProbeResult


class _OpenRun(msgspec.Struct, frozen=True):
    """A run whose endpoint's end is not proved, and when it was broken off."""

    run: BrokenRun
    broken_s: float


class EndingProof:
    """Keeps runs that were broken off until the end of their endpoint is proved.

    Parameters
    ----------
    core : Application
        The owner.
    probe : EndingProbe
        Asks at the endpoint's address.
    on_ended : callable
        Called with each run whose endpoint is proved to have ended under it, and
        with the time at which the run was broken off.
    """

    def __init__(
        self,
        core: Application,
        probe: EndingProbe,
        on_ended: Callable[[BrokenRun, Evidence, float], None],
    ) -> None:
        self._core = core
        self._probe = probe
        self._on_ended = on_ended
        self._probes: dict[Incarnation, asyncio.Task[ProbeResult]] = {}
        self._open: dict[Incarnation, list[_OpenRun]] = {}
        self._silent: dict[Incarnation, float] = {}
        self._restarted: dict[Incarnation, float] = {}

    async def async_check(self, run: BrokenRun) -> None:
        """Ask once for all runs that break with one process."""
        incarnation = run.incarnation
        broken_s = self._core.clock()
        task = self._probes.get(incarnation)
        if task is None:
            task = asyncio.ensure_future(self._probe.async_probe(run.address))
            self._probes[incarnation] = task
            task.add_done_callback(lambda _: self._probes.pop(incarnation, None))
        # The caller may leave meanwhile; what its run did counts all the same.
        task.add_done_callback(lambda done: self._take_result(run, broken_s, done))
        await asyncio.shield(task)

    def _take_result(
        self, run: BrokenRun, broken_s: float, task: asyncio.Task[ProbeResult]
    ) -> None:
        if task.cancelled():
            return
        if task.result() is ProbeResult.REFUSED:
            self._on_ended(run, Evidence.REFUSED, broken_s)
            return
        now_s = self._core.clock()
        self._forget_old(now_s)
        if run.incarnation in self._restarted:
            # The new process was registered while the old one was still asked for.
            self._on_ended(run, Evidence.RESTARTED, broken_s)
            return
        if task.result() is ProbeResult.SILENT:
            self._silent[run.incarnation] = now_s
        self._open.setdefault(run.incarnation, []).append(_OpenRun(run, broken_s))

    def note_restarted(self, incarnation: Incarnation) -> None:
        """Take in that another process is there under the same id."""
        self._restarted[incarnation] = self._core.clock()
        self._prove(incarnation, Evidence.RESTARTED)

    def note_vanished(self, incarnation: Incarnation) -> None:
        """Take in that a registration has lapsed that was ready.

        It counts where the endpoint took no connection either: some leave without a
        word, and go on serving until they end.
        """
        if incarnation in self._silent:
            self._prove(incarnation, Evidence.VANISHED)

    def _prove(self, incarnation: Incarnation, evidence: Evidence) -> None:
        self._forget_old(self._core.clock())
        for entry in self._open.pop(incarnation, []):
            self._on_ended(entry.run, evidence, entry.broken_s)

    def _forget_old(self, now_s: float) -> None:
        old = [i for i, at_s in self._silent.items() if now_s - at_s > LATE_PROOF_S]
        for incarnation in old:
            del self._silent[incarnation]
        old = [i for i, at_s in self._restarted.items() if now_s - at_s > LATE_PROOF_S]
        for incarnation in old:
            del self._restarted[incarnation]
        for incarnation, runs in list(self._open.items()):
            recent = [e for e in runs if now_s - e.broken_s <= LATE_PROOF_S]
            if recent:
                self._open[incarnation] = recent
            else:
                del self._open[incarnation]
