"""Bytes of messages between daemons, compressed where that pays."""

from __future__ import annotations

import zlib

from ..const import MAX_PEER_MESSAGE_BYTES

PLAIN = b"p"
COMPRESSED = b"z"
MIN_COMPRESSED_BYTES = 512
"""Smaller messages gain little; configurations and lists of members a lot."""
COMPRESSION_LEVEL = 1
UNPACK_FAILURES = (ValueError, zlib.error)


def pack(data: bytes) -> bytes:
    """Return data behind a byte that says whether they are compressed."""
    if len(data) < MIN_COMPRESSED_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the data.

    Raises
    ------
    ValueError
        They are larger than a message may be.
    zlib.error
        They are not what ``pack`` makes.
    """
    if packed[:1] != COMPRESSED:
        return packed[1:]
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(packed[1:], MAX_PEER_MESSAGE_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError("message too large")
    return data
