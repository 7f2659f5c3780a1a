"""Concurrent directors must not unload the last two replicas of a model.

Each unload is guarded by the other replica, so one of the writes must conflict.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from chutelink.const import PREFIX_LEASE_TERM, PREFIX_LEDGER, PREFIX_STATE
from chutelink.director.orders import OrderExecutor
from chutelink.endpoints.messages import OrderAnswer, OrderResult
from chutelink.exceptions import TransactionConflict
from chutelink.fleet import Artifact, ArtifactKind, parse_fleet
from chutelink.ids import BootId, FencingNumber, WriteId
from chutelink.store import Transaction, Write
from chutelink.systems.reconcile import Action, ActionKind
from chutelink.tables.endpoints import ArtifactState, EndpointReport, ReportedArtifact
from chutelink.tables.ledger import Claim, ClaimState, LedgerRow
from chutelink.tables.state import StateTable

from ..fakes import FakeTable, make_core

FLEET = parse_fleet(
    """\
[failure_domain a]
[failure_domain b]
[endpoint e1]
url = http://127.0.0.1:1
failure_domain = a
vm = v1
memory_mb = 100
[endpoint e2]
url = http://127.0.0.1:2
failure_domain = b
vm = v2
memory_mb = 100
[model m]
memory_mb = 60
"""
).unwrap()
MODEL = Artifact("m", "1")


def put_rows(table, state=ClaimState.LOADED):
    claim = Claim(MODEL, ArtifactKind.MODEL, (0,), 60, state, FencingNumber(1))
    writes = [
        Write(
            PREFIX_LEDGER + name,
            msgspec.to_builtins(LedgerRow(name, 1, 100, FencingNumber(1), (claim,))),
        )
        for name in ("e1", "e2")
    ]
    writes += [Write(PREFIX_LEASE_TERM + name, {}) for name in ("a", "b")]
    table.table.commit(Transaction(WriteId("w"), (), tuple(writes)))


def make_executor(table, sent):
    async def async_order(spec, order, timeout_s):
        sent.append((spec.name, order.action.value))
        return OrderAnswer(OrderResult.ACCEPTED)

    state = StateTable()
    for row in table.table.read(PREFIX_STATE, 0).rows:
        state.put_row(row)
    leases = SimpleNamespace(check_held=lambda name, step: table.table.version)
    client = SimpleNamespace(async_order=async_order)
    return OrderExecutor(make_core(), table, client, leases, state, 1.0)


def make_unload(name, guard):
    return Action(ActionKind.UNLOAD, name, MODEL, ArtifactKind.MODEL, (0,), 60, guard)


def test_concurrent_unloads_of_the_last_two_replicas_conflict():
    table, sent = FakeTable(), []
    put_rows(table)
    term_version = table.table.version
    # Both directors read the rows before either of them writes.
    executors = [make_executor(table, sent) for _ in range(2)]
    for executor in executors:
        executor._leases = SimpleNamespace(check_held=lambda name, step: term_version)

    async def async_scenario():
        boot_id = BootId("b")
        endpoints = FLEET.endpoints
        await executors[0].async_execute(
            endpoints["e1"], make_unload("e1", "e2"), boot_id
        )
        with pytest.raises(TransactionConflict):
            await executors[1].async_execute(
                endpoints["e2"], make_unload("e2", "e1"), boot_id
            )

    asyncio.run(async_scenario())
    assert sent == [("e1", "unload")]


def test_loaded_model_is_announced_before_the_ledger_row_is_written():
    """The replaced copy is unloaded only after the row is written."""
    table = FakeTable()
    put_rows(table, ClaimState.LOADING)
    term_version = table.table.version
    executor = make_executor(table, [])
    executor._leases = SimpleNamespace(check_held=lambda name, step: term_version)
    row = executor._state.ledger["e1"].row
    announced = []

    def record_announcement(name):
        announced.append((name, executor._state.ledger["e1"].row.holds(MODEL)))

    executor.on_loaded = record_announcement
    held = ReportedArtifact("m", "1", ArtifactState.LOADED, (0,), 60, FencingNumber(1))
    report = EndpointReport(row.boot_id, artifacts=(held,))
    asyncio.run(executor.async_apply_report(FLEET.endpoints["e1"], report))
    assert announced == [("e1", False)]
    assert executor._state.ledger["e1"].row.holds(MODEL)
