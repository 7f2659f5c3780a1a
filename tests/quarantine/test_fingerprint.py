"""Tests for request fingerprints."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from chutelink.quarantine.fingerprint import RequestContent, make_fingerprint

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
