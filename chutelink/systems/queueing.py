"""Queueing policies that select the next request to dispatch."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..fleet.model import QueueingPolicy
from ..tables.requests import WaitingRequest

URGENT_SLACK_S = 0.25


class Queueing(ABC):
    """Policy that orders requests waiting for the same artifacts."""

    @abstractmethod
    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return the sort key; the request with the lowest key goes first."""

    def select(self, waiting: list[WaitingRequest], now_s: float) -> WaitingRequest:
        """Return the request to dispatch next; ``waiting`` must not be empty."""
        return min(waiting, key=lambda request: self.rank(request, now_s))


class FifoQueueing(Queueing):
    """Baseline that serves requests in order of arrival."""

    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return the arrival time."""
        return (request.arrived_s,)


class EarliestDeadlineQueueing(Queueing):
    """Baseline that serves the earliest deadline first."""

    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return the deadline, then the arrival time."""
        return (request.deadline_s, request.arrived_s)


class PriorityQueueing(Queueing):
    """Baseline that uses strict priority, then order of arrival."""

    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return the negated priority, then the arrival time."""
        return (-request.request_class.priority, request.arrived_s)


class SlackQueueing(Queueing):
    """Slack-based queueing: priority decides while requests have enough slack.

    Based on Talby and Feitelson, *Supporting Priorities and Improving
    Utilization of the IBM SP Scheduler Using Slack-Based Backfilling* (1999).
    Requests that have almost used up their slack go first, then the others.
    Both groups are ordered by priority, then by slack. Requests that already
    missed their target go last, so that they do not delay the others.
    """

    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return the tier, the negated priority, and the slack or arrival time."""
        slack_s = request.slack_s(now_s)
        if slack_s < 0:
            return (2, -request.request_class.priority, request.arrived_s)
        if slack_s < URGENT_SLACK_S:
            return (0, -request.request_class.priority, slack_s)
        return (1, -request.request_class.priority, slack_s)


def make_queueing(policy: QueueingPolicy) -> Queueing:
    """Return the queueing policy selected in the fleet file."""
    return {
        QueueingPolicy.FIFO: FifoQueueing,
        QueueingPolicy.EARLIEST_DEADLINE: EarliestDeadlineQueueing,
        QueueingPolicy.PRIORITY: PriorityQueueing,
        QueueingPolicy.SLACK: SlackQueueing,
    }[policy]()
