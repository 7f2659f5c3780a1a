"""Compares thresholds for quarantining a request by the requests that callers lose.

Simulates streams at a few engines in virtual time, with the real suspect table. A
request that is quarantined wrongly is lost to its caller; one that is quarantined late
crashes another engine and cuts off everything that runs there. Each scenario has a
caller that repeats a deadly request, engines that crash in groups for other reasons, or
both.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections.abc import Callable

import msgspec

from chutelink.ids import EndpointId, Fingerprint
from chutelink.quarantine.model import Ending, Suspect, Verdict
from chutelink.quarantine.policy import EndingCountPolicy
from chutelink.quarantine.table import SuspectTable

ENGINES = 9
REQUESTS_PER_S = 28.0
"""Approximate request rate to the engines of the users' busier deployment."""
MEAN_STREAM_S = 2.0
RECOVERY_S = 8.0
"""Time an engine is unavailable after a crash: a restart and a load from disk."""
DURATION_S = 30.0
DEADLY = Fingerprint("deadly")
DEADLY_FROM_S = 8.0
DEADLY_DURATION_S = 12.0
DEADLY_RETRY_DELAY_S = 0.4
"""Delay between two attempts of the caller of a deadly request."""
DEADLY_STREAM_S = 0.1
MAX_ENDPOINTS = 2
CALLER_ATTEMPTS = 2
CALLER_RETRY_DELAY_S = 0.2
CRASH_TIMES_S = (5.0, 7.0, 9.0, 19.0, 20.5)
CRASH_PROBABILITY = 0.25
NEVER_HOLD = 10**6
"""Threshold that is never reached, as a baseline without quarantine."""
SEEDS = 40


class EndingLimitPolicy(EndingCountPolicy):
    """The ending-count policy with a configurable threshold."""

    def __init__(self, endings: int) -> None:
        self._max_endings = endings

    def should_hold(self, suspect: Suspect) -> bool:
        """Return whether the suspect's endings have reached the threshold."""
        return len(suspect.endings) >= self._max_endings


class _Stream(msgspec.Struct, eq=False):
    """A request of a caller; ``remaining_s`` is the stream time still to generate."""

    fingerprint: Fingerprint
    remaining_s: float
    endpoints_tried: int = 0
    attempt: int = 1
    engine: int = -1
    started_s: float = 0.0


class Losses(msgspec.Struct):
    """Requests and engines lost in one simulation."""

    requests: int = 0
    lost: int = 0
    held: int = 0
    crashes: int = 0


