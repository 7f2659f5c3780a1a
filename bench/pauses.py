"""Streams at one engine in virtual time, with and without prompts spaced out.

The engine makes a token of each stream in a step, and reads prompts between the
tokens, a chunk at most in each step. The decision is the entry daemon's own.
"""

from __future__ import annotations

import math
import random
from enum import Enum

import msgspec

from chutelink.ids import EndpointId
from chutelink.learning.reading import ReadingTable

ENGINE = EndpointId("engine")
CHUNK_TOKENS = 2048
TOKENS_PER_S = 40_800.0
STEP_S = 0.0058
STEP_PER_STREAM_S = 1.64e-5
PLACES = 48
TOKENS_PER_EVENT = 6
MAX_PAUSE_S = 0.25
CLUMP = 3.0
"""Requests that come together, in the mean."""
SEND_MARGIN_S = 0.1


class Kind(Enum):
    """Short prompts with long answers, and long prompts with short ones."""

    DRAFT = "draft"
    TAGGING = "tagging"


class LengthLaw(msgspec.Struct, frozen=True):
    """Lognormal lengths up to a maximum."""

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> float:
        """Return one length."""
        centre = math.log(self.mean) - self.spread**2 / 2
        return min(self.most, rng.lognormvariate(centre, self.spread))


PROMPT_TOKENS = {
    Kind.DRAFT: LengthLaw(628.0, 1.0, 3310.0),
    Kind.TAGGING: LengthLaw(1800.0, 1.3, 6870.0),
}
EVENTS = {
    Kind.DRAFT: LengthLaw(48.6, 0.69, 159.0),
    Kind.TAGGING: LengthLaw(3.76, 1.4, 15.0),
}
OBJECTIVE_S = {Kind.DRAFT: 0.4, Kind.TAGGING: 0.5}


class Stream(msgspec.Struct):
    """One request: what is unread of its prompt, and its stream."""

    kind: Kind
    came_s: float
    unread_tokens: float
    tokens_left: int
    made_tokens: int = 0
    event_s: float = 0.0
    longest_pause_s: float = 0.0
    is_late: bool = False

    @property
    def read_s(self) -> float:
        """How long its prompt takes to read."""
        return self.unread_tokens / TOKENS_PER_S


class Outcome(msgspec.Struct):
    """Streams that ended, and those that were late or paused too long."""

    streams: int = 0
    lost: int = 0

    @property
    def lost_share(self) -> float:
        """Share of the streams that were not in time."""
        return self.lost / max(1, self.streams)


def make_streams(
    per_s: dict[Kind, float], seconds: float, rng: random.Random
) -> list[Stream]:
    """Return requests in the order in which they come."""
    streams = []
    for kind, rate_per_s in per_s.items():
        now_s = 0.0
        while rate_per_s > 0 and now_s < seconds:
            now_s += rng.expovariate(rate_per_s / CLUMP)
            for _ in range(int(rng.expovariate(1 / CLUMP)) + 1):
                events = max(1, int(EVENTS[kind].draw(rng)))
                tokens = PROMPT_TOKENS[kind].draw(rng)
                streams.append(Stream(kind, now_s, tokens, events * TOKENS_PER_EVENT))
    return sorted(streams, key=lambda stream: stream.came_s)


class Engine:
    """One engine, and the requests that wait to be sent to it.

    Parameters
    ----------
    streams : list of Stream
        In the order in which they come.
    is_spaced : bool
        Whether prompts are spaced out.
    """

    def __init__(self, streams: list[Stream], *, is_spaced: bool) -> None:
        self._coming = streams[::-1]
        self._held: list[Stream] = []
        self._reading: list[Stream] = []
        self._running: list[Stream] = []
        self._table = ReadingTable() if is_spaced else None
        self._now_s = 0.0
        self.outcomes = {kind: Outcome() for kind in Kind}

    def run(self) -> dict[Kind, Outcome]:
        """Play until all streams have ended."""
        while self._coming or self._held or self._reading or self._running:
            if not (self._held or self._reading or self._running):
                self._now_s = max(self._now_s, self._coming[-1].came_s)
            while self._coming and self._coming[-1].came_s <= self._now_s:
                self._held.append(self._coming.pop())
            self._held = [s for s in self._held if not self._send(s)]
            self._step()
        return self.outcomes

    def _send(self, stream: Stream) -> bool:
        """Send a request if its prompt leaves streams room, or can't wait."""
        if self._table is not None:
            wait_s = self._table.room_in_s(
                ENGINE, stream.read_s, self._now_s, MAX_PAUSE_S
            )
            due_s = stream.came_s + OBJECTIVE_S[stream.kind]
            latest_s = due_s - stream.read_s - SEND_MARGIN_S
            if 0 < wait_s <= latest_s - self._now_s:
                return False
            self._table.note(ENGINE, stream.read_s, self._now_s)
        self._reading.append(stream)
        return True

    def _step(self) -> None:
        """Make a token of each stream and read what fits into the chunk."""
        read = self._read_chunk()
        step_s = STEP_S + STEP_PER_STREAM_S * len(self._running)
        self._now_s += step_s + read / TOKENS_PER_S
        for stream in self._running:
            self._make_token(stream)
        self._running = [s for s in self._running if s.tokens_left > 0]
        begun = [s for s in self._reading if s.unread_tokens <= 0]
        self._reading = [s for s in self._reading if s.unread_tokens > 0]
        for stream in begun:
            stream.is_late = self._now_s - stream.came_s > OBJECTIVE_S[stream.kind]
            stream.event_s = self._now_s
            stream.tokens_left = max(1, stream.tokens_left - TOKENS_PER_EVENT)
        self._running += begun

    def _read_chunk(self) -> float:
        budget = float(CHUNK_TOKENS)
        places = PLACES - len(self._running)
        for stream in self._reading[: max(0, places)]:
            tokens = min(budget, stream.unread_tokens)
            stream.unread_tokens -= tokens
            budget -= tokens
        return CHUNK_TOKENS - budget

    def _make_token(self, stream: Stream) -> None:
        stream.tokens_left -= 1
        stream.made_tokens += 1
        is_event = stream.made_tokens % TOKENS_PER_EVENT == 0
        if is_event or stream.tokens_left <= 0:
            pause_s = self._now_s - stream.event_s
            stream.longest_pause_s = max(stream.longest_pause_s, pause_s)
            stream.event_s = self._now_s
        if stream.tokens_left <= 0:
            outcome = self.outcomes[stream.kind]
            outcome.streams += 1
            is_paused = stream.longest_pause_s > MAX_PAUSE_S
            outcome.lost += stream.is_late or is_paused


def play(
    drafts_per_s: float, seed: int, *, is_spaced: bool, seconds: float = 120.0
) -> dict[Kind, Outcome]:
    """Play one load, a fifth of it with long prompts."""
    per_s = {Kind.DRAFT: drafts_per_s, Kind.TAGGING: 0.235 * drafts_per_s}
    streams = make_streams(per_s, seconds, random.Random(seed))
    return Engine(streams, is_spaced=is_spaced).run()


def run_pauses() -> None:
    """Print the share of streams that are lost, by load."""
    print("| drafts a second | spaced out | drafts lost | tagging lost |")
    print("| --- | --- | --- | --- |")
    for drafts_per_s in (5.0, 8.0, 11.0):
        for is_spaced in (False, True):
            outcomes = play(drafts_per_s, 1, is_spaced=is_spaced)
            lost = " | ".join(f"{o.lost_share:.3f}" for o in outcomes.values())
            print(f"| {drafts_per_s:g} | {is_spaced} | {lost} |")
