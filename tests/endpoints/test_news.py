"""What directors tell gateways of endpoints."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.endpoints.news import EndpointLoaded, decode_loaded, encode_loaded
from chutelink.exceptions import PeerMessageInvalid


def test_a_message_is_read_as_it_was_written():
    news = EndpointLoaded("engine-1")
    assert decode_loaded(encode_loaded(news), "d1") == news


@given(st.binary(max_size=40))
def test_other_bytes_are_told_from_it(body):
    try:
        decode_loaded(body, "d1")
    except PeerMessageInvalid as error:
        assert error.peer == "d1"


def test_a_message_of_another_form_is_not_taken():
    with pytest.raises(PeerMessageInvalid):
        decode_loaded(b"\x05", "d1")
