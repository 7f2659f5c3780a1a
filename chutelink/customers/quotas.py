"""Admission of requests by their customers' quotas, with loans between daemons."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from enum import Enum

import msgspec

from ..core import Application
from ..ids import CustomerName, DaemonId
from .buckets import QuotaBounds, ShareBucket
from .const import (
    LOAN_REQUEST_FACTOR,
    LOAN_RETRY_PAUSE_S,
    LOAN_TIMEOUT_S,
    MAX_LENDERS,
    MAX_LENT_SHARE,
)
from .holders import HolderView
from .messages import Loan, LoanRequest
from .model import Customer


class QuotaVerdict(Enum):
    """Quota decision for a request."""

    UNLIMITED = "unlimited"
    OWN = "own"
    """The daemon's own share was sufficient."""
    LENT = "lent"
    """Other daemons lent the missing amount."""
    OVER = "over"


class QuotaDecision(msgspec.Struct, frozen=True):
    """A quota decision and its basis; amounts are in the unit of the quota.

    ``level`` and ``share`` are those of this daemon after the decision;
    ``back_in_s`` is the retry delay of a refused caller.
    """

    verdict: QuotaVerdict
    cost: float = 0.0
    level: float = 0.0
    share: float = 0.0
    back_in_s: float = 0.0


UNLIMITED = QuotaDecision(QuotaVerdict.UNLIMITED)


class _PendingLoan(msgspec.Struct, eq=False):
    """A loan that was requested from others, and the amount received so far."""

    customer: CustomerName
    open_answers: int
    lent: float
    needed: float
    is_done: asyncio.Event


class CustomerUse(msgspec.Struct):
    """A customer's usage at this daemon since it started."""

    admitted: int = 0
    admitted_amount: float = 0.0
    refused: int = 0
    refused_amount: float = 0.0
    lent_amount: float = 0.0


