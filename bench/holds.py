"""After how many ends a request is kept away: what callers lose either way.

Streams at a few engines in virtual time, judged by the real table of suspects. A
request that is held wrongly loses its caller; one that is held late loses all that the
next engine runs. A day has a caller of a deadly request, or engines that crash in
groups for other reasons, or both.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections.abc import Callable

import msgspec

from chutelink.ids import EndpointId, Fingerprint
from chutelink.quarantine.judge import EndingCount
from chutelink.quarantine.model import Ending, Suspect, Verdict
from chutelink.quarantine.table import SuspectTable

ENGINES = 9
REQUESTS_PER_S = 28.0
"""About what the users' busier deployment sends to its engines."""
MEAN_STREAM_S = 2.0
AWAY_S = 8.0
"""How long an engine serves nothing after an end: a restart, and a load from disk."""
DAY_S = 30.0
DEADLY = Fingerprint("deadly")
DEADLY_FROM_S = 8.0
DEADLY_FOR_S = 12.0
DEADLY_PAUSE_S = 0.4
"""Between two attempts of the caller of a deadly request."""
DEADLY_RUN_S = 0.1
MAX_ENDPOINTS = 2
CALLER_ATTEMPTS = 2
CALLER_PAUSE_S = 0.2
CRASH_TIMES_S = (5.0, 7.0, 9.0, 19.0, 20.5)
CRASH_SHARE = 0.25
NEVER = 10**6
"""Ends to hold after, for the way it was before."""
SEEDS = 40


class EndingLimit(EndingCount):
    """The product's policy with another number of ends."""

    def __init__(self, endings: int) -> None:
        self._endings = endings

    def is_guilty(self, suspect: Suspect) -> bool:
        """Return whether so many endpoints have ended under it."""
        return len(suspect.endings) >= self._endings


class _Stream(msgspec.Struct, eq=False):
    """A caller's request on its way; ``left_s`` is what is still to be made."""

    fingerprint: Fingerprint
    left_s: float
    tried: int = 0
    attempt: int = 1
    engine: int = -1
    begun_s: float = 0.0


class Losses(msgspec.Struct):
    """What one day cost."""

    requests: int = 0
    lost: int = 0
    held: int = 0
    ends: int = 0


