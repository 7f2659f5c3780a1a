"""Play the faults of a plan, and know which daemons were in good order when."""

from __future__ import annotations

import asyncio
import math
import signal
from collections.abc import Awaitable, Callable

from standins.prepared_config import make_config
from tests.processes.entry_deployment import SERVICES, EntryDeployment

from .plan import Fault, FaultKind, Plan
from .proxy import StoreProxy
from .signals import Signal

ENDPOINTS = ("i-llm0", "i-llm1", "i-plain0", "i-plain1")
PLAIN = ("i-plain0", "i-plain1")
"""Those whose requests need no model."""
SIGNAL_FACTOR = 4.0
"""How much longer than other faults answers speak of the endpoint."""
MAX_LIMIT_PER_S = 5.0
MAX_PAUSE_S = 3.0
MAX_DELAY_S = 0.6
"""What a slow store or link takes; the time limit of a call is longer."""
MAX_AWAY_S = 3.0
"""How long the store is away at most before it comes back older."""
MAX_COUNT = 4
"""Answers that an endpoint or the store spoils at a time."""

_STORE_KINDS = frozenset(
    kind
    for kind in FaultKind
    if kind.value.startswith(("store", "links")) and kind is not FaultKind.STORE_FORGETS
)
_PROCESS_KINDS = frozenset({FaultKind.KILL, FaultKind.STOP, FaultKind.FREEZE})


def make_routes(version: int) -> list[dict]:
    """Return the usual routes, and one that only this version has."""
    routes = make_config(version, SERVICES)["routes"]
    again = next(route for route in routes if route["name"] == "r-again")
    own = {"name": f"r-{version}", "prefix": own_prefix(version)}
    return [*routes, again | own]


def own_prefix(version: int) -> str:
    """Return the prefix of the route that only one version has."""
    return f"/version-{version}/"


