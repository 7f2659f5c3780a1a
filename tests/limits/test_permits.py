"""Tests for permits that daemons request from each other, in virtual time."""

from __future__ import annotations

import asyncio
import random

import pytest

from chutelink.ids import DaemonId
from chutelink.limits.const import BURST_S, PERMIT_RETRY_PAUSE_S, PERMIT_TIMEOUT_S
from chutelink.limits.messages import PermitRequest
from chutelink.limits.permits import PermitManager

from ..fakes import make_core
from ..rates import LIMIT_WINDOW_S, max_events_in_window, max_requests_in_window
from ..virtual_time import run_in_virtual_time

DELAY_S = 0.002


class Fleet:
    """Permit managers of several daemons, connected by links with a delay."""

    def __init__(self, size: int) -> None:
        self.names = {DaemonId(f"d{number}") for number in range(size)}
        self.unreachable: set[DaemonId] = set()
        self.managers = {name: self._make_manager(name) for name in sorted(self.names)}
        self.sent_s: list[float] = []

    def _make_manager(self, name: DaemonId) -> PermitManager:
        core = make_core(name)
        core.clock = asyncio.get_running_loop().time
        manager = PermitManager(core)
        manager.serving = lambda: self.names
        manager.linked = lambda: self.names - {name}
        manager.send = self._send
        return manager

    def restart(self, name: DaemonId) -> None:
        self.managers[name] = self._make_manager(name)

    def _send(self, to: DaemonId, message) -> None:
        if to in self.unreachable:
            return
        manager = self.managers[to]
        is_request = isinstance(message, PermitRequest)
        take = manager.handle_request if is_request else manager.handle_answer
        asyncio.get_running_loop().call_later(DELAY_S, take, message)

    async def async_overload(self, name, limit_per_s, end_s, rng, max_delay_s=0.3):
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            await asyncio.sleep(rng.expovariate(20.0))
            permit = await self.managers[name].async_request_permit(
                "i-1", 1, limit_per_s, max_delay_s
            )
            if permit.is_granted:
                loop.call_later(permit.delay_s, self._note_sent)

    def _note_sent(self) -> None:
        self.sent_s.append(asyncio.get_running_loop().time())


async def async_overload_all(fleet, limit_per_s, duration_s, seed):
    end_s = asyncio.get_running_loop().time() + duration_s
    loads = (
        fleet.async_overload(name, limit_per_s, end_s, random.Random(f"{seed} {name}"))
        for name in sorted(fleet.names)
    )
    await asyncio.gather(*loads)


@pytest.mark.parametrize("size", [1, 2, 8, 64])
@pytest.mark.parametrize("limit_per_s", [0.5, 1.0, 7.5, 40.0])
def test_all_daemons_together_respect_and_use_the_limit(size, limit_per_s):
    async def async_test():
        fleet = Fleet(size)
        await async_overload_all(fleet, limit_per_s, 12.0, seed=size)
        max_sent = max_events_in_window(fleet.sent_s, LIMIT_WINDOW_S)
        burst = 1 + max(0.0, BURST_S * limit_per_s - 1)
        assert max_sent <= limit_per_s * LIMIT_WINDOW_S + burst + 1
        offered = min(limit_per_s, 15.0 * size)
        assert len(fleet.sent_s) >= 0.8 * offered * 12.0 - 2

    run_in_virtual_time(async_test())


@pytest.mark.parametrize("seed", range(4))
def test_limit_holds_while_daemons_disagree_on_serving_daemons(seed):
    """Half of the fleet doesn't know a daemon yet that has just joined."""

    async def async_test():
        fleet = Fleet(8)
        joined = fleet.managers["d0"].pacing_daemon("i-1")
        for name in sorted(fleet.names)[:4]:
            fleet.managers[name].serving = lambda: fleet.names - {joined}
        await async_overload_all(fleet, 1.0, 12.0, seed)
        max_sent = max_events_in_window(fleet.sent_s, LIMIT_WINDOW_S)
        assert max_sent <= max_requests_in_window(1.0)

    run_in_virtual_time(async_test())