class HoldDay:
    """One day with one policy.

    Parameters
    ----------
    endings : int
        Ends after which a request is kept away.
    seed : int
        Of arrivals, streams and crashes.
    """

    def __init__(self, endings: int, seed: int) -> None:
        self._table = SuspectTable(EndingLimit(endings))
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self._running: list[set[_Stream]] = [set() for _ in range(ENGINES)]
        self._away_until_s = [0.0] * ENGINES
        self._births = [0] * ENGINES
        self.losses = Losses()

    def play(self, *, has_deadly: bool, has_crashes: bool) -> Losses:
        """Return what callers lost."""
        at_s = 0.0
        for number in itertools.count():
            at_s += self._rng.expovariate(REQUESTS_PER_S)
            if at_s > DAY_S:
                break
            length_s = self._rng.expovariate(1 / MEAN_STREAM_S)
            stream = _Stream(Fingerprint(f"r{number}"), length_s)
            self._at(at_s, lambda stream=stream: self._arrive(stream))
        if has_deadly:
            self._at(DEADLY_FROM_S, self._send_deadly)
        if has_crashes:
            for crash_s in CRASH_TIMES_S:
                self._at(crash_s, self._crash_some)
        while self._queue and self._queue[0][0] <= DAY_S:
            self._now_s, _, action = heapq.heappop(self._queue)
            action()
        return self.losses

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._order), action))

    def _arrive(self, stream: _Stream) -> None:
        if stream.attempt == 1:
            self.losses.requests += 1
        stream.tried = 0
        self._send(stream)

    def _send_deadly(self) -> None:
        if self._now_s > DEADLY_FROM_S + DEADLY_FOR_S:
            return
        self._send(_Stream(DEADLY, DEADLY_RUN_S, attempt=CALLER_ATTEMPTS))
        self._at(self._now_s + DEADLY_PAUSE_S, self._send_deadly)

    def _send(self, stream: _Stream) -> None:
        if self._table.verdict(stream.fingerprint, 0.0) is not Verdict.FREE:
            self.losses.held += stream.fingerprint != DEADLY
            self._fail(stream)
            return
        up = [n for n in range(ENGINES) if self._away_until_s[n] <= self._now_s]
        if not up or stream.tried >= MAX_ENDPOINTS:
            self._fail(stream)
            return
        stream.engine = min(up, key=lambda n: (len(self._running[n]), n))
        stream.tried += 1
        stream.begun_s = self._now_s
        self._running[stream.engine].add(stream)
        birth = self._births[stream.engine]
        self._at(self._now_s + stream.left_s, lambda: self._finish(stream, birth))

    def _finish(self, stream: _Stream, birth: int) -> None:
        if stream not in self._running[stream.engine]:
            return
        if birth != self._births[stream.engine]:
            return
        if stream.fingerprint == DEADLY:
            self._end(stream.engine)
            return
        self._running[stream.engine].discard(stream)
        self._table.clear(stream.fingerprint)

    def _crash_some(self) -> None:
        for engine in range(ENGINES):
            is_up = self._away_until_s[engine] <= self._now_s
            if is_up and self._rng.random() < CRASH_SHARE:
                self._end(engine)

    def _end(self, engine: int) -> None:
        """End an engine; all that ran there goes on elsewhere if it may."""
        streams = self._running[engine]
        self._running[engine] = set()
        ending = Ending(EndpointId(str(engine)), self._births[engine])
        self._births[engine] += 1
        self._away_until_s[engine] = self._now_s + AWAY_S
        self.losses.ends += 1
        ordered = sorted(streams, key=lambda s: (s.begun_s, s.fingerprint))
        for stream in ordered:
            self._table.add_ending(stream.fingerprint, "", ending, self._now_s, 0.0)
        for stream in ordered:
            stream.left_s -= self._now_s - stream.begun_s
            if stream.fingerprint == DEADLY:
                stream.left_s = DEADLY_RUN_S
            self._send(stream)

    def _fail(self, stream: _Stream) -> None:
        """Let the caller come back, or count its request as lost."""
        if stream.fingerprint == DEADLY:
            return
        if stream.attempt >= CALLER_ATTEMPTS:
            self.losses.lost += 1
            return
        stream.attempt += 1
        self._at(self._now_s + CALLER_PAUSE_S, lambda: self._arrive(stream))


def measure(endings: int, *, has_deadly: bool, has_crashes: bool) -> list[Losses]:
    """Return the losses of all seeds."""
    return [
        HoldDay(endings, seed).play(has_deadly=has_deadly, has_crashes=has_crashes)
        for seed in range(SEEDS)
    ]


def run_holds() -> None:
    """Print, for each kind of day and number of ends, what callers lose."""
    print("day                 ends to hold  lost a day (se)  held  engines ended")
    days = {"deadly": (True, False), "crashes": (False, True), "both": (True, True)}
    for name, (has_deadly, has_crashes) in days.items():
        for endings in (1, 2, 3, 4, NEVER):
            found = measure(endings, has_deadly=has_deadly, has_crashes=has_crashes)
            lost = [losses.lost for losses in found]
            error = statistics.stdev(lost) / len(lost) ** 0.5
            held = statistics.mean(losses.held for losses in found)
            ends = statistics.mean(losses.ends for losses in found)
            shown = "never" if endings == NEVER else str(endings)
            print(
                f"{name:20}{shown:>12}{statistics.mean(lost):12.1f} ({error:.1f})"
                f"{held:6.1f}{ends:15.1f}"
            )
