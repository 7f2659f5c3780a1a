"""Decides which requests a stopping daemon accepts.

A request that could last longer than the grace period is refused as soon as it is read,
so that its caller can retry with another daemon at once.
"""

from __future__ import annotations

from collections.abc import Callable

from ..core import Application
from ..gateway.refusals import Refusal, unavailable

OTHER_DAEMON_RETRY_S = 0.02
"""Retry delay for callers that can reconnect to another daemon immediately."""
RESTART_RETRY_S = 1.0
"""Retry delay while no other daemon serves; a daemon starts within a second."""


def _has_other_daemon() -> bool:
    return True


class Drain:
    """When a stopping daemon ends the requests in flight, and what it still accepts.

    The time that a request will most likely take doesn't count: endpoints may slow down
    meanwhile, and few requests take several times as long as most. What counts is the
    deadline of the request, at which it ends in any case.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    """

    def __init__(self, core: Application) -> None:
        self._core = core
        self.deadline_s: float | None = None
        """When requests in flight are ended, None if the daemon doesn't stop."""
        self.has_other_daemon: Callable[[], bool] = _has_other_daemon
        """Returns whether another daemon serves callers."""

    @property
    def left_s(self) -> float | None:
        """The time until requests in flight are ended, None without such a time."""
        return None if self.deadline_s is None else self.deadline_s - self._core.clock()

    def can_finish(self, request_deadline_s: float) -> bool:
        """Return whether a request ends before the daemon does, at its deadline."""
        return self.deadline_s is None or request_deadline_s <= self.deadline_s

    def check(self, request_deadline_s: float) -> None:
        """Refuse a request that could last longer than the daemon.

        Raises
        ------
        Refusal
            The request has not run; another daemon may serve it.
        """
        if not self.can_finish(request_deadline_s):
            raise self.make_refusal()

    def make_refusal(self) -> Refusal:
        """Return the refusal of a request that has not run."""
        has_other = self.has_other_daemon()
        retry_delay_s = OTHER_DAEMON_RETRY_S if has_other else RESTART_RETRY_S
        return unavailable("this daemon is stopping", retry_delay_s)
