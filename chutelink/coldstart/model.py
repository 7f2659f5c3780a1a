"""The cold state of one endpoint process, as known to a daemon. No I/O."""

from __future__ import annotations

from enum import Enum

import msgspec


class ColdState(Enum):
    """Whether an endpoint process takes any number of requests.

    The values are used in logs.
    """

    WARM = "warm"
    COLD = "cold"
    """It crashes if it gets more requests per second than configured."""
    UNKNOWN = "unknown"
    """Treated like a cold one."""


class ColdStatus(msgspec.Struct):
    """The cold state of one endpoint process, and when to ask for a grant next.

    The state was learned at ``since_s`` and holds for ``left_s`` from then on, but not
    longer than the service's ``cold_s``; after that, the process is warm.
    ``is_from_response`` is whether a response stated it, not a registration. Before
    ``next_request_s`` no grant is requested, and at ``likely_s`` one is likely.
    """

    state: ColdState = ColdState.WARM
    since_s: float = float("-inf")
    left_s: float = 0.0
    is_from_response: bool = False
    next_request_s: float = float("-inf")
    likely_s: float = float("-inf")

    def state_at(self, now_s: float, cold_s: float) -> ColdState:
        """Return the state, given how long the service's endpoints are cold."""
        if self.state is ColdState.WARM or now_s >= self.ends_s(cold_s):
            return ColdState.WARM
        return self.state

    @property
    def is_known(self) -> bool:
        """Whether anything has been learned of the process since it appeared."""
        return self.since_s > float("-inf")

    def ends_s(self, cold_s: float) -> float:
        """Return when a state other than warm ends."""
        return self.since_s + min(self.left_s, cold_s)

    def note_registration(self, left_s: float, now_s: float) -> None:
        """Apply a registration that was received now.

        A registration was written up to some seconds ago. If a response has stated a
        later end, the registration may predate the change to cold, and is ignored.
        """
        is_stated = self.state is ColdState.COLD and self.is_from_response
        if is_stated and self.since_s + self.left_s > now_s + left_s:
            return
        self._set(left_s, now_s, is_from_response=False)

    def note_response(self, left_s: float, sent_s: float, now_s: float) -> None:
        """Apply a response to a request that was sent at ``sent_s``.

        If the state was learned later, the response may be older than that, and can't
        end it earlier.
        """
        is_older = sent_s <= self.since_s
        ends_s = self.since_s + self.left_s
        if is_older and self.state is not ColdState.WARM and ends_s >= now_s + left_s:
            return
        if left_s > 0 or not is_older:
            self._set(left_s, now_s, is_from_response=True)

    def mark_unknown(self, now_s: float) -> None:
        """Treat the process as cold until its state is read, or ``cold_s`` is over."""
        self.state = ColdState.UNKNOWN
        self.since_s = now_s
        self.left_s = float("inf")
        self.is_from_response = False

    def defer(self, request_s: float, likely_s: float) -> None:
        """Request no grant before ``request_s``; one is likely at ``likely_s``."""
        self.next_request_s = request_s
        self.likely_s = likely_s

    def _set(self, left_s: float, now_s: float, *, is_from_response: bool) -> None:
        self.state = ColdState.COLD if left_s > 0 else ColdState.WARM
        self.since_s = now_s
        self.left_s = left_s
        self.is_from_response = is_from_response
        if self.state is ColdState.WARM:
            self.defer(float("-inf"), float("-inf"))


class GrantVerdict(Enum):
    """The answer to a request for a grant.

    The values are used in messages, metrics and logs.
    """

    GRANTED = "granted"
    WINDOW_FULL = "window_full"
    """The process has got all grants of this window."""
    OUTDATED_PROCESS = "outdated_process"
    """The endpoint has restarted since."""
    NOT_HOLDER = "not_holder"
    """The daemon that was asked may not act as the placer."""
    TERM_TOO_NEW = "term_too_new"
    """Grants of the previous lease holder may still be used."""
    NO_HOLDER = "no_holder"
    """No lease holder is known, or there is no link to it."""
    NO_ANSWER = "no_answer"
    """The lease holder did not answer in time."""
    EXPIRED = "expired"
    """The answer came after the grant's validity; this daemon was suspended."""


class Grant(msgspec.Struct, frozen=True):
    """A verdict, and for a refusal the time until a grant is likely."""

    verdict: GrantVerdict
    retry_in_s: float = 0.0
