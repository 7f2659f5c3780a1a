"""Endpoint probes whose negative results are verified at other endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..quarantine.probe import EndingProbe, ProbeResult


class VerifiedProbe(EndingProbe):
    """Treats a refused connection as no answer while this daemon is partitioned.

    Parameters
    ----------
    probe : EndingProbe
        Probes the address.
    async_is_partitioned : callable
        Returns whether this daemon reaches no endpoint, after a failure at an address.
    """

    def __init__(
        self,
        probe: EndingProbe,
        async_is_partitioned: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._probe = probe
        self._async_is_partitioned = async_is_partitioned

    async def async_probe(self, address: str) -> ProbeResult:
        """Return the result of a connection attempt to an address."""
        result = await self._probe.async_probe(address)
        if result is not ProbeResult.REFUSED:
            return result
        if await self._async_is_partitioned(address):
            return ProbeResult.SILENT
        # A partition may have ended between the probe and the check.
        return await self._probe.async_probe(address)
