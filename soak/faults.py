"""Injects the faults of a plan and tracks when daemons were disturbed."""

from __future__ import annotations

import asyncio
import math
import signal
from collections.abc import Awaitable, Callable

from standins.prepared_config import make_config
from tests.processes.entry_deployment import SERVICES, EntryDeployment

from .eligibility import ContactLoss
from .endpoint_signals import EndpointSignal
from .plan import EligibilitySetup, Fault, FaultKind, Plan
from .proxy import StoreProxy

ENDPOINTS = ("i-llm0", "i-llm1", "i-plain0", "i-plain1")
ENGINES = ("i-llm0", "i-llm1")
PLAIN_ENDPOINTS = ("i-plain0", "i-plain1")
"""Endpoints whose requests need no model."""
SIGNAL_DURATION_FACTOR = 4.0
"""How much longer endpoint signals last than other faults."""
MAX_LIMIT_PER_S = 5.0
MAX_PAUSE_S = 3.0
MAX_DELAY_S = 0.6
"""Maximum delay of a slow store or link, shorter than the timeout of a call."""
MAX_OUTAGE_S = 3.0
"""Maximum outage of the store before a snapshot is restored."""
MAX_AFFECTED_ANSWERS = 4
"""Maximum number of answers that one fault of an endpoint or the store affects."""

_STORE_KINDS = frozenset(
    kind
    for kind in FaultKind
    if kind.value.startswith(("store", "links"))
    and kind is not FaultKind.STORE_DROPS_HISTORY
)
_PROCESS_KINDS = frozenset({FaultKind.KILL, FaultKind.STOP, FaultKind.FREEZE})


HOME_ROUTE = "r-again"
"""Name of the route that has home regions if the plan asks for them.

The route that only one version has is a copy of it.
"""


def make_soak_config(version: int, setup: EligibilitySetup | None) -> dict:
    """Return a configuration with a route that only this version has."""
    changes = {}
    if setup is not None:
        changes = {"cold_s": setup.cold_s, "cold_per_s": setup.cold_per_s}
        if setup.home_regions:
            changes["home_regions"] = {HOME_ROUTE: setup.home_regions}
    config = make_config(version, SERVICES, **changes)
    again = next(route for route in config["routes"] if route["name"] == HOME_ROUTE)
    own = {"name": f"r-{version}", "prefix": version_prefix(version)}
    config["routes"].append(again | own)
    return config


def version_prefix(version: int) -> str:
    """Return the prefix of the route that only this version has."""
    return f"/version-{version}/"


