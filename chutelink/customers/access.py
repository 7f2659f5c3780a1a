"""Authentication of callers by key, and admission by their customers' quotas."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from multidict import CIMultiDictProxy

from ..gateway.refusals import over_quota, unauthorized, unavailable
from ..ids import ConfigVersion
from ..watching.table_state import TableFreshness
from .keys import KeyIndex
from .model import Customer
from .quotas import UNLIMITED, QuotaDecision, QuotaManager, QuotaVerdict

STALE_CONFIG_RETRY_S = 0.5
"""Retry delay while the configuration is outdated; it usually is up to date by then."""


class Admission(msgspec.Struct, eq=False):
    """The authentication and quota decisions on a request, for logs.

    The fields are set step by step. ``config_version`` and ``config_age_s`` are those
    of the configuration that contains the keys; the version is None where callers need
    no keys.
    """

    customer: Customer | None = None
    decision: QuotaDecision = UNLIMITED
    config_version: ConfigVersion | None = None
    config_age_s: float | None = None


class CustomerAccess:
    """Identifies the customer of each request and counts it against the quota.

    Parameters
    ----------
    quotas : QuotaManager
        This daemon's shares of the quotas.
    knowledge : callable
        Returns how recent the configuration is, None if it was never read.
    max_config_age_s : float
        Maximum age of a configuration whose lack of a key proves the key invalid.
    """

    def __init__(
        self,
        quotas: QuotaManager,
        knowledge: Callable[[], TableFreshness | None],
        max_config_age_s: float,
    ) -> None:
        self.quotas = quotas
        self._knowledge = knowledge
        self._max_config_age_s = max_config_age_s

    def identify(
        self,
        headers: CIMultiDictProxy[str],
        keys: KeyIndex[Customer] | None,
        admission: Admission,
        *,
        is_anonymous: bool,
    ) -> None:
        """Find the customer to whom the caller's key belongs.

        ``keys`` is None where the configuration declares no customers. An anonymous
        route needs no key and ignores an unknown one.

        Raises
        ------
        Refusal
            The key is unknown: 401 if the configuration is recent, 503 if it is so old
            that the key may be newer.
        """
        if keys is None:
            return
        admission.customer = keys.find(headers)
        knowledge = self._knowledge()
        if knowledge is not None:
            admission.config_age_s = knowledge.age_s
        if admission.customer is not None or is_anonymous:
            return
        if knowledge is None or knowledge.age_s > self._max_config_age_s:
            raise unavailable("keys are not known for sure", STALE_CONFIG_RETRY_S)
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

    def refund(self, admission: Admission) -> None:
        """Refund the cost of a request that has not run, at most once."""
        decision, admission.decision = admission.decision, UNLIMITED
        if decision.verdict in (QuotaVerdict.OWN, QuotaVerdict.LENT):
            self.quotas.refund(admission.customer, decision.cost)

    def charge_again(self, admission: Admission) -> None:
        """Charge a request that is sent again although it may have run."""
        if admission.customer is not None:
            cost = admission.decision.cost
            self.quotas.charge_again(admission.customer, cost)
