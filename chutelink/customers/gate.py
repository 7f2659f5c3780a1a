"""Who a caller is, and whether its customer may have more now."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from multidict import CIMultiDictProxy

from ..gateway.refusals import over_quota, unauthorized, unavailable
from ..ids import ConfigVersion
from ..watching.followed import Knowledge
from .keys import KeyIndex
from .model import Customer
from .quotas import UNLIMITED, QuotaDecision, QuotaKeeper, QuotaVerdict

STALE_RETRY_S = 0.5
"""A daemon that is behind has usually read the configuration by then."""


class Admission(msgspec.Struct, eq=False):
    """What was decided about a caller, for logs; filled in step by step.

    ``config_version`` and ``config_age_s`` are of the configuration whose keys
    decided; the version is None where callers need no keys.
    """

    customer: Customer | None = None
    decision: QuotaDecision = UNLIMITED
    config_version: ConfigVersion | None = None
    config_age_s: float | None = None


class CustomerGate:
    """Names the customer of each request and counts it against the quota.

    Parameters
    ----------
    quotas : QuotaKeeper
        This daemon's shares.
    knowledge : callable
        Returns how recent the configuration is, None when it was never read.
    fresh_s : float
        Up to what age a key that is not in the configuration is held for wrong.
    """

    def __init__(
        self,
        quotas: QuotaKeeper,
        knowledge: Callable[[], Knowledge | None],
        fresh_s: float,
    ) -> None:
        self.quotas = quotas
        self._knowledge = knowledge
        self._fresh_s = fresh_s

    def identify(
        self,
        headers: CIMultiDictProxy[str],
        keys: KeyIndex[Customer] | None,
        admission: Admission,
        *,
        is_anonymous: bool,
    ) -> None:
        """Find the customer who holds the caller's key.

        ``keys`` is None where the configuration declares no customers. On a route
        that is anonymous a key is not needed, and one that nobody holds is ignored.

        Raises
        ------
        Refusal
            Nobody holds the key: 401 when that is known, 503 when this daemon's
            configuration is too old to say so, since the key may be newer.
        """
        if keys is None:
            return
        admission.customer = keys.find(headers)
        knowledge = self._knowledge()
        if knowledge is not None:
            admission.config_age_s = knowledge.age_s
        if admission.customer is not None or is_anonymous:
            return
        if knowledge is None or knowledge.age_s > self._fresh_s:
            raise unavailable("keys are not known for sure", STALE_RETRY_S)
        raise unauthorized()

    async def async_admit(self, admission: Admission, tokens: int | None) -> None:
        """Count a request against its customer's quota.

        Raises
        ------
        Refusal
            The customer is over its quota.
        """
        customer = admission.customer
        if customer is None:
            return
        admission.decision = await self.quotas.async_admit(customer, tokens)
        if admission.decision.verdict is QuotaVerdict.OVER:
            raise over_quota(admission.decision.back_in_s)

    def give_back(self, admission: Admission) -> None:
        """Uncount a request that has not run, once."""
        decision, admission.decision = admission.decision, UNLIMITED
        if decision.verdict in (QuotaVerdict.OWN, QuotaVerdict.LENT):
            self.quotas.give_back(admission.customer, decision.cost)

    def charge_again(self, admission: Admission) -> None:
        """Count a request that is sent once more though it may have run."""
        if admission.customer is not None:
            cost = admission.decision.cost
            self.quotas.charge_again(admission.customer, cost)
