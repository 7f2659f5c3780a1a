"""Identification of endpoint terminations across runs and daemons. Does no I/O."""

from __future__ import annotations

import math
from collections import defaultdict

import msgspec

from ..ids import EndpointId
from .const import LATE_EVIDENCE_S, SAME_ENDING_TOLERANCE_S
from .model import BrokenRun, Ending


class _KnownEnding(msgspec.Struct):
    """A termination and the interval in which it happened, on this daemon's clock."""

    ending: Ending
    after_s: float
    before_s: float


class EndingLog:
    """The recent terminations of each endpoint that are known to this daemon.

    A run is broken by a termination that happens while the run is active. Runs that
    were not active at the same time were broken by different terminations, however
    short the time between them: a supervisor may restart a process within
    milliseconds, before the registration shows the new process.
    """

    def __init__(self) -> None:
        self._by_endpoint: defaultdict[EndpointId, list[_KnownEnding]] = defaultdict(
            list
        )

    def identify(self, run: BrokenRun, broken_s: float) -> Ending:
        """Return the termination that broke a run.

        Parameters
        ----------
        run : BrokenRun
            The run; its endpoint is known to have terminated.
        broken_s : float
            Time at which this daemon detected that the run was broken.
        """
        endings = self._recent(run.endpoint, broken_s)
        after_s = _last_alive_s(run)
        for known in endings:
            if after_s < known.before_s and known.after_s < broken_s:
                known.after_s = max(known.after_s, after_s)
                known.before_s = min(known.before_s, broken_s)
                return known.ending
        number = endings[-1].ending.number + 1 if endings else 1
        ending = Ending(run.endpoint, run.born_ms, number)
        endings.append(_KnownEnding(ending, after_s, broken_s))
        return ending

    def resolve(self, ending: Ending, before_s: float, now_s: float) -> Ending:
        """Return the local ending that matches one detected by another daemon.

        The other daemon may know of more or fewer starts of the endpoint, but it
        numbers the terminations that it knows: a higher number is a different one.

        Parameters
        ----------
        ending : Ending
            The ending as the other daemon identified it.
        before_s : float
            Time at which the other daemon detected it, on this daemon's clock.
        now_s : float
            Current time.
        """
        endings = self._recent(ending.endpoint, now_s)
        for known in endings:
            is_close = abs(known.before_s - before_s) < SAME_ENDING_TOLERANCE_S
            if known.ending == ending or (
                is_close and _may_be_same_ending(known.ending, ending)
            ):
                return known.ending
        if not endings or ending.order > endings[-1].ending.order:
            endings.append(_KnownEnding(ending, -math.inf, before_s))
        return ending

    def forget(self, endpoint: EndpointId) -> None:
        """Remove all endings of a removed endpoint."""
        self._by_endpoint.pop(endpoint, None)

    def _recent(self, endpoint: EndpointId, now_s: float) -> list[_KnownEnding]:
        """Return the endings to which a run may belong.

        Evidence that a termination broke a run is accepted for ``LATE_EVIDENCE_S``.
        The latest ending is always kept, since new ones are numbered from it.
        """
        endings = self._by_endpoint[endpoint]
        endings[:-1] = [
            e for e in endings[:-1] if now_s - e.before_s <= LATE_EVIDENCE_S
        ]
        return endings


def _last_alive_s(run: BrokenRun) -> float:
    """Return when the process that received a run was last known to be alive.

    A new connection was accepted by the process after the run was sent. A kept-alive
    connection may have been broken for a while, so that the run never reached the
    endpoint.
    """
    return run.sent_s if run.is_new_connection else run.sent_s - SAME_ENDING_TOLERANCE_S


def _may_be_same_ending(known: Ending, reported: Ending) -> bool:
    """Return whether two endings detected at about the same time may be the same."""
    is_earlier = reported.number < known.number and reported.born_ms < known.born_ms
    return reported.number <= known.number and not is_earlier