class FaultPlayer:
    """Does to a deployment what a plan says.

    Parameters
    ----------
    deployment : EntryDeployment
        With a proxy before its store.
    daemons : int
        How many daemons it has.

    Attributes
    ----------
    violations : list of str
        What daemons did wrong when they were stopped.
    version : int
        The configuration that the store acknowledged last.
    configured_s : float
        When it did, on the loop's clock.
    """

    def __init__(self, deployment: EntryDeployment, daemons: int) -> None:
        self._deployment = deployment
        self._daemons = daemons
        self._locks = [asyncio.Lock() for _ in range(daemons)]
        self._disturbed_s = [-math.inf] * daemons
        self._store_disturbed_s = -math.inf
        self._store_faults = 0
        self.violations: list[str] = []
        self.version = 1
        self.configured_s = -math.inf
        self.starts = [0] * daemons
        """How often each daemon was started again."""
        self._endpoint_locks = {name: asyncio.Lock() for name in ENDPOINTS}
        """Held while an endpoint says something: another process would not know."""
        self.signals: list[Signal] = []
        """What endpoints said in their answers."""
        self.disturbed_s: list[tuple[float, float]] = []
        """From when to when a daemon was stopped, started or frozen."""
        self._play: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._async_kill,
            FaultKind.STOP: self._async_stop,
            FaultKind.FREEZE: self._async_freeze,
            FaultKind.RELOAD: self._async_reload,
            FaultKind.CONFIGURE: self._async_configure,
            FaultKind.STORE_OUT: self._async_store,
            FaultKind.STORE_SLOW: self._async_store,
            FaultKind.STORE_LOSES_REPLIES: self._async_store,
            FaultKind.STORE_FORGETS: self._async_forget,
            FaultKind.STORE_RESTORED: self._async_restore,
            FaultKind.LINKS_RESET: self._async_links,
            FaultKind.LINKS_SILENT: self._async_links,
            FaultKind.LINKS_SLOW: self._async_links,
            FaultKind.LINKS_ONE_WAY: self._async_links,
            FaultKind.ENDPOINT_LEAVES: self._async_leave,
            FaultKind.ENDPOINT_SAYS_LEAVING: self._async_say_leaving,
            FaultKind.ENDPOINT_LIMITS: self._async_limit,
            FaultKind.ENDPOINT_PAUSES: self._async_pause,
        }

    async def async_play(self, plan: Plan) -> None:
        """Play all faults, each in a task of its own; return when all are over."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in plan.faults:
                await asyncio.sleep(max(0.0, started_s + fault.at_s - loop.time()))
                group.create_task(self._async_one(fault))
            await asyncio.sleep(max(0.0, started_s + plan.time_s - loop.time()))

    def is_calm(self, daemon: int, for_s: float) -> bool:
        """Return whether a daemon and the store were in order for so long."""
        return self.calm_s(daemon) >= for_s

    def calm_s(self, daemon: int) -> float:
        """Return for how long a daemon and the store have been in order."""
        now_s = asyncio.get_running_loop().time()
        return now_s - max(self._disturbed_s[daemon], self._store_disturbed_s)

    async def _async_one(self, fault: Fault) -> None:
        play = self._play.get(fault.kind, self._async_endpoint)
        daemon = fault.target % self._daemons
        if fault.kind in _PROCESS_KINDS:
            async with self._locks[daemon]:
                self._disturbed_s[daemon] = math.inf
                began_s = asyncio.get_running_loop().time()
                await play(fault)
                self._disturbed_s[daemon] = asyncio.get_running_loop().time()
                self.disturbed_s.append((began_s, self._disturbed_s[daemon]))
        elif fault.kind in _STORE_KINDS:
            await self._async_disturb_store(play, fault)
        else:
            await play(fault)

    async def _async_disturb_store(
        self, play: Callable[[Fault], Awaitable[None]], fault: Fault
    ) -> None:
        """Play a fault of the store or of the links; the last one to end counts."""
        self._store_faults += 1
        self._store_disturbed_s = math.inf
        await play(fault)
        self._store_faults -= 1
        if not self._store_faults:
            self._store_disturbed_s = asyncio.get_running_loop().time()

    @property
    def _proxy(self) -> StoreProxy:
        return self._deployment.store_proxy

    async def _async_kill(self, fault: Fault) -> None:
        daemon = fault.target % self._daemons
        self._deployment.processes[f"vm-{daemon}"].kill()
        await asyncio.sleep(fault.for_s / 2)
        self._start(daemon)

    async def _async_stop(self, fault: Fault) -> None:
        daemon = fault.target % self._daemons
        process = self._deployment.processes[f"vm-{daemon}"]
        process.terminate()
        code = await process.async_wait()
        # Stopped before it takes signals it has read nothing, and ends by the signal.
        is_early = code == -signal.SIGTERM and not process.has_started
        if code != 0 and not is_early:
            self.violations.append(f"vm-{daemon} ended with {code} at a stop")
        self._start(daemon)

    def _start(self, daemon: int) -> None:
        self.starts[daemon] += 1
        self._deployment.start_daemon(daemon)

    async def _async_freeze(self, fault: Fault) -> None:
        process = self._deployment.processes[f"vm-{fault.target % self._daemons}"]
        process.freeze()
        await asyncio.sleep(fault.for_s)
        process.wake()

    async def _async_reload(self, fault: Fault) -> None:
        process = self._deployment.processes[f"vm-{fault.target % self._daemons}"]
        if process.has_started:
            process.send(signal.SIGHUP)

    async def _async_configure(self, fault: Fault) -> None:
        """Write a configuration with a route that only this version has."""
        version = self.version + 1 + round(2 * fault.strength)
        self.version, self.configured_s = version, math.inf
        await self._deployment.async_configure(version, routes=make_routes(version))
        if self.version == version:
            self.configured_s = asyncio.get_running_loop().time()

    async def _async_store(self, fault: Fault) -> None:
        on, off = {
            FaultKind.STORE_OUT: ({"is_out": True}, {"is_out": False}),
            FaultKind.STORE_SLOW: (
                {"delay_s": MAX_DELAY_S * fault.strength},
                {"delay_s": 0.0},
            ),
            FaultKind.STORE_LOSES_REPLIES: (
                {"lose_replies": _count(fault)},
                {"lose_replies": 0},
            ),
        }[fault.kind]
        await self._deployment.async_store_faults(**on)
        await asyncio.sleep(fault.for_s)
        await self._deployment.async_store_faults(**off)

    async def _async_forget(self, fault: Fault) -> None:
        await self._deployment.async_control_store("forget")

    async def _async_restore(self, fault: Fault) -> None:
        """Let the store be away for a moment and come back from a copy."""
        await self._deployment.async_control_store("store/copy")
        await asyncio.sleep(fault.for_s)
        await self._deployment.async_store_faults(is_out=True)
        await asyncio.sleep(MAX_AWAY_S * fault.strength)
        restored = asyncio.create_task(
            self._deployment.async_control_store("store/restore")
        )
        await self._deployment.async_store_faults(is_out=False)
        await restored

    async def _async_links(self, fault: Fault) -> None:
        if fault.kind is FaultKind.LINKS_RESET:
            self._proxy.reset()
        elif fault.kind is FaultKind.LINKS_SILENT:
            self._proxy.silence()
        elif fault.kind is FaultKind.LINKS_SLOW:
            self._proxy.delay_s = MAX_DELAY_S * fault.strength
            await asyncio.sleep(fault.for_s)
            self._proxy.delay_s = 0.0
        else:
            self._proxy.is_one_way = True
            await asyncio.sleep(fault.for_s)
            self._proxy.is_one_way = False

    async def _async_leave(self, fault: Fault) -> None:
        name = ENDPOINTS[fault.target % len(ENDPOINTS)]
        async with self._endpoint_locks[name]:
            await self._deployment.async_endpoint(name, "draining")
            await asyncio.sleep(fault.for_s)
            await self._deployment.async_endpoint(name)

    async def _async_say_leaving(self, fault: Fault) -> None:
        """Let answers say that an endpoint leaves; another process follows on it."""
        name = _plain_endpoint(fault)
        async with self._endpoint_locks[name]:
            await self._async_signal(fault, name, 0.0, says_leaving=True)
            await self._deployment.async_endpoint(name, "draining", says_leaving=False)
            await self._deployment.async_endpoint(name)

    async def _async_limit(self, fault: Fault) -> None:
        limit_per_s = 1.0 + (MAX_LIMIT_PER_S - 1.0) * fault.strength
        name = _plain_endpoint(fault)
        async with self._endpoint_locks[name]:
            said = {"limit_per_s": limit_per_s}
            await self._async_signal(fault, name, limit_per_s, **said)
            await self._deployment.async_endpoint(name, limit_per_s=0.0)

    async def _async_pause(self, fault: Fault) -> None:
        pause_s = 1.0 + (MAX_PAUSE_S - 1.0) * fault.strength
        name = _plain_endpoint(fault)
        async with self._endpoint_locks[name]:
            await self._async_signal(fault, name, pause_s, pause_s=pause_s)
            await self._deployment.async_endpoint(name, pause_s=0.0)

    async def _async_signal(
        self, fault: Fault, name: str, value: float, **said: object
    ) -> None:
        """Let an endpoint's answers say something for a while."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await self._deployment.async_endpoint(name, **said)
        await asyncio.sleep(SIGNAL_FACTOR * fault.for_s)
        self.signals.append(Signal(fault.kind, name, began_s, loop.time(), value))

    async def _async_endpoint(self, fault: Fault) -> None:
        name = ENDPOINTS[fault.target % len(ENDPOINTS)]
        field = {
            FaultKind.ENDPOINT_ERRS: "errors",
            FaultKind.ENDPOINT_REFUSES: "refuse",
            FaultKind.ENDPOINT_MUTE: "mute",
            FaultKind.ENDPOINT_SPOILS: "foreign",
            FaultKind.ENDPOINT_LOSES_ORDERS: "cut_orders",
        }.get(fault.kind)
        changes = {field: _count(fault)}
        if field is None:
            changes = {"cut_after_events": _count(fault), "cuts": _count(fault)}
        await self._deployment.async_endpoint(name, **changes)


def _plain_endpoint(fault: Fault) -> str:
    return PLAIN[fault.target % len(PLAIN)]


def _count(fault: Fault) -> int:
    return 1 + int((MAX_COUNT - 1) * fault.strength)
