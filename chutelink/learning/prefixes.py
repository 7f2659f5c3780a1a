"""Estimate of the prompt prefixes in the endpoints' prefix caches."""

from __future__ import annotations

import zlib
from collections import OrderedDict

from ..entry.headers import PromptPart
from ..ids import AdapterName, EndpointId, ModelName

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

    def note(
        self, endpoint: EndpointId, chain: tuple[int, ...] | list[int], now_s: float
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

    def forget(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that no longer exists."""
        self._seen.pop(endpoint, None)
