"""Tests for messages from directors to gateways about endpoints."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.endpoints.notifications import (
    EndpointLoaded,
    decode_loaded,
    encode_loaded,
)
from chutelink.exceptions import PeerMessageInvalid


def test_encoded_message_is_decoded_unchanged():
    message = EndpointLoaded("engine-1")
    assert decode_loaded(encode_loaded(message), "d1") == message


@given(st.binary(max_size=40))
def test_arbitrary_bytes_raise_only_peer_message_invalid(body):
    try:
        decode_loaded(body, "d1")
    except PeerMessageInvalid as error:
        assert error.peer == "d1"


def test_message_of_other_type_is_rejected():
    with pytest.raises(PeerMessageInvalid):
        decode_loaded(b"\x05", "d1")
