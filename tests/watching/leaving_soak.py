"""Random trouble around leaving endpoints, in virtual time: the same for each seed.

Daemons lose the store, hear late, get late answers or none; the store forgets its
history, is away now and then, and comes back from an older copy. Daemons in good order
must never send to an endpoint that left longer ago than the bound, and no daemon to one
that it knew to leave.
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

from ..virtual_time import run_virtually
from .watching_fleet import SimulatedDaemon, SimulatedFleet, async_fleet

MEAN_EVENT_INTERVAL_S = 0.6
"""Mean time between two events."""
MAX_FAULT_S = 4.0
MAX_UPDATE_DELAY_S = 2.5
MIN_ENDPOINTS = 3
MAX_BACKUP_AGE_S = 6.0
"""How much may be lost when the store comes back from a copy."""
MAX_DOWNTIME_S = 3.0
REWRITE_RETRY_S = 0.2
REREGISTRATION_S = 1.9
"""When live endpoints that lapsed in an outage are back at the latest."""


class Soak:
    """Lets things happen to a fleet at random moments."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._rng = fleet.rng
        self._next_number = 100
        self._events: list[Callable[[], object]] = [
            self._remove_endpoint,
            self._remove_endpoint,
            self._remove_endpoint,
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

    def _remove_endpoint(self) -> None:
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
        """Put one daemon in trouble, most often one that reads for others."""
        rank = min(int(self._rng.expovariate(0.6)), len(self._fleet.daemons) - 1)
        daemon = self._fleet.daemons[rank]
        if daemon.healthy_since_s == float("inf"):
            return
        daemon.healthy_since_s = float("inf")
        kind = self._rng.choice(
            [self._disconnect, self._delay_answers, self._delay_updates]
        )
        end = kind(daemon)
        time_s = self._rng.uniform(0.1, MAX_FAULT_S)
        loop = asyncio.get_running_loop()
        loop.call_later(time_s, self._clear_fault, daemon, end)

    def _clear_fault(self, daemon: SimulatedDaemon, end: Callable[[], None]) -> None:
        end()
        daemon.connection.is_connection_stale = self._rng.random() < 0.5
        daemon.healthy_since_s = asyncio.get_running_loop().time()

    def _disconnect(self, daemon: SimulatedDaemon) -> Callable[[], None]:
        daemon.connection.is_disconnected = True

        def end() -> None:
            daemon.connection.is_disconnected = False

        return end

    def _delay_answers(self, daemon: SimulatedDaemon) -> Callable[[], None]:
        delay_s = self._rng.uniform(0.0, 1.0)
        daemon.connection.answer_delay_s = lambda: delay_s * self._rng.random()

        def end() -> None:
            daemon.connection.answer_delay_s = lambda: 0.0

        return end

    def _delay_updates(self, daemon: SimulatedDaemon) -> Callable[[], None]:
        delay_s = self._rng.uniform(0.0, MAX_UPDATE_DELAY_S)
        loss_share = self._rng.choice([0.0, 0.0, 0.3])

        def update_delay_s(_) -> float:
            is_lost = self._rng.random() < loss_share
            return float("inf") if is_lost else delay_s

        daemon.update_delay_s = update_delay_s

        def end() -> None:
            daemon.update_delay_s = lambda _: 0.0

        return end

    def _begin_outage(self) -> None:
        """Let the store be away; some live endpoints lapse and come back."""
        store = self._fleet.store
        if store.is_down:
            return
        store.is_down = True
        store.healthy_since_s = float("inf")
        loop = asyncio.get_running_loop()
        loop.call_later(self._rng.uniform(0.3, MAX_FAULT_S), self._end_outage)

    def _schedule_restore(self) -> None:
        """Let the store be away for a moment and come back from a copy."""
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
        away_s = self._rng.uniform(0.0, MAX_DOWNTIME_S)
        loop.call_later(away_s, self._finish_restore, backup)

    def _finish_restore(self, backup: tuple[dict[str, Row], int]) -> None:
        """Come back older; endpoints write what they had written again, in a while."""
        store = self._fleet.store
        held = dict(store.rows)
        store.restore(backup)
        store.is_down = False
        loop = asyncio.get_running_loop()
        store.healthy_since_s = loop.time()
        for key, row in held.items():
            name = key.partition("/")[2]
            again = functools.partial(self._rewrite_row, name, row)
            loop.call_later(self._rng.uniform(0.0, REREGISTRATION_S), again)

    def _rewrite_row(self, name: str, row: Row) -> None:
        """Write a row as it was, unless its endpoint has begun to leave since."""
        store = self._fleet.store
        if store.is_down:
            again = functools.partial(self._rewrite_row, name, row)
            asyncio.get_running_loop().call_later(REWRITE_RETRY_S, again)
            return
        found = store.rows.get(row.key)
        is_gone = EndpointId(name) in store.leaving_since_s
        if row.value is None:
            if found is not None and found.value is not None:
                store.remove(name, is_leaving=False)
        elif not is_gone or row.value["state"] == "draining":
            store.register(name, row.value["state"])

    def _end_outage(self) -> None:
        store = self._fleet.store
        loop = asyncio.get_running_loop()
        for name in self._ready_endpoints():
            if self._rng.random() < 0.3:
                store.remove(name, is_leaving=False)
                back_s = self._rng.uniform(0.1, REREGISTRATION_S)
                loop.call_later(back_s, store.register, name)
        store.is_down = False
        store.healthy_since_s = loop.time()


async def async_soak(seed: int, time_s: float) -> None:
    """Run one seed; fails with what was sent where how late."""
    async with async_fleet(daemon_count=3 + seed % 6, seed=seed, endpoints=6) as fleet:
        fleet.start_task(fleet.async_write_heartbeats())
        await Soak(fleet).async_run(time_s)


def main() -> int:
    """Run seeds one after the other and print those that fail."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args()
    started_s = time.monotonic()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        try:
            run_virtually(async_soak(seed, options.seconds))
        except AssertionError as error:
            failed += 1
            print(f"seed={seed} failed: {error}")
    took_s = time.monotonic() - started_s
    print(f"seeds={options.seeds} failed={failed} took_s={took_s:.0f}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