def test_restart_of_the_pacing_daemon_allows_no_burst():
    async def async_test():
        fleet = Fleet(8)
        pacing = fleet.managers["d0"].pacing_daemon("i-1")
        loop = asyncio.get_running_loop()
        for number in range(6):
            loop.call_later(1.5 + number, fleet.restart, pacing)
        await async_overload_all(fleet, 1.0, 12.0, seed=1)
        max_sent = max_events_in_window(fleet.sent_s, LIMIT_WINDOW_S)
        assert max_sent <= max_requests_in_window(1.0)

    run_in_virtual_time(async_test())


def test_no_permit_while_the_pacing_daemon_does_not_answer():
    async def async_test():
        fleet = Fleet(3)
        pacing = fleet.managers["d0"].pacing_daemon("i-1")
        requesting = min(fleet.names - {pacing})
        fleet.unreachable.add(pacing)
        started_s = asyncio.get_running_loop().time()
        permit = await fleet.managers[requesting].async_request_permit(
            "i-1", 1, 5.0, 0.3
        )
        assert not permit.is_granted
        assert permit.delay_s == pytest.approx(0.3 + PERMIT_RETRY_PAUSE_S)
        took_s = asyncio.get_running_loop().time() - started_s
        assert took_s == pytest.approx(PERMIT_TIMEOUT_S, abs=0.001)

    run_in_virtual_time(async_test())


def test_no_permit_without_a_link_to_the_pacing_daemon():
    async def async_test():
        fleet = Fleet(3)
        pacing = fleet.managers["d0"].pacing_daemon("i-1")
        requesting = min(fleet.names - {pacing})
        fleet.managers[requesting].linked = set
        permit = await fleet.managers[requesting].async_request_permit(
            "i-1", 1, 5.0, 0.3
        )
        assert not permit.is_granted

    run_in_virtual_time(async_test())


def test_daemon_that_knows_no_other_paces_by_itself():
    async def async_test():
        fleet = Fleet(1)
        manager = fleet.managers["d0"]
        manager.serving = set
        assert not (await manager.async_request_permit("i-1", 1, 5.0, 0.0)).is_granted
        await asyncio.sleep(1.0)
        assert (await manager.async_request_permit("i-1", 1, 5.0, 0.0)).is_granted

    run_in_virtual_time(async_test())


def test_new_process_of_an_endpoint_gets_a_new_pacer():
    async def async_test():
        fleet = Fleet(1)
        manager = fleet.managers["d0"]
        for _ in range(3):
            assert (await manager.async_request_permit("i-1", 1, 5.0, 1.0)).is_granted
        permit = await manager.async_request_permit("i-1", 2, 5.0, 1.0)
        assert permit.delay_s == pytest.approx(0.2, abs=0.001)

    run_in_virtual_time(async_test())


def test_limit_holds_while_daemons_disagree_on_a_restart():
    async def async_test():
        fleet = Fleet(1)
        manager = fleet.managers["d0"]
        granted = 0
        for number in range(200):
            await asyncio.sleep(0.02)
            permit = await manager.async_request_permit("i-1", number % 2, 2.0, 0.7)
            granted += permit.is_granted
        assert granted <= 2 * (2.0 * 4.0 + 2)

    run_in_virtual_time(async_test())


def test_no_permit_from_a_daemon_that_does_not_pace_the_endpoint():
    """The requesting daemon doesn't know a daemon yet that has just joined."""

    async def async_test():
        fleet = Fleet(3)
        pacing = fleet.managers["d0"].pacing_daemon("i-1")
        requesting, other = sorted(fleet.names - {pacing})
        fleet.managers[requesting].serving = lambda: {other}
        for _ in range(20):
            permit = await fleet.managers[requesting].async_request_permit(
                "i-1", 1, 5.0, 0.3
            )
            assert not permit.is_granted
            await asyncio.sleep(0.1)

    run_in_virtual_time(async_test())
