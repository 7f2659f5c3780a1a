"""What a daemon knows of the limit of one endpoint, and what it may send there."""

from __future__ import annotations

import msgspec

from .const import DOUBTFUL_S


class LimitState(msgspec.Struct):
    """The limit of one process of an endpoint, as far as a daemon knows it.

    ``rate_per_s`` is None where it names no limit, ``known_s`` when that was last
    heard, ``next_send_s`` the earliest time at which another request may be sent there.
    """

    rate_per_s: float | None = None
    known_s: float = float("-inf")
    next_send_s: float = float("-inf")

    @property
    def is_limited(self) -> bool:
        """Whether it names a limit."""
        return self.rate_per_s is not None

    def is_doubtful(self, now_s: float) -> bool:
        """Return whether no answer has confirmed the limit for some time."""
        return self.is_limited and now_s - self.known_s > DOUBTFUL_S

    def note(self, rate_per_s: float, now_s: float) -> bool:
        """Take in the limit that it names; return whether that changes anything."""
        is_changed = rate_per_s != self.rate_per_s
        self.rate_per_s = rate_per_s
        self.known_s = now_s
        return is_changed

    def note_none(self, sent_s: float) -> bool:
        """Take in an answer without a limit; return whether that changes anything.

        Only the answer to a request that was sent after the limit was known lifts it:
        an earlier one may have been written before the limit was named.
        """
        if not self.is_limited or sent_s <= self.known_s:
            return False
        self.lift()
        return True

    def lift(self) -> None:
        """Forget the limit."""
        self.rate_per_s = None
        self.next_send_s = float("-inf")


class Permit(msgspec.Struct, frozen=True):
    """Whether a request may be sent, after ``delay_s``.

    Without a permit ``delay_s`` is when the next request may be sent.
    """

    is_granted: bool
    delay_s: float
