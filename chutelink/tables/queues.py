"""Queue lengths and caller rates that the gateways have published."""

from __future__ import annotations

from ..ids import DaemonId, FailureDomainName
from ..peers.messages import QueueUpdate

MAX_AGE_S = 8.0


class QueueTable:
    """The latest message of each gateway, ignored once older than ``MAX_AGE_S``."""

    def __init__(self) -> None:
        self._rows: dict[DaemonId, tuple[float, QueueUpdate]] = {}
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the sequence number of this process's next message."""
        self._sequence += 1
        return self._sequence

    def merge(self, message: QueueUpdate, now_s: float) -> bool:
        """Merge a message; return whether it must be forwarded."""
        known = self._rows.get(message.gateway)
        is_same_process = known is not None and known[1].boot_id == message.boot_id
        if is_same_process and message.sequence <= known[1].sequence:
            return False
        self._rows[message.gateway] = (now_s, message)
        return True

    def caller_rates_of_others(self, own: DaemonId, now_s: float) -> dict[str, float]:
        """Return each caller's requests per second at the other gateways."""
        total: dict[str, float] = {}
        for received_s, message in self._rows.values():
            if message.gateway == own or now_s - received_s > MAX_AGE_S:
                continue
            for caller, rate_per_s in message.callers_per_s.items():
                total[caller] = total.get(caller, 0.0) + rate_per_s
        return total

    def waiting(
        self, failure_domain: FailureDomainName, now_s: float
    ) -> dict[str, int]:
        """Return the number of waiting requests in a failure domain, by model."""
        total: dict[str, int] = {}
        for received_s, message in self._rows.values():
            is_fresh = now_s - received_s <= MAX_AGE_S
            if message.failure_domain != failure_domain or not is_fresh:
                continue
            for model, count in message.waiting.items():
                total[model] = total.get(model, 0) + count
        return total
