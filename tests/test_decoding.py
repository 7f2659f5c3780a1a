"""Bounds of JSON values that other programs wrote."""

from __future__ import annotations

import cbor2
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.decoding import MAX_DEPTH, check_bounds, decode_json
from chutelink.platform.store import _decode_row, _WireRow
from chutelink.store import UNREADABLE

from .odd_values import VALUES, encode_row, make_nested


@pytest.mark.parametrize("table", ["servers", "op", "quarantine", "lease"])
@pytest.mark.parametrize("depth", [MAX_DEPTH + 2, 450, 20_000])
def test_deeply_nested_row_is_unreadable(table, depth):
    """The RecursionError of such a row ended the daemons, again at each start."""
    text = b'{"write_id": "w", "value": %b}' % make_nested(depth)
    row = _decode_row(_WireRow(table, "k", value=encode_row(text), ver=3))
    assert row.value == UNREADABLE and row.version == 3


@pytest.mark.parametrize("number", [b"1" * 400, b"1e400", b"-1" + b"0" * 30])
def test_row_with_an_oversized_number_is_unreadable(number):
    text = b'{"write_id": "w", "value": [{"seq": %b}]}' % number
    for table in ("servers", "lease"):
        row = _decode_row(_WireRow(table, "k", value=encode_row(text)))
        assert row.value == UNREADABLE


def test_nesting_up_to_the_limit_is_readable():
    check_bounds(decode_json(make_nested(MAX_DEPTH)))
    with pytest.raises(msgspec.ValidationError):
        check_bounds(decode_json(make_nested(MAX_DEPTH + 1)))


@given(st.sampled_from(["servers", "op", "lease"]), st.binary() | VALUES)
def test_arbitrary_row_is_bounded_or_unreadable(table, content):
    """Its value can be sent to peers and compared, whatever another program wrote."""
    body = content if isinstance(content, bytes) else msgspec.json.encode(content)
    row = _decode_row(_WireRow(table, "k", value=encode_row(body)))
    check_bounds(row.value)
    assert cbor2.loads(cbor2.dumps(row.value)) == row.value
