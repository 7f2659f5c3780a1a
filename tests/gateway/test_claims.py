"""Idempotency claims: each key runs at most once, also under faults.

Randomized runs from fixed seeds inject table outages, lost and late writes and
gateway crashes.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from chutelink import steps
from chutelink.gateway import claims as claims_module
from chutelink.gateway.claims import ClaimManager, StoredAnswer, claim_key
from chutelink.gateway.refusals import Outcome, Refusal
from chutelink.store import transactions

from ..fakes import FakeTable, make_core

GATEWAYS = 3
KEYS = 5
REQUESTS = 60


class RandomizedRun:
    """Randomized run of concurrent requests.

    ``executions`` lists, by key, the requests that reached the service; ``outcomes``
    holds what each caller was told.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.table = FakeTable()
        self.executions: dict[str, list[int]] = {}
        self.outcomes: dict[int, str] = {}
        self.ended_processes: set[tuple[str, str]] = set()
        self.generation = 0
        self.managers = []
        self.tasks: set[asyncio.Task] = set()
        self.faults = 0

    async def async_run(self) -> None:
        for number in range(GATEWAYS):
            self.managers.append(await self.async_start_gateway(number))
        requests = [self.async_request(n) for n in range(REQUESTS)]
        await asyncio.gather(*requests)
        self.table.is_out = False
        self.table.deliver_late()
        for task in self.tasks:
            task.cancel()
        for manager in self.managers:
            await manager.stop()

    async def async_start_gateway(self, number: int) -> ClaimManager:
        self.generation += 1
        core = make_core(f"g{number}")
        core.boot_id = f"boot-{self.generation}"
        core.clock = asyncio.get_running_loop().time
        manager = ClaimManager(
            core,
            self.table,
            0.0,
            0.05,
            lambda gateway, boot: (gateway, boot) in self.ended_processes,
        )
        manager.number = number
        await manager.start()
        return manager

    def inject_fault(self) -> None:
        """Start or end a random fault."""
        choice = self.rng.randrange(9)
        self.faults += choice < 6
        if choice == 0:
            self.table.is_out = True
        elif choice == 1:
            self.table.lose_replies += 1
        elif choice == 2:
            self.table.late_writes += 1
        elif choice == 3:
            self.table.deliver_late()
        elif choice == 4:
            self.kill_gateway(self.rng.randrange(GATEWAYS))
        else:
            self.table.is_out = False

    def kill_gateway(self, number: int) -> None:
        manager = self.managers[number]
        self.ended_processes.add((manager._core.daemon_id, manager._core.boot_id))
        for task in list(self.tasks):
            if task.manager is manager:
                task.cancel()

        async def async_replace():
            self.managers[number] = await self.async_start_gateway(number)

        task = asyncio.ensure_future(async_replace())
        task.manager = None
        self.tasks.add(task)

    async def async_request(self, number: int) -> None:
        await asyncio.sleep(self.rng.random() * 0.2)
        manager = self.managers[self.rng.randrange(GATEWAYS)]
        task = asyncio.ensure_future(self.async_serve(manager, number))
        task.manager = manager
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.inject_fault()
        try:
            await asyncio.wait_for(asyncio.shield(task), 20)
        except asyncio.CancelledError:
            self.outcomes[number] = "gateway ended"

    async def async_serve(self, manager: ClaimManager, number: int) -> None:
        key = f"k{number % KEYS}"
        try:
            found = await manager.async_claim(claim_key("c", "POST /x", key), "same")
            if isinstance(found, StoredAnswer):
                self.outcomes[number] = "done"
                return
            if self.rng.random() < 0.15:
                self.outcomes[number] = "not-run"
                await manager.async_release(found)
                return
            await asyncio.sleep(self.rng.random() * 0.05)
            self.executions.setdefault(key, []).append(number)
            await asyncio.sleep(self.rng.random() * 0.05)
            if self.rng.random() < 0.2:
                self.outcomes[number] = "unknown"
                await manager.async_mark_unknown(found)
                return
            self.outcomes[number] = "done"
            await manager.async_finish(found, 200, "text/plain", key.encode())
        except Refusal as refusal:
            is_not_run = refusal.outcome is Outcome.NOT_RUN
            self.outcomes[number] = "not-run" if is_not_run else "unknown"

    def check(self) -> None:
        for key, runs in self.executions.items():
            assert len(runs) == 1, (key, runs)
        executed = {number for runs in self.executions.values() for number in runs}
        for number, outcome in self.outcomes.items():
            assert not (outcome == "not-run" and number in executed)
            if outcome == "done":
                assert f"k{number % KEYS}" in self.executions
        assert set(self.outcomes) == set(range(REQUESTS))


