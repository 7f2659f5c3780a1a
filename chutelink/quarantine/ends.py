"""Name each end of an endpoint once, whoever saw it and however often told. Pure."""

from __future__ import annotations

import math
from collections import defaultdict

import msgspec

from ..ids import EndpointId
from .const import LATE_PROOF_S, SAME_END_S
from .model import BrokenRun, Ending


class _KnownEnd(msgspec.Struct):
    """An end, and the time span in which it happened, on this daemon's clock."""

    ending: Ending
    after_s: float
    before_s: float


class EndLog:
    """The recent ends of each endpoint, as this daemon knows them.

    A run was broken off by an end that happened while it was under way. Runs that were
    not under way at the same time were broken off by different ends, however soon one
    followed the other: a supervisor may restart a process within milliseconds, before
    its registration names the new one.
    """

    def __init__(self) -> None:
        self._known: defaultdict[EndpointId, list[_KnownEnd]] = defaultdict(list)

    def name(self, run: BrokenRun, broken_s: float) -> Ending:
        """Return the end that broke off a run.

        Parameters
        ----------
        run : BrokenRun
            The run; its endpoint is known to have ended.
        broken_s : float
            When this daemon noticed that it was broken off.
        """
        ends = self._recent(run.endpoint, broken_s)
        after_s = _alive_s(run)
        for known in ends:
            if after_s < known.before_s and known.after_s < broken_s:
                known.after_s = max(known.after_s, after_s)
                known.before_s = min(known.before_s, broken_s)
                return known.ending
        number = ends[-1].ending.number + 1 if ends else 1
        ending = Ending(run.endpoint, run.born_ms, number)
        ends.append(_KnownEnd(ending, after_s, broken_s))
        return ending

    def take(self, ending: Ending, before_s: float, now_s: float) -> Ending:
        """Return under which name an end is known here that another daemon saw.

        The other one may know of more or fewer starts of the endpoint, but numbers the
        ends that it knows: a higher number is another end.

        Parameters
        ----------
        ending : Ending
            The name that the other daemon gave.
        before_s : float
            When the other daemon noticed it, on this daemon's clock.
        now_s : float
            The time.
        """
        ends = self._recent(ending.endpoint, now_s)
        for known in ends:
            is_close = abs(known.before_s - before_s) < SAME_END_S
            if known.ending == ending or (is_close and _may_be(known.ending, ending)):
                return known.ending
        if not ends or ending.order > ends[-1].ending.order:
            ends.append(_KnownEnd(ending, -math.inf, before_s))
        return ending

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._known.pop(endpoint, None)

    def _recent(self, endpoint: EndpointId, now_s: float) -> list[_KnownEnd]:
        """Return the ends that a run may belong to, and the latest, by which to count.

        A run is proved to be broken off by an end for ``LATE_PROOF_S``.
        """
        ends = self._known[endpoint]
        ends[:-1] = [e for e in ends[:-1] if now_s - e.before_s <= LATE_PROOF_S]
        return ends


def _alive_s(run: BrokenRun) -> float:
    """Return when the process that had a run was last known to be there.

    A new connection was accepted by a process after the run was sent. A kept one may
    have been broken for a while, so that the run never reached the endpoint.
    """
    return run.sent_s if run.is_new_connection else run.sent_s - SAME_END_S


def _may_be(known: Ending, told: Ending) -> bool:
    """Return whether two names that were given at about one time may mean one end."""
    is_earlier = told.number < known.number and told.born_ms < known.born_ms
    return told.number <= known.number and not is_earlier
