"""Values at and beyond the bounds of the decoders, for tests."""

from __future__ import annotations

import base64

from hypothesis import strategies as st

HUGE = 10**400
NUMBERS = st.integers() | st.floats() | st.sampled_from([HUGE, -HUGE, 2**64, 1e308])
SCALARS = st.none() | st.booleans() | NUMBERS | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def make_nested(depth: int) -> bytes:
    """Return JSON arrays nested to a depth."""
    return b"[" * depth + b"]" * depth


def encode_row(body: bytes) -> str:
    """Return a value as the store sends it."""
    return base64.b64encode(body).decode()
