"""Soak test of leaving endpoints under random faults, in virtual time.

Each seed is deterministic. Daemons lose the store, get late answers, and send updates
late or not at all; the store drops its history, has outages, and is restored from older
backups. Healthy daemons must never use an endpoint that left longer ago than the
staleness bound, and no daemon one that it has dropped.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import sys
import time
from collections.abc import Callable

from chutelink.ids import EndpointId
from chutelink.store import Row

from ..virtual_time import run_in_virtual_time
from .watching_fleet import SimulatedDaemon, SimulatedFleet, async_fleet

MEAN_EVENT_INTERVAL_S = 0.6
"""Mean time between two random events."""
MAX_FAULT_S = 4.0
MAX_UPDATE_DELAY_S = 2.5
MIN_ENDPOINTS = 3
MAX_BACKUP_AGE_S = 6.0
"""Maximum age of a backup from which the store is restored."""
MAX_DOWNTIME_S = 3.0
REWRITE_RETRY_S = 0.2
REREGISTRATION_S = 1.9
"""Latest time after an outage at which live endpoints have registered again."""


class Soak:
    """Injects random events into a fleet."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._rng = fleet.rng
        self._next_number = 100
        self._events: list[Callable[[], object]] = [
            self._make_endpoint_leave,
            self._make_endpoint_leave,
            self._make_endpoint_leave,
            self._add_endpoint,
            self._add_endpoint,
            self._inject_fault,
            self._inject_fault,
            self._inject_fault,
            self._drop_history,
            self._begin_outage,
            self._schedule_restore,
        ]
        self._weights = [1, 1, 1, 1, 1, 1, 1, 1, 0.5, 0.15, 0.15]

    async def async_run(self, time_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + time_s
        while loop.time() < end_s:
            await self._fleet.async_advance(
                self._rng.expovariate(1 / MEAN_EVENT_INTERVAL_S)
            )
            self._rng.choices(self._events, self._weights)[0]()
        await self._fleet.async_advance(3.0)

    def _ready_endpoints(self) -> list[str]:
        rows = self._fleet.store.rows.values()
        return [
            row.key.partition("/")[2]
            for row in rows
            if row.value is not None and row.value["state"] == "ready"
        ]

    def _make_endpoint_leave(self) -> None:
        ready = self._ready_endpoints()
        if len(ready) <= MIN_ENDPOINTS or self._fleet.store.is_down:
            return
        name = self._rng.choice(ready)
        if self._rng.random() < 0.5:
            self._fleet.store.register(name, "draining")
        else:
            self._fleet.store.remove(name)

    def _add_endpoint(self) -> None:
        if not self._fleet.store.is_down:
            self._next_number += 1
            self._fleet.store.register(f"e{self._next_number}")

    def _drop_history(self) -> None:
        self._fleet.store.drop_history()

    def _inject_fault(self) -> None:
        """Inject a fault at one daemon, mostly of low rank, which reads for others."""
        rank = min(int(self._rng.expovariate(0.6)), len(self._fleet.daemons) - 1)
        daemon = self._fleet.daemons[rank]
        if daemon.healthy_since_s == float("inf"):
            return
        daemon.healthy_since_s = float("inf")
        inject_fault = self._rng.choice(
            [self._disconnect, self._delay_answers, self._delay_updates]
        )
        clear_fault = inject_fault(daemon)
        time_s = self._rng.uniform(0.1, MAX_FAULT_S)
        loop = asyncio.get_running_loop()
        loop.call_later(time_s, self._clear_fault, daemon, clear_fault)

    def _clear_fault(
        self, daemon: SimulatedDaemon, clear_fault: Callable[[], None]
    ) -> None:
        clear_fault()
        daemon.connection.is_connection_stale = self._rng.random() < 0.5
        daemon.healthy_since_s = asyncio.get_running_loop().time()

    def _disconnect(self, daemon: SimulatedDaemon) -> Callable[[], None]:
        daemon.connection.is_disconnected = True

        def clear_fault() -> None:
            daemon.connection.is_disconnected = False

        return clear_fault

    def _delay_answers(self, daemon: SimulatedDaemon) -> Callable[[], None]:
        delay_s = self._rng.uniform(0.0, 1.0)
        daemon.connection.answer_delay_s = lambda: delay_s * self._rng.random()

        def clear_fault() -> None:
            daemon.connection.answer_delay_s = lambda: 0.0

        return clear_fault

    def _delay_updates(self, daemon: SimulatedDaemon) -> Callable[[], None]:
        delay_s = self._rng.uniform(0.0, MAX_UPDATE_DELAY_S)
        loss_share = self._rng.choice([0.0, 0.0, 0.3])

        def update_delay_s(_) -> float:
            is_lost = self._rng.random() < loss_share
            return float("inf") if is_lost else delay_s

        daemon.update_delay_s = update_delay_s

        def clear_fault() -> None:
            daemon.update_delay_s = lambda _: 0.0

        return clear_fault

    def _begin_outage(self) -> None:
        """Begin an outage of the store.

        When it ends, some live endpoints have lapsed and register again.
        """
        store = self._fleet.store
        if store.is_down:
            return
        store.is_down = True
        store.healthy_since_s = float("inf")
        loop = asyncio.get_running_loop()
        loop.call_later(self._rng.uniform(0.3, MAX_FAULT_S), self._end_outage)

    def _schedule_restore(self) -> None:
        """Take a backup now, and restore the store from it later."""
        store = self._fleet.store
        if store.is_down:
            return
        backup = store.backup()
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._rng.uniform(0.1, MAX_BACKUP_AGE_S), self._begin_restore, backup
        )

    def _begin_restore(self, backup: tuple[dict[str, Row], int]) -> None:
        store = self._fleet.store
        if store.is_down:
            return
        store.is_down = True
        store.healthy_since_s = float("inf")
        loop = asyncio.get_running_loop()
        downtime_s = self._rng.uniform(0.0, MAX_DOWNTIME_S)
        loop.call_later(downtime_s, self._finish_restore, backup)

    def _finish_restore(self, backup: tuple[dict[str, Row], int]) -> None:
        """Restore the backup; endpoints write their rows again after a random delay."""
        store = self._fleet.store
        previous_rows = dict(store.rows)
        store.restore(backup)
        store.is_down = False
        loop = asyncio.get_running_loop()
        store.healthy_since_s = loop.time()
        for key, row in previous_rows.items():
            name = key.partition("/")[2]
            rewrite = functools.partial(self._rewrite_row, name, row)
            loop.call_later(self._rng.uniform(0.0, REREGISTRATION_S), rewrite)

    def _rewrite_row(self, name: str, row: Row) -> None:
        """Write a row as before the restore, unless its endpoint has begun to leave."""
        store = self._fleet.store
        if store.is_down:
            rewrite = functools.partial(self._rewrite_row, name, row)
            asyncio.get_running_loop().call_later(REWRITE_RETRY_S, rewrite)
            return
        current = store.rows.get(row.key)
        has_left = EndpointId(name) in store.leaving_since_s
        if row.value is None:
            if current is not None and current.value is not None:
                store.remove(name, is_leaving=False)
        elif not has_left or row.value["state"] == "draining":
            store.register(name, row.value["state"])

    def _end_outage(self) -> None:
        store = self._fleet.store
        loop = asyncio.get_running_loop()
        for name in self._ready_endpoints():
            if self._rng.random() < 0.3:
                store.remove(name, is_leaving=False)
                delay_s = self._rng.uniform(0.1, REREGISTRATION_S)
                loop.call_later(delay_s, store.register, name)
        store.is_down = False
        store.healthy_since_s = loop.time()


async def async_soak(seed: int, time_s: float) -> None:
    """Run one seed; a failure lists the daemons, endpoints and times."""
    async with async_fleet(daemon_count=3 + seed % 6, seed=seed, endpoints=6) as fleet:
        fleet.start_task(fleet.async_write_heartbeats())
        await Soak(fleet).async_run(time_s)


def main() -> int:
    """Run seeds one after the other, and print those that fail."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args()
    started_s = time.monotonic()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        try:
            run_in_virtual_time(async_soak(seed, options.seconds))
        except AssertionError as error:
            failed += 1
            print(f"seed={seed} failed: {error}")
    took_s = time.monotonic() - started_s
    print(f"seeds={options.seeds} failed={failed} took_s={took_s:.0f}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
