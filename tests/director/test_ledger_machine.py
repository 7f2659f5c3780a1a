"""Stateful tests that an engine's memory is never overcommitted.

Overcommits are detected by the engine's own accounting, not by the ledger. Two
directors share one endpoint. Orders are lost, answered late or delivered after
their sender lost the lease, replies to writes are lost, and the engine restarts.
An order is sent on a connection to one engine process, so a restart drops all
orders in transit.
"""

from __future__ import annotations

import asyncio
from enum import Enum

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from chutelink.const import PREFIX_LEASE_TERM, PREFIX_LEDGER, PREFIX_STATE
from chutelink.director.orders import OrderExecutor
from chutelink.exceptions import (
    ChutelinkError,
    EndpointFailed,
    EndpointUnreachable,
    LeaseNotHeld,
)
from chutelink.fleet import ArtifactKind, parse_fleet
from chutelink.ids import WriteId
from chutelink.store import Transaction, Write, transactions
from chutelink.systems.reconcile import ReconcileInput, next_action
from chutelink.tables.endpoints import ArtifactState
from chutelink.tables.ledger import Claim, ClaimState, LedgerRow
from chutelink.tables.state import StateTable
from standins.engine import Engine, EngineOptions

from ..fakes import FakeTable, make_core

MEMORY_MB = 100
ACCELERATORS = 1
FLEET = """\
[failure_domain a]
[endpoint e]
url = http://127.0.0.1:1
failure_domain = a
vm = v
memory_mb = 100
checks_fencing = {checks}
[endpoint spare]
url = http://127.0.0.1:2
failure_domain = a
vm = w
memory_mb = 1000
accelerators = 2
[model first]
memory_mb = 60
[model second]
memory_mb = 60
[model small]
memory_mb = 30
[adapter small-x]
model = small
memory_mb = 8
"""
MODELS = ("first", "second", "small")


class Fault(Enum):
    NONE = "none"
    LOSE_ORDER = "lose order"
    LOSE_ANSWER = "lose answer"
    LATE = "late"
    UNREACHABLE = "unreachable"
    LOSE_WRITE_REPLY = "lose write reply"


class FakeClient:
    """Sends orders to an engine and injects the current fault."""

    def __init__(self, machine) -> None:
        self._machine = machine

    async def async_order(self, spec, order, timeout_s):
        machine, fault = self._machine, self._machine.fault
        if fault is Fault.UNREACHABLE:
            raise EndpointUnreachable("refused", step="endpoint.order")
        if fault is Fault.LOSE_ORDER:
            raise EndpointFailed("lost", step="endpoint.order")
        if fault is Fault.LATE:
            machine.delayed.append(order)
            raise EndpointFailed("no answer", step="endpoint.order")
        answer = machine.engine.apply_order(order)
        machine.delivered.append(order)
        if fault is Fault.LOSE_ANSWER:
            raise EndpointFailed("no answer", step="endpoint.order")
        return answer


class FakeLeases:
    """Lease state as seen by one director, which may be outdated."""

    def __init__(self, machine, number: int) -> None:
        self._machine = machine
        self.number = number
        self.assumes_held = False
        self.term_version = 0

    def check_held(self, name, step):
        if not self.assumes_held:
            raise LeaseNotHeld("not held", step=step)
        return self.term_version

    def lose(self, name):
        self.assumes_held = False


