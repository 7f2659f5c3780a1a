"""Estimate of the prompt parts that engines hold, limited by their memory. No I/O."""

from __future__ import annotations

import math
import sys
from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import pairwise
from typing import TYPE_CHECKING, NamedTuple

from ..entry.messages import PromptSizes
from ..ids import EndpointId, ModelRef, model_ref
from .prefixes import PrefixTable

if TYPE_CHECKING:
    from ..entry.endpoints import Endpoint
    from ..relaying.routing import RoutingRequest

MAX_PARTS = 24_000
"""Limit of the parts recorded for all endpoints together, to bound the memory."""
MIN_ENDPOINT_PARTS = 32
MAX_ENDPOINT_PARTS = 2000
MAX_EVICTED_PARTS = 8192
"""Limit of the evicted parts that are remembered to learn how many are read again."""
EVICTION_DECAY = 0.998
"""Weight of earlier evictions at each new one, which covers about 500 evictions."""
INFLOW_PERIOD_S = 10.0
"""Averaging period of the rate at which an endpoint keeps new tokens."""
MAX_SILENT_S = 1.0
"""Longest time between two calls of ``note_alive`` that counts as without a freeze.

They are made every 0.2 s.
"""
TOKENS_SMOOTHING = 0.05
"""Weight of a part in the moving average of tokens, which covers about 20 parts."""
NO_REF = ModelRef("")


class _Part(NamedTuple):
    """A held part; other prompts don't share the last part of a prompt."""

    tokens: int
    ref: ModelRef
    is_shared: bool


class _HeldParts:
    """The parts held by one endpoint, the least recently used first."""

    def __init__(self) -> None:
        self.parts: OrderedDict[int, _Part] = OrderedDict()
        self.by_ref: dict[ModelRef, int] = {}
        self.tokens = 0
        self.evicted_tokens = 0.0
        self.reread_tokens = 0.0
        self._inflow_tokens = 0.0
        self._inflow_s = float("-inf")
        self._checked_models: object = None
        self._checked = 0

    def add(self, value: int, part: _Part) -> None:
        self.parts[value] = part
        self.tokens += part.tokens
        self.by_ref[part.ref] = self.by_ref.get(part.ref, 0) + 1

    def pop(self, value: int) -> _Part:
        part = self.parts.pop(value)
        self._note_removed(part)
        return part

    def pop_oldest(self) -> tuple[int, _Part]:
        value, part = self.parts.popitem(last=False)
        self._note_removed(part)
        return value, part

    def _note_removed(self, part: _Part) -> None:
        self.tokens -= part.tokens
        count = self.by_ref[part.ref] - 1
        if count:
            self.by_ref[part.ref] = count
        else:
            del self.by_ref[part.ref]

    def refs_without(self, row: Endpoint) -> set[ModelRef]:
        """Return whose parts are held though the endpoint doesn't list them.

        The result is only computed again after a registration or for another number of
        models, since most calls find no change.
        """
        if self._checked_models is row.models and self._checked == len(self.by_ref):
            return set()
        resident = {NO_REF, *row.models}
        for model, adapters in row.models.items():
            resident.update(model_ref(model, adapter) for adapter in adapters)
        lost = self.by_ref.keys() - resident
        self._checked_models = row.models
        self._checked = len(self.by_ref) - len(lost)
        return lost

    def note_inflow(self, tokens: int, now_s: float) -> None:
        self._inflow_tokens = self.inflow_per_s(now_s) * INFLOW_PERIOD_S + tokens
        self._inflow_s = max(self._inflow_s, now_s)

    def inflow_per_s(self, now_s: float) -> float:
        """Return the recent rate of newly kept tokens."""
        elapsed_s = max(0.0, now_s - self._inflow_s)
        weight = math.exp(-elapsed_s / INFLOW_PERIOD_S)
        return self._inflow_tokens * weight / INFLOW_PERIOD_S


