"""Simulates streams at one engine, with and without prompt spacing.

In each step the engine generates a token for every stream and prefills at most one
chunk of prompts. When to send a prompt is decided by the entry daemon's own code.
"""

from __future__ import annotations

import math
import random
from enum import Enum

import msgspec

from chutelink.ids import EndpointId
from chutelink.learning.prefill import PrefillTable

ENGINE = EndpointId("engine")
CHUNK_TOKENS = 2048
PREFILL_TOKENS_PER_S = 40_800.0
STEP_S = 0.0058
STEP_PER_STREAM_S = 1.64e-5
MAX_RUNNING_STREAMS = 48
TOKENS_PER_EVENT = 6
MAX_PAUSE_S = 0.25
MEAN_BURST_SIZE = 3.0
"""Mean number of requests that arrive at the same time."""
SEND_MARGIN_S = 0.1


class RequestKind(Enum):
    """Short prompts with long answers, or long prompts with short answers."""

    DRAFT = "draft"
    TAGGING = "tagging"


class LengthDistribution(msgspec.Struct, frozen=True):
    """Lognormal distribution of lengths, capped at a maximum."""

    mean: float
    sigma: float
    maximum: float

    def draw(self, rng: random.Random) -> float:
        """Return a random length."""
        mu = math.log(self.mean) - self.sigma**2 / 2
        return min(self.maximum, rng.lognormvariate(mu, self.sigma))


PROMPT_TOKENS = {
    RequestKind.DRAFT: LengthDistribution(628.0, 1.0, 3310.0),
    RequestKind.TAGGING: LengthDistribution(1800.0, 1.3, 6870.0),
}
EVENTS_PER_STREAM = {
    RequestKind.DRAFT: LengthDistribution(48.6, 0.69, 159.0),
    RequestKind.TAGGING: LengthDistribution(3.76, 1.4, 15.0),
}
OBJECTIVE_S = {RequestKind.DRAFT: 0.4, RequestKind.TAGGING: 0.5}


class Stream(msgspec.Struct):
    """A request with the progress of its prefill and of its stream."""

    kind: RequestKind
    arrived_s: float
    remaining_prompt_tokens: float
    remaining_output_tokens: int
    generated_tokens: int = 0
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    is_late: bool = False

    @property
    def prefill_s(self) -> float:
        """Time to prefill the remaining prompt."""
        return self.remaining_prompt_tokens / PREFILL_TOKENS_PER_S


class Outcome(msgspec.Struct):
    """Number of finished streams, and of those late or paused too long."""

    streams: int = 0
    lost: int = 0

    @property
    def lost_share(self) -> float:
        """Share of the streams that were not in time."""
        return self.lost / max(1, self.streams)


def make_streams(
    rates_per_s: dict[RequestKind, float], duration_s: float, rng: random.Random
) -> list[Stream]:
    """Return requests in order of arrival."""
    streams = []
    for kind, rate_per_s in rates_per_s.items():
        now_s = 0.0
        while rate_per_s > 0 and now_s < duration_s:
            now_s += rng.expovariate(rate_per_s / MEAN_BURST_SIZE)
            for _ in range(int(rng.expovariate(1 / MEAN_BURST_SIZE)) + 1):
                events = max(1, int(EVENTS_PER_STREAM[kind].draw(rng)))
                tokens = PROMPT_TOKENS[kind].draw(rng)
                streams.append(Stream(kind, now_s, tokens, events * TOKENS_PER_EVENT))
    return sorted(streams, key=lambda stream: stream.arrived_s)


