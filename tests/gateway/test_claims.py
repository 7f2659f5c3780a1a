"""At most once, over many keys, gateways, faults and deaths, from fixed seeds."""

from __future__ import annotations

import asyncio
import random

import pytest

from chutelink.gateway import claims as claims_module
from chutelink.gateway.claims import ClaimKeeper, StoredAnswer, claim_key
from chutelink.gateway.refusals import Outcome, Refusal
from chutelink.store import transactions

from ..fakes import FakeTable, make_core

GATEWAYS = 3
KEYS = 5
REQUESTS = 60


class Trial:
    """One randomised run; the executions are what the service would count."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.table = FakeTable()
        self.executions: dict[str, list[int]] = {}
        self.told: dict[int, str] = {}
        self.dead: set[tuple[str, str]] = set()
        self.generation = 0
        self.keepers = []
        self.tasks: set[asyncio.Task] = set()
        self.faults = 0

    async def async_run(self) -> None:
        for number in range(GATEWAYS):
            self.keepers.append(await self.async_start(number))
        requests = [self.async_request(n) for n in range(REQUESTS)]
        await asyncio.gather(*requests)
        self.table.is_out = False
        self.table.deliver_late()
        for task in self.tasks:
            task.cancel()
        for keeper in self.keepers:
            await keeper.stop()

    async def async_start(self, number: int) -> ClaimKeeper:
        self.generation += 1
        core = make_core(f"g{number}")
        core.boot_id = f"boot-{self.generation}"
        core.clock = asyncio.get_running_loop().time
        keeper = ClaimKeeper(
            core,
            self.table,
            0.0,
            0.05,
            lambda gateway, boot: (gateway, boot) in self.dead,
        )
        keeper.number = number
        await keeper.start()
        return keeper

    def inject(self) -> None:
        """Switch a fault on or off at this moment."""
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
            self.kill(self.rng.randrange(GATEWAYS))
        else:
            self.table.is_out = False

    def kill(self, number: int) -> None:
        keeper = self.keepers[number]
        self.dead.add((keeper._core.daemon_id, keeper._core.boot_id))
        for task in list(self.tasks):
            if task.keeper is keeper:
                task.cancel()

        async def async_replace():
            self.keepers[number] = await self.async_start(number)

        task = asyncio.ensure_future(async_replace())
        task.keeper = None
        self.tasks.add(task)

    async def async_request(self, number: int) -> None:
        await asyncio.sleep(self.rng.random() * 0.2)
        keeper = self.keepers[self.rng.randrange(GATEWAYS)]
        task = asyncio.ensure_future(self.async_serve(keeper, number))
        task.keeper = keeper
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.inject()
        try:
            await asyncio.wait_for(asyncio.shield(task), 20)
        except asyncio.CancelledError:
            self.told[number] = "gateway died"

    async def async_serve(self, keeper: ClaimKeeper, number: int) -> None:
        key = f"k{number % KEYS}"
        try:
            found = await keeper.async_claim(claim_key("c", "POST /x", key), "same")
            if isinstance(found, StoredAnswer):
                self.told[number] = "done"
                return
            if self.rng.random() < 0.15:
                self.told[number] = "not-run"
                await keeper.async_release(found)
                return
            await asyncio.sleep(self.rng.random() * 0.05)
            self.executions.setdefault(key, []).append(number)
            await asyncio.sleep(self.rng.random() * 0.05)
            if self.rng.random() < 0.2:
                self.told[number] = "unknown"
                await keeper.async_mark_unknown(found)
                return
            self.told[number] = "done"
            await keeper.async_finish(found, 200, "text/plain", key.encode())
        except Refusal as refusal:
            is_not_run = refusal.outcome is Outcome.NOT_RUN
            self.told[number] = "not-run" if is_not_run else "unknown"

    def check(self) -> None:
        for key, runs in self.executions.items():
            assert len(runs) == 1, (key, runs)
        executed = {number for runs in self.executions.values() for number in runs}
        for number, told in self.told.items():
            assert not (told == "not-run" and number in executed)
            if told == "done":
                assert f"k{number % KEYS}" in self.executions
        assert set(self.told) == set(range(REQUESTS))


@pytest.mark.parametrize("seed", range(12))
def test_a_key_runs_at_most_once(seed, monkeypatch):
    monkeypatch.setattr(transactions, "SETTLE_PAUSE_S", 0.001)
    monkeypatch.setattr(claims_module, "SETTLE_RETRY_S", 0.01)
    monkeypatch.setattr(claims_module, "POLL_INTERVAL_S", 0.01)
    trial = Trial(seed)
    asyncio.run(trial.async_run())
    trial.check()
    assert trial.faults > 10


def test_another_request_with_the_same_key_is_refused():
    async def async_scenario():
        table = FakeTable()
        keeper = ClaimKeeper(make_core(), table, 0.0, 0.1, lambda g, b: False)
        await keeper.start()
        key = claim_key("c", "POST /x", "k")
        claim = await keeper.async_claim(key, "one")
        await keeper.async_finish(claim, 200, "text/plain", b"one")
        again = await keeper.async_claim(key, "one")
        assert again.body == b"one"
        with pytest.raises(Refusal) as caught:
            await keeper.async_claim(key, "two")
        assert caught.value.status == 422
        await keeper.stop()

    asyncio.run(async_scenario())


def test_an_empty_answer_is_replayed_and_one_too_large_is_said_to_be():
    async def async_scenario():
        keeper = ClaimKeeper(make_core(), FakeTable(), 0.0, 0.1, lambda g, b: False)
        await keeper.start()
        key = claim_key("c", "POST /x", "empty")
        claim = await keeper.async_claim(key, "h")
        await keeper.async_finish(claim, 204, "text/plain", b"")
        again = await keeper.async_claim(key, "h")
        assert (again.status, again.body) == (204, b"")
        key = claim_key("c", "POST /x", "large")
        claim = await keeper.async_claim(key, "h")
        body = b"x" * (claims_module.MAX_STORED_BODY_BYTES + 1)
        await keeper.async_finish(claim, 200, "text/plain", body)
        with pytest.raises(Refusal) as caught:
            await keeper.async_claim(key, "h")
        assert caught.value.status == 409
        await keeper.stop()

    asyncio.run(async_scenario())


def test_claims_of_one_moment_are_one_transaction():
    async def async_scenario():
        table = FakeTable()
        keeper = ClaimKeeper(make_core(), table, 0.005, 0.1, lambda g, b: False)
        await keeper.start()
        keys = [claim_key("c", "POST /x", f"k{n}") for n in range(20)]
        await asyncio.gather(*(keeper.async_claim(key, "h") for key in keys))
        assert table.table.version == 1
        await keeper.stop()

    asyncio.run(async_scenario())
