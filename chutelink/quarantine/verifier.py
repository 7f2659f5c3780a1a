"""Verification that endpoints of broken runs have terminated, at once or later."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from ..core import Application
from ..ids import Incarnation
from .const import LATE_EVIDENCE_S
from .model import BrokenRun, Evidence
from .probe import EndingProbe, ProbeResult


class _PendingRun(msgspec.Struct, frozen=True):
    """A broken run without evidence so far that its endpoint has terminated."""

    run: BrokenRun
    broken_s: float


class EndingVerifier:
    """Tracks broken runs until the termination of their endpoint is confirmed.

    Parameters
    ----------
    core : Application
        The owning application.
    probe : EndingProbe
        Checks the endpoint's address.
    on_confirmed : callable
        Called with each run whose endpoint is confirmed to have terminated during the
        run, the evidence, and the time at which the run broke.
    """

    def __init__(
        self,
        core: Application,
        probe: EndingProbe,
        on_confirmed: Callable[[BrokenRun, Evidence, float], None],
    ) -> None:
        self._core = core
        self._probe = probe
        self._on_confirmed = on_confirmed
        self._probes: dict[Incarnation, asyncio.Task[ProbeResult]] = {}
        self._pending: dict[Incarnation, list[_PendingRun]] = {}
        self._silent: dict[Incarnation, float] = {}
        self._restarted: dict[Incarnation, float] = {}
        self._leaving: dict[Incarnation, float] = {}

    async def async_check(self, run: BrokenRun) -> None:
        """Probe the endpoint, once for all runs that break with one process."""
        incarnation = run.incarnation
        broken_s = self._core.clock()
        task = self._probes.get(incarnation)
        if task is None:
            task = asyncio.ensure_future(self._probe.async_probe(run.address))
            self._probes[incarnation] = task
            task.add_done_callback(lambda _: self._probes.pop(incarnation, None))
        # The result counts even if the caller disconnects during the probe.
        task.add_done_callback(
            lambda done: self._handle_probe_result(run, broken_s, done)
        )
        await asyncio.shield(task)

    def _handle_probe_result(
        self, run: BrokenRun, broken_s: float, task: asyncio.Task[ProbeResult]
    ) -> None:
        if task.cancelled():
            return
        if task.result() is ProbeResult.REFUSED:
            self._on_confirmed(run, Evidence.REFUSED, broken_s)
            return
        now_s = self._core.clock()
        self._drop_expired(now_s)
        if run.incarnation in self._restarted:
            # The new process registered while the address was being probed.
            self._on_confirmed(run, Evidence.RESTARTED, broken_s)
            return
        if task.result() is ProbeResult.SILENT:
            self._silent[run.incarnation] = now_s
        self._pending.setdefault(run.incarnation, []).append(_PendingRun(run, broken_s))

    def note_leaving(self, incarnation: Incarnation) -> None:
        """Handle the announcement of a shutdown, by which no run has ended the process.

        Its restart is no evidence any more, also not for runs that broke before.
        """
        self._leaving[incarnation] = self._core.clock()
        self._pending.pop(incarnation, None)

    def note_restarted(self, incarnation: Incarnation) -> None:
        """Handle the registration of another process under the same endpoint id."""
        if incarnation in self._leaving:
            return
        self._restarted[incarnation] = self._core.clock()
        self._confirm(incarnation, Evidence.RESTARTED)

    def note_registration_lapsed(self, incarnation: Incarnation) -> None:
        """Handle a lapsed registration of a ready endpoint.

        It is evidence only if the endpoint didn't answer the probe either: some
        endpoints deregister without notice and serve until they terminate.
        """
        if incarnation in self._silent:
            self._confirm(incarnation, Evidence.REGISTRATION_LAPSED)

    def _confirm(self, incarnation: Incarnation, evidence: Evidence) -> None:
        self._drop_expired(self._core.clock())
        for entry in self._pending.pop(incarnation, []):
            self._on_confirmed(entry.run, evidence, entry.broken_s)

    def _drop_expired(self, now_s: float) -> None:
        old = [i for i, at_s in self._silent.items() if now_s - at_s > LATE_EVIDENCE_S]
        for incarnation in old:
            del self._silent[incarnation]
        for noted in (self._restarted, self._leaving):
            old = [i for i, at_s in noted.items() if now_s - at_s > LATE_EVIDENCE_S]
            for incarnation in old:
                del noted[incarnation]
        for incarnation, runs in list(self._pending.items()):
            recent = [e for e in runs if now_s - e.broken_s <= LATE_EVIDENCE_S]
            if recent:
                self._pending[incarnation] = recent
            else:
                del self._pending[incarnation]
