"""Operator API that lists customers and their quotas at one daemon."""

from __future__ import annotations

import secrets

import msgspec
from aiohttp import web

from ..ids import CustomerName
from .model import QuotaUnit
from .quotas import CustomerUse, QuotaManager

PATH_CUSTOMERS = "/customers"


class CustomerState(msgspec.Struct, frozen=True):
    """A customer's state at one daemon; amounts are in the unit of its quota.

    ``rate_per_s`` and ``burst`` are the whole quota, ``share`` this daemon's share of
    it, ``level`` the amount that it may admit now and ``capacity`` the maximum level.
    Counts are since the daemon started.
    """

    name: CustomerName
    unit: QuotaUnit
    rate_per_s: float
    burst: float
    share: float
    level: float
    capacity: float
    use: CustomerUse


class CustomerStates(msgspec.Struct, frozen=True):
    """The states of all customers that have a quota."""

    daemon: str
    customers: list[CustomerState]


class CustomerHandlers:
    """HTTP handlers for operators.

    Parameters
    ----------
    quotas : QuotaManager
        Quotas that are listed.
    daemon : str
        Name of this daemon.
    operator_key : str
        Bearer key that authorizes operators.
    """

    def __init__(self, quotas: QuotaManager, daemon: str, operator_key: str) -> None:
        self._quotas = quotas
        self._daemon = daemon
        self._expected_authorization = f"Bearer {operator_key}".encode()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_get(PATH_CUSTOMERS, self.async_list)

    async def async_list(self, request: web.Request) -> web.Response:
        """Return each customer's quota, share and usage at this daemon."""
        given = request.headers.get("Authorization", "")
        if not secrets.compare_digest(given.encode(), self._expected_authorization):
            raise web.HTTPUnauthorized(text="operator key missing or wrong")
        states = [
            CustomerState(
                name,
                bucket.quota.unit,
                bucket.quota.rate_per_s,
                bucket.quota.burst,
                bucket.share,
                bucket.level,
                bucket.capacity,
                self._quotas.uses.get(name, CustomerUse()),
            )
            for name, bucket in sorted(self._quotas.buckets.items())
        ]
        return web.Response(
            body=msgspec.json.encode(CustomerStates(self._daemon, states)),
            content_type="application/json",
        )
