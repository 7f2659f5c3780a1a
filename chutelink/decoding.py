"""Decoding of JSON that other programs wrote, within bounds of depth and numbers."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec
from msgspec import Meta

MAX_DEPTH = 32
"""Maximum nesting of arrays and objects in a row's value.

CBOR decoders of peers accept 400 levels, and Python's recursion limit is 1000.
"""
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
"""Bounds of the integers that have 64 bits, signed or unsigned."""
MAX_EXACT_INTEGER = 2**53 - 1
"""Largest integer up to which floats represent all integers exactly."""
MAX_NAME_CHARS = 256
"""Maximum length of an id or a name."""
Name = Annotated[str, Meta(max_length=MAX_NAME_CHARS)]
Integer = Annotated[int, Meta(ge=-MAX_EXACT_INTEGER, le=MAX_EXACT_INTEGER)]
Count = Annotated[int, Meta(ge=0, le=MAX_EXACT_INTEGER)]
Amount = Annotated[float, Meta(ge=0, le=MAX_EXACT_INTEGER)]
_DIGITS_TO_ZERO = bytes.maketrans(b"123456789", b"0" * 9)
_LONG_INTEGER = b"0" * len(str(2**63))


def decode_json(data: bytes, kind: Any = Any) -> Any:
    """Decode JSON as a type.

    Raises
    ------
    msgspec.MsgspecError
        The data are not JSON of this type, or are nested too deeply to be decoded.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_bounded_json(data: bytes) -> Any:
    """Decode JSON of bounded depth, with integers of at most 64 bits.

    Raises
    ------
    msgspec.MsgspecError
        The data are not JSON, or out of these bounds.
    """
    value = decode_json(data)
    # Visiting each part of a row is slow, and most rows are heartbeats. The counts show
    # that nearly all of them are within the bounds.
    is_flat = data.count(b"[") + data.count(b"{") <= MAX_DEPTH
    if not is_flat or _LONG_INTEGER in data.translate(_DIGITS_TO_ZERO):
        check_bounds(value)
    return value


def check_bounds(value: Any) -> None:
    """Check the depth and the numbers of a decoded JSON value, without recursion.

    Raises
    ------
    msgspec.ValidationError
        The value is nested deeper than ``MAX_DEPTH``, has an integer of more than 64
        bits, or a number that is not finite.
    """
    level: list[Any] = [value]
    for _ in range(MAX_DEPTH + 1):
        containers = [part for part in level if _is_container(part)]
        if not containers:
            return
        level = [part for parent in containers for part in _iter_parts(parent)]
    raise msgspec.ValidationError(f"value is nested deeper than {MAX_DEPTH} levels")


def _is_container(value: Any) -> bool:
    """Return whether a value is an array or an object; check it if it is a number."""
    if isinstance(value, dict | list):
        return True
    if isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
        raise msgspec.ValidationError("integer has more than 64 bits")
    if isinstance(value, float) and not math.isfinite(value):
        raise msgspec.ValidationError("number is not finite")
    return False


def _iter_parts(container: Any) -> Iterable[Any]:
    return container.values() if isinstance(container, dict) else container
