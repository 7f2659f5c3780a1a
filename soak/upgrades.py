"""Soak test of streams that are resumed while endpoints are upgraded.

``python -m soak.upgrades --first 1 --seeds 50`` runs new seeds; the same seed selects
the same faults. Endpoints restart one after the other with another software version,
announced or not, with their models at once or without; those of a new version join a
service and leave it again; daemons are killed, terminated, frozen and started again, in
series and overlapping, up to all of them at once, and cut off from the others, from the
store, or from both; the store refuses calls about versions and streams, or discards its
history; a new version is taken back while all daemons are lost; streams break. Callers
resume their streams at any daemon.

Checked from outside:

- No stream holds events of two software versions, and none has a gap.
- A resumption that was refused as not run did not run.
- Resumptions go on, and streams are complete again after the last fault.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import defaultdict
from pathlib import Path

import msgspec

from chutelink.const import TABLE_ORIGINS
from standins.prepared_endpoint import EndpointFaults, EndpointStandin
from tests.processes.platform_in_loop import make_engine
from tests.processes.releases import Release, async_start_releases
from tests.processes.resuming_caller import EVENTS, ResumingCaller, StreamOutcome, mixed
from tests.processes.severable_deployment import (
    SeverableDeployment,
    async_severable_deployment,
)

from .seeds import SeedReport, run_seeds

DAEMONS = 4
ENGINES = 4
CALLERS = 8
FAULT_SECONDS = 12.0
MAX_PAUSE_S = 1.0
MAX_DOWN_S = 1.5
MAX_DRAIN_S = 0.8
MAX_CUT_S = 3.0
RELEASES = 6
"""Services with one version, which endpoints of another one join for a while."""
MAX_STAY_S = 3.0
MAX_REFUSED_S = 4.0
RESUMED_TIMES = 4
"""How often callers resume streams that broke when all daemons were lost."""
VERSIONS = ("v1", "v2", "v3")
RESTART_S = 0.6
"""Time in which an upgraded endpoint has started again."""
RECOVERY_TIMEOUT_S = 20.0


class UpgradeResult(msgspec.Struct):
    """Result of a run."""

    violations: list[str]
    streams: int = 0
    resumptions: int = 0
    went_on: int = 0


class UpgradeSoak:
    """A soak run with one seed."""

    def __init__(
        self, fleet: SeverableDeployment, releases: list[Release], seed: int
    ) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._call_rng = random.Random(seed + 2)
        self._caller = ResumingCaller(fleet, random.Random(seed + 1))
        self._callers = [self._caller, *(release.caller for release in releases)]
        for caller in self._callers:
            caller.daemons = list(range(DAEMONS))
        self._streams: list[StreamOutcome] = []
        self._unfinished: dict[ResumingCaller, list[StreamOutcome]] = defaultdict(list)
        """Streams whose callers have given up for now."""
        self._restarts: set[asyncio.Task[None]] = set()
        self._unreleased = list(releases)
        self._releasing: list[ResumingCaller] = []
        """Callers of services which endpoints are joining; they send most streams."""
        self._cut_locks: dict[int, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._refusal_lock = asyncio.Lock()
        self._endpoint_locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._faults = (
            self._upgrade,
            self._upgrade,
            self._kill,
            self._kill_all,
            self._terminate,
            self._freeze,
            self._cut_off,
            self._cut_off,
            self._release,
            self._release_beside_cut,
            self._release_beside_cut,
            self._release_before_loss,
            self._refuse_origins,
            self._forget_history,
            self._cut_streams,
        )

    async def async_run(self) -> UpgradeResult:
        """Inject the faults, wait for recovery and check the streams."""
        callers = [asyncio.ensure_future(self._async_call()) for _ in range(CALLERS)]
        await self._async_inject_faults()
        recovered = await self._async_wait_for_recovery()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        result = UpgradeResult(self._check_streams())
        if not recovered:
            result.violations.append("streams not complete again after the last fault")
        result.streams = len(self._streams)
        result.resumptions = sum(s.resumptions for s in self._streams)
        result.went_on = sum(s.went_on for s in self._streams)
        return result

    async def _async_call(self) -> None:
        while True:
            callers = self._callers + len(self._callers) * self._releasing
            caller = self._call_rng.choice(callers)
            stream = caller.begin("soak")
            self._streams.append(stream)
            closes = tuple(self._call_rng.randint(1, EVENTS) for _ in range(2))
            await caller.async_run(stream, close_after=closes)
            if stream.last_event and not stream.is_complete:
                self._unfinished[caller].append(stream)
            await asyncio.sleep(0.02)

    async def _async_inject_faults(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FAULT_SECONDS
        while loop.time() < end_s:
            self._rng.choice(self._faults)()
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
        await asyncio.gather(*self._restarts)

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def _endpoint(self) -> EndpointStandin:
        """Return one of the endpoints that stay."""
        endpoints = list(self._fleet.machines.endpoints.values())
        return self._rng.choice(endpoints[:ENGINES])

    def _upgrade(self) -> None:
        drain_s = self._rng.choice((0.0, self._rng.uniform(0.0, MAX_DRAIN_S)))
        version = self._rng.choice(VERSIONS)
        keeps_models = self._rng.choice((False, True))
        self._spawn(
            self._async_upgrade(
                self._endpoint(), version, drain_s, keeps_models=keeps_models
            )
        )

    async def _async_upgrade(
        self,
        endpoint: EndpointStandin,
        version: str,
        drain_s: float,
        *,
        keeps_models: bool,
    ) -> None:
        async with self._endpoint_locks[endpoint.first_name]:
            await self._async_drain(endpoint, drain_s)
            machines = self._fleet.machines
            machines.upgrade(endpoint, version, keeps_models=keeps_models)
            await asyncio.sleep(RESTART_S)

    async def _async_drain(self, endpoint: EndpointStandin, drain_s: float) -> None:
        """Announce a departure, unless it is to come at once."""
        if drain_s:
            endpoint.change_state("draining")
            self._fleet.machines.register(endpoint.first_name)
            await asyncio.sleep(drain_s)

    def _release(self) -> None:
        """Let an endpoint of another version join a service for a while."""
        if not self._unreleased:
            return
        stay_s = self._rng.uniform(0.0, MAX_STAY_S)
        drain_s = self._rng.uniform(0.0, MAX_DRAIN_S)
        self._spawn(self._async_release(self._unreleased.pop(), stay_s, drain_s))

    async def _async_release(
        self, release: Release, stay_s: float, drain_s: float
    ) -> None:
        self._releasing.append(release.caller)
        await release.async_join()
        await asyncio.sleep(stay_s)
        await release.async_take_back(drain_s)
        self._releasing.remove(release.caller)

    def _release_beside_cut(self) -> None:
        self._cut_off()
        self._release()

    def _release_before_loss(self) -> None:
        """Let a version join and leave around the loss of all daemons."""
        if not self._unreleased:
            return
        stay_s = self._rng.uniform(0.0, MAX_STAY_S)
        down_s = [self._rng.uniform(0.0, MAX_DOWN_S) for _ in range(DAEMONS)]
        if self._rng.choice((False, True)):
            self._refuse_origins()
        self._spawn(
            self._async_release_before_loss(self._unreleased.pop(), stay_s, down_s)
        )

    async def _async_release_before_loss(
        self, release: Release, stay_s: float, down_s: list[float]
    ) -> None:
        left = asyncio.ensure_future(self._async_release(release, stay_s, 0.0))
        await asyncio.sleep(stay_s)
        kills = [self._async_kill(n, pause_s) for n, pause_s in enumerate(down_s)]
        await asyncio.gather(left, *kills)
        for _ in range(RESUMED_TIMES):
            await self._async_resume_broken(release.caller)
            await asyncio.sleep(MAX_PAUSE_S)

    async def _async_resume_broken(self, caller: ResumingCaller) -> None:
        """Resume a caller's unfinished streams once, each at any daemon."""
        await asyncio.gather(
            *(
                caller.async_attempt(stream, self._call_rng.randrange(DAEMONS))
                for stream in self._unfinished[caller]
                if not stream.is_complete
            )
        )

    def _refuse_origins(self) -> None:
        """Let the store refuse calls about versions and streams for a while."""
        self._spawn(self._async_refuse_origins(self._rng.uniform(0.0, MAX_REFUSED_S)))

    async def _async_refuse_origins(self, for_s: float) -> None:
        async with self._refusal_lock:
            self._set_refused(TABLE_ORIGINS)
            await asyncio.sleep(for_s)
            self._set_refused()

    def _set_refused(self, *tables: str) -> None:
        store = self._fleet.machines.store
        store.faults = msgspec.structs.replace(store.faults, out_tables=tables)

    def _forget_history(self) -> None:
        self._fleet.machines.store.forget_history()

    def _cut_off(self) -> None:
        """Cut a daemon off from the others, from the store, or from both."""
        number = self._rng.randrange(DAEMONS)
        peers, store = self._rng.choice(((True, False), (False, True), (True, True)))
        others = [n for n in range(DAEMONS) if peers and n != number]
        loses_held = self._rng.choice((False, True))
        cut_s = self._rng.uniform(0.0, MAX_CUT_S)
        self._spawn(
            self._async_cut_off(
                number, others, cut_s, store=store, loses_held=loses_held
            )
        )

    async def _async_cut_off(
        self,
        number: int,
        others: list[int],
        cut_s: float,
        *,
        store: bool,
        loses_held: bool,
    ) -> None:
        async with self._cut_locks[number]:
            self._fleet.cut(number, others, store=store)
            await asyncio.sleep(cut_s)
            self._fleet.heal(number, others, store=store, loses_held=loses_held)

    def _kill(self) -> None:
        number = self._rng.randrange(DAEMONS)
        self._spawn(self._async_kill(number, self._rng.uniform(0.0, MAX_DOWN_S)))

    def _kill_all(self) -> None:
        for number in range(DAEMONS):
            self._spawn(self._async_kill(number, self._rng.uniform(0.0, MAX_DOWN_S)))

    async def _async_kill(self, number: int, down_s: float) -> None:
        process = self._fleet.processes[f"vm-{number}"]
        process.kill()
        await asyncio.sleep(down_s)
        self._start(number)

    def _start(self, number: int) -> None:
        if not self._fleet.processes[f"vm-{number}"].is_running:
            self._fleet.start_daemon(number)

    def _terminate(self) -> None:
        self._spawn(self._async_terminate(self._rng.randrange(DAEMONS)))

    async def _async_terminate(self, number: int) -> None:
        process = self._fleet.processes[f"vm-{number}"]
        process.terminate()
        await process.async_wait()
        self._start(number)

    def _freeze(self) -> None:
        number = self._rng.randrange(DAEMONS)
        self._spawn(self._async_freeze(number, self._rng.uniform(0.0, MAX_DOWN_S)))

    async def _async_freeze(self, number: int, for_s: float) -> None:
        process = self._fleet.processes[f"vm-{number}"]
        process.freeze()
        await asyncio.sleep(for_s)
        process.resume()

    def _cut_streams(self) -> None:
        endpoint = self._endpoint()
        events, cuts = self._rng.randint(1, EVENTS), self._rng.randint(1, 8)
        endpoint.faults = EndpointFaults(cut_after_events=events, cuts=cuts)

    async def _async_wait_for_recovery(self) -> bool:
        for endpoint in self._fleet.machines.endpoints.values():
            endpoint.faults = EndpointFaults()

        async def async_is_served() -> bool:
            streams = [self._caller.begin("recovery") for _ in range(DAEMONS)]
            await asyncio.gather(
                *(
                    self._caller.async_attempt(stream, number)
                    for number, stream in enumerate(streams)
                )
            )
            return all(stream.is_complete for stream in streams)

        try:
            await self._fleet.async_until(async_is_served, RECOVERY_TIMEOUT_S)
        except TimeoutError:
            return False
        return True

    def _check_streams(self) -> list[str]:
        violations = [f"{name}: two software versions" for name in mixed(self._streams)]
        violations += [f"{s.id}: gaps {s.gaps}" for s in self._streams if s.gaps]
        runs = {
            run
            for endpoint in self._fleet.machines.endpoints.values()
            for run in endpoint.runs
        }
        refused = {name for stream in self._streams for name in stream.refused}
        ran = sorted(refused & runs)
        violations += [f"{name}: refused as not run, but ran" for name in ran]
        return violations


def run_seed(seed: int, directory: Path) -> UpgradeResult:
    """Run one seed."""

    async def async_run() -> UpgradeResult:
        engines = [
            make_engine(f"i-{number}", VERSIONS[number % 2])
            for number in range(ENGINES)
        ]
        async with async_severable_deployment(directory, engines, DAEMONS) as fleet:
            releases = [Release(fleet, f"llm{n}") for n in range(RELEASES)]
            await async_start_releases(fleet, releases, list(range(DAEMONS)))
            return await UpgradeSoak(fleet, releases, seed).async_run()

    return asyncio.run(async_run())


def _report_seed(seed: int, directory: Path) -> SeedReport:
    result = run_seed(seed, directory)
    summary = (
        f"{result.streams} streams, {result.went_on} of {result.resumptions} "
        "resumptions went on; "
    )
    return SeedReport(result.violations, summary)


if __name__ == "__main__":
    sys.exit(run_seeds(__doc__, _report_seed))