@pytest.mark.parametrize("seed", range(12))
def test_key_runs_at_most_once(seed, monkeypatch):
    monkeypatch.setattr(transactions, "SETTLE_PAUSE_S", 0.001)
    monkeypatch.setattr(claims_module, "SETTLE_RETRY_S", 0.01)
    monkeypatch.setattr(claims_module, "POLL_INTERVAL_S", 0.01)
    scenario = RandomizedRun(seed)
    asyncio.run(scenario.async_run())
    scenario.check()
    assert scenario.faults > 10


def test_different_request_with_same_key_is_refused():
    async def async_scenario():
        table = FakeTable()
        manager = ClaimManager(make_core(), table, 0.0, 0.1, lambda g, b: False)
        await manager.start()
        key = claim_key("c", "POST /x", "k")
        claim = await manager.async_claim(key, "one")
        await manager.async_finish(claim, 200, "text/plain", b"one")
        again = await manager.async_claim(key, "one")
        assert again.body == b"one"
        with pytest.raises(Refusal) as caught:
            await manager.async_claim(key, "two")
        assert caught.value.status == 422
        await manager.stop()

    asyncio.run(async_scenario())


def test_empty_answer_is_replayed_and_oversized_answer_conflicts():
    async def async_scenario():
        manager = ClaimManager(make_core(), FakeTable(), 0.0, 0.1, lambda g, b: False)
        await manager.start()
        key = claim_key("c", "POST /x", "empty")
        claim = await manager.async_claim(key, "h")
        await manager.async_finish(claim, 204, "text/plain", b"")
        again = await manager.async_claim(key, "h")
        assert (again.status, again.body) == (204, b"")
        key = claim_key("c", "POST /x", "large")
        claim = await manager.async_claim(key, "h")
        body = b"x" * (claims_module.MAX_STORED_BODY_BYTES + 1)
        await manager.async_finish(claim, 200, "text/plain", body)
        with pytest.raises(Refusal) as caught:
            await manager.async_claim(key, "h")
        assert caught.value.status == 409
        await manager.stop()

    asyncio.run(async_scenario())


def test_concurrent_claims_share_one_transaction():
    async def async_scenario():
        table = FakeTable()
        manager = ClaimManager(make_core(), table, 0.005, 0.1, lambda g, b: False)
        await manager.start()
        keys = [claim_key("c", "POST /x", f"k{n}") for n in range(20)]
        await asyncio.gather(*(manager.async_claim(key, "h") for key in keys))
        assert table.table.version == 1
        await manager.stop()

    asyncio.run(async_scenario())


def test_claims_of_a_flush_that_fails_unexpectedly_get_an_outcome(monkeypatch):
    """Their callers waited without end, and later claims were never written."""
    monkeypatch.setattr(steps, "FAILED_STEP_PAUSE_S", 0.01)

    class FailingTable(FakeTable):
        fails = True

        async def async_transact(self, transaction):
            if self.fails:
                raise RecursionError
            return await super().async_transact(transaction)

    async def async_test():
        run = RandomizedRun(1)
        run.table = FailingTable()
        manager = await run.async_start_gateway(0)
        async with asyncio.timeout(5):
            with pytest.raises(Refusal):
                await manager.async_claim("k1", "hash")
            run.table.fails = False
            await asyncio.sleep(0.05)
            assert await manager.async_claim("k2", "hash")
        await manager.stop()

    asyncio.run(async_test())