class QuotaManager:
    """Manages one daemon's shares of all quotas.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    bounds : QuotaBounds
        The margin by which all daemons together may exceed quotas.
    is_lending : bool
        Whether daemons lend each other parts of their shares.
    """

    def __init__(
        self, core: Application, bounds: QuotaBounds, *, is_lending: bool
    ) -> None:
        self._core = core
        self._bounds = bounds
        self._is_lending = is_lending
        self.buckets: dict[CustomerName, ShareBucket] = {}
        self._holder_view = HolderView(core.daemon_id, frozenset())
        self._loan_numbers = itertools.count(1)
        self._pending_loans: dict[int, _PendingLoan] = {}
        self._next_loan_request_s: dict[CustomerName, float] = {}
        self._has_config = False
        self._has_start_allowance = False
        self.uses: dict[CustomerName, CustomerUse] = {}
        self.linked: Callable[[], set[DaemonId]] = set
        """Returns the daemons to which there is a link."""
        self.send: Callable[[DaemonId, LoanRequest | Loan], None] = lambda to, loan: (
            None
        )

    def sync(self, customers: dict[CustomerName, Customer]) -> None:
        """Apply the quotas of the configuration in force.

        A new customer can't have used anything at any daemon, so its share is full. At
        the start of a process it is unknown what the previous process admitted.
        """
        now_s = self._core.clock()
        quotas = {name: c.quota for name, c in customers.items() if c.quota}
        for name in self.buckets.keys() - quotas.keys():
            del self.buckets[name]
        for name, quota in quotas.items():
            bucket = self.buckets.get(name)
            if bucket is not None:
                bucket.update_quota(quota, now_s)
                continue
            bucket = ShareBucket(
                quota, self._bounds, self._holder_view.own_share(name), now_s
            )
            self.buckets[name] = bucket
            if self._has_config:
                bucket.fill()
            elif self._has_start_allowance:
                bucket.add_start_allowance(now_s)
        self._has_config = True

    def note_previous_start(self, began_ago_s: float | None) -> None:
        """Set how long ago the previous process started, None if there was none."""
        if began_ago_s is not None and began_ago_s < self._bounds.window_s:
            return
        self._has_start_allowance = True
        now_s = self._core.clock()
        for bucket in self.buckets.values():
            bucket.add_start_allowance(now_s)

    def update_holder_view(self, view: HolderView) -> None:
        """Update which daemons share quotas."""
        if view == self._holder_view:
            return
        self._holder_view = view
        holders = len(view.names)
        self._core.events.record("quota_holders", holders=holders, least=view.least)
        now_s = self._core.clock()
        for name, bucket in self.buckets.items():
            bucket.update_share(view.own_share(name), now_s)

    async def async_admit(
        self, customer: Customer, tokens: int | None
    ) -> QuotaDecision:
        """Use a part of the customer's quota, or return a retry delay."""
        bucket = self.buckets.get(customer.name)
        if bucket is None or customer.quota is None:
            return UNLIMITED
        cost = customer.quota.cost(tokens)
        if bucket.take(cost, self._core.clock()):
            return self._record_decision(customer.name, bucket, cost, QuotaVerdict.OWN)
        if await self._async_borrow(customer.name, bucket, cost):
            return self._record_decision(customer.name, bucket, cost, QuotaVerdict.LENT)
        return self._record_decision(customer.name, bucket, cost, QuotaVerdict.OVER)

    def refund(self, customer: Customer, cost: float) -> None:
        """Refund the cost of a request that has not run."""
        bucket = self.buckets.get(customer.name)
        if bucket is None or not cost:
            return
        bucket.refund(cost, self._core.clock())
        use = self.uses[customer.name]
        use.admitted -= 1
        use.admitted_amount -= cost

    def charge_again(self, customer: Customer, cost: float) -> None:
        """Charge a request that is sent again and may have run before."""
        bucket = self.buckets.get(customer.name)
        if bucket is not None:
            bucket.charge(cost, self._core.clock())

    def _record_decision(
        self,
        name: CustomerName,
        bucket: ShareBucket,
        cost: float,
        verdict: QuotaVerdict,
    ) -> QuotaDecision:
        use = self.uses.setdefault(name, CustomerUse())
        is_over = verdict is QuotaVerdict.OVER
        labels = {"customer": name, "verdict": verdict.value}
        self._core.metrics.quota_decisions.inc(labels)
        back_in_s = 0.0
        if is_over:
            use.refused += 1
            use.refused_amount += cost
            back_in_s = bucket.refuse(cost, self._core.clock())
        else:
            use.admitted += 1
            use.admitted_amount += cost
        return QuotaDecision(verdict, cost, bucket.level, bucket.share, back_in_s)

    async def _async_borrow(
        self, name: CustomerName, bucket: ShareBucket, cost: float
    ) -> bool:
        """Borrow the missing amount from others; return whether it was sufficient.

        Without loans, requests within a quota are refused if they reach one daemon more
        than the others: with 16 customers on 8 daemons, the smallest customers send one
        request in some seconds, and the largest requests exceed one daemon's share.
        """
        now_s = self._core.clock()
        lenders = self._select_lenders(name, now_s)
        if not lenders:
            return False
        needed = bucket.missing(cost, now_s)
        pending = _PendingLoan(name, len(lenders), 0.0, needed, asyncio.Event())
        try:
            await self._async_request_loans(pending, lenders)
        except asyncio.CancelledError:
            bucket.refund(pending.lent, self._core.clock())
            raise
        now_s = self._core.clock()
        is_enough = bucket.take_with_loan(cost, pending.lent, now_s)
        if not is_enough:
            self._next_loan_request_s[name] = now_s + LOAN_RETRY_PAUSE_S
        return is_enough

    async def _async_request_loans(
        self, pending: _PendingLoan, lenders: list[DaemonId]
    ) -> None:
        """Request loans, and wait until they are sufficient or all have answered."""
        number = next(self._loan_numbers)
        self._pending_loans[number] = pending
        # Some lenders have less than an even part, so each is asked for more.
        amount = pending.needed * min(1.0, LOAN_REQUEST_FACTOR / len(lenders))
        own = self._core.daemon_id
        request = LoanRequest(own, number, pending.customer, amount)
        for lender in lenders:
            self.send(lender, request)
        try:
            async with asyncio.timeout(LOAN_TIMEOUT_S):
                await pending.is_done.wait()
        except TimeoutError:
            # Missing lenders may be disconnected; the loans received are used.
            self._core.metrics.quota_loans_late.inc({})
        finally:
            del self._pending_loans[number]

    def _select_lenders(self, name: CustomerName, now_s: float) -> list[DaemonId]:
        if not self._is_lending or now_s < self._next_loan_request_s.get(name, 0.0):
            return []
        others = self._holder_view.holders(name) - {self._core.daemon_id}
        lenders = sorted(others & self.linked())
        return self._core.rng.sample(lenders, min(MAX_LENDERS, len(lenders)))

    def handle_request(self, request: LoanRequest) -> None:
        """Answer a loan request with the amount that this daemon can spare."""
        bucket = self.buckets.get(request.customer)
        amount = 0.0
        if bucket is not None and self._is_lending:
            now_s = self._core.clock()
            amount = bucket.lend(request.amount, MAX_LENT_SHARE, now_s)
        if amount:
            use = self.uses.setdefault(request.customer, CustomerUse())
            use.lent_amount += amount
        own = self._core.daemon_id
        loan = Loan(own, request.number, request.customer, amount)
        self.send(request.daemon, loan)

    def handle_loan(self, loan: Loan) -> None:
        """Add a loan to its pending request; a late one refills the share instead."""
        pending = self._pending_loans.get(loan.number)
        if pending is None or pending.customer != loan.customer:
            bucket = self.buckets.get(loan.customer)
            if bucket is not None:
                bucket.refund(max(0.0, loan.amount), self._core.clock())
            return
        pending.lent += max(0.0, loan.amount)
        pending.open_answers -= 1
        if pending.lent >= pending.needed or pending.open_answers <= 0:
            pending.is_done.set()
