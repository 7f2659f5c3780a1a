"""The limit of one endpoint as known to a daemon, and permits to send to it."""

from __future__ import annotations

import msgspec

from .const import UNCONFIRMED_AFTER_S


class LimitState(msgspec.Struct):
    """The limit of one endpoint process, as known to this daemon.

    ``rate_per_s`` is None if the process announces no limit, ``known_s`` is when the
    limit was last received, and ``next_send_s`` is the earliest time at which another
    request may be sent to the endpoint.
    """

    rate_per_s: float | None = None
    known_s: float = float("-inf")
    next_send_s: float = float("-inf")

    @property
    def is_limited(self) -> bool:
        """Whether the endpoint announces a limit."""
        return self.rate_per_s is not None

    def is_unconfirmed(self, now_s: float) -> bool:
        """Return whether no response has confirmed the limit for some time."""
        return self.is_limited and now_s - self.known_s > UNCONFIRMED_AFTER_S

    def note(self, rate_per_s: float, now_s: float) -> bool:
        """Set the limit that the endpoint announced; return whether it changed."""
        is_changed = rate_per_s != self.rate_per_s
        self.rate_per_s = rate_per_s
        self.known_s = now_s
        return is_changed

    def note_unlimited(self, sent_s: float) -> bool:
        """Handle a response without a limit; return whether this lifts the limit.

        Only the response to a request that was sent after the limit arrived lifts
        it: an earlier response may have been written before the limit was announced.
        """
        if not self.is_limited or sent_s <= self.known_s:
            return False
        self.lift()
        return True

    def lift(self) -> None:
        """Remove the limit."""
        self.rate_per_s = None
        self.next_send_s = float("-inf")


class Permit(msgspec.Struct, frozen=True):
    """Permission to send a request after ``delay_s``, or its refusal.

    If it is refused, ``delay_s`` is the time until the next request may be sent.
    """

    is_granted: bool
    delay_s: float