class FaultInjector:
    """Injects the faults of a plan into a deployment.

    Parameters
    ----------
    deployment : EntryDeployment
        Deployment with a proxy in front of its store.
    daemons : int
        Number of daemons.
    setup : EligibilitySetup or None
        Setup of a plan with eligibility faults.

    Attributes
    ----------
    violations : list of str
        Violations found when daemons were stopped.
    version : int
        Latest configuration version written to the store.
    configured_s : float
        When the store acknowledged it, on the loop's clock; infinite until then.
    """

    def __init__(
        self,
        deployment: EntryDeployment,
        daemons: int,
        setup: EligibilitySetup | None = None,
    ) -> None:
        self._deployment = deployment
        self._setup = setup
        domains = () if setup is None else setup.domains
        self._domain_locks = {domain: asyncio.Lock() for domain in domains}
        self.contact_losses: list[ContactLoss] = []
        """Periods in which daemons may have been out of contact with the store."""
        self._daemons = daemons
        self._locks = [asyncio.Lock() for _ in range(daemons)]
        self._last_disturbed_s = [-math.inf] * daemons
        self._store_disturbed_s = -math.inf
        self._store_faults = 0
        self.violations: list[str] = []
        self.version = 1
        self.configured_s = -math.inf
        self.restart_counts = [0] * daemons
        """Number of restarts of each daemon."""
        self._endpoint_locks = {name: asyncio.Lock() for name in ENDPOINTS}
        """Held during a signal, so that no fault replaces the endpoint's process.

        Signals of the former process do not apply to its successor.
        """
        self.signals: list[EndpointSignal] = []
        """Signals that endpoints sent in their answers."""
        self.disturbances: list[tuple[float, float]] = []
        """Periods in which a daemon was stopped, started or frozen."""
        self._handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._async_kill,
            FaultKind.STOP: self._async_stop,
            FaultKind.FREEZE: self._async_freeze,
            FaultKind.RELOAD: self._async_reload,
            FaultKind.CONFIGURE: self._async_configure,
            FaultKind.STORE_OUT: self._async_degrade_store,
            FaultKind.STORE_SLOW: self._async_degrade_store,
            FaultKind.STORE_LOSES_REPLIES: self._async_degrade_store,
            FaultKind.STORE_DROPS_HISTORY: self._async_drop_history,
            FaultKind.STORE_RESTORED: self._async_restore_store,
            FaultKind.LINKS_RESET: self._async_disturb_links,
            FaultKind.LINKS_SILENT: self._async_disturb_links,
            FaultKind.LINKS_SLOW: self._async_disturb_links,
            FaultKind.LINKS_ONE_WAY: self._async_disturb_links,
            FaultKind.ENDPOINT_LEAVES: self._async_drain,
            FaultKind.ENDPOINT_SAYS_LEAVING: self._async_signal_leaving,
            FaultKind.ENDPOINT_LIMITS: self._async_signal_limit,
            FaultKind.ENDPOINT_PAUSES: self._async_signal_pause,
            FaultKind.DOMAIN_EVACUATED: self._async_evacuate,
            FaultKind.DOMAIN_COLD: self._async_make_cold,
            FaultKind.ENDPOINT_RESTARTED_COLD: self._async_make_cold,
        }

    async def async_prepare(self) -> None:
        """Prepare the endpoints for the plan."""

    async def async_inject_all(self, plan: Plan) -> None:
        """Inject all faults, each in its own task, and wait for them to end."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in plan.faults:
                await asyncio.sleep(max(0.0, started_s + fault.at_s - loop.time()))
                group.create_task(self._async_inject(fault))
            await asyncio.sleep(max(0.0, started_s + plan.time_s - loop.time()))

    def is_undisturbed(self, daemon: int, for_s: float) -> bool:
        """Return whether a daemon and the store were free of faults for a period."""
        return self.undisturbed_s(daemon) >= for_s

    def undisturbed_s(self, daemon: int) -> float:
        """Return for how long a daemon and the store have been free of faults."""
        now_s = asyncio.get_running_loop().time()
        return now_s - max(self._last_disturbed_s[daemon], self._store_disturbed_s)

    async def _async_inject(self, fault: Fault) -> None:
        handler = self._handlers.get(fault.kind, self._async_break_endpoint)
        daemon = fault.target % self._daemons
        if fault.kind in _PROCESS_KINDS:
            async with self._locks[daemon]:
                self._last_disturbed_s[daemon] = math.inf
                began_s = asyncio.get_running_loop().time()
                self.check_running(f"vm-{daemon}")
                await handler(fault)
                self._last_disturbed_s[daemon] = asyncio.get_running_loop().time()
                ended_s = self._last_disturbed_s[daemon]
                self.disturbances.append((began_s, ended_s))
                if fault.kind is FaultKind.FREEZE:
                    self.contact_losses.append(ContactLoss(began_s, ended_s, daemon))
        elif fault.kind in _STORE_KINDS:
            await self._async_disturb_store(handler, fault)
        else:
            await handler(fault)

    def check_running(self, name: str) -> None:
        """Report a process that has ended by itself."""
        if not self._deployment.processes[name].is_running:
            self.violations.append(f"{name} ended by itself")

    async def _async_disturb_store(
        self, handler: Callable[[Fault], Awaitable[None]], fault: Fault
    ) -> None:
        """Inject a store or link fault; the disturbance ends with the last of them."""
        self._store_faults += 1
        self._store_disturbed_s = math.inf
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await handler(fault)
        self.contact_losses.append(ContactLoss(began_s, loop.time()))
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
        # SIGTERM kills a daemon that does not handle it yet and has read no requests.
        is_early = code == -signal.SIGTERM and not process.has_started
        if code != 0 and not is_early:
            self.violations.append(f"vm-{daemon} exited with {code} after SIGTERM")
        self._start(daemon)

    def _start(self, daemon: int) -> None:
        self.restart_counts[daemon] += 1
        self._deployment.start_daemon(daemon)

    async def _async_freeze(self, fault: Fault) -> None:
        process = self._deployment.processes[f"vm-{fault.target % self._daemons}"]
        process.freeze()
        await asyncio.sleep(fault.for_s)
        process.resume()

    async def _async_reload(self, fault: Fault) -> None:
        process = self._deployment.processes[f"vm-{fault.target % self._daemons}"]
        if process.has_started:
            process.send(signal.SIGHUP)

    async def _async_configure(self, fault: Fault) -> None:
        await self.async_configure(self.version + 1 + round(2 * fault.strength))

    async def async_configure(self, version: int) -> None:
        """Write a configuration with a route that only this version has."""
        self.version, self.configured_s = version, math.inf
        config = self._make_config(version)
        del config["version"]
        await self._deployment.async_configure(version, **config)
        if self.version == version:
            self.configured_s = asyncio.get_running_loop().time()

    def _make_config(self, version: int) -> dict:
        return make_soak_config(version, self._setup)

    async def _async_degrade_store(self, fault: Fault) -> None:
        on, off = {
            FaultKind.STORE_OUT: ({"is_out": True}, {"is_out": False}),
            FaultKind.STORE_SLOW: (
                {"delay_s": MAX_DELAY_S * fault.strength},
                {"delay_s": 0.0},
            ),
            FaultKind.STORE_LOSES_REPLIES: (
                {"lose_replies": affected_answers(fault)},
                {"lose_replies": 0},
            ),
        }[fault.kind]
        await self._deployment.async_set_store_faults(**on)
        await asyncio.sleep(fault.for_s)
        await self._deployment.async_set_store_faults(**off)

    async def _async_drop_history(self, fault: Fault) -> None:
        await self._deployment.async_control_store("forget")

    async def _async_restore_store(self, fault: Fault) -> None:
        """Take the store down and restore an earlier snapshot."""
        await self._deployment.async_control_store("store/copy")
        await asyncio.sleep(fault.for_s)
        await self._deployment.async_set_store_faults(is_out=True)
        await asyncio.sleep(MAX_OUTAGE_S * fault.strength)
        restored = asyncio.create_task(
            self._deployment.async_control_store("store/restore")
        )
        await self._deployment.async_set_store_faults(is_out=False)
        await restored

    async def _async_disturb_links(self, fault: Fault) -> None:
        if fault.kind is FaultKind.LINKS_RESET:
            self._proxy.reset()
        elif fault.kind is FaultKind.LINKS_SILENT:
            self._proxy.blackhole()
        elif fault.kind is FaultKind.LINKS_SLOW:
            self._proxy.delay_s = MAX_DELAY_S * fault.strength
            await asyncio.sleep(fault.for_s)
            self._proxy.delay_s = 0.0
        else:
            self._proxy.is_one_way = True
            await asyncio.sleep(fault.for_s)
            self._proxy.is_one_way = False

    async def _async_drain(self, fault: Fault) -> None:
        name = ENDPOINTS[fault.target % len(ENDPOINTS)]
        async with self._endpoint_locks[name]:
            await self._deployment.async_set_endpoint(name, "draining")
            await asyncio.sleep(fault.for_s)
            await self._deployment.async_set_endpoint(name)

    async def _async_signal_leaving(self, fault: Fault) -> None:
        """Make an endpoint announce that it leaves, then replace its process."""
        name = _plain_endpoint(fault)
        async with self._endpoint_locks[name]:
            await self._async_signal(fault, name, 0.0, says_leaving=True)
            await self._deployment.async_set_endpoint(
                name, "draining", says_leaving=False
            )
            await self._deployment.async_set_endpoint(name)

    async def _async_signal_limit(self, fault: Fault) -> None:
        limit_per_s = 1.0 + (MAX_LIMIT_PER_S - 1.0) * fault.strength
        name = _plain_endpoint(fault)
        async with self._endpoint_locks[name]:
            fields = {"limit_per_s": limit_per_s}
            await self._async_signal(fault, name, limit_per_s, **fields)
            await self._deployment.async_set_endpoint(name, limit_per_s=0.0)

    async def _async_signal_pause(self, fault: Fault) -> None:
        pause_s = 1.0 + (MAX_PAUSE_S - 1.0) * fault.strength
        name = _plain_endpoint(fault)
        async with self._endpoint_locks[name]:
            await self._async_signal(fault, name, pause_s, pause_s=pause_s)
            await self._deployment.async_set_endpoint(name, pause_s=0.0)

    async def _async_signal(
        self, fault: Fault, name: str, value: float, **fields: object
    ) -> None:
        """Make an endpoint's answers carry a signal for a while."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await self._deployment.async_set_endpoint(name, **fields)
        await asyncio.sleep(SIGNAL_DURATION_FACTOR * fault.for_s)
        self.signals.append(
            EndpointSignal(fault.kind, name, began_s, loop.time(), value)
        )

    async def _async_evacuate(self, fault: Fault) -> None:
        """Evacuate a failure domain and take it back."""
        domain = self._domain(fault)
        async with self._domain_locks[domain]:
            await self._deployment.async_evacuate(domain)
            await asyncio.sleep(fault.for_s)
            await self._deployment.async_take_back(domain)

    async def _async_make_cold(self, fault: Fault) -> None:
        """Make a failure domain cold, or restart an endpoint, which is cold then."""
        if fault.kind is FaultKind.DOMAIN_COLD:
            await self._deployment.async_control_store(f"cold/{self._domain(fault)}")
            return
        service = "plain" if fault.strength > 0.5 else "llm"
        name = f"i-{service}{fault.target % len(self._domain_locks)}"
        await self._deployment.async_control_store(f"cold/{name}?restart")

    def _domain(self, fault: Fault) -> str:
        domains = list(self._domain_locks)
        return domains[fault.target % len(domains)]

    async def _async_break_endpoint(self, fault: Fault) -> None:
        name = ENDPOINTS[fault.target % len(ENDPOINTS)]
        field = {
            FaultKind.ENDPOINT_RETURNS_ERRORS: "errors",
            FaultKind.ENDPOINT_REFUSES: "refuse",
            FaultKind.ENDPOINT_HANGS: "mute",
            FaultKind.ENDPOINT_RETURNS_WRONG_ID: "foreign",
            FaultKind.ENDPOINT_LOSES_ORDERS: "cut_orders",
        }.get(fault.kind)
        changes = {field: affected_answers(fault)}
        if field is None:
            changes = {
                "cut_after_events": affected_answers(fault),
                "cuts": affected_answers(fault),
            }
        await self._deployment.async_set_endpoint(name, **changes)


def _plain_endpoint(fault: Fault) -> str:
    return PLAIN_ENDPOINTS[fault.target % len(PLAIN_ENDPOINTS)]


def affected_answers(fault: Fault) -> int:
    """Return how many answers a fault of an endpoint or the store affects."""
    return 1 + int((MAX_AFFECTED_ANSWERS - 1) * fault.strength)
