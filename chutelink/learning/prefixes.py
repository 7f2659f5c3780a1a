"""Which beginnings of prompts endpoints have read lately."""

from __future__ import annotations

import zlib
from collections import OrderedDict

from ..entry.dialect import PromptPart
from ..ids import AdapterName, EndpointId, ModelName

MAX_PREFIXES = 400
"""Kept for each endpoint; its memory holds some 40 prompts with their parts."""
PREFIX_TTL_S = 20.0
"""After this a beginning has most likely given way to others."""


def hash_chain(
    model: ModelName, adapter: AdapterName, prompt: tuple[PromptPart, ...]
) -> tuple[int, ...]:
    """Return a hash of each beginning of a prompt, for one model and adapter."""
    value = zlib.crc32(f"{model}/{adapter}".encode())
    chain = []
    for part in prompt:
        value = zlib.crc32(part.id.encode(), value)
        chain.append(value)
    return tuple(chain)


class PrefixTable:
    """Hashes of beginnings by endpoint, the least recently used ones dropped."""

    def __init__(self) -> None:
        self._seen: dict[EndpointId, OrderedDict[int, float]] = {}

    def note(
        self, endpoint: EndpointId, chain: tuple[int, ...] | list[int], now_s: float
    ) -> None:
        """Take in that an endpoint reads a prompt."""
        seen = self._seen.setdefault(endpoint, OrderedDict())
        for value in chain:
            seen[value] = now_s
            seen.move_to_end(value)
        while len(seen) > MAX_PREFIXES:
            seen.popitem(last=False)

    def cached_parts(
        self, endpoint: EndpointId, chain: tuple[int, ...], now_s: float
    ) -> int:
        """Return how many parts from the beginning are most likely kept."""
        seen = self._seen.get(endpoint)
        if seen is None:
            return 0
        for index, value in enumerate(chain):
            if now_s - seen.get(value, float("-inf")) > PREFIX_TTL_S:
                return index
        return len(chain)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what an endpoint that is gone has read."""
        self._seen.pop(endpoint, None)
