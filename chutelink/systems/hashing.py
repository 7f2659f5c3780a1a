"""Rendezvous hashing, which ranks candidates in a stable order for each key."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the score of a candidate for a key as a 64-bit integer."""
    digest = hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates for a key in descending order of score.

    Adding or removing a candidate reassigns only the keys of that candidate.
    """
    return sorted(candidates, key=lambda c: (-rendezvous_score(key, c), c))
