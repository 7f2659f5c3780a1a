"""Tests for request fingerprints."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from chutelink.quarantine.fingerprint import (
    RequestContent,
    make_fingerprint,
    make_part_fingerprint,
)

TEXTS = st.text(max_size=6)
CONTENTS = st.builds(RequestContent, TEXTS, TEXTS, TEXTS, st.binary(max_size=6))


@given(CONTENTS, CONTENTS)
def test_fingerprints_differ_exactly_if_contents_differ(one, other):
    is_same = msgspec.structs.replace(one, host=one.host.lower()) == (
        msgspec.structs.replace(other, host=other.host.lower())
    )
    fingerprints = {make_fingerprint("k", content) for content in (one, other)}
    assert len(fingerprints) == (1 if is_same else 2)


@given(CONTENTS)
def test_fingerprint_depends_on_the_key(content):
    assert make_fingerprint("k", content) != make_fingerprint("other", content)


def test_part_fingerprint_depends_on_the_part_and_the_key_alone():
    first = make_part_fingerprint("key", "5c1e07a2")
    assert first == make_part_fingerprint("key", "5c1e07a2")
    others = {
        make_part_fingerprint("key", "91bd3f06"),
        make_part_fingerprint("other", "5c1e07a2"),
        make_part_fingerprint("key", "\udce9"),
    }
    assert first not in others and len(others) == 3
