"""Grants that daemons request from the lease holder, one test per failure."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chutelink.coldstart import grants
from chutelink.coldstart.const import COLD_ARRIVAL_MARGIN_S, COLD_WINDOW_S
from chutelink.coldstart.messages import ColdGrantAnswer

from ..rates import max_events_in_window
from ..virtual_time import run_in_virtual_time
from .cold_fleet import COLD, RECORD, ColdFleet

FOREVER = (0.0, 1e9)


async def async_send(fleet, name, rng, phase_s, end_s, arrived_s):
    """Send requests with grants, early or as late as allowed in turns.

    A late phase followed by an early one brings most requests close together.
    """
    loop = asyncio.get_running_loop()
    daemon = fleet.daemons[name]
    while loop.time() < end_s:
        await asyncio.sleep(rng.choice([0.005, 0.03]))
        send_before_s = await daemon.grants.async_request(daemon.row)
        if send_before_s is None:
            continue
        is_late = loop.time() // phase_s % 2 == 0
        if is_late:
            # Some daemons are suspended for longer than the grant is valid.
            left_s = send_before_s - loop.time() - 1e-4
            await asyncio.sleep(left_s if rng.random() < 0.9 else 0.5)
        if loop.time() <= send_before_s:
            arrived_s.append(loop.time() + is_late * COLD_ARRIVAL_MARGIN_S)


@settings(max_examples=20, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    terms_s=st.lists(st.floats(0.3, 4.0), min_size=1, max_size=4),
    phase_s=st.floats(0.3, 1.5),
)
def test_no_second_gets_more_than_the_limit(seed, terms_s, phase_s):
    """Over lease changes, lost and late answers, and suspended daemons."""
    rng = random.Random(seed)
    arrived_s: list[float] = []

    async def async_test():
        fleet = ColdFleet("abcd")
        fleet.daemons["a"].lease.terms.append((0.0, 101.0))
        now_s = 101.0
        for number, term_s in enumerate(terms_s):
            start_s, now_s = now_s + 0.001, now_s + term_s
            fleet.daemons["ba"[number % 2]].lease.terms.append((start_s, now_s))
        for daemon in fleet.daemons.values():
            daemon.grants.holder = lambda: rng.choice("ab")
        fleet.is_lost = lambda message: rng.random() < 0.03
        # A suspended daemon handles an answer before it notices the timeout.
        fleet.delay_s = lambda message: rng.choice([0.002] * 20 + [0.15, 0.6])
        senders = (
            async_send(fleet, name, rng, phase_s, now_s, arrived_s)
            for name in "abcd" * 4
        )
        await asyncio.gather(*senders)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(grants, "PERMIT_TIMEOUT_S", 5.0)
        run_in_virtual_time(async_test())
    assert max_events_in_window(arrived_s, 1.0) <= COLD.cold_per_s


def run_with_fleet(async_check):
    """Run a check with a fleet whose daemon ``a`` has held the lease for long."""

    async def async_test():
        fleet = ColdFleet()
        fleet.daemons["a"].lease.terms.append(FOREVER)
        await async_check(fleet, fleet.daemons["a"], fleet.daemons["b"])

    run_in_virtual_time(async_test())


async def async_verdicts(daemon, count):
    return [await daemon.async_verdict() for _ in range(count)]


def test_lost_answers_count_as_grants():
    """A grant whose answer is late would otherwise be used beside its replacement."""

    async def async_check(fleet, holder, other):
        fleet.is_lost = lambda message: isinstance(message, ColdGrantAnswer)
        for _ in range(13):
            other.grants._paused_until_s = 0.0
            assert await other.async_verdict() == "no_answer"
        assert await holder.async_verdict() == "window_full"

    run_with_fleet(async_check)


def test_new_lease_holder_waits_for_the_grants_of_the_previous_one():
    async def async_check(fleet, holder, other):
        start_s = asyncio.get_running_loop().time()
        holder.lease.terms = [(start_s, 1e9)]
        assert await other.async_verdict() == "term_too_new"
        assert other.row.cold.next_request_s >= start_s + COLD_WINDOW_S
        await asyncio.sleep(COLD_WINDOW_S)
        assert await other.async_verdict() == "granted"

    run_with_fleet(async_check)


def test_no_grant_without_a_current_and_linked_holder():
    async def async_check(fleet, holder, other):
        other.grants.holder = lambda: "c"
        assert await other.async_verdict() == "not_holder"
        other.grants.holder = lambda: None
        assert await other.async_verdict() == "no_holder"
        other.grants.holder, other.grants.linked = (lambda: "a"), set
        assert await other.async_verdict() == "no_holder"
        assert other.row.cold.likely_s == other.row.cold.ends_s(COLD.cold_s)
        # A silent holder isn't asked again for the next endpoint.
        other.grants.linked, sent = (lambda: {"a"}), len(fleet.sent)
        fleet.is_lost = lambda message: True
        assert await async_verdicts(other, 2) == ["no_answer", "no_holder"]
        assert len(fleet.sent) == sent + 1
        # The holder was suspended for longer than its lease lasted.
        holder.lease.terms = [(0.0, 1.0)]
        assert await holder.async_verdict() == "not_holder"

    run_with_fleet(async_check)


def test_grant_is_discarded_if_the_daemon_was_suspended():
    """The answer is handled before the timeout that became due as well."""

    async def async_check(fleet, holder, other):
        fleet.delay_s = lambda message: 0.15
        assert await other.async_verdict() == "expired"

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(grants, "PERMIT_TIMEOUT_S", 5.0)
        run_with_fleet(async_check)


def test_restart_raises_the_rate_neither_for_the_new_nor_for_the_old_process():
    """Requests with grants for the old process arrive at the new one."""

    async def async_check(fleet, holder, other):
        assert await async_verdicts(holder, 13) == ["granted"] * 13
        other.register(RECORD, born_ms=2)
        assert await other.async_verdict() == "window_full"
        await asyncio.sleep(COLD_WINDOW_S + 0.01)
        assert await async_verdicts(other, 1) == ["granted"]
        assert await holder.async_verdict() == "outdated_process"

    run_with_fleet(async_check)


def test_lower_of_both_configurations_limits_grants():
    async def async_check(fleet, holder, other):
        other.services = {"s": msgspec.structs.replace(COLD, cold_per_s=99.0)}
        assert (await async_verdicts(other, 14))[-1] == "window_full"
        await asyncio.sleep(COLD_WINDOW_S + 0.01)
        other.services = {"s": msgspec.structs.replace(COLD, cold_per_s=2.9)}
        assert (await async_verdicts(other, 3))[1:] == ["granted", "window_full"]

    run_with_fleet(async_check)


def test_windows_of_ended_endpoints_are_removed():
    async def async_check(fleet, holder, other):
        for number in range(50):
            record = msgspec.structs.replace(RECORD, id=f"e-{number}")
            holder.table.put(record, 0.0)
            await holder.grants.async_request(holder.table.rows[record.id])
            await asyncio.sleep(0.5)
        assert len(holder.grants.granter._windows) <= 4

    run_with_fleet(async_check)