class LedgerMachine(RuleBasedStateMachine):
    checks_fencing = True

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        text = FLEET.format(checks=str(self.checks_fencing).lower())
        self.fleet = parse_fleet(text).unwrap()
        self.spec = self.fleet.endpoints["e"]
        self.table = FakeTable()
        self.fault = Fault.NONE
        self.delayed = []
        self.delivered = []
        self.directors = []
        self.desired = frozenset()
        self.overcommits = []
        self.start_engine()

    def start_engine(self):
        async def async_fetch(memory_mb):
            return None

        options = EngineOptions(
            ACCELERATORS, MEMORY_MB, 4, 0.0, 1000.0, self.checks_fencing, 0.0
        )
        self.engine = Engine(options, async_fetch)
        self.delayed.clear()
        self.delivered.clear()

    @initialize()
    def start_directors(self):
        for number in range(2):
            state = StateTable()
            leases = FakeLeases(self, number)
            core = make_core(f"d{number}")
            client = FakeClient(self)
            executor = OrderExecutor(core, self.table, client, leases, state, 1.0)
            self.directors.append((leases, state, executor))
        self.take_over(0)

    def teardown(self):
        self.loop.close()

    @rule(number=st.integers(0, 1))
    def take_over(self, number):
        """Give the lease to a director without informing the previous holder."""
        key = PREFIX_LEASE_TERM + "a"
        transaction = Transaction(WriteId("t"), (), (Write(key, {"n": number}),))
        leases = self.directors[number][0]
        leases.term_version = self.table.table.commit(transaction)
        leases.assumes_held = True
        self.holder = number

    def plan(self, desired):
        self.desired = frozenset(desired)

    @rule(
        name=st.sampled_from(MODELS),
        fault=st.sampled_from([*Fault, Fault.LATE, Fault.LATE]),
        clean_steps=st.integers(0, 2),
    )
    def change_plan_with_fault(self, name, fault, clean_steps):
        """Plan a single model and inject a fault into one of the steps."""
        number = self.holder
        self.steps_without_faults(number)
        self.plan({name})
        for _ in range(clean_steps):
            self.step(number, Fault.NONE)
        self.step(number, fault)
        self.steps_without_faults(number)

    @rule(number=st.integers(0, 1), fault=st.sampled_from(Fault))
    def step(self, number, fault):
        """One director reads the table, applies a new report and runs an action."""
        self.fault = fault
        self.loop.run_until_complete(self.async_step(number))

    def steps_without_faults(self, number):
        self.fault = Fault.NONE
        for _ in range(6):
            self.loop.run_until_complete(self.async_step(number))

    async def async_step(self, number):
        leases, state, executor = self.directors[number]
        if self.fault is Fault.LOSE_WRITE_REPLY:
            self.table.lose_replies = 1
        try:
            page = await self.table.async_read(PREFIX_STATE)
            for row in page.rows:
                state.put_row(row)
            if "e" not in state.ledger:
                await executor.async_create_row(self.spec)
                return
            await asyncio.sleep(0)
            report = self.engine.report()
            await executor.async_apply_report(self.spec, report)
            row = state.ledger["e"].row
            inputs = ReconcileInput(
                row=row,
                report=report,
                fleet=self.fleet,
                desired=self.desired,
                ledger={"e": row, "spare": self.spare_row()},
                usable=frozenset({"e", "spare"}),
                due=frozenset(c.artifact for c in row.claims),
            )
            action = next_action(inputs)
            if action is not None:
                # The table of this test does not contain the guard's row.
                action = type(action)(
                    **{
                        f: getattr(action, f)
                        for f in action.__struct_fields__
                        if f != "guard"
                    }
                )
                await executor.async_execute(self.spec, action, report.boot_id)
        except ChutelinkError:
            state.version = 0
        finally:
            self.table.lose_replies = 0

    def spare_row(self):
        """Return a row that holds all artifacts, so that any unload is allowed."""
        names = [m.artifact for m in self.fleet.models.values()]
        names += [a.artifact for a in self.fleet.adapters.values()]
        claims = tuple(
            Claim(a, ArtifactKind.MODEL, (0,), 1, ClaimState.LOADED, 1) for a in names
        )
        return LedgerRow("spare", 2, 1000, 1, claims)

    @precondition(lambda self: self.delayed)
    @rule()
    def deliver_delayed(self):
        while self.delayed:
            self.deliver_to_engine(self.delayed.pop(0))

    @rule(is_busy=st.booleans())
    def change_requests(self, is_busy):
        """Start or end requests; an artifact stays in memory while it has any."""
        for artifact, resident in list(self.engine.resident_artifacts.items()):
            resident.running = int(is_busy)
            self.engine._free_if_drained(artifact)

    @precondition(lambda self: self.checks_fencing and self.delivered)
    @rule(data=st.data())
    def deliver_again(self, data):
        """Deliver an order twice; only engines that check fencing can reject it."""
        index = data.draw(st.integers(0, len(self.delivered) - 1))
        self.deliver_to_engine(self.delivered[index])

    def deliver_to_engine(self, order):
        async def async_deliver():
            self.engine.apply_order(order)

        self.loop.run_until_complete(async_deliver())

    @precondition(lambda self: self.engine.stats.orders > 8)
    @rule()
    def restart_engine(self):
        self.overcommits += self.engine.stats.overcommits
        self.start_engine()

    @invariant()
    def engine_memory_is_not_overcommitted(self):
        assert self.overcommits + self.engine.stats.overcommits == []
        assert max(self.engine.used_mb()) <= MEMORY_MB

    @invariant()
    def ledger_claims_fit_memory(self):
        for row in self.table.table.read(PREFIX_LEDGER, 0).rows:
            used = {}
            for claim in row.value["claims"]:
                for index in claim["accelerators"]:
                    used[index] = used.get(index, 0) + claim["memory_mb"]
            assert all(total <= MEMORY_MB for total in used.values())


class UnfencedLedgerMachine(LedgerMachine):
    checks_fencing = False


@pytest.mark.parametrize("machine", [LedgerMachine, UnfencedLedgerMachine])
def test_memory_is_never_overcommitted(machine, monkeypatch):
    monkeypatch.setattr(transactions, "SETTLE_PAUSE_S", 0.0)
    run_state_machine_as_test(
        machine, settings=settings(max_examples=200, stateful_step_count=30)
    )


def test_plan_is_reached_after_faults_end():
    machine = LedgerMachine()
    machine.start_directors()
    machine.plan({"first", "small"})
    for fault in Fault:
        machine.step(0, fault)
    for _ in range(4):
        machine.steps_without_faults(0)
    loaded = {
        a.name
        for a, h in machine.engine.resident_artifacts.items()
        if h.state is ArtifactState.LOADED
    }
    assert loaded == {"first", "small", "small-x"}
    machine.teardown()
