"""Messages by which daemons lend each other parts of quotas."""

from __future__ import annotations

import msgspec

from ..ids import CustomerName, DaemonId


class LoanRequest(msgspec.Struct, frozen=True, array_like=True, tag="loan_request"):
    """Requests a loan from a customer's quota; ``number`` identifies the request."""

    daemon: DaemonId
    number: int
    customer: CustomerName
    amount: float


class Loan(msgspec.Struct, frozen=True, array_like=True, tag="loan"):
    """The amount that a daemon deducted from its own level for another, may be 0."""

    daemon: DaemonId
    number: int
    customer: CustomerName
    amount: float
