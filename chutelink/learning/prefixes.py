"""Estimate of the prompt prefixes in the endpoints' prefix caches."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..entry.headers import PromptPart
from ..entry.messages import PromptSizes
from ..ids import AdapterName, EndpointId, ModelName

if TYPE_CHECKING:
    from ..entry.endpoints import Endpoint
    from ..relaying.routing import RoutingRequest

MAX_PREFIXES = 400
"""Prefixes kept per endpoint, whose cache holds some 40 prompts with their parts."""
PREFIX_TTL_S = 20.0
"""After this time a prefix has most likely been evicted from the cache."""


def hash_chain(
    model: ModelName, adapter: AdapterName, prompt: tuple[PromptPart, ...]
) -> tuple[int, ...]:
    """Return the hashes of all prefixes of a prompt, for one model and adapter."""
    value = zlib.crc32(f"{model}/{adapter}".encode())
    chain = []
    for part in prompt:
        value = zlib.crc32(part.id.encode(), value)
        chain.append(value)
    return tuple(chain)


class PrefixTable:
    """Hashes of prefixes by endpoint, with eviction of the least recently used."""

    def __init__(self) -> None:
        self._seen: dict[EndpointId, OrderedDict[int, float]] = {}

    def sizes(self, request: RoutingRequest) -> PromptSizes | None:
        """Return the token counts to note and report; None if they aren't used."""
        return None

    def note(
        self,
        endpoint: EndpointId,
        chain: tuple[int, ...] | list[int],
        now_s: float,
        sizes: PromptSizes | None = None,
    ) -> None:
        """Record that a prompt was sent to an endpoint."""
        seen = self._seen.setdefault(endpoint, OrderedDict())
        for value in chain:
            seen[value] = now_s
            seen.move_to_end(value)
        while len(seen) > MAX_PREFIXES:
            seen.popitem(last=False)

    def cached_parts(
        self, endpoint: EndpointId, chain: tuple[int, ...], now_s: float
    ) -> int:
        """Return how many leading parts of a prompt are most likely cached."""
        seen = self._seen.get(endpoint)
        if seen is None:
            return 0
        for index, value in enumerate(chain):
            if now_s - seen.get(value, float("-inf")) > PREFIX_TTL_S:
                return index
        return len(chain)

    def lost_tokens(self, endpoint: EndpointId, new_tokens: int) -> float:
        """Return how many tokens must be read again if an endpoint keeps new ones."""
        return 0.0

    def note_alive(self, now_s: float) -> None:
        """Record that this daemon runs; called every 0.2 s."""
        return

    def forget_unloaded(self, rows: Iterable[Endpoint]) -> None:
        """Remove the parts of models that endpoints have unloaded."""
        return

    def forget(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that no longer exists."""
        self._seen.pop(endpoint, None)