class Engine:
    """A simulated engine, and the queue of requests that are not sent to it yet.

    Parameters
    ----------
    streams : list of Stream
        In order of arrival.
    has_prompt_spacing : bool
        Whether prompts are spaced out to bound the pauses of running streams.
    """

    def __init__(self, streams: list[Stream], *, has_prompt_spacing: bool) -> None:
        self._upcoming = streams[::-1]
        self._held: list[Stream] = []
        self._prefilling: list[Stream] = []
        self._running: list[Stream] = []
        self._table = PrefillTable() if has_prompt_spacing else None
        self._now_s = 0.0
        self.outcomes = {kind: Outcome() for kind in RequestKind}

    def run(self) -> dict[RequestKind, Outcome]:
        """Run until all streams have finished."""
        while self._upcoming or self._held or self._prefilling or self._running:
            if not (self._held or self._prefilling or self._running):
                self._now_s = max(self._now_s, self._upcoming[-1].arrived_s)
            while self._upcoming and self._upcoming[-1].arrived_s <= self._now_s:
                self._held.append(self._upcoming.pop())
            self._held = [s for s in self._held if not self._send(s)]
            self._step()
        return self.outcomes

    def _send(self, stream: Stream) -> bool:
        """Send a request if its prefill fits now or its deadline allows no wait."""
        if self._table is not None:
            wait_s = self._table.prefill_delay_s(
                ENGINE, stream.prefill_s, self._now_s, MAX_PAUSE_S
            )
            due_s = stream.arrived_s + OBJECTIVE_S[stream.kind]
            latest_s = due_s - stream.prefill_s - SEND_MARGIN_S
            if 0 < wait_s <= latest_s - self._now_s:
                return False
            self._table.note(ENGINE, stream.prefill_s, self._now_s)
        self._prefilling.append(stream)
        return True

    def _step(self) -> None:
        """Generate a token for each stream and prefill one chunk."""
        prefilled_tokens = self._prefill_chunk()
        step_s = STEP_S + STEP_PER_STREAM_S * len(self._running)
        self._now_s += step_s + prefilled_tokens / PREFILL_TOKENS_PER_S
        for stream in self._running:
            self._generate_token(stream)
        self._running = [s for s in self._running if s.remaining_output_tokens > 0]
        prefilled = [s for s in self._prefilling if s.remaining_prompt_tokens <= 0]
        self._prefilling = [
            s for s in self._prefilling if s.remaining_prompt_tokens > 0
        ]
        for stream in prefilled:
            stream.is_late = self._now_s - stream.arrived_s > OBJECTIVE_S[stream.kind]
            stream.last_event_s = self._now_s
            stream.remaining_output_tokens = max(
                1, stream.remaining_output_tokens - TOKENS_PER_EVENT
            )
        self._running += prefilled

    def _prefill_chunk(self) -> float:
        budget = float(CHUNK_TOKENS)
        free_slots = MAX_RUNNING_STREAMS - len(self._running)
        for stream in self._prefilling[: max(0, free_slots)]:
            tokens = min(budget, stream.remaining_prompt_tokens)
            stream.remaining_prompt_tokens -= tokens
            budget -= tokens
        return CHUNK_TOKENS - budget

    def _generate_token(self, stream: Stream) -> None:
        stream.remaining_output_tokens -= 1
        stream.generated_tokens += 1
        is_event = stream.generated_tokens % TOKENS_PER_EVENT == 0
        if is_event or stream.remaining_output_tokens <= 0:
            pause_s = self._now_s - stream.last_event_s
            stream.longest_pause_s = max(stream.longest_pause_s, pause_s)
            stream.last_event_s = self._now_s
        if stream.remaining_output_tokens <= 0:
            outcome = self.outcomes[stream.kind]
            outcome.streams += 1
            has_long_pause = stream.longest_pause_s > MAX_PAUSE_S
            outcome.lost += stream.is_late or has_long_pause


def simulate(
    drafts_per_s: float,
    seed: int,
    *,
    has_prompt_spacing: bool,
    duration_s: float = 120.0,
) -> dict[RequestKind, Outcome]:
    """Simulate one load, in which about a fifth of the requests have long prompts."""
    rates_per_s = {
        RequestKind.DRAFT: drafts_per_s,
        RequestKind.TAGGING: 0.235 * drafts_per_s,
    }
    streams = make_streams(rates_per_s, duration_s, random.Random(seed))
    return Engine(streams, has_prompt_spacing=has_prompt_spacing).run()


def run_pauses() -> None:
    """Print the share of late or paused streams, by load."""
    print("| drafts per second | prompt spacing | drafts lost | tagging lost |")
    print("| --- | --- | --- | --- |")
    for drafts_per_s in (5.0, 8.0, 11.0):
        for has_prompt_spacing in (False, True):
            outcomes = simulate(drafts_per_s, 1, has_prompt_spacing=has_prompt_spacing)
            lost = " | ".join(f"{o.lost_share:.3f}" for o in outcomes.values())
            print(f"| {drafts_per_s:g} | {has_prompt_spacing} | {lost} |")
