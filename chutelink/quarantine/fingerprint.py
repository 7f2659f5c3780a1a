"""Tell requests by what they ask for, not by their ids. Pure."""

from __future__ import annotations

import hashlib

import msgspec

from ..ids import Fingerprint

DIGEST_BYTES = 12
"""With a million requests kept, two that differ meet with a chance of 1e-17."""
LENGTH_BYTES = 8


class RequestContent(msgspec.Struct, frozen=True):
    """What an endpoint is asked to run; an id or a time limit makes no difference.

    ``target`` is the raw path with its query.
    """

    method: str
    host: str
    target: str
    body: bytes


def make_fingerprint(key: str, content: RequestContent) -> Fingerprint:
    """Return the keyed hash of a request's content.

    All daemons have the same key; callers don't, so that none can make a request that
    is taken for another one's.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=_hash_key(key))
    head = (content.method, content.host.lower(), content.target)
    for text in head:
        part = text.encode("utf-8", "surrogateescape")
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    digest.update(content.body)
    return Fingerprint(digest.hexdigest())


def _hash_key(key: str) -> bytes:
    """Return a key of any length in the size that the hash takes."""
    return hashlib.blake2b(key.encode()).digest()