class HeldPrefixTable(PrefixTable):
    """Parts of prompts held by each endpoint, as limited by its memory.

    Running requests and kept parts share the memory; the least recently used parts are
    evicted first, of one prompt the last part first. A part that several prompts share
    is counted once. Endpoints whose memory is not configured are estimated by age, as
    in the base class.

    Parameters
    ----------
    capacity_tokens : Callable[[EndpointId], int | None]
        Returns the memory of an endpoint, 0 if it is not configured, None for an
        unknown endpoint.
    """

    def __init__(self, capacity_tokens: Callable[[EndpointId], int | None]) -> None:
        super().__init__()
        self._capacity_tokens = capacity_tokens
        self._held: dict[EndpointId, _HeldParts] = {}
        self._evicted: OrderedDict[int, EndpointId] = OrderedDict()
        self._mean_part_tokens = 0.0
        self._unshared = 0
        self._alive_s: float | None = None

    def sizes(self, request: RoutingRequest) -> PromptSizes:
        """Return the token counts of a prompt, for the estimate of all daemons."""
        totals = request.chain_tokens
        parts = [after - before for before, after in pairwise((0, *totals))]
        total = totals[-1] if totals else 0
        others = max(0, request.prompt_tokens - total) + request.output_tokens
        return PromptSizes(model_ref(request.model, request.adapter), parts, others)

    def note(
        self,
        endpoint: EndpointId,
        chain: tuple[int, ...] | list[int],
        now_s: float,
        sizes: PromptSizes | None = None,
    ) -> None:
        """Record that a prompt was sent to an endpoint.

        Without sizes, as from daemons that don't weigh prefixes, the parts are assumed
        to be of average size.
        """
        capacity = self._capacity_tokens(endpoint)
        if capacity is None:
            return
        if not capacity:
            self._held.pop(endpoint, None)
            super().note(endpoint, chain, now_s)
            return
        tokens, ref, others = self._read_sizes(chain, sizes)
        held = self._held.setdefault(endpoint, _HeldParts())
        added = others
        last = len(chain) - 1
        if others:
            self._unshared -= 1
            held.add(self._unshared, _Part(others, ref, False))
        # From the last part to the first, so that the last one is evicted first.
        for index in range(last, -1, -1):
            value = chain[index]
            if value in held.parts:
                held.parts.move_to_end(value)
                continue
            part = _Part(tokens[index], ref, index < last)
            held.add(value, part)
            added += part.tokens
            self._note_reread(value, part.tokens)
        held.note_inflow(added, now_s)
        self._shrink(endpoint, held, capacity)

    def _read_sizes(
        self, chain: tuple[int, ...] | list[int], sizes: PromptSizes | None
    ) -> tuple[list[int], ModelRef, int]:
        if sizes is None or len(sizes.parts) != len(chain):
            return [round(self._mean_part_tokens)] * len(chain), NO_REF, 0
        for tokens in sizes.parts:
            known = self._mean_part_tokens or tokens
            self._mean_part_tokens = known + TOKENS_SMOOTHING * (tokens - known)
        return sizes.parts, ModelRef(sys.intern(sizes.ref)), sizes.others

    def _note_reread(self, value: int, tokens: int) -> None:
        """Count a part that is read again after an endpoint had evicted it."""
        evicted_by = self._evicted.pop(value, None)
        held = self._held.get(evicted_by) if evicted_by is not None else None
        if held is not None:
            held.reread_tokens += tokens

    def _shrink(self, endpoint: EndpointId, held: _HeldParts, capacity: int) -> None:
        while held.tokens > capacity:
            value, part = held.pop_oldest()
            held.evicted_tokens = held.evicted_tokens * EVICTION_DECAY + part.tokens
            held.reread_tokens *= EVICTION_DECAY
            if part.is_shared:
                self._evicted[value] = endpoint
                self._evicted.move_to_end(value)
        while len(self._evicted) > MAX_EVICTED_PARTS:
            self._evicted.popitem(last=False)
        max_parts = MAX_PARTS // len(self._held)
        max_parts = min(MAX_ENDPOINT_PARTS, max(MIN_ENDPOINT_PARTS, max_parts))
        while len(held.parts) > max_parts:
            held.pop_oldest()

    def cached_parts(
        self, endpoint: EndpointId, chain: tuple[int, ...], now_s: float
    ) -> int:
        """Return how many leading parts of a prompt are most likely held."""
        held = self._held.get(endpoint)
        if held is None:
            return super().cached_parts(endpoint, chain, now_s)
        parts = held.parts
        for index, value in enumerate(chain):
            if value not in parts:
                return index
        return len(chain)

    def lost_tokens(self, endpoint: EndpointId, new_tokens: int) -> float:
        """Return how many tokens must be read again if an endpoint keeps new ones.

        This is 0 while the memory has room. Otherwise it is the number of displaced
        tokens times the share of evicted tokens that were read again so far.
        """
        held = self._held.get(endpoint)
        if held is None or not held.reread_tokens:
            return 0.0
        excess = held.tokens + new_tokens - (self._capacity_tokens(endpoint) or 0)
        displaced = min(max(0, excess), held.tokens)
        evicted_tokens = max(held.evicted_tokens, held.reread_tokens)
        return displaced * held.reread_tokens / evicted_tokens

    def note_alive(self, now_s: float) -> None:
        """Record that this daemon runs, and account for prompts missed in a freeze.

        The endpoints are assumed to have kept new tokens at their rate before the
        freeze.
        """
        silent_s = now_s - self._alive_s if self._alive_s is not None else 0.0
        self._alive_s = now_s
        if silent_s <= MAX_SILENT_S:
            return
        for endpoint, held in self._held.items():
            missed = round(held.inflow_per_s(now_s - silent_s) * silent_s)
            self._unshared -= 1
            held.add(self._unshared, _Part(missed, NO_REF, False))
            self._shrink(endpoint, held, self._capacity_tokens(endpoint) or 0)

    def forget_unloaded(self, rows: Iterable[Endpoint]) -> None:
        """Remove the parts of models and adapters that endpoints have unloaded."""
        for row in rows:
            held = self._held.get(row.record.id)
            if held is None:
                continue
            lost = held.refs_without(row)
            if lost:
                gone = [v for v, part in held.parts.items() if part.ref in lost]
                for value in gone:
                    held.pop(value)

    def forget(self, endpoint: EndpointId) -> None:
        """Remove an endpoint whose process has ended."""
        super().forget(endpoint)
        self._held.pop(endpoint, None)
        evicted = [v for v, by in self._evicted.items() if by == endpoint]
        for value in evicted:
            del self._evicted[value]
