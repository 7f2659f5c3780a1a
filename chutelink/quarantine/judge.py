"""Decide which requests are kept away, and for how long. Pure."""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec

from .const import ENDINGS_TO_HOLD, HOLD_FACTOR, HOLD_S, MAX_TRIALS
from .model import Hold, Suspect, Verdict


class Judge(ABC):
    """A policy: what a request's endings mean."""

    @abstractmethod
    def is_guilty(self, suspect: Suspect) -> bool:
        """Return whether a request is to be kept away from now on."""

    @abstractmethod
    def begin_hold(self, suspect: Suspect, unix_s: float) -> Hold:
        """Return the hold of a request that is guilty."""

    @abstractmethod
    def begin_trial(self, hold: Hold, unix_s: float) -> Hold:
        """Return the hold that follows on a trial, should that end badly."""

    @abstractmethod
    def judge(self, hold: Hold | None, unix_s: float) -> Verdict:
        """Return what may be done with a request now."""


class EndingCount(Judge):
    """Keeps away what has ended several endpoints and has not run well since.

    A run that ends well clears a request, so that one with content that many send is
    not kept away for being there when endpoints end.
    """

    def is_guilty(self, suspect: Suspect) -> bool:
        """Return whether enough endpoints have ended under it."""
        return len(suspect.endings) >= ENDINGS_TO_HOLD

    def begin_hold(self, suspect: Suspect, unix_s: float) -> Hold:
        """Return the first hold."""
        return Hold(suspect.about, suspect.endings, unix_s + HOLD_S)

    def begin_trial(self, hold: Hold, unix_s: float) -> Hold:
        """Return a longer hold, which the trial lifts if it ends well."""
        trials = hold.trials + 1
        until_unix_s = unix_s + HOLD_S * HOLD_FACTOR**trials
        return msgspec.structs.replace(hold, trials=trials, until_unix_s=until_unix_s)

    def judge(self, hold: Hold | None, unix_s: float) -> Verdict:
        """Return whether it may run; after the last trial only operators free it."""
        if hold is None:
            return Verdict.FREE
        if unix_s < hold.until_unix_s or hold.trials >= MAX_TRIALS:
            return Verdict.HELD
        return Verdict.TRIAL
