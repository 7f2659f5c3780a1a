"""Tests for the extraction and lookup of callers' keys."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from chutelink.customers.keys import KeyIndex, bearer_key, hash_key


def headers(*values: str) -> CIMultiDictProxy[str]:
    pairs = [("Authorization", value) for value in values]
    return CIMultiDictProxy(CIMultiDict(pairs))


@pytest.mark.parametrize(
    ("values", "key"),
    [
        (["Bearer k1"], "k1"),
        (["bearer  k1 "], "k1"),
        (["Bearer k1", "Bearer k1"], "k1"),
        ([], None),
        (["k1"], None),
        (["Basic k1"], None),
        (["Bearer "], None),
        (["Bearer k1", "Bearer k2"], None),
    ],
)
def test_bearer_key_is_unique_or_none(values, key):
    assert bearer_key(headers(*values)) == key


def test_index_stores_only_hashes():
    index = KeyIndex([(hash_key("k1"), "acme")])
    assert index.find(headers("Bearer k1")) == "acme"
    assert index.find(headers("Bearer k2")) is None
    assert "k1" not in repr(vars(index))


@given(st.text())
def test_any_text_can_be_hashed_and_is_unknown(text):
    assert len(hash_key(text)) == 64
    assert KeyIndex([(hash_key("k1"), "acme")]).find(headers(f"Bearer x{text}")) is None
