"""One run: a deployment, its callers, the faults of a plan, and the verdict."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import msgspec

from tests.processes.entry_deployment import (
    FAILURES,
    EntryDeployment,
    async_entry_deployment,
)

from .callers import DEADLINE_S, Caller, Outcome, RequestKind, count_statuses
from .faults import FaultPlayer, own_prefix
from .plan import FaultKind, Plan
from .promises import OK, check_answers, check_ends, check_runs
from .proxy import StoreProxy
from .signals import check_signals

CONTACT_S = 3.0
"""After trouble a daemon has so long until bounds hold for it again."""
CONFIG_BOUND_S = 2.0
"""How soon an acknowledged configuration is in force, as deployed."""
SETTLE_S = 20.0
"""How soon all is served again once the faults are over."""
PROBE_S = 0.1
KINDS = (*RequestKind, *RequestKind)
"""Two callers of each kind."""


class Verdict(msgspec.Struct):
    """What a run showed."""

    plan: Plan
    statuses: Counter[str]
    faults: Counter[str]
    violations: list[str]


class SoakRun:
    """Plays one plan against a deployment.

    Parameters
    ----------
    deployment : EntryDeployment
        Daemons, store and endpoints, with a proxy before the store.
    daemons : int
        How many daemons it has.
    plan : Plan
        What happens.
    """

    def __init__(self, deployment: EntryDeployment, daemons: int, plan: Plan) -> None:
        self._deployment = deployment
        self._daemons = daemons
        self._plan = plan
        self._player = FaultPlayer(deployment, daemons)
        self._callers = [
            Caller(deployment, daemons, kind, 100 * plan.seed + number)
            for number, kind in enumerate(KINDS)
        ]
        self._violations: list[str] = []
        self._served: dict[tuple[int, int], int] = {}
        """The newest version that each start of each daemon has served."""

    async def async_run(self) -> Verdict:
        """Play the plan, let all settle, and judge."""
        tasks = [asyncio.ensure_future(c.async_run()) for c in self._callers]
        probes = [
            asyncio.ensure_future(self._async_probe(daemon))
            for daemon in range(self._daemons)
        ]
        await self._player.async_play(self._plan)
        for probe in probes:
            probe.cancel()
        for caller in self._callers:
            caller.is_over = True
        await asyncio.gather(*tasks)
        await self._async_settle()
        return await self._async_judge()

    async def _async_probe(self, daemon: int) -> None:
        """Ask a daemon again and again for the route of the newest version."""
        while True:
            await asyncio.sleep(PROBE_S)
            version, start = self._player.version, self._player.starts[daemon]
            # Judged by the version that was the newest before and after.
            status = await self._async_version_status(daemon, version)
            is_same = version == self._player.version
            if is_same and start == self._player.starts[daemon] and version > 1:
                self._judge_version(daemon, start, version, status)

    async def _async_version_status(self, daemon: int, version: int) -> int:
        path, name = f"{own_prefix(version)}x", f"probe-{version}"
        try:
            async with self._deployment.request(daemon, path, name) as answer:
                await answer.read()
                return answer.status
        except FAILURES:
            return 0

    def _judge_version(
        self, daemon: int, start: int, version: int, status: int
    ) -> None:
        key = (daemon, start)
        if status == OK:
            self._served[key] = version
        if status != 404:
            return
        if self._served.get(key, 0) >= version:
            self._violations.append(f"vm-{daemon} went back from {version}")
        since_s = asyncio.get_running_loop().time() - self._player.configured_s
        is_due = since_s > CONFIG_BOUND_S + PROBE_S
        if is_due and self._player.is_calm(daemon, CONTACT_S):
            late = f"vm-{daemon} does not know {version} after {since_s:.2f} s"
            self._violations.append(late)

    async def _async_settle(self) -> None:
        """Wait until each daemon serves each kind, with the faults over."""

        async def async_check() -> bool:
            for caller in self._callers[: len(RequestKind)]:
                for daemon in range(self._daemons):
                    session = self._deployment.session
                    outcome = await caller.async_send(session, daemon)
                    caller.outcomes.append(outcome)
                    if outcome.status != OK or not outcome.is_whole:
                        return False
            return True

        try:
            await self._deployment.async_until(async_check, SETTLE_S)
        except TimeoutError:
            self._violations.append(f"not served again within {SETTLE_S} s")

    async def _async_judge(self) -> Verdict:
        outcomes = [o for caller in self._callers for o in caller.outcomes]
        endpoints = await self._deployment.async_endpoints()
        runs = Counter(name for e in endpoints.values() for name in e["runs"])
        self._violations += self._player.violations
        self._violations += check_runs(outcomes, runs)
        self._violations += check_answers(outcomes)
        self._violations += check_ends(self._unfrozen(outcomes), DEADLINE_S)
        self._violations += check_signals(
            self._player.signals,
            endpoints,
            self._player.disturbed_s,
            self._daemons,
            len(self._callers),
        )
        faults = Counter(fault.kind.value for fault in self._plan.faults)
        return Verdict(self._plan, count_statuses(outcomes), faults, self._violations)

    def _unfrozen(self, outcomes: list[Outcome]) -> list[Outcome]:
        """Return the requests to daemons that no freeze of the plan may have held."""
        frozen = {
            fault.target % self._daemons
            for fault in self._plan.faults
            if fault.kind is FaultKind.FREEZE
        }
        return [outcome for outcome in outcomes if outcome.daemon not in frozen]


async def async_play(directory: Path, plan: Plan, daemons: int) -> Verdict:
    """Start a deployment, play a plan against it, and end it."""
    async with async_entry_deployment(
        directory, daemons, has_proxy=True, make_proxy=StoreProxy
    ) as deployment:
        return await SoakRun(deployment, daemons, plan).async_run()
