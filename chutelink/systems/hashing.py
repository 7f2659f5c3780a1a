"""Rendezvous hashing: a stable order of candidates for each key."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key, as 64 bits."""
    digest = hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates for a key, best first.

    A candidate that joins or leaves moves only the keys that it serves.
    """
    return sorted(candidates, key=lambda c: (-rendezvous_score(key, c), c))
