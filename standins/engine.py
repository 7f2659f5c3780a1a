"""The engine inside the stand-in: memory, orders, batching and prefix cache."""

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
from chutelink.tables.endpoints import ArtifactState, EndpointReport, HeldArtifact
from chutelink.tables.ledger import OrderAction

from .text import prefix_hashes, token_text

MAX_CACHED_PREFIXES = 64
CHARACTERS_PER_TOKEN = 4


class EngineOptions(msgspec.Struct, frozen=True):
    """How big and how fast the engine is."""

    accelerators: int
    memory_mb: int
    slots: int
    step_s: float
    prefill_tokens_per_s: float
    checks_fencing: bool
    report_lag_s: float


class Account(msgspec.Struct):
    """The judge: what was asked of the memory, and which orders took effect."""

    overcommits: list[str] = []
    peak_used_mb: int = 0
    orders: int = 0
    stale_orders: int = 0
    loads: int = 0
    unloads: int = 0


class _Held:
    """An artifact in memory, in whatever state."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.state = ArtifactState.LOADING
        self.running = 0
        self.waiting = 0


class Engine:
    """Holds artifacts and generates tokens.

    Parameters
    ----------
    options : EngineOptions
        Sizes and speeds.
    async_fetch : callable
        Fetches the weights of an artifact of so many megabytes.
    """

    def __init__(
        self, options: EngineOptions, async_fetch: Callable[[int], Awaitable[None]]
    ) -> None:
        self.options = options
        self._async_fetch = async_fetch
        self.boot_id = BootId(make_id())
        self.fence = FencingNumber(0)
        self.is_leaving = False
        self.account = Account()
        self.held: dict[Artifact, _Held] = {}
        self.running = 0
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._ticket = itertools.count()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()
        self._load_sample = (0, 0)
        self._sampled_s = float("-inf")

    def take_order(self, order: Order) -> OrderAnswer:
        """Carry out an order; this is the moment at which it takes effect."""
        self.account.orders += 1
        if self.options.checks_fencing and order.fence < self.fence:
            self.account.stale_orders += 1
            return OrderAnswer(OrderResult.STALE, f"fence is {self.fence}")
        self.fence = max(self.fence, order.fence)
        if order.action is OrderAction.LOAD:
            return self._take_load(order)
        if order.action is OrderAction.UNLOAD:
            return self._take_unload(order)
        return OrderAnswer(OrderResult.ACCEPTED)

    def _take_load(self, order: Order) -> OrderAnswer:
        artifact = Artifact(order.name, order.version)
        held = self.held.get(artifact)
        if held is not None and held.state is ArtifactState.DRAINING:
            return OrderAnswer(OrderResult.REFUSED, "draining")
        if held is not None:
            return OrderAnswer(OrderResult.ACCEPTED, "held")
        self._judge_memory(order)
        if self._is_over(order):
            return OrderAnswer(OrderResult.REFUSED, "no memory")
        self.held[artifact] = _Held(order)
        self.account.peak_used_mb = max(self.account.peak_used_mb, *self.used_mb())
        self._start(self._async_load(artifact))
        return OrderAnswer(OrderResult.ACCEPTED)

    def _take_unload(self, order: Order) -> OrderAnswer:
        artifact = Artifact(order.name, order.version)
        held = self.held.get(artifact)
        if held is not None:
            held.state = ArtifactState.DRAINING
            self._free_if_drained(artifact)
        return OrderAnswer(OrderResult.ACCEPTED)

    def used_mb(self) -> list[int]:
        """Return the memory held on each accelerator, in any state."""
        used = [0] * self.options.accelerators
        for held in self.held.values():
            for index in held.order.accelerators:
                used[index] += held.order.memory_mb
        return used

    def _is_over(self, order: Order) -> bool:
        used = self.used_mb()
        limit = self.options.memory_mb
        return any(used[i] + order.memory_mb > limit for i in order.accelerators)

    def _judge_memory(self, order: Order) -> None:
        if self._is_over(order):
            text = f"fence {order.fence}: {order.name}@{order.version}"
            self.account.overcommits.append(text)

    async def _async_load(self, artifact: Artifact) -> None:
        held = self.held[artifact]
        await self._async_fetch(held.order.memory_mb)
        if self.held.get(artifact) is held and held.state is ArtifactState.LOADING:
            held.state = ArtifactState.LOADED
            self.account.loads += 1

    def _free_if_drained(self, artifact: Artifact) -> None:
        held = self.held.get(artifact)
        if held is None or held.state is not ArtifactState.DRAINING:
            return
        if held.running == 0 and held.waiting == 0:
            del self.held[artifact]
            self.account.unloads += 1

    def find_loaded(self, name: str, version: str) -> Artifact | None:
        """Return the loaded artifact of a name, of one version if given."""
        for artifact, held in self.held.items():
            is_wanted = artifact.name == name and version in ("", artifact.version)
            if is_wanted and held.state is ArtifactState.LOADED:
                return artifact
        return None

    def report(self) -> EndpointReport:
        """Return what is held now, and a load that lags."""
        now_s = time.monotonic()
        if now_s - self._sampled_s >= self.options.report_lag_s:
            self._load_sample = (self.running, len(self._waiters))
            self._sampled_s = now_s
        artifacts = tuple(
            HeldArtifact(
                a.name,
                a.version,
                held.state,
                held.order.accelerators,
                held.order.memory_mb,
                held.order.fence,
                held.running,
                held.waiting,
            )
            for a, held in sorted(self.held.items())
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
            cached_prefixes=tuple(self._cache),
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
        held = self.held[artifact]
        held.waiting += 1
        has_slot = False
        try:
            await self._async_take_slot(priority)
            has_slot = True
            held.waiting -= 1
            held.running += 1
            await self._async_prefill(prompt)
            for index in range(resume_from, max_tokens):
                if self.options.step_s:
                    await asyncio.sleep(self.options.step_s)
                yield token_text(artifact.name, prompt, index)
        finally:
            if has_slot:
                held.running -= 1
                self._give_slot()
            else:
                held.waiting -= 1
            self._free_if_drained(artifact)

    async def _async_take_slot(self, priority: int) -> None:
        if self.running < self.options.slots:
            self.running += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (-priority, next(self._ticket), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._give_slot()
            raise

    def _give_slot(self) -> None:
        while self._waiters:
            _, _, waiter = heapq.heappop(self._waiters)
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1

    async def _async_prefill(self, prompt: str) -> None:
        prefixes = prefix_hashes(prompt)
        cached = sum(prefix in self._cache for prefix in prefixes)
        share = 1.0 - cached / (len(prefixes) + 1)
        tokens = len(prompt) / CHARACTERS_PER_TOKEN * share
        if self.options.step_s:
            await asyncio.sleep(tokens / self.options.prefill_tokens_per_s)
        for prefix in prefixes:
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
        while len(self._cache) > MAX_CACHED_PREFIXES:
            self._cache.popitem(last=False)

    def _start(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
