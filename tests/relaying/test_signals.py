"""Endpoint state that is read from response headers."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from chutelink.coldstart.states import ColdStates
from chutelink.entry.endpoints import EndpointRecord, EndpointState, EndpointTable
from chutelink.entry.load_tracker import LoadTracker
from chutelink.platform.headers import PlatformHeaderCodec
from chutelink.relaying.signals import SignalReader

from ..fakes import make_core, make_exchange

SEALED = {"X-Request-Id": "q1", "X-Server-Seal": "s"}


class SignalsFixture:
    """Passes responses of one endpoint to a signal reader."""

    def __init__(self):
        self.core = make_core()
        self.table = EndpointTable()
        self.put(born_ms=1)
        self.reader = SignalReader(
            self.core,
            PlatformHeaderCodec(),
            self.table,
            LoadTracker(),
            lambda: 1,
            ColdStates(self.core, self.table, dict),
        )

    def put(self, born_ms):
        ready = EndpointState.READY
        record = EndpointRecord("i-1", "llm", "a:1", "z", ready, 8, {}, born_ms)
        self.table.put(record, self.core.clock())

    @property
    def row(self):
        return self.table.rows["i-1"]

    def receive(self, sent_s, status=200, row=None, **named):
        values = {name.replace("_", "-"): value for name, value in named.items()}
        headers = CIMultiDictProxy(CIMultiDict(SEALED | values))
        exchange = make_exchange("q1")
        self.reader.note(exchange, row or self.row, status, headers, sent_s)


@pytest.fixture
def responses():
    return SignalsFixture()


def test_limit_is_taken_from_response_header(responses):
    responses.receive(99.9, Server_Limit="1.5")
    assert responses.row.limit.rate_per_s == 1.5


def test_response_without_limit_lifts_limit(responses):
    responses.receive(99.9, Server_Limit="1.5")
    responses.receive(100.1)
    assert responses.row.limit.rate_per_s is None


def test_response_to_earlier_request_does_not_lift_limit(responses):
    """Both were in flight when the endpoint began to send its limit."""
    responses.receive(99.9, Server_Limit="1.5")
    responses.receive(99.8)
    assert responses.row.limit.rate_per_s == 1.5


@pytest.mark.parametrize("status", [404, 421, 500, 503])
def test_only_success_lifts_limit(responses, status):
    """A 421 may be from another endpoint at a reused address."""
    responses.receive(99.9, Server_Limit="1.5")
    responses.receive(100.1, status=status)
    assert responses.row.limit.rate_per_s == 1.5


def test_restarted_endpoint_has_no_limit(responses):
    former = responses.row
    responses.receive(99.9, Server_Limit="1.5")
    responses.put(born_ms=2)
    assert responses.row.limit.rate_per_s is None
    responses.receive(99.9, row=former, Server_Limit="2")
    assert responses.row.limit.rate_per_s is None


def test_invalid_limit_header_changes_nothing(responses):
    responses.receive(99.9, Server_Limit="1.5")
    responses.receive(100.1, Server_Limit="soon")
    assert responses.row.limit.rate_per_s == 1.5


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_leaving_header_is_accepted_with_any_status(responses, status):
    responses.receive(99.9, status=status, Server_Leaving="1")
    assert responses.row.is_leaving


def test_shorter_pause_does_not_end_longer_one(responses):
    responses.receive(99.9, status=503, Retry_After="3")
    responses.receive(99.9, status=503, Retry_After="0.5")
    assert responses.row.paused_until_s == 103.0


def test_success_does_not_end_pause(responses):
    responses.receive(99.9, status=503, Retry_After="3")
    responses.receive(100.1)
    assert responses.row.paused_until_s == 103.0
