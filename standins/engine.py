"""Simulated engine: memory, orders, batch slots and prefix cache."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec

from chutelink.endpoints.messages import Order, OrderAnswer, OrderResult
from chutelink.fleet.model import Artifact
from chutelink.ids import BootId, FencingNumber, make_id
from chutelink.tables.endpoints import ArtifactState, EndpointReport, ReportedArtifact
from chutelink.tables.ledger import OrderAction

from .text import prefix_hashes, token_text

MAX_CACHED_PREFIXES = 64
CHARACTERS_PER_TOKEN = 4


class EngineOptions(msgspec.Struct, frozen=True):
    """Capacity and speed of the engine."""

    accelerators: int
    memory_mb: int
    slots: int
    step_s: float
    prefill_tokens_per_s: float
    checks_fencing: bool
    report_lag_s: float


class EngineStats(msgspec.Struct):
    """Statistics by which tests verify memory use and the handling of orders."""

    overcommits: list[str] = []
    peak_used_mb: int = 0
    orders: int = 0
    stale_orders: int = 0
    loads: int = 0
    unloads: int = 0


class _ResidentArtifact:
    """An artifact that occupies memory, in any state."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.state = ArtifactState.LOADING
        self.running = 0
        self.waiting = 0


class Engine:
    """Keeps artifacts in memory and generates tokens.

    Parameters
    ----------
    options : EngineOptions
        Capacity and speed.
    async_fetch_weights : callable
        Fetches the weights of an artifact, given its size in megabytes.
    """

    def __init__(
        self,
        options: EngineOptions,
        async_fetch_weights: Callable[[int], Awaitable[None]],
    ) -> None:
        self.options = options
        self._async_fetch_weights = async_fetch_weights
        self.boot_id = BootId(make_id())
        self.fence = FencingNumber(0)
        self.is_leaving = False
        self.stats = EngineStats()
        self.resident_artifacts: dict[Artifact, _ResidentArtifact] = {}
        self.running = 0
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrival_numbers = itertools.count()
        self._prefix_cache: OrderedDict[str, None] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()
        self._load_sample = (0, 0)
        self._load_sampled_s = float("-inf")

    def apply_order(self, order: Order) -> OrderAnswer:
        """Apply an order; it takes effect during this call."""
        self.stats.orders += 1
        if self.options.checks_fencing and order.fence < self.fence:
            self.stats.stale_orders += 1
            return OrderAnswer(OrderResult.STALE, f"fence is {self.fence}")
        self.fence = max(self.fence, order.fence)
        if order.action is OrderAction.LOAD:
            return self._apply_load(order)
        if order.action is OrderAction.UNLOAD:
            return self._apply_unload(order)
        return OrderAnswer(OrderResult.ACCEPTED)

    def _apply_load(self, order: Order) -> OrderAnswer:
        artifact = Artifact(order.name, order.version)
        resident = self.resident_artifacts.get(artifact)
        if resident is not None and resident.state is ArtifactState.DRAINING:
            return OrderAnswer(OrderResult.REFUSED, "draining")
        if resident is not None:
            return OrderAnswer(OrderResult.ACCEPTED, "held")
        self._record_overcommit(order)
        if self._exceeds_memory(order):
            return OrderAnswer(OrderResult.REFUSED, "no memory")
        self.resident_artifacts[artifact] = _ResidentArtifact(order)
        self.stats.peak_used_mb = max(self.stats.peak_used_mb, *self.used_mb())
        self._create_task(self._async_load(artifact))
        return OrderAnswer(OrderResult.ACCEPTED)

    def _apply_unload(self, order: Order) -> OrderAnswer:
        artifact = Artifact(order.name, order.version)
        resident = self.resident_artifacts.get(artifact)
        if resident is not None:
            resident.state = ArtifactState.DRAINING
            self._free_if_drained(artifact)
        return OrderAnswer(OrderResult.ACCEPTED)

    def used_mb(self) -> list[int]:
        """Return the memory used on each accelerator by artifacts in any state."""
        used = [0] * self.options.accelerators
        for resident in self.resident_artifacts.values():
            for index in resident.order.accelerators:
                used[index] += resident.order.memory_mb
        return used

    def _exceeds_memory(self, order: Order) -> bool:
        used = self.used_mb()
        limit = self.options.memory_mb
        return any(used[i] + order.memory_mb > limit for i in order.accelerators)

    def _record_overcommit(self, order: Order) -> None:
        if self._exceeds_memory(order):
            text = f"fence {order.fence}: {order.name}@{order.version}"
            self.stats.overcommits.append(text)

    async def _async_load(self, artifact: Artifact) -> None:
        resident = self.resident_artifacts[artifact]
        await self._async_fetch_weights(resident.order.memory_mb)
        if (
            self.resident_artifacts.get(artifact) is resident
            and resident.state is ArtifactState.LOADING
        ):
            resident.state = ArtifactState.LOADED
            self.stats.loads += 1

    def _free_if_drained(self, artifact: Artifact) -> None:
        resident = self.resident_artifacts.get(artifact)
        if resident is None or resident.state is not ArtifactState.DRAINING:
            return
        if resident.running == 0 and resident.waiting == 0:
            del self.resident_artifacts[artifact]
            self.stats.unloads += 1

    def find_loaded(self, name: str, version: str) -> Artifact | None:
        """Return a loaded artifact by name; an empty version matches any."""
        for artifact, resident in self.resident_artifacts.items():
            is_match = artifact.name == name and version in ("", artifact.version)
            if is_match and resident.state is ArtifactState.LOADED:
                return artifact
        return None

    def report(self) -> EndpointReport:
        """Return the current artifacts and a load sample that lags behind."""
        now_s = time.monotonic()
        if now_s - self._load_sampled_s >= self.options.report_lag_s:
            self._load_sample = (self.running, len(self._waiters))
            self._load_sampled_s = now_s
        artifacts = tuple(
            ReportedArtifact(
                a.name,
                a.version,
                resident.state,
                resident.order.accelerators,
                resident.order.memory_mb,
                resident.order.fence,
                resident.running,
                resident.waiting,
            )
            for a, resident in sorted(self.resident_artifacts.items())
        )
        return EndpointReport(
            boot_id=self.boot_id,
            leaving=self.is_leaving,
            fence=self.fence,
            running=self._load_sample[0],
            waiting=self._load_sample[1],
            prefill_tokens_per_s=self.options.prefill_tokens_per_s,
            step_s=self.options.step_s,
            artifacts=artifacts,
            cached_prefixes=tuple(self._prefix_cache),
        )

    async def async_generate(
        self,
        artifact: Artifact,
        prompt: str,
        max_tokens: int,
        *,
        resume_from: int = 0,
        priority: int = 5,
    ) -> AsyncIterator[str]:
        """Yield the tokens of an answer as they are generated."""
        resident = self.resident_artifacts[artifact]
        resident.waiting += 1
        has_slot = False
        try:
            await self._async_acquire_slot(priority)
            has_slot = True
            resident.waiting -= 1
            resident.running += 1
            await self._async_prefill(prompt)
            for index in range(resume_from, max_tokens):
                if self.options.step_s:
                    await asyncio.sleep(self.options.step_s)
                yield token_text(artifact.name, prompt, index)
        finally:
            if has_slot:
                resident.running -= 1
                self._release_slot()
            else:
                resident.waiting -= 1
            self._free_if_drained(artifact)

    async def _async_acquire_slot(self, priority: int) -> None:
        if self.running < self.options.slots:
            self.running += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (-priority, next(self._arrival_numbers), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        while self._waiters:
            _, _, waiter = heapq.heappop(self._waiters)
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1

    async def _async_prefill(self, prompt: str) -> None:
        prefixes = prefix_hashes(prompt)
        cached = sum(prefix in self._prefix_cache for prefix in prefixes)
        uncached_fraction = 1.0 - cached / (len(prefixes) + 1)
        tokens = len(prompt) / CHARACTERS_PER_TOKEN * uncached_fraction
        if self.options.step_s:
            await asyncio.sleep(tokens / self.options.prefill_tokens_per_s)
        for prefix in prefixes:
            self._prefix_cache[prefix] = None
            self._prefix_cache.move_to_end(prefix)
        while len(self._prefix_cache) > MAX_CACHED_PREFIXES:
            self._prefix_cache.popitem(last=False)

    def _create_task(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
