"""Refuse requests that have ended the endpoints that ran them."""

from __future__ import annotations

from ..gateway.refusals import unavailable
from ..quarantine.model import Verdict
from ..quarantine.service import Quarantine
from .exchange import Exchange


class QuarantineGate:
    """Lets exchanges pass, or refuses them.

    Parameters
    ----------
    quarantine : Quarantine
        Knows what is kept away.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    async def async_admit(self, exchange: Exchange) -> None:
        """Refuse at once what is kept away; let one daemon try what was long enough.

        Raises
        ------
        Refusal
            It is kept away.
        """
        verdict = self._quarantine.verdict(exchange.fingerprint)
        if verdict is Verdict.TRIAL:
            claim = self._quarantine.async_claim_trial
            exchange.is_trial = await claim(exchange.fingerprint)
        self.check(exchange)

    def check(self, exchange: Exchange) -> None:
        """Refuse what is kept away, whenever that became known.

        Raises
        ------
        Refusal
            It is kept away.
        """
        if not self.is_held(exchange):
            return
        back_in_s = self._quarantine.back_in_s(exchange.fingerprint)
        raise unavailable("endpoints ended that ran this request", back_in_s)

    def is_held(self, exchange: Exchange) -> bool:
        """Return whether it may not be sent."""
        if exchange.is_trial:
            return False
        return self._quarantine.verdict(exchange.fingerprint) is not Verdict.FREE
