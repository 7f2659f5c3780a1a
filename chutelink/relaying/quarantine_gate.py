"""Refuse requests that have crashed the endpoints that ran them."""

from __future__ import annotations

from ..gateway.refusals import unavailable
from ..quarantine.model import Verdict
from ..quarantine.service import Quarantine
from .exchange import Exchange
from .waits import StoppableWaits


class QuarantineGate:
    """Admits requests, or refuses them if they are quarantined.

    Parameters
    ----------
    quarantine : Quarantine
        Tracks quarantined requests.
    waits : StoppableWaits
        Ends the claim of a trial when the daemon stops.
    """

    def __init__(self, quarantine: Quarantine, waits: StoppableWaits) -> None:
        self._quarantine = quarantine
        self._waits = waits

    async def async_admit(self, exchange: Exchange) -> None:
        """Refuse a quarantined request, unless it is due for a trial run.

        A trial is claimed first, so that only one daemon runs it.

        Raises
        ------
        Refusal
            The request is quarantined.
        """
        held = self._quarantine.binding(exchange.quarantine_keys)
        verdicts = {self._quarantine.verdict(key) for key in held}
        if verdicts == {Verdict.TRIAL}:
            claim = self._quarantine.async_claim_trial
            async with self._waits.async_refuse_at_stop(exchange):
                exchange.is_trial = all([await claim(key) for key in held])
        self.check(exchange)

    def check(self, exchange: Exchange) -> None:
        """Refuse a request that is quarantined now, also after its admission.

        Raises
        ------
        Refusal
            The request is quarantined.
        """
        if exchange.is_trial:
            return
        held = self._quarantine.binding(exchange.quarantine_keys)
        if not held:
            return
        exchange.held_by = held[0]
        back_in_s = max(self._quarantine.back_in_s(key) for key in held)
        raise unavailable("endpoints ended that ran this request", back_in_s)

    def is_quarantined(self, exchange: Exchange) -> bool:
        """Return whether the request is quarantined and is not a trial run."""
        if exchange.is_trial:
            return False
        return bool(self._quarantine.binding(exchange.quarantine_keys))
