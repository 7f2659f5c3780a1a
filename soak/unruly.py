"""Soak test of callers that don't behave, beside signals and changes.

``python -m soak.unruly --first 1 --seeds 50 --seconds 20`` runs new seeds; the same
seed selects the same crowds and faults. Crowds connect in waves to all ports of a
daemon with little memory and few descriptors, and stay. Meanwhile it gets SIGHUP, is
suspended, its configuration changes and its store fails, in series that overlap. At the
end it gets SIGTERM while the crowds are still connected.

Checked from outside:

- The daemon lives, and stays below the memory and the descriptors of its settings.
- After each wave, ordinary requests at all ports are answered.
- Requests of callers that never sent a whole request don't run.
- It exits with code 0 while the crowds stay.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

import msgspec

from standins.prepared_config import make_config
from tests.processes.entry_deployment import SERVICES
from tests.processes.platform_in_loop import PlatformInLoop
from tests.processes.test_unruly_callers import (
    CROWDS,
    HTTP_TARGETS,
    INCOMPLETE,
    MEMORY_MB,
    PEERS,
    async_check_ordinary_callers,
    async_one_daemon,
)
from tests.processes.unruly_callers import (
    BODY_LIMIT_BYTES,
    HEADER_LIMIT_BYTES,
    Crowd,
    Target,
    UnrulyCaller,
)

from .seeds import SeedReport, run_seeds

DAEMON = "vm-0"
DESCRIPTOR_LIMIT = 512
WAVE_CALLERS = (40, 160)
WAVE_PAUSE_S = (0.2, 1.5)
SUSPENSION_S = (0.3, 1.5)
FAULT_S = (0.5, 2.0)
HEADER_TIMEOUTS_MS = (500, 3000)


class UnrulyResult(msgspec.Struct, frozen=True):
    """What a seed showed; ``violations`` are empty if all checks held."""

    violations: list[str]
    callers: int
    faults: int
    peak_mb: float


class UnrulySoak:
    """Runs the crowds and faults of a seed against one daemon.

    Parameters
    ----------
    fleet : PlatformInLoop
        The daemon with its store and an endpoint.
    seed : int
        Selects crowds and faults.
    seconds : float
        Time for which waves follow each other.
    """

    def __init__(self, fleet: PlatformInLoop, seed: int, seconds: float) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._callers: list[UnrulyCaller] = []
        self._sending: list[asyncio.Future] = []
        self._version = 10
        self._faults = 0
        self._peak_mb = 0.0
        self._violations: list[str] = []
        self._is_complete_sent = False

    async def async_run(self) -> UnrulyResult:
        """Run until the daemon has exited."""
        process = self._fleet.processes[DAEMON]
        faults = asyncio.ensure_future(self._async_faults())
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._seconds
        while loop.time() < end_s:
            self._send_wave()
            await asyncio.sleep(self._rng.uniform(*WAVE_PAUSE_S))
            await self._async_check_wave()
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        process.resume()
        await asyncio.gather(*self._sending)
        await self._async_check_wave()
        self._check_bounds()
        await self._async_check_stop()
        for caller in self._callers:
            caller.close()
        return UnrulyResult(
            self._violations, len(self._callers), self._faults, self._peak_mb
        )

    def _send_wave(self) -> None:
        """Connect crowds of one or two kinds to one or two ports."""
        host = self._fleet.address(0)
        targets = self._rng.choices([*HTTP_TARGETS.values(), PEERS], k=2)
        crowds = self._rng.choices(CROWDS, k=2)
        for _ in range(self._rng.randint(*WAVE_CALLERS)):
            crowd, target = self._rng.choice(crowds), self._rng.choice(targets)
            self._note_crowd(crowd, target)
            caller = UnrulyCaller()
            self._callers.append(caller)
            sending = caller.async_send(host, target.port, crowd(target))
            self._sending.append(asyncio.ensure_future(sending))

    def _note_crowd(self, crowd: Crowd, target: Target) -> None:
        if target is HTTP_TARGETS["route"] and crowd not in INCOMPLETE:
            self._is_complete_sent = True

    async def _async_check_wave(self) -> None:
        process = self._fleet.processes[DAEMON]
        if not process.is_running:
            raise RuntimeError("the daemon has ended")
        try:
            await async_check_ordinary_callers(self._fleet)
        except TimeoutError:
            self._violations.append("ordinary requests were not answered")
        if process.open_descriptors >= DESCRIPTOR_LIMIT:
            self._violations.append("descriptors exhausted")

    def _check_bounds(self) -> None:
        self._peak_mb = self._fleet.processes[DAEMON].peak_memory_mb
        if self._peak_mb >= MEMORY_MB:
            self._violations.append(f"peak of {self._peak_mb:.0f} MB")
        runs = set(self._fleet.machines.endpoints["i-plain"].runs)
        if not self._is_complete_sent and runs - {"ordinary"}:
            self._violations.append("an incomplete request has run")

    async def _async_check_stop(self) -> None:
        process = self._fleet.processes[DAEMON]
        process.terminate()
        try:
            code = await process.async_wait()
        except TimeoutError:
            self._violations.append("the daemon doesn't stop")
            return
        if code != 0:
            self._violations.append(f"exit code {code}")

    async def _async_faults(self) -> None:
        """Inject faults in series, until cancelled; each may overlap the next wave."""
        inject = (
            self._async_reload,
            self._async_suspend,
            self._async_configure,
            self._async_break_store,
        )
        while True:
            await asyncio.sleep(self._rng.uniform(*WAVE_PAUSE_S))
            self._faults += 1
            await self._rng.choice(inject)()

    async def _async_reload(self) -> None:
        self._fleet.processes[DAEMON].send(signal.SIGHUP)

    async def _async_suspend(self) -> None:
        process = self._fleet.processes[DAEMON]
        process.freeze()
        try:
            await asyncio.sleep(self._rng.uniform(*SUSPENSION_S))
        finally:
            process.resume()

    async def _async_configure(self) -> None:
        self._version += 1
        limits = {
            "header_bytes": HEADER_LIMIT_BYTES,
            "body_bytes": BODY_LIMIT_BYTES,
            "header_timeout_ms": self._rng.randint(*HEADER_TIMEOUTS_MS),
        }
        config = make_config(self._version, SERVICES, limits=limits)
        self._fleet.machines.configure(config)

    async def _async_break_store(self) -> None:
        store = self._fleet.machines.store
        store.faults = msgspec.structs.replace(store.faults, is_out=True)
        try:
            await asyncio.sleep(self._rng.uniform(*FAULT_S))
        finally:
            store.faults = msgspec.structs.replace(store.faults, is_out=False)


def run_seed(seed: int, directory: Path, seconds: float) -> UnrulyResult:
    """Run one seed for about this time, and until the daemon has stopped."""

    async def async_run() -> UnrulyResult:
        async with async_one_daemon(directory, DESCRIPTOR_LIMIT) as fleet:
            return await UnrulySoak(fleet, seed, seconds).async_run()

    return asyncio.run(async_run())


def _report_seed(seed: int, directory: Path, seconds: float) -> SeedReport:
    result = run_seed(seed, directory, seconds)
    summary = (
        f"{result.callers} callers, {result.faults} faults, "
        f"peak {result.peak_mb:.0f} MB; "
    )
    return SeedReport(result.violations, summary)


if __name__ == "__main__":
    sys.exit(run_seeds(__doc__, _report_seed, default_seconds=20.0))
