"""Collects this daemon's load and demand for its reports to other daemons."""

from __future__ import annotations

import asyncio
import functools
from collections import Counter, defaultdict

from ..coldstart.messages import ColdEndpoint
from ..eligibility.model import Homes
from ..ids import AdapterName, DaemonId, EndpointId, ModelName, RegionName
from ..limits.messages import EndpointLimit
from .endpoints import EndpointTable
from .messages import (
    EndpointLoad,
    HomeUsage,
    LeavingEndpoint,
    LoadReport,
    ModelUsage,
    PromptSizes,
    StreamCount,
)

_HomeKey = tuple[ModelName, AdapterName, frozenset[RegionName]]

RETURN_DELAY_MARGIN_S = 0.3
"""Allowance for the time that callers take to connect and send a retry."""
MAX_PREFIXES = 64
"""Maximum number of prompts in one message."""


class LoadTracker:
    """Collects arrivals, waiting requests and sent prompts between two reports."""

    def __init__(self) -> None:
        self._arrivals: dict[tuple[ModelName, AdapterName], int] = defaultdict(int)
        self._served: Counter[tuple[ModelName, AdapterName]] = Counter()
        self._work_s: dict[tuple[ModelName, AdapterName], float] = defaultdict(float)
        self.waiting: dict[tuple[ModelName, AdapterName], int] = defaultdict(int)
        self._patient: Counter[ModelName] = Counter()
        self._waiting_at_home: Counter[_HomeKey] = Counter()
        self._served_at_home: Counter[_HomeKey] = Counter()
        self._prefixes: list[tuple[EndpointId, list[int]]] = []
        self._prompt_sizes: list[PromptSizes] = []
        self._streams: Counter[EndpointId] = Counter()
        self._paused: Counter[EndpointId] = Counter()
        self._leaving: list[LeavingEndpoint] = []
        self._limits: dict[EndpointId, EndpointLimit] = {}
        self._cold: dict[EndpointId, ColdEndpoint] = {}
        self._reported: list[EndpointLoad] = []
        self._was_partitioned = False
        self.urgent = asyncio.Event()

    def note_arrival(
        self, model: ModelName, adapter: AdapterName, work_s: float
    ) -> None:
        """Count a request for a model or adapter."""
        self._arrivals[model, adapter] += 1
        self._work_s[model, adapter] += work_s

    def begin_wait(
        self,
        model: ModelName,
        adapter: AdapterName,
        *,
        is_patient: bool,
        homes: Homes = None,
    ) -> None:
        """Count a request that waits for its model or adapter; triggers a report.

        ``homes`` are its home regions; pass the same to ``end_wait``.
        """
        self.waiting[model, adapter] += 1
        if homes is not None:
            self._waiting_at_home[model, adapter, homes] += 1
        self._patient[model] += is_patient
        self.urgent.set()

    def extend_wait(
        self,
        model: ModelName,
        adapter: AdapterName,
        back_in_s: float,
        homes: Homes = None,
    ) -> None:
        """Keep counting a request as waiting until its caller is due to retry.

        Otherwise the model or adapter could be displaced before the retry arrives.
        """
        asyncio.get_running_loop().call_later(
            back_in_s + RETURN_DELAY_MARGIN_S,
            functools.partial(
                self.end_wait, model, adapter, is_patient=True, homes=homes
            ),
        )

    def end_wait(
        self,
        model: ModelName,
        adapter: AdapterName,
        *,
        is_patient: bool,
        homes: Homes = None,
    ) -> None:
        """Stop counting a request as waiting."""
        self.waiting[model, adapter] -= 1
        if homes is not None:
            self._waiting_at_home[model, adapter, homes] -= 1
        self._patient[model] -= is_patient

    def note_served(
        self, model: ModelName, adapter: AdapterName, homes: Homes = None
    ) -> None:
        """Count a request that an endpoint has answered."""
        self._served[model, adapter] += 1
        if homes is not None:
            self._served_at_home[model, adapter, homes] += 1

    def note_prompt(
        self,
        endpoint: EndpointId,
        chain: tuple[int, ...],
        sizes: PromptSizes | None = None,
    ) -> None:
        """Record which endpoint processes a prompt, and its sizes if they are used."""
        if len(self._prefixes) < MAX_PREFIXES:
            self._prefixes.append((endpoint, list(chain)))
            if sizes is not None:
                self._prompt_sizes.append(sizes)

    def note_stream(self, endpoint: EndpointId, *, is_paused: bool) -> None:
        """Count a completed stream, and whether it had a long pause."""
        self._streams[endpoint] += 1
        self._paused[endpoint] += is_paused

    def note_limit(self, limit: EndpointLimit, *, is_changed: bool) -> None:
        """Record an endpoint's limit from a response; a change triggers a report."""
        self._limits[limit.endpoint] = limit
        if is_changed:
            self.urgent.set()

    def note_leaving(self, leaving: LeavingEndpoint) -> None:
        """Record that an endpoint announced its shutdown; triggers a report."""
        self._leaving.append(leaving)
        self.urgent.set()

    def note_cold(self, cold: ColdEndpoint) -> None:
        """Record that an endpoint has become cold; triggers a report."""
        self._cold[cold.endpoint] = cold
        self.urgent.set()

    def _drain_cold(self) -> list[ColdEndpoint]:
        cold = list(self._cold.values())
        self._cold.clear()
        return cold

    def _drain_leaving(self) -> list[LeavingEndpoint]:
        leaving, self._leaving = self._leaving, []
        return leaving

    def _drain_limits(self) -> list[EndpointLimit]:
        limits = list(self._limits.values())
        self._limits.clear()
        return limits

    def _drain_streams(self) -> list[StreamCount]:
        counts = [
            StreamCount(endpoint, count, self._paused[endpoint])
            for endpoint, count in self._streams.items()
        ]
        self._streams.clear()
        self._paused.clear()
        return counts

    def _drain_homes(self) -> list[HomeUsage]:
        """Return the usage by requests with home regions.

        A key without waiting requests is reported once more, then dropped.
        """
        keys = self._waiting_at_home.keys() | self._served_at_home.keys()
        usages = [
            HomeUsage(
                key[0],
                key[1],
                tuple(sorted(key[2])),
                self._waiting_at_home[key],
                self._served_at_home[key],
            )
            for key in keys
        ]
        self._waiting_at_home = +self._waiting_at_home
        self._served_at_home.clear()
        return usages

    def take(
        self,
        daemon: DaemonId,
        table: EndpointTable,
        unreachable: list[EndpointId],
        *,
        is_partitioned: bool = False,
    ) -> LoadReport | None:
        """Return the next report, or None if there is nothing new.

        While the daemon is partitioned, and once it no longer is, there always is one.
        """
        loads = [
            EndpointLoad(row.record.id, row.requests, row.reading_s, dict(+row.by_ref))
            for row in table.rows.values()
            if row.requests
        ]
        keys = self._arrivals.keys() | self._served.keys()
        keys |= {key for key, count in self.waiting.items() if count}
        uses = [
            ModelUsage(
                model,
                adapter,
                self._arrivals.get((model, adapter), 0),
                self._work_s.get((model, adapter), 0.0),
                self.waiting.get((model, adapter), 0),
                self._patient[model],
                self._served[model, adapter],
            )
            for model, adapter in sorted(keys)
        ]
        ended = [
            ModelUsage(model, adapter, 0, 0.0, 0)
            for (model, adapter), count in self.waiting.items()
            if not count and (model, adapter) not in keys
        ]
        is_new = (
            uses or self._prefixes or ended or loads or self._reported or unreachable
        )
        is_new = is_new or is_partitioned or self._was_partitioned
        is_new = is_new or self._limits or self._leaving or self._cold
        if not is_new:
            return None
        self._was_partitioned = is_partitioned
        report = LoadReport(
            daemon,
            loads,
            uses + ended,
            self._prefixes,
            unreachable,
            self._drain_streams(),
            self._drain_limits(),
            self._drain_leaving(),
            is_partitioned,
            self._prompt_sizes,
            self._drain_cold(),
            self._drain_homes(),
        )
        self._reported = loads
        self._prefixes = []
        self._prompt_sizes = []
        self._arrivals.clear()
        self._served.clear()
        self._work_s.clear()
        for key in [key for key, count in self.waiting.items() if not count]:
            del self.waiting[key]
        return report
