"""Simulated engines under load, to compare endpoint selection policies.

Daemons learn of each other's prompts after a delay; all know the load.
Usage: ``python -m tests.relaying.prefix_play SEED ...``
"""

import heapq
import random
import sys
from collections import Counter, OrderedDict, deque, namedtuple
from itertools import count, pairwise, product

from chutelink.entry.endpoints import Endpoint, EndpointRecord, EndpointState
from chutelink.learning.durations import DurationTable
from chutelink.learning.health import HealthTable
from chutelink.learning.held_prefixes import HeldPrefixTable
from chutelink.learning.prefixes import PrefixTable
from chutelink.learning.speeds import FIRST_EVENT_S, SpeedTable
from chutelink.relaying.prefix_weighing import make_routing_policy
from chutelink.relaying.routing import RoutingRequest

DAEMONS, ENGINES, REPORT_DELAY_S, PLAY_S = 3, 6, 0.2, 120.0


FIELDS = "capacity slots tokens_per_s token_s requests_per_s documents document_tokens"
Shape = namedtuple("Shape", FIELDS)
SHAPES = {
    "small": Shape(24_000, 6, 9_000.0, 0.02, 9.0, 40, 3_000),
    "small-busy": Shape(24_000, 6, 9_000.0, 0.02, 11.0, 40, 3_000),
    "large": Shape(400_000, 16, 38_000.0, 0.01, 32.0, 150, 8_000),
    "large-busy": Shape(400_000, 16, 38_000.0, 0.01, 50.0, 150, 8_000),
}


class Engine:
    """An engine that evicts the least recently used parts that no request uses."""

    def __init__(self, shape: Shape, name: str, slowdown: float) -> None:
        identity = (name, "", "", "zone-a", EndpointState.READY)
        record = EndpointRecord(*identity, shape.slots, {})
        self.row = Endpoint(record)
        self.tokens_per_s, self.capacity = shape.tokens_per_s / slowdown, shape.capacity
        self.parts, self.used, self.waiting = OrderedDict(), Counter(), deque()
        self.running = self.read_until_s = 0

    def held(self, request: RoutingRequest) -> int:
        totals = (0, *request.chain_tokens)
        chain = (*request.chain, None)
        return next(
            t for t, v in zip(totals, chain, strict=True) if v not in self.parts
        )

    def keep(self, values: tuple[int, ...], totals: tuple[int, ...]) -> None:
        sizes = [after - before for before, after in pairwise((0, *totals))]
        for value, tokens in zip(reversed(values), reversed(sizes), strict=True):
            self.parts[value] = tokens
            self.parts.move_to_end(value)
        for value in [v for v in self.parts if not self.used[v]]:
            if sum(self.parts.values()) <= self.capacity:
                break
            del self.parts[value]


class Play:
    """One seeded load; ``read`` and ``in_vain`` count tokens as the engines do."""

    def __init__(self, shape: Shape, is_weighing: bool, seed: int) -> None:
        self.shape, self.rng = shape, random.Random(seed)
        engines = [Engine(shape, f"i-{n}", 1 + n % 2 / 2) for n in range(ENGINES)]
        self.engines = {engine.row.record.id: engine for engine in engines}
        self.speeds, self.durations = SpeedTable(), DurationTable()
        self.daemons = []
        for _ in range(DAEMONS):
            held = HeldPrefixTable(lambda _: shape.capacity)
            table = held if is_weighing else PrefixTable()
            tables = (HealthTable(), table, self.speeds, self.durations)
            policy = make_routing_policy(*tables, is_weighing=is_weighing)
            self.daemons.append((policy, table))
        self.first_s, self.read, self.in_vain = [], 0, 0
        self._events, self._ids = [], count(10**6)
        when_s, weights = 0.0, [1 / n for n in range(1, shape.documents + 1)]
        while when_s < PLAY_S:
            when_s += self.rng.expovariate(shape.requests_per_s)
            document = self.rng.choices(range(shape.documents), weights)[0]
            self._at(when_s, self._arrive, document, self.rng.randint(50, 200))
        while self._events:
            now_s, _, action, args = heapq.heappop(self._events)
            action(now_s, *args)
        self.mean_s = sum(self.first_s) / len(self.first_s)

    def _at(self, when_s: float, action, *args) -> None:
        heapq.heappush(self._events, (when_s, next(self._ids), action, args))

    def _arrive(self, now_s, document, output) -> None:
        tokens, chain = self.shape.document_tokens, (1, 10 + document, next(self._ids))
        totals = (500, 500 + tokens, 800 + tokens)
        prompt = (totals[-1], chain, totals)
        request = RoutingRequest("m0", "", *prompt, "zone-a", 0.8, output)
        policy, table = self.rng.choice(self.daemons)
        row = policy.choose([e.row for e in self.engines.values()], request, now_s)
        endpoint, before_s = row.record.id, row.reading_s
        read_s = policy.uncached_read_s(row, request, now_s)
        self.speeds.note_prompt(self.speeds.read_s("m0", totals[-1]))
        row.requests += 1
        row.reading_s += read_s
        for _, other in self.daemons:
            delay_s = REPORT_DELAY_S * (other is not table)
            note = (other.note, endpoint, chain, other.sizes(request))
            self._at(now_s + delay_s, lambda at_s, f, e, c, s: f(e, c, at_s, s), *note)
        expected_s = self.speeds.endpoint_factor(endpoint) * (read_s + before_s)
        engine, is_learned = self.engines[endpoint], before_s <= read_s
        engine.waiting.append((request, now_s, read_s, expected_s * is_learned))
        self._start(now_s, engine)

    def _start(self, now_s, engine) -> None:
        while engine.waiting and engine.running < self.shape.slots:
            request, *sent = engine.waiting.popleft()
            engine.running += 1
            held = engine.held(request)
            self.read += request.prompt_tokens - held
            self.in_vain += max(e.held(request) for e in self.engines.values()) - held
            engine.used.update(request.chain)
            engine.keep(request.chain, request.chain_tokens)
            read_s = (request.prompt_tokens - held) / engine.tokens_per_s
            engine.read_until_s = max(now_s, engine.read_until_s) + read_s
            first_s = engine.read_until_s + FIRST_EVENT_S
            self._at(first_s, self._first, engine, *sent)
            end_s = first_s + request.output_tokens * self.shape.token_s
            self._at(end_s, self._end, engine, request)

    def _first(self, now_s, engine, sent_s, read_s, expected_s) -> None:
        self.first_s.append(now_s - sent_s)
        engine.row.reading_s -= read_s
        self.speeds.note("m0", engine.row.record.id, expected_s, now_s - sent_s)

    def _end(self, now_s, engine, request) -> None:
        self.durations.note("m0", request.output_tokens * self.shape.token_s)
        engine.running -= 1
        engine.row.requests -= 1
        engine.used.subtract(request.chain)
        engine.keep((next(self._ids),), (request.output_tokens,))
        self._start(now_s, engine)


if __name__ == "__main__":
    for seed, name, on in product(map(int, sys.argv[1:]), SHAPES, (False, True)):
        play = Play(SHAPES[name], on, seed)
        p95_s = sorted(play.first_s)[int(0.95 * len(play.first_s))]
        print(seed, name, on, f"mean={play.mean_s:.3f} p95={p95_s:.3f}", end=" ")
        print(f"read={play.read} in_vain={play.in_vain}", flush=True)
