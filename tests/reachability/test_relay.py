"""Calls that a partitioned daemon sends to endpoints through its peers."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from chutelink.memory import FREE_BYTES, MemoryBudget
from standins.prepared_endpoint import CRASH_BODY, EndpointFaults, EndpointStandin

from ..entry.partitioned_fleet import (
    PartitionedFleet,
    PartitionKind,
    async_partitioned_fleet,
    run_in_partition_loop,
)


async def async_partition(fleet: PartitionedFleet, daemons: list[int]) -> None:
    """Partition daemons, and wait until they have noticed it."""
    for daemon in daemons:
        fleet.partition(daemon, PartitionKind.RESET)
        async with fleet.request(daemon, "/again/x", f"notice-{daemon}") as answer:
            await answer.read()

    async def async_is_noticed() -> bool:
        return all(fleet.apps[n].partition.is_partitioned for n in daemons)

    await fleet.async_until(async_is_noticed)


def runs_of(fleet: PartitionedFleet, request_id: str) -> int:
    return sum(e.runs.count(request_id) for e in fleet.machines.endpoints.values())


def test_relayed_response_is_the_endpoints_and_bears_no_relay_header(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            await async_partition(fleet, [0])
            async with fleet.request(0, "/once/x?y=%2F", "q1") as answer:
                assert answer.status == 200
                assert await answer.read() == b"done body"
            assert answer.headers["X-Server-Seal"].startswith("seal-i-plain")
            names = {name.lower() for name in answer.headers}
            endpoints = fleet.machines.endpoints.values()
            sent = [h for e in endpoints for h in e.received_headers]
            names |= {name.lower() for headers in sent for name in headers}
            assert not any(name.startswith("chutelink") for name in names)
            assert runs_of(fleet, "q1") == 1

    run_in_partition_loop(async_test)


def test_bodies_of_relayed_calls_share_the_memory_of_bodies(tmp_path):
    """A relay held up to 256 bodies of peers whose sum was not limited."""

    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            await async_partition(fleet, [0])
            body = b"a" * 2 * FREE_BYTES
            async with fleet.request(0, "/once/x", "q1", body) as answer:
                assert answer.status == 200
            for daemon in (1, 2):
                handler = fleet.apps[daemon].callers._relay_handler
                handler.body_memory = MemoryBudget(FREE_BYTES // 2, owner_share=1.0)
            async with fleet.request(0, "/once/x", "q2", body) as answer:
                assert answer.status == 503
            assert runs_of(fleet, "q2") == 0

    run_in_partition_loop(async_test)


def test_refusal_is_given_at_once_if_all_daemons_are_partitioned(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            await async_partition(fleet, [0, 1, 2])
            async with fleet.request(0, "/once/x", "q1") as answer:
                assert answer.status == 503
                assert float(answer.headers["Retry-After"]) > 0
            assert runs_of(fleet, "q1") == 0

    run_in_partition_loop(async_test)


def test_daemon_returns_to_direct_calls_after_a_partition(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            await async_partition(fleet, [0])
            fleet.heal(0)

            async def async_is_healed() -> bool:
                return not fleet.apps[0].partition.is_partitioned

            await fleet.async_until(async_is_healed)
            for app in fleet.apps.values():
                app.callers._relay_handler = None
            async with fleet.request(0, "/again/x", "q1") as answer:
                assert answer.status == 200

    run_in_partition_loop(async_test)


def test_non_idempotent_call_that_breaks_while_relayed_runs_once(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            await async_partition(fleet, [0])
            async with fleet.request(0, "/once/x", "q1", CRASH_BODY) as answer:
                assert answer.status == 502
            assert runs_of(fleet, "q1") == 1
            suspects = [len(app.quarantine.table) for app in fleet.apps.values()]
            assert any(suspects)

    run_in_partition_loop(async_test)


def test_stream_that_breaks_while_relayed_is_resumed(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            await async_partition(fleet, [0])
            engine = fleet.machines.endpoints["i-llm0"]
            engine.faults = msgspec.structs.replace(engine.faults, cut_after_events=3)
            headers = {"X_Model": "m0", "X_Token_Count": "10,6"}
            async with fleet.request(0, "/stream/x", "q1", **headers) as answer:
                body = await answer.read()
            ids = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
            assert ids == [b"id: %d" % number for number in range(1, 7)]

    run_in_partition_loop(async_test)


@pytest.mark.parametrize(
    "fault",
    [
        {"crash_unframed": 1},
        {"crash_unframed": 1, "unframed_events": 2},
    ],
)
def test_relayed_stream_without_a_length_that_is_cut_off_goes_on(tmp_path, fault):
    """Guards against relayed streams that end as complete when endpoints crash."""

    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            first = fleet.machines.endpoints["i-llm0"]
            second = EndpointStandin("i-llm2", "llm", {"m0": []}, 0.1)
            await fleet.async_add(second)
            engines = [first, second]
            await async_partition(fleet, [0])

            async def async_is_known() -> bool:
                return "i-llm2" in fleet.apps[0].known.endpoints.rows

            await fleet.async_until(async_is_known)

            def crash(endpoint: EndpointStandin) -> None:
                for engine in engines:
                    engine.faults = EndpointFaults()
                fleet.machines.crash(endpoint)

            for engine in engines:
                engine.faults = EndpointFaults(**fault)
                engine.on_crash = crash
            headers = {"X_Model": "m0", "X_Token_Count": "10,6"}
            async with fleet.request(0, "/stream/x", "q1", **headers) as answer:
                body = await answer.read()
            ids = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
            assert ids == [b"id: %d" % number for number in range(1, 7)]

    run_in_partition_loop(async_test)


def test_caller_that_leaves_ends_the_relayed_run(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            await async_partition(fleet, [0])
            headers = {"X_Model": "m0", "X_Token_Count": "10,400"}
            async with fleet.request(0, "/stream/x", "q1", **headers) as answer:
                await answer.content.readany()
                answer.close()

            async def async_is_cancelled() -> bool:
                return "q1" in fleet.machines.endpoints["i-llm0"].cancelled

            await fleet.async_until(async_is_cancelled)

    run_in_partition_loop(async_test)


def test_call_with_a_forged_ticket_is_not_sent(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path, daemons=1) as fleet:
            headers = {"Chutelink_Relay_Ticket": f"i-plain0 0 1 {'0' * 32}"}
            async with fleet.request(0, "/once/x", "q1", **headers) as answer:
                assert answer.status == 503
            assert runs_of(fleet, "q1") == 0

    run_in_partition_loop(async_test)


def test_endpoint_that_only_a_peer_reaches_is_called_through_it(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            engine = fleet.machines.endpoints["i-llm0"]
            port = int(engine.address.rpartition(":")[2])
            all_ports, fleet.loop.endpoint_ports = fleet.loop.endpoint_ports, {port}
            fleet.partition(0, PartitionKind.RESET)
            headers = {"X_Model": "m0", "X_Token_Count": "10,5"}
            for number in range(3):
                name = f"q{number}"
                async with fleet.request(0, "/stream/x", name, **headers) as answer:
                    assert answer.status == 200
                    assert b"id: 5" in await answer.read()
            assert not fleet.apps[0].partition.is_partitioned
            fleet.loop.endpoint_ports = all_ports
            await asyncio.sleep(0)

    run_in_partition_loop(async_test)
