"""What waits in the gateways, as far as their news has come."""

from __future__ import annotations

from ..ids import DaemonId, FailureDomainName
from ..peers.messages import QueueNews

MAX_AGE_S = 8.0


class QueueTable:
    """The last news of each gateway; news that is too old counts as nothing."""

    def __init__(self) -> None:
        self._rows: dict[DaemonId, tuple[float, QueueNews]] = {}
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the number of this process's next message."""
        self._sequence += 1
        return self._sequence

    def merge(self, news: QueueNews, now_s: float) -> bool:
        """Take in news; return whether it is to be passed on."""
        known = self._rows.get(news.gateway)
        is_same_process = known is not None and known[1].boot_id == news.boot_id
        if is_same_process and news.sequence <= known[1].sequence:
            return False
        self._rows[news.gateway] = (now_s, news)
        return True

    def callers_of_others(self, own: DaemonId, now_s: float) -> dict[str, float]:
        """Return what the other gateways give each caller, in requests a second."""
        total: dict[str, float] = {}
        for taken_s, news in self._rows.values():
            if news.gateway == own or now_s - taken_s > MAX_AGE_S:
                continue
            for caller, rate_per_s in news.callers_per_s.items():
                total[caller] = total.get(caller, 0.0) + rate_per_s
        return total

    def waiting(
        self, failure_domain: FailureDomainName, now_s: float
    ) -> dict[str, int]:
        """Return the requests that wait in a domain's gateways, by model."""
        total: dict[str, int] = {}
        for taken_s, news in self._rows.values():
            is_fresh = now_s - taken_s <= MAX_AGE_S
            if news.failure_domain != failure_domain or not is_fresh:
                continue
            for model, count in news.waiting.items():
                total[model] = total.get(model, 0) + count
        return total
