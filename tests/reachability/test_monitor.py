"""Detection of partitions, with probes whose results the test sets."""

from __future__ import annotations

import asyncio

from chutelink.entry.endpoints import EndpointRecord, EndpointState, EndpointTable
from chutelink.ids import EndpointId, FailureDomainName, ServiceName
from chutelink.learning.health import HealthTable
from chutelink.quarantine.probe import EndingProbe, ProbeResult
from chutelink.reachability.const import MAX_PROBED_ENDPOINTS, RECOVERY_PROBE_PERIOD_S
from chutelink.reachability.monitor import PartitionMonitor

from ..fakes import make_core

FAILED = "10.0.0.0:80"


class FakeProbe(EndingProbe):
    """Returns the results set for addresses, and REFUSED for all others."""

    def __init__(self) -> None:
        self.results: dict[str, ProbeResult] = {}
        self.probed: list[str] = []

    async def async_probe(self, address: str) -> ProbeResult:
        self.probed.append(address)
        await asyncio.sleep(0)
        return self.results.get(address, ProbeResult.REFUSED)


def make_monitor(endpoints: int) -> tuple[PartitionMonitor, FakeProbe]:
    core = make_core()
    table = EndpointTable()
    for number in range(endpoints):
        record = EndpointRecord(
            EndpointId(f"i-{number}"),
            ServiceName("plain"),
            f"10.0.0.{number}:80",
            FailureDomainName("zone-a"),
            EndpointState.READY,
            8,
            {},
        )
        table.put(record, core.clock())
    probe = FakeProbe()
    return PartitionMonitor(core, table, HealthTable(), probe), probe


def test_one_accepting_endpoint_rules_out_a_partition():
    async def async_test():
        monitor, probe = make_monitor(6)
        probe.results["10.0.0.5:80"] = ProbeResult.ACCEPTED
        assert not await monitor.async_check(FAILED)
        assert not monitor.is_partitioned
        assert FAILED not in probe.probed

    asyncio.run(async_test())


def test_partition_ends_once_an_endpoint_accepts():
    async def async_test():
        monitor, probe = make_monitor(3)
        changes = []
        monitor.on_changed = lambda: changes.append(monitor.is_partitioned)
        assert await monitor.async_check(FAILED)
        probe.results["10.0.0.1:80"] = ProbeResult.ACCEPTED
        async with asyncio.timeout(5):
            while monitor.is_partitioned:
                await asyncio.sleep(0.01)
        assert changes == [True, False]
        await monitor.async_close()

    asyncio.run(async_test())


def test_recovery_goes_on_after_a_probe_that_raises():
    """Otherwise the daemon took itself for partitioned until it was restarted."""

    async def async_test():
        monitor, probe = make_monitor(3)
        assert await monitor.async_check(FAILED)
        async_probe, probe.async_probe = probe.async_probe, None
        await asyncio.sleep(1.5 * RECOVERY_PROBE_PERIOD_S)
        probe.async_probe = async_probe
        probe.results["10.0.0.1:80"] = ProbeResult.ACCEPTED
        async with asyncio.timeout(5):
            while monitor.is_partitioned:
                await asyncio.sleep(0.01)
        await monitor.async_close()

    asyncio.run(async_test())


def test_concurrent_failures_share_a_bounded_check():
    async def async_test():
        monitor, probe = make_monitor(40)
        checks = (monitor.async_check(FAILED) for _ in range(20))
        assert all(await asyncio.gather(*checks))
        assert len(probe.probed) == MAX_PROBED_ENDPOINTS
        await monitor.async_close()

    asyncio.run(async_test())


def test_single_endpoint_that_fails_is_no_partition():
    async def async_test():
        monitor, _ = make_monitor(1)
        assert not await monitor.async_check(FAILED)

    asyncio.run(async_test())
