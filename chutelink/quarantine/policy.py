"""Policies that decide which requests are held, and for how long. Does no I/O."""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec

from .const import (
    ENDINGS_TO_HOLD,
    FIRST_HOLD_S,
    HOLD_BACKOFF_FACTOR,
    MAX_TRIALS,
    MIN_CONTENTS_TO_HOLD,
)
from .model import Hold, Suspect, Verdict


class QuarantinePolicy(ABC):
    """Decides from a request's endings whether it may run."""

    @abstractmethod
    def should_hold(self, suspect: Suspect) -> bool:
        """Return whether a suspect must be held from now on."""

    @abstractmethod
    def begin_hold(self, suspect: Suspect, unix_s: float) -> Hold:
        """Return the first hold of a request."""

    @abstractmethod
    def begin_trial(self, hold: Hold, unix_s: float) -> Hold:
        """Return the hold that stays in force if the trial that begins now fails."""

    @abstractmethod
    def decide(self, hold: Hold | None, unix_s: float) -> Verdict:
        """Return whether a request may run now."""


class EndingCountPolicy(QuarantinePolicy):
    """Holds a request, or a prompt part, after several endpoints terminated.

    A successful run clears a request, so that content that many callers send isn't
    held merely because it was running when endpoints terminated.
    """

    def should_hold(self, suspect: Suspect) -> bool:
        """Return whether the suspect has reached the threshold of endings."""
        if suspect.contents and len(suspect.contents) < MIN_CONTENTS_TO_HOLD:
            return False
        return len(suspect.endings) >= ENDINGS_TO_HOLD

    def begin_hold(self, suspect: Suspect, unix_s: float) -> Hold:
        """Return a hold of the initial duration."""
        return Hold(suspect.about, suspect.endings, unix_s + FIRST_HOLD_S)

    def begin_trial(self, hold: Hold, unix_s: float) -> Hold:
        """Return a longer hold, which is cleared if the trial succeeds."""
        trials = hold.trials + 1
        until_unix_s = unix_s + FIRST_HOLD_S * HOLD_BACKOFF_FACTOR**trials
        return msgspec.structs.replace(hold, trials=trials, until_unix_s=until_unix_s)

    def decide(self, hold: Hold | None, unix_s: float) -> Verdict:
        """Return the verdict; after the last trial only operators release a hold."""
        if hold is None:
            return Verdict.FREE
        if unix_s < hold.until_unix_s or hold.trials >= MAX_TRIALS:
            return Verdict.HELD
        return Verdict.TRIAL
