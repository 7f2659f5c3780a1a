"""Compression of messages between daemons."""

from __future__ import annotations

import zlib

from ..const import MAX_PEER_MESSAGE_BYTES

PLAIN = b"p"
COMPRESSED = b"z"
MIN_COMPRESSED_BYTES = 512
"""Smaller messages gain little; configurations and lists of members gain a lot."""
COMPRESSION_LEVEL = 1
UNPACK_ERRORS = (ValueError, zlib.error)


def pack(data: bytes) -> bytes:
    """Return the data after a format byte, compressed unless they are small."""
    if len(data) < MIN_COMPRESSED_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the data that ``pack`` was given.

    Raises
    ------
    ValueError
        The data exceed the size limit of messages.
    zlib.error
        The compressed data are corrupt.
    """
    if packed[:1] != COMPRESSED:
        return packed[1:]
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(packed[1:], MAX_PEER_MESSAGE_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError("decompressed message exceeds the size limit")
    return data
