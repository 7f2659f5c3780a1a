"""Injects silences, replaced endpoints and configuration changes."""

from __future__ import annotations

import asyncio
import base64
import json

from standins.prepared_endpoint import Successor
from tests.processes.entry_deployment import EntryDeployment

from .faults import (
    ENDPOINTS,
    ENGINES,
    FaultInjector,
    affected_answers,
    make_soak_config,
)
from .plan import Fault, FaultKind, SilenceSetup

DOMAIN = "zone-a"
"""The failure domain of all endpoints."""
MIN_IDLE_TIMEOUT_S = 1.0
MAX_IDLE_TIMEOUT_S = 20.0
MIN_OBJECTIVE_S = 0.3
"""Short enough for silences to exceed the time that callers wait for an event."""
MAX_OBJECTIVE_S = 0.8
MAX_ATTEMPTS = 3
MAX_UNFRAMED_EVENTS = 10
NESTING_DEPTH = 20_000
DIGITS = 400


def make_odd_row(strength: float, address: str) -> str:
    """Return a registration that no endpoint writes.

    Parameters
    ----------
    strength : float
        Number between 0 and 1 that selects the kind of the row.
    address : str
        IP address at which nothing listens, for rows with another fault.
    """
    row = {
        "service": "plain",
        "address": f"{address}:9",
        "zone": DOMAIN,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "models": [],
        "seq": 0,
    }
    models = [{"name": f"m{n}", "version": 1, "adapters": []} for n in range(4)]
    rows = (
        "[" * NESTING_DEPTH + "]" * NESTING_DEPTH,
        json.dumps(row | {"service": "llm", "models": models, "slots": "@"}).replace(
            '"@"', "9" * DIGITS
        ),
        json.dumps(row | {"address": f"{address}:0"}),
        json.dumps(row | {"address": f"{address}:70000"}),
        json.dumps(row | {"address": "999.0.0.1:80"}),
    )
    return rows[min(int(strength * len(rows)), len(rows) - 1)]


class SilenceFaultInjector(FaultInjector):
    """Injects the faults of a plan with silent endpoints.

    Parameters
    ----------
    deployment : EntryDeployment
        Deployment with a proxy in front of its store.
    daemons : int
        Number of daemons.
    silences : SilenceSetup
        Bounds of the timeouts.
    """

    def __init__(
        self, deployment: EntryDeployment, daemons: int, silences: SilenceSetup
    ) -> None:
        super().__init__(deployment, daemons)
        self._silences = silences
        self._configuration_lock = asyncio.Lock()
        self._idle_timeout_s = MAX_IDLE_TIMEOUT_S
        self._timeout_s = silences.max_timeout_s
        self._attempts = 2
        self._objective_s = MIN_OBJECTIVE_S
        self._odd_rows = 0
        self._handlers |= {
            FaultKind.ENDPOINT_SILENT: self._async_silence,
            FaultKind.ALL_ENDPOINTS_SILENT: self._async_silence,
            FaultKind.ENDPOINT_REPLACED: self._async_replace,
            FaultKind.ENDPOINT_REPLACED_BY_NEW_ID: self._async_replace,
            FaultKind.ENGINE_ENDS_EARLY: self._async_end_early,
            FaultKind.IDLE_TIMEOUT_CHANGED: self._async_change,
            FaultKind.ROUTE_TIMEOUT_CHANGED: self._async_change,
            FaultKind.ROUTE_CHANGED: self._async_change,
            FaultKind.ODD_ROW: self._async_write_odd_row,
        }

    async def async_prepare(self) -> None:
        """Slow the endpoints down, so that silences meet streams."""
        for name in ENDPOINTS:
            await self._deployment.async_set_endpoint(
                name, event_interval_s=self._silences.event_interval_s
            )

    async def _async_silence(self, fault: Fault) -> None:
        is_all = fault.kind is FaultKind.ALL_ENDPOINTS_SILENT
        target = DOMAIN if is_all else ENDPOINTS[fault.target % len(ENDPOINTS)]
        await self._deployment.async_control_store(
            f"silence/{target}?for_s={fault.for_s}"
        )

    async def _async_replace(self, fault: Fault) -> None:
        """Replace processes after the head, or some events, of their next answers."""
        is_new = fault.kind is FaultKind.ENDPOINT_REPLACED_BY_NEW_ID
        successor = Successor.NEW_ID if is_new else Successor.SAME_ID
        events = max(0, round((2 * fault.strength - 1) * MAX_UNFRAMED_EVENTS))
        await self._deployment.async_set_endpoint(
            ENDPOINTS[fault.target % len(ENDPOINTS)],
            crash_unframed=affected_answers(fault),
            unframed_events=events,
            successor=successor.value,
        )

    async def _async_end_early(self, fault: Fault) -> None:
        """Let an engine that goes on running close connections between two events."""
        await self._deployment.async_set_endpoint(
            ENGINES[fault.target % len(ENGINES)],
            end_unframed=affected_answers(fault),
            unframed_events=round(MAX_UNFRAMED_EVENTS * fault.strength),
        )

    async def _async_change(self, fault: Fault) -> None:
        if fault.kind is FaultKind.IDLE_TIMEOUT_CHANGED:
            range_s = MAX_IDLE_TIMEOUT_S - MIN_IDLE_TIMEOUT_S
            self._idle_timeout_s = MIN_IDLE_TIMEOUT_S + range_s * fault.strength
        elif fault.kind is FaultKind.ROUTE_TIMEOUT_CHANGED:
            range_s = self._silences.max_timeout_s - self._silences.min_timeout_s
            self._timeout_s = self._silences.min_timeout_s + range_s * fault.strength
        else:
            self._attempts = 1 + fault.target % MAX_ATTEMPTS
            range_s = MAX_OBJECTIVE_S - MIN_OBJECTIVE_S
            self._objective_s = MIN_OBJECTIVE_S + range_s * fault.strength
        # Concurrent writes could leave an older version in the store.
        async with self._configuration_lock:
            await self.async_configure(self.version + 1)

    def _make_config(self, version: int) -> dict:
        config = make_soak_config(version, None)
        config["limits"]["idle_timeout_ms"] = round(1000 * self._idle_timeout_s)
        for route in config["routes"]:
            route["timeout_ms"] = round(1000 * self._timeout_s)
            route["attempts"] = self._attempts
            route["slo_ms"] = round(1000 * self._objective_s)
        return config

    async def _async_write_odd_row(self, fault: Fault) -> None:
        self._odd_rows += 1
        key = f"i-odd{self._odd_rows}"
        row = make_odd_row(fault.strength, f"{self._deployment.subnet}.200")
        value = base64.b64encode(row.encode()).decode()
        await self._deployment.async_put_row("servers", key, value)
        await asyncio.sleep(fault.for_s)
        await self._deployment.async_remove_row("servers", key)
