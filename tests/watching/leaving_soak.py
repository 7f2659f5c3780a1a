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
from .watching_fleet import Follower, WatchingFleet, async_fleet

EVENT_S = 0.6
"""Mean time between two events."""
MAX_TROUBLE_S = 4.0
MAX_LATE_S = 2.5
MIN_ENDPOINTS = 3
MAX_COPY_AGE_S = 6.0
"""How much may be lost when the store comes back from a copy."""
MAX_AWAY_S = 3.0
WRITE_RETRY_S = 0.2
RETURN_S = 1.9
"""When live endpoints that lapsed in an outage are back at the latest."""


class Soak:
    """Lets things happen to a fleet at random moments."""

    def __init__(self, fleet: WatchingFleet) -> None:
        self._fleet = fleet
        self._rng = fleet.rng
        self._next = 100
        self._events: list[Callable[[], object]] = [
            self._leave,
            self._leave,
            self._leave,
            self._join,
            self._join,
            self._trouble,
            self._trouble,
            self._trouble,
            self._forget_history,
            self._outage,
            self._restoration,
        ]
        self._weights = [1, 1, 1, 1, 1, 1, 1, 1, 0.5, 0.15, 0.15]

    async def async_run(self, time_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + time_s
        while loop.time() < end_s:
            await self._fleet.async_pass(self._rng.expovariate(1 / EVENT_S))
            self._rng.choices(self._events, self._weights)[0]()
        await self._fleet.async_pass(3.0)

    def _living(self) -> list[str]:
        rows = self._fleet.registry.rows.values()
        return [
            row.key.partition("/")[2]
            for row in rows
            if row.value is not None and row.value["state"] == "ready"
        ]

    def _leave(self) -> None:
        living = self._living()
        if len(living) <= MIN_ENDPOINTS or self._fleet.registry.is_out:
            return
        name = self._rng.choice(living)
        if self._rng.random() < 0.5:
            self._fleet.registry.register(name, "draining")
        else:
            self._fleet.registry.remove(name)

    def _join(self) -> None:
        if not self._fleet.registry.is_out:
            self._next += 1
            self._fleet.registry.register(f"e{self._next}")

    def _forget_history(self) -> None:
        self._fleet.registry.forget_history()

    def _trouble(self) -> None:
        """Put one daemon in trouble, most often one that reads for others."""
        rank = min(int(self._rng.expovariate(0.6)), len(self._fleet.followers) - 1)
        follower = self._fleet.followers[rank]
        if follower.calm_from_s == float("inf"):
            return
        follower.calm_from_s = float("inf")
        kind = self._rng.choice([self._cut, self._slow_answers, self._slow_news])
        end = kind(follower)
        time_s = self._rng.uniform(0.1, MAX_TROUBLE_S)
        loop = asyncio.get_running_loop()
        loop.call_later(time_s, self._end_trouble, follower, end)

    def _end_trouble(self, follower: Follower, end: Callable[[], None]) -> None:
        end()
        follower.path.is_silent = self._rng.random() < 0.5
        follower.calm_from_s = asyncio.get_running_loop().time()

    def _cut(self, follower: Follower) -> Callable[[], None]:
        follower.path.is_cut = True

        def end() -> None:
            follower.path.is_cut = False

        return end

    def _slow_answers(self, follower: Follower) -> Callable[[], None]:
        late_s = self._rng.uniform(0.0, 1.0)
        follower.path.answer_late_s = lambda: late_s * self._rng.random()

        def end() -> None:
            follower.path.answer_late_s = lambda: 0.0

        return end

    def _slow_news(self, follower: Follower) -> Callable[[], None]:
        late_s = self._rng.uniform(0.0, MAX_LATE_S)
        lost_share = self._rng.choice([0.0, 0.0, 0.3])

        def news_late_s(_) -> float:
            is_lost = self._rng.random() < lost_share
            return float("inf") if is_lost else late_s

        follower.news_late_s = news_late_s

        def end() -> None:
            follower.news_late_s = lambda _: 0.0

        return end

    def _outage(self) -> None:
        """Let the store be away; some live endpoints lapse and come back."""
        registry = self._fleet.registry
        if registry.is_out:
            return
        registry.is_out = True
        registry.calm_from_s = float("inf")
        loop = asyncio.get_running_loop()
        loop.call_later(self._rng.uniform(0.3, MAX_TROUBLE_S), self._end_outage)

    def _restoration(self) -> None:
        """Let the store be away for a moment and come back from a copy."""
        registry = self._fleet.registry
        if registry.is_out:
            return
        copy = registry.copy()
        loop = asyncio.get_running_loop()
        loop.call_later(self._rng.uniform(0.1, MAX_COPY_AGE_S), self._restore, copy)

    def _restore(self, copy: tuple[dict[str, Row], int]) -> None:
        registry = self._fleet.registry
        if registry.is_out:
            return
        registry.is_out = True
        registry.calm_from_s = float("inf")
        loop = asyncio.get_running_loop()
        away_s = self._rng.uniform(0.0, MAX_AWAY_S)
        loop.call_later(away_s, self._end_restoration, copy)

    def _end_restoration(self, copy: tuple[dict[str, Row], int]) -> None:
        """Come back older; endpoints write what they had written again, in a while."""
        registry = self._fleet.registry
        held = dict(registry.rows)
        registry.restore(copy)
        registry.is_out = False
        loop = asyncio.get_running_loop()
        registry.calm_from_s = loop.time()
        for key, row in held.items():
            name = key.partition("/")[2]
            again = functools.partial(self._write_again, name, row)
            loop.call_later(self._rng.uniform(0.0, RETURN_S), again)

    def _write_again(self, name: str, row: Row) -> None:
        """Write a row as it was, unless its endpoint has begun to leave since."""
        registry = self._fleet.registry
        if registry.is_out:
            again = functools.partial(self._write_again, name, row)
            asyncio.get_running_loop().call_later(WRITE_RETRY_S, again)
            return
        found = registry.rows.get(row.key)
        is_gone = EndpointId(name) in registry.left_s
        if row.value is None:
            if found is not None and found.value is not None:
                registry.remove(name, is_leaving=False)
        elif not is_gone or row.value["state"] == "draining":
            registry.register(name, row.value["state"])

    def _end_outage(self) -> None:
        registry = self._fleet.registry
        loop = asyncio.get_running_loop()
        for name in self._living():
            if self._rng.random() < 0.3:
                registry.remove(name, is_leaving=False)
                back_s = self._rng.uniform(0.1, RETURN_S)
                loop.call_later(back_s, registry.register, name)
        registry.is_out = False
        registry.calm_from_s = loop.time()


async def async_soak(seed: int, time_s: float) -> None:
    """Run one seed; fails with what was sent where how late."""
    async with async_fleet(daemons=3 + seed % 6, seed=seed, endpoints=6) as fleet:
        fleet.start_task(fleet.async_heartbeats())
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
