"""Which of the waiting requests goes next."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..fleet.model import QueueingPolicy
from ..tables.requests import WaitingRequest

URGENT_SLACK_S = 0.25


class Queueing(ABC):
    """Orders the requests that need the same artifacts."""

    @abstractmethod
    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return a key; the lowest goes first."""

    def select(self, waiting: list[WaitingRequest], now_s: float) -> WaitingRequest:
        """Return the request to send next; there is at least one."""
        return min(waiting, key=lambda request: self.rank(request, now_s))


class FifoQueueing(Queueing):
    """Baseline: first come, first served."""

    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return the time of arrival."""
        return (request.arrived_s,)


class EarliestDeadlineQueueing(Queueing):
    """Baseline: the earliest deadline first."""

    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return the deadline."""
        return (request.deadline_s, request.arrived_s)


class PriorityQueueing(Queueing):
    """Baseline: strict priority, then first come."""

    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return the class's priority, highest first."""
        return (-request.request_class.priority, request.arrived_s)


class SlackQueueing(Queueing):
    """By slack: a request gives way to more important ones while it has slack.

    After Talby and Feitelson, *Supporting Priorities and Improving Utilization
    of the IBM SP Scheduler Using Slack-Based Backfilling* (1999). Requests whose
    slack is nearly spent go first, by slack; then by priority; requests that
    have missed their target already go last, so that they make no others late.
    """

    def rank(self, request: WaitingRequest, now_s: float) -> tuple[float, ...]:
        """Return (tier, order within the tier, arrival)."""
        slack_s = request.slack_s(now_s)
        if slack_s < 0:
            return (2, -request.request_class.priority, request.arrived_s)
        if slack_s < URGENT_SLACK_S:
            return (0, -request.request_class.priority, slack_s)
        return (1, -request.request_class.priority, slack_s)


def make_queueing(policy: QueueingPolicy) -> Queueing:
    """Return the queueing that the fleet file names."""
    return {
        QueueingPolicy.FIFO: FifoQueueing,
        QueueingPolicy.EARLIEST_DEADLINE: EarliestDeadlineQueueing,
        QueueingPolicy.PRIORITY: PriorityQueueing,
        QueueingPolicy.SLACK: SlackQueueing,
    }[policy]()
