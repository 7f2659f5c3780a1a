"""Fingerprints that identify requests by content instead of by id. Does no I/O."""

from __future__ import annotations

import hashlib

import msgspec

from ..ids import Fingerprint

FINGERPRINT_BYTES = 12
"""Size of the digest.

The probability of a collision among a million different requests is 1e-17.
"""
PART_PREFIX = "part-"
PART_PERSONALIZATION = b"prompt part"
LENGTH_PREFIX_BYTES = 8
"""Size of the length prefix that separates the hashed fields."""


class RequestContent(msgspec.Struct, frozen=True):
    """The content of a request, without its id and time limit.

    ``target`` is the raw path with its query.
    """

    method: str
    host: str
    target: str
    body: bytes


def make_fingerprint(key: str, content: RequestContent) -> Fingerprint:
    """Return the keyed hash of a request's content.

    All daemons share the key. Callers don't know it, so a caller can't construct a
    request that has the same fingerprint as another caller's request.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=_hash_key(key))
    head = (content.method, content.host.lower(), content.target)
    for text in head:
        part = text.encode("utf-8", "surrogateescape")
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES))
        digest.update(part)
    digest.update(content.body)
    return Fingerprint(digest.hexdigest())


def make_part_fingerprint(key: str, part: str) -> Fingerprint:
    """Return the keyed hash of a prompt part's id, which differs from any request's."""
    digest = hashlib.blake2b(
        part.encode("utf-8", "surrogateescape"),
        digest_size=FINGERPRINT_BYTES,
        key=_hash_key(key),
        person=PART_PERSONALIZATION,
    )
    return Fingerprint(PART_PREFIX + digest.hexdigest())


def _hash_key(key: str) -> bytes:
    """Return a key of any length hashed to a size that blake2b accepts as a key."""
    return hashlib.blake2b(key.encode()).digest()
