"""One soak run: a deployment, its callers, the injected faults and the result."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import msgspec

from tests.processes.entry_deployment import (
    CONNECTION_ERRORS,
    EntryDeployment,
    async_entry_deployment,
)

from .callers import Caller, Outcome, RequestKind, count_statuses
from .eligibility import (
    Record,
    check_cold_limits,
    check_evacuations,
    check_home_regions,
)
from .endpoint_signals import check_signals
from .faults import FaultInjector, version_prefix
from .invariants import (
    OK,
    check_answers,
    check_deadlines,
    check_executions,
    check_internal_errors,
    check_lost,
)
from .plan import FaultKind, Plan
from .proxy import StoreProxy
from .silence_faults import SilenceFaultInjector

RECOVERY_GRACE_S = 3.0
"""Time after a fault until bounds apply to a daemon again."""
MAX_CONFIG_DELAY_S = 2.0
"""How soon an acknowledged configuration must be in force in this deployment."""
RECOVERY_TIMEOUT_S = 20.0
"""How soon all requests must be served again after the last fault."""
PROBE_INTERVAL_S = 0.1
CALLER_KINDS = (*RequestKind, *RequestKind)
"""Kinds of requests by caller: two callers of each kind."""
ELIGIBILITY_CALLER_KINDS = (*CALLER_KINDS, *RequestKind)
"""Three callers of each kind, who exceed the limit of a cold endpoint if unlimited."""

SILENCE_CALLER_KINDS = (*CALLER_KINDS, RequestKind.STREAM, RequestKind.STREAM)
"""Four callers of streams, which are the requests that a silence meets most often."""


class SoakResult(msgspec.Struct):
    """Result of a run."""

    plan: Plan
    statuses: Counter[str]
    faults: Counter[str]
    violations: list[str]


class SoakRun:
    """Runs one plan against a deployment.

    Parameters
    ----------
    deployment : EntryDeployment
        Daemons, store and endpoints, with a proxy in front of the store.
    daemons : int
        Number of daemons.
    plan : Plan
        Faults to inject.
    """

    def __init__(self, deployment: EntryDeployment, daemons: int, plan: Plan) -> None:
        self._deployment = deployment
        self._daemons = daemons
        self._plan = plan
        self._injector = make_injector(deployment, daemons, plan)
        kinds = CALLER_KINDS if plan.eligibility is None else ELIGIBILITY_CALLER_KINDS
        if plan.silences is not None:
            kinds = SILENCE_CALLER_KINDS
        self._callers = [
            Caller(deployment, daemons, kind, 100 * plan.seed + number, plan.silences)
            for number, kind in enumerate(kinds)
        ]
        self._violations: list[str] = []
        self._newest_served: dict[tuple[int, int], int] = {}
        """Newest version served, by daemon and its number of restarts."""

    async def async_run(self) -> SoakResult:
        """Inject the faults, wait for recovery and check the invariants."""
        if self._plan.eligibility is not None:
            await self._async_configure()
            await asyncio.sleep(self._plan.eligibility.cold_s)
        if self._plan.silences is not None:
            await self._injector.async_prepare()
            await self._async_configure()
        tasks = [asyncio.ensure_future(c.async_run()) for c in self._callers]
        # Plans with eligibility faults change no configuration, and probes would load
        # cold endpoints more than their share of the callers' requests does.
        probes = [
            asyncio.ensure_future(self._async_probe(daemon))
            for daemon in range(self._daemons if self._plan.eligibility is None else 0)
        ]
        await self._injector.async_inject_all(self._plan)
        for probe in probes:
            probe.cancel()
        for caller in self._callers:
            caller.is_stopping = True
        await asyncio.gather(*tasks)
        await self._async_wait_for_recovery()
        if self._plan.silences is not None:
            await self._async_check_followed()
        return await self._async_evaluate()

    async def _async_configure(self) -> None:
        """Put the configuration that the plan needs into force."""
        await self._injector.async_configure(self._injector.version + 1)
        await self._async_until_followed()

    async def _async_until_followed(self) -> None:
        """Wait until all daemons serve the newest version."""
        version = self._injector.version

        async def async_is_in_force() -> bool:
            daemons = range(self._daemons)
            statuses = [await self._async_version_status(d, version) for d in daemons]
            return all(status == OK for status in statuses)

        await self._deployment.async_until(async_is_in_force, RECOVERY_TIMEOUT_S)

    async def _async_check_followed(self) -> None:
        try:
            await self._async_until_followed()
        except TimeoutError:
            self._violations.append(
                f"version {self._injector.version} not served by all daemons within "
                f"{RECOVERY_TIMEOUT_S} s"
            )

    async def _async_probe(self, daemon: int) -> None:
        """Probe a daemon periodically for the route of the newest version."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            version, restart_count = (
                self._injector.version,
                self._injector.restart_counts[daemon],
            )
            # Valid only if no other version was written during the probe.
            status = await self._async_version_status(daemon, version)
            is_same = version == self._injector.version
            if (
                is_same
                and restart_count == self._injector.restart_counts[daemon]
                and version > 1
            ):
                self._check_version(daemon, restart_count, version, status)

    async def _async_version_status(self, daemon: int, version: int) -> int:
        path, request_id = f"{version_prefix(version)}x", f"probe-{version}"
        try:
            async with self._deployment.request(daemon, path, request_id) as answer:
                await answer.read()
                return answer.status
        except CONNECTION_ERRORS:
            return 0

    def _check_version(
        self, daemon: int, restart_count: int, version: int, status: int
    ) -> None:
        key = (daemon, restart_count)
        if status == OK:
            self._newest_served[key] = version
        if status != 404:
            return
        if self._newest_served.get(key, 0) >= version:
            self._violations.append(f"vm-{daemon} stopped serving version {version}")
        since_s = asyncio.get_running_loop().time() - self._injector.configured_s
        is_overdue = since_s > MAX_CONFIG_DELAY_S + PROBE_INTERVAL_S
        if is_overdue and self._injector.is_undisturbed(daemon, RECOVERY_GRACE_S):
            message = (
                f"vm-{daemon} does not serve version {version} after {since_s:.2f} s"
            )
            self._violations.append(message)

    async def _async_wait_for_recovery(self) -> None:
        """Wait after the last fault until each daemon serves each kind of request."""

        async def async_all_served() -> bool:
            for caller in self._callers[: len(RequestKind)]:
                for daemon in range(self._daemons):
                    session = self._deployment.session
                    outcome = await caller.async_send(session, daemon)
                    caller.outcomes.append(outcome)
                    if outcome.status != OK or not outcome.is_whole:
                        return False
            return True

        try:
            await self._deployment.async_until(async_all_served, RECOVERY_TIMEOUT_S)
        except TimeoutError:
            self._violations.append(
                f"requests not served again within {RECOVERY_TIMEOUT_S} s"
            )

    async def _async_evaluate(self) -> SoakResult:
        outcomes = [o for caller in self._callers for o in caller.outcomes]
        endpoints = await self._deployment.async_endpoints()
        for name in self._deployment.processes:
            self._injector.check_running(name)
        runs = Counter(name for e in endpoints.values() for name in e["runs"])
        self._violations += self._injector.violations
        self._violations += check_executions(outcomes, runs)
        self._violations += check_answers(outcomes)
        self._violations += check_deadlines(self._at_unfrozen_daemons(outcomes))
        if self._plan.silences is not None:
            self._violations += check_internal_errors(outcomes)
            if self._plan.silences.is_strict:
                self._violations += check_lost(outcomes)
        self._violations += check_signals(
            self._injector.signals,
            endpoints,
            self._injector.disturbances,
            self._daemons,
            len(self._callers),
        )
        if self._plan.eligibility is not None:
            self._violations += await self._async_check_eligibility(outcomes)
        faults = Counter(fault.kind.value for fault in self._plan.faults)
        return SoakResult(
            self._plan, count_statuses(outcomes), faults, self._violations
        )

    async def _async_check_eligibility(self, outcomes: list[Outcome]) -> list[str]:
        setup = self._plan.eligibility
        record = msgspec.convert(await self._deployment.async_arrivals(), Record)
        daemons = {outcome.id: outcome.daemon for outcome in outcomes}
        losses = self._injector.contact_losses
        violations = check_evacuations(record, daemons, losses, setup.evacuate_s)
        violations += check_cold_limits(record.arrivals, daemons)
        if setup.home_regions:
            violations += check_home_regions(
                record.arrivals, daemons, setup.home_regions
            )
        return violations

    def _at_unfrozen_daemons(self, outcomes: list[Outcome]) -> list[Outcome]:
        """Return the outcomes at daemons that the plan never freezes."""
        frozen = {
            fault.target % self._daemons
            for fault in self._plan.faults
            if fault.kind is FaultKind.FREEZE
        }
        return [outcome for outcome in outcomes if outcome.daemon not in frozen]


def make_injector(
    deployment: EntryDeployment, daemons: int, plan: Plan
) -> FaultInjector:
    """Return the injector for the faults of a plan."""
    if plan.silences is not None:
        return SilenceFaultInjector(deployment, daemons, plan.silences)
    return FaultInjector(deployment, daemons, plan.eligibility)


async def async_run_plan(directory: Path, plan: Plan, daemons: int) -> SoakResult:
    """Start a deployment, run a plan against it and stop it."""
    setup = plan.eligibility
    async with async_entry_deployment(
        directory,
        daemons,
        has_proxy=True,
        make_proxy=StoreProxy,
        regions=None if setup is None else setup.domains,
    ) as deployment:
        return await SoakRun(deployment, daemons, plan).async_run()
