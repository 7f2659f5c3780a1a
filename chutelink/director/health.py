"""Publishes endpoint health and demand of a failure domain to other directors."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..const import PREFIX_HEALTH, PREFIX_LEASE_TERM
from ..core import Application
from ..exceptions import TransactionConflict
from ..fleet import FleetSpec
from ..ids import EndpointName, FailureDomainName
from ..store import Check, TableService, Write, async_commit
from ..tables.endpoints import Endpoint, EndpointState, EndpointTable
from ..tables.state import HealthRow, StateTable
from .leases import LeaseManager

DEMAND_SMOOTHING = 0.2
DEMAND_STEP = 4


class HealthPublisher:
    """Publishes usable endpoints and demand whenever they change.

    Parameters
    ----------
    core : Application
        The application that owns the publisher.
    table : TableService
        Table that stores the health rows.
    endpoints : EndpointTable
        Reports of the watched endpoints.
    leases : LeaseManager
        Provides the lease term that each transaction checks.
    state : StateTable
        Last known rows, updated with this director's writes.
    waiting : callable
        Returns the requests waiting in a failure domain's gateways, by model.
    """

    def __init__(
        self,
        core: Application,
        table: TableService,
        endpoints: EndpointTable,
        leases: LeaseManager,
        state: StateTable,
        waiting: Callable[[FailureDomainName, float], dict[str, int]],
    ) -> None:
        self._core = core
        self._table = table
        self._endpoints = endpoints
        self._leases = leases
        self._state = state
        self._waiting = waiting
        self._demand: dict[FailureDomainName, dict[str, float]] = {}

    async def async_publish(self, fleet: FleetSpec, domain: FailureDomainName) -> None:
        """Write the health row of a failure domain if it has changed."""
        health = self._observe_health(fleet, domain)
        if health == self._state.health.get(domain):
            return
        version = self._state.health_versions.get(domain, 0)
        key = PREFIX_HEALTH + domain
        term_version = self._leases.check_held(domain, "health.write")
        try:
            written = await async_commit(
                self._table,
                [
                    Check(key, version),
                    Check(PREFIX_LEASE_TERM + domain, term_version),
                ],
                [Write(key, msgspec.to_builtins(health))],
            )
        except TransactionConflict:
            self._state.reset_version()
            return
        self._state.put_health(domain, health, written)

    def _observe_health(self, fleet: FleetSpec, domain: FailureDomainName) -> HealthRow:
        usable: list[EndpointName] = []
        observed: dict[str, float] = {}
        for spec in fleet.engines():
            row = self._endpoints.rows.get(spec.name)
            if spec.failure_domain != domain or row is None:
                continue
            if row.state is EndpointState.LIVE:
                usable.append(spec.name)
            self._add_demand(fleet, row, observed)
        # Engine queues are short, so most excess requests wait in the gateways.
        for name, count in self._waiting(domain, self._core.clock()).items():
            observed[name] = observed.get(name, 0.0) + count
        averages = self._demand.setdefault(domain, {})
        for model in fleet.models:
            previous = averages.get(model, 0.0)
            averages[model] = previous + DEMAND_SMOOTHING * (
                observed.get(model, 0.0) - previous
            )
        published = self._state.health.get(domain, HealthRow()).demand
        demand = {
            model: _round_demand(value, published.get(model, 0))
            for model, value in averages.items()
        }
        return HealthRow(tuple(usable), {m: d for m, d in demand.items() if d})

    def _add_demand(
        self, fleet: FleetSpec, row: Endpoint, observed: dict[str, float]
    ) -> None:
        if row.report is None or row.state is EndpointState.LOST:
            return
        for held in row.report.artifacts:
            model = fleet.base_model(held.name)
            if model is not None:
                count = held.running + held.waiting
                observed[model.name] = observed.get(model.name, 0.0) + count


def _round_demand(value: float, published: int) -> int:
    """Round demand to a multiple of ``DEMAND_STEP``, with hysteresis.

    A nonzero published value is kept while demand differs from it by less than one
    step and is at least 0.5.
    """
    if published and abs(value - published) < DEMAND_STEP:
        return published if value >= 0.5 else 0
    return round(value / DEMAND_STEP) * DEMAND_STEP