class HoldSimulation:
    """Simulates one threshold with one seed.

    Parameters
    ----------
    endings : int
        Threshold: number of crashes after which a request is quarantined.
    seed : int
        Seed of arrivals, stream lengths and crashes.
    """

    def __init__(self, endings: int, seed: int) -> None:
        self._table = SuspectTable(EndingLimitPolicy(endings))
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now_s = 0.0
        self._running: list[set[_Stream]] = [set() for _ in range(ENGINES)]
        self._down_until_s = [0.0] * ENGINES
        self._generations = [0] * ENGINES
        self.losses = Losses()

    def run(self, *, has_deadly: bool, has_crashes: bool) -> Losses:
        """Run the simulation and return the losses."""
        at_s = 0.0
        for number in itertools.count():
            at_s += self._rng.expovariate(REQUESTS_PER_S)
            if at_s > DURATION_S:
                break
            length_s = self._rng.expovariate(1 / MEAN_STREAM_S)
            stream = _Stream(Fingerprint(f"r{number}"), length_s)
            self._schedule(at_s, lambda stream=stream: self._arrive(stream))
        if has_deadly:
            self._schedule(DEADLY_FROM_S, self._send_deadly)
        if has_crashes:
            for crash_s in CRASH_TIMES_S:
                self._schedule(crash_s, self._crash_random_engines)
        while self._queue and self._queue[0][0] <= DURATION_S:
            self._now_s, _, action = heapq.heappop(self._queue)
            action()
        return self.losses

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._sequence), action))

    def _arrive(self, stream: _Stream) -> None:
        if stream.attempt == 1:
            self.losses.requests += 1
        stream.endpoints_tried = 0
        self._send(stream)

    def _send_deadly(self) -> None:
        if self._now_s > DEADLY_FROM_S + DEADLY_DURATION_S:
            return
        self._send(_Stream(DEADLY, DEADLY_STREAM_S, attempt=CALLER_ATTEMPTS))
        self._schedule(self._now_s + DEADLY_RETRY_DELAY_S, self._send_deadly)

    def _send(self, stream: _Stream) -> None:
        if self._table.verdict(stream.fingerprint, 0.0) is not Verdict.FREE:
            self.losses.held += stream.fingerprint != DEADLY
            self._retry_or_lose(stream)
            return
        available = [n for n in range(ENGINES) if self._down_until_s[n] <= self._now_s]
        if not available or stream.endpoints_tried >= MAX_ENDPOINTS:
            self._retry_or_lose(stream)
            return
        stream.engine = min(available, key=lambda n: (len(self._running[n]), n))
        stream.endpoints_tried += 1
        stream.started_s = self._now_s
        self._running[stream.engine].add(stream)
        generation = self._generations[stream.engine]
        self._schedule(
            self._now_s + stream.remaining_s, lambda: self._finish(stream, generation)
        )

    def _finish(self, stream: _Stream, generation: int) -> None:
        if stream not in self._running[stream.engine]:
            return
        if generation != self._generations[stream.engine]:
            return
        if stream.fingerprint == DEADLY:
            self._crash(stream.engine)
            return
        self._running[stream.engine].discard(stream)
        self._table.clear(stream.fingerprint)

    def _crash_random_engines(self) -> None:
        for engine in range(ENGINES):
            is_up = self._down_until_s[engine] <= self._now_s
            if is_up and self._rng.random() < CRASH_PROBABILITY:
                self._crash(engine)

    def _crash(self, engine: int) -> None:
        """Crash an engine; its streams resume on other engines if allowed."""
        streams = self._running[engine]
        self._running[engine] = set()
        ending = Ending(EndpointId(str(engine)), self._generations[engine])
        self._generations[engine] += 1
        self._down_until_s[engine] = self._now_s + RECOVERY_S
        self.losses.crashes += 1
        ordered = sorted(streams, key=lambda s: (s.started_s, s.fingerprint))
        for stream in ordered:
            self._table.add_ending(stream.fingerprint, "", ending, self._now_s, 0.0)
        for stream in ordered:
            stream.remaining_s -= self._now_s - stream.started_s
            if stream.fingerprint == DEADLY:
                stream.remaining_s = DEADLY_STREAM_S
            self._send(stream)

    def _retry_or_lose(self, stream: _Stream) -> None:
        """Schedule the caller's next attempt, or count its request as lost."""
        if stream.fingerprint == DEADLY:
            return
        if stream.attempt >= CALLER_ATTEMPTS:
            self.losses.lost += 1
            return
        stream.attempt += 1
        self._schedule(self._now_s + CALLER_RETRY_DELAY_S, lambda: self._arrive(stream))


def measure_losses(
    endings: int, *, has_deadly: bool, has_crashes: bool
) -> list[Losses]:
    """Return the losses for each seed."""
    return [
        HoldSimulation(endings, seed).run(
            has_deadly=has_deadly, has_crashes=has_crashes
        )
        for seed in range(SEEDS)
    ]


def run_holds() -> None:
    """Print the mean losses for each scenario and threshold."""
    print("scenario               threshold         lost (se)  held engine crashes")
    scenarios = {
        "deadly": (True, False),
        "crashes": (False, True),
        "both": (True, True),
    }
    for name, (has_deadly, has_crashes) in scenarios.items():
        for endings in (1, 2, 3, 4, NEVER_HOLD):
            results = measure_losses(
                endings, has_deadly=has_deadly, has_crashes=has_crashes
            )
            lost = [losses.lost for losses in results]
            standard_error = statistics.stdev(lost) / len(lost) ** 0.5
            held = statistics.mean(losses.held for losses in results)
            crashes = statistics.mean(losses.crashes for losses in results)
            shown_limit = "never" if endings == NEVER_HOLD else str(endings)
            print(
                f"{name:20}{shown_limit:>12}{statistics.mean(lost):12.1f}"
                f" ({standard_error:.1f}){held:6.1f}{crashes:15.1f}"
            )
