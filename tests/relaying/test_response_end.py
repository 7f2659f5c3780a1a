"""Which responses need a check of their endpoint once they have ended."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from chutelink.exceptions import ConnectionBroken, EndpointFailed
from chutelink.presence.check import Presence, PresenceCheck
from chutelink.reachability.const import HEADER_RELAY_UNFRAMED
from chutelink.relaying.response_end import ResponseEndVerifier, is_framed

ENDPOINT = SimpleNamespace(record=SimpleNamespace(id="i-1", address="127.0.0.1:1"))


class FixedPresence(PresenceCheck):
    """A check with a fixed result, which counts its calls."""

    def __init__(self, result):
        self.result = result
        self.calls = 0

    async def async_check(self, record):
        self.calls += 1
        return self.result


def make_response(method="POST", status=200, **headers):
    headers = CIMultiDictProxy(CIMultiDict(headers))
    return SimpleNamespace(method=method, status=status, headers=headers)


@pytest.mark.parametrize("result", list(Presence))
def test_unframed_success_is_complete_only_if_its_own_process_responds(result):
    verifier = ResponseEndVerifier(FixedPresence(result))
    check = verifier.async_verify(ENDPOINT, make_response(), is_repeatable=True)
    if result is Presence.SAME:
        asyncio.run(check)
        return
    with pytest.raises(EndpointFailed) as caught:
        asyncio.run(check)
    # Only the certain end of a process counts as a crash.
    is_certain = result is not Presence.UNKNOWN
    assert isinstance(caught.value, ConnectionBroken) is is_certain


@pytest.mark.parametrize(
    "response",
    [
        make_response(**{"Content-Length": "5"}),
        make_response(**{"TRANSFER-ENCODING": "chunked"}),
        make_response(status=503),
        make_response(status=204),
        make_response("HEAD"),
    ],
)
def test_other_responses_are_not_checked(response):
    presence = FixedPresence(Presence.REFUSED)
    verifier = ResponseEndVerifier(presence)
    asyncio.run(verifier.async_verify(ENDPOINT, response, is_repeatable=True))
    assert not presence.calls


@pytest.mark.parametrize("coding", ["identity", "gzip", "chunked, gzip"])
def test_coding_that_does_not_end_the_body_is_checked(coding):
    """Guards against parts of responses that count as framed."""
    response = make_response(**{"Transfer-Encoding": coding})
    verifier = ResponseEndVerifier(FixedPresence(Presence.REFUSED))
    with pytest.raises(ConnectionBroken):
        asyncio.run(verifier.async_verify(ENDPOINT, response, is_repeatable=True))


@pytest.mark.parametrize("is_unframed", [False, True])
def test_relayed_response_is_framed_as_the_endpoint_framed_it(is_unframed):
    headers = {"Transfer-Encoding": "chunked"}
    headers |= {HEADER_RELAY_UNFRAMED: "1"} if is_unframed else {}
    response = make_response(**headers)
    presence = FixedPresence(Presence.REFUSED)
    verifier = ResponseEndVerifier(presence)
    asyncio.run(verifier.async_verify(ENDPOINT, response, is_repeatable=True))
    assert is_framed(response) is not is_unframed
    assert not presence.calls
