"""Engines and services that send a gateway something other than a response."""

from __future__ import annotations

import pytest

from ..malformed_responses import MALFORMED, make_malformed
from .test_cut_responses import CONTROL_CALLS, run_with_client
from .test_endless_responses import make_request

CONTROL_RESPONSES = make_malformed(b"200 OK", b'{"boot_id": "b", "result": "accepted"}')


@pytest.mark.parametrize("response", MALFORMED.values(), ids=MALFORMED)
def test_malformed_response_to_a_request_fails(response):
    run_with_client(
        lambda client, spec: client.async_exchange(spec, make_request()), [response]
    )


@pytest.mark.parametrize("response", CONTROL_RESPONSES.values(), ids=CONTROL_RESPONSES)
@pytest.mark.parametrize("call", CONTROL_CALLS.values(), ids=CONTROL_CALLS)
def test_malformed_response_to_a_control_call_fails(call, response):
    run_with_client(call, [response])
