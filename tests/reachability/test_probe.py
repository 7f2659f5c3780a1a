"""Probes whose negative results are verified."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.quarantine.probe import EndingProbe, ProbeResult
from chutelink.reachability.probe import VerifiedProbe


class FixedProbe(EndingProbe):
    def __init__(self, result: ProbeResult) -> None:
        self._result = result

    async def async_probe(self, address: str) -> ProbeResult:
        return self._result


@pytest.mark.parametrize("is_partitioned", [False, True])
@pytest.mark.parametrize("result", list(ProbeResult), ids=lambda result: result.value)
def test_only_refusals_of_partitioned_daemons_count_as_silence(result, is_partitioned):
    checked = []

    async def async_is_partitioned(address: str) -> bool:
        checked.append(address)
        return is_partitioned

    probe = VerifiedProbe(FixedProbe(result), async_is_partitioned)
    is_refused = result is ProbeResult.REFUSED
    expected = ProbeResult.SILENT if is_refused and is_partitioned else result
    assert asyncio.run(probe.async_probe("a:1")) is expected
    assert bool(checked) is is_refused


def test_refusal_before_the_end_of_a_partition_is_not_counted():
    class HealedProbe(EndingProbe):
        results = iter([ProbeResult.REFUSED, ProbeResult.ACCEPTED])

        async def async_probe(self, address: str) -> ProbeResult:
            return next(self.results)

    async def async_is_partitioned(address: str) -> bool:
        return False

    probe = VerifiedProbe(HealedProbe(), async_is_partitioned)
    assert asyncio.run(probe.async_probe("a:1")) is ProbeResult.ACCEPTED
