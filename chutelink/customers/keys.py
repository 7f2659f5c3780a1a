"""Extraction, hashing and lookup of callers' keys. No I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Generic, TypeVar

from multidict import CIMultiDictProxy

from ..ids import KeyHash

HEADER_KEY = "Authorization"
AUTH_SCHEME = "bearer"

OwnerT = TypeVar("OwnerT")


def hash_key(key: str) -> KeyHash:
    """Return the hash that identifies a key; the key itself is never stored."""
    return KeyHash(hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest())


def bearer_key(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the bearer key of a request, None if there is none.

    Two different keys count as none, since the request's owner would be ambiguous.
    """
    values = set(headers.getall(HEADER_KEY, ()))
    if len(values) != 1:
        return None
    scheme, _, key = values.pop().strip().partition(" ")
    key = key.strip()
    return key if scheme.lower() == AUTH_SCHEME and key else None


class KeyIndex(Generic[OwnerT]):
    """Maps keys to their owners.

    Parameters
    ----------
    owners : iterable
        Pairs of a key's hash and its owner.
    """

    def __init__(self, owners: Iterable[tuple[KeyHash, OwnerT]] = ()) -> None:
        self._by_hash: dict[KeyHash, OwnerT] = dict(owners)

    def find(self, headers: CIMultiDictProxy[str]) -> OwnerT | None:
        """Return the owner of a request's key, None if there is none."""
        key = bearer_key(headers)
        return None if key is None else self._by_hash.get(hash_key(key))
