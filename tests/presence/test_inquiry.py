"""Calls that ask endpoints whether they respond."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from chutelink.entry.endpoints import Endpoint
from chutelink.presence.check import Presence, PresenceCheck
from chutelink.presence.inquiry import MIN_INTERVAL_S, EndpointInquiry


class CountingCheck(PresenceCheck):
    """A check with a fixed result."""

    def __init__(self, result):
        self.result = result
        self.calls = 0

    async def async_check(self, record):
        self.calls += 1
        return self.result


def make_row():
    return Endpoint(SimpleNamespace(id="i-1", models={}, slots=1))


async def async_ask(check, row, *, times_s=(1.0,)):
    now_s = [0.0]
    inquiry = EndpointInquiry(check, lambda: now_s[0])
    for now_s[0] in times_s:
        inquiry.ask(row)
        inquiry.ask(row)
        await asyncio.sleep(0.01)
    return inquiry


def test_an_endpoint_is_asked_once_per_interval():
    check = CountingCheck(Presence.SAME)
    asyncio.run(async_ask(check, make_row(), times_s=(1.0, 1.2, 1.0 + MIN_INTERVAL_S)))
    assert check.calls == 2


def test_a_full_endpoint_that_rejections_may_crash_is_not_asked():
    """Guards against health checks that crash endpoints."""
    check, row = CountingCheck(Presence.SAME), make_row()
    row.max_rejections_per_s, row.requests = 1.0, 1
    asyncio.run(async_ask(check, row))
    assert not check.calls


@pytest.mark.parametrize(
    ("presence", "is_registered", "is_gone"),
    [
        (Presence.SAME, False, False),
        (Presence.UNKNOWN, True, False),
        (Presence.UNKNOWN, False, True),
        (Presence.REFUSED, True, True),
        (Presence.REPLACED, True, True),
    ],
)
def test_only_certain_ends_of_processes_count(presence, is_registered, is_gone):
    row = make_row()
    inquiry = asyncio.run(async_ask(CountingCheck(presence), row))
    assert inquiry.is_gone(row, 0.5, is_registered=is_registered) is is_gone
    assert not inquiry.is_gone(row, 1.5, is_registered=is_registered)
    assert inquiry.has_responded(row, 0.5) is (presence is Presence.SAME)
