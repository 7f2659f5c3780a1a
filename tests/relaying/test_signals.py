"""What is learned of endpoints from the headers of their answers."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from chutelink.entry.endpoints import EndpointRecord, EndpointState, EndpointTable
from chutelink.entry.loads import LoadBook
from chutelink.platform.headers import PlatformDialect
from chutelink.relaying.signals import SignalReader

from ..fakes import make_core, make_exchange

SEALED = {"X-Request-Id": "q1", "X-Server-Seal": "s"}


class Answers:
    """Answers of one endpoint to requests that were sent at given times."""

    def __init__(self):
        self.core = make_core()
        self.table = EndpointTable()
        self.put(born_ms=1)
        self.reader = SignalReader(self.core, PlatformDialect(), self.table, LoadBook())

    def put(self, born_ms):
        ready = EndpointState.READY
        record = EndpointRecord("i-1", "llm", "a:1", "z", ready, 8, {}, born_ms)
        self.table.put(record, self.core.clock())

    @property
    def row(self):
        return self.table.rows["i-1"]

    def take(self, sent_s, status=200, row=None, **named):
        values = {name.replace("_", "-"): value for name, value in named.items()}
        headers = CIMultiDictProxy(CIMultiDict(SEALED | values))
        exchange = make_exchange("q1")
        self.reader.note(exchange, row or self.row, status, headers, sent_s)


@pytest.fixture
def answers():
    return Answers()


def test_a_limit_is_known_once_an_answer_names_it(answers):
    answers.take(99.9, Server_Limit="1.5")
    assert answers.row.limit.rate_per_s == 1.5


def test_an_answer_without_a_limit_lifts_it(answers):
    answers.take(99.9, Server_Limit="1.5")
    answers.take(100.1)
    assert answers.row.limit.rate_per_s is None


def test_an_answer_to_an_earlier_request_does_not_lift_a_limit(answers):
    """Both were under way when the endpoint began to name its limit."""
    answers.take(99.9, Server_Limit="1.5")
    answers.take(99.8)
    assert answers.row.limit.rate_per_s == 1.5


@pytest.mark.parametrize("status", [404, 421, 500, 503])
def test_only_a_success_lifts_a_limit(answers, status):
    """A 421 may be of another endpoint, whose address is used again."""
    answers.take(99.9, Server_Limit="1.5")
    answers.take(100.1, status=status)
    assert answers.row.limit.rate_per_s == 1.5


def test_a_process_that_was_started_again_has_no_limit(answers):
    former = answers.row
    answers.take(99.9, Server_Limit="1.5")
    answers.put(born_ms=2)
    assert answers.row.limit.rate_per_s is None
    answers.take(99.9, row=former, Server_Limit="2")
    assert answers.row.limit.rate_per_s is None


def test_a_limit_that_can_not_be_read_changes_nothing(answers):
    answers.take(99.9, Server_Limit="1.5")
    answers.take(100.1, Server_Limit="soon")
    assert answers.row.limit.rate_per_s == 1.5


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_any_answer_may_say_that_its_endpoint_leaves(answers, status):
    answers.take(99.9, status=status, Server_Leaving="1")
    assert answers.row.is_leaving


def test_a_shorter_pause_does_not_end_a_longer_one(answers):
    answers.take(99.9, status=503, Retry_After="3")
    answers.take(99.9, status=503, Retry_After="0.5")
    assert answers.row.paused_until_s == 103.0


def test_a_success_does_not_end_a_pause(answers):
    answers.take(99.9, status=503, Retry_After="3")
    answers.take(100.1)
    assert answers.row.paused_until_s == 103.0
