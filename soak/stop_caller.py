"""Callers that keep using their connections to a daemon until its process is gone."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable

import msgspec

from tests.processes.entry_deployment import BASE_PORT, EntryDeployment
from tests.processes.shutdown_sweep import ClientConnection

from .callers import RequestKind

LENGTH_SIGMA = 0.69
MEAN_EVENTS = 60
MAX_EVENTS = round(3.3 * MEAN_EVENTS)
SHORT_LIMIT_S = (1.0, 6.0)
"""Range of time limits that are shorter than the grace period."""
LONG_LIMIT_S = (9.0, 15.0)
DEFAULT_LIMIT_S = 60.0
"""Limit that a daemon assumes if neither the request nor its route states one."""
MAX_WAIT_S = 70.0
PAUSE_S = (0.01, 0.1)
LAST_BYTE_PAUSES_S = (0.0, 0.0, 0.03)
STALE_PROBABILITY = 0.3
"""Share of requests that ignore the addresses, as callers with old ones do."""
SWEEP_CONNECTIONS = 120
SWEEP_INTERVAL_S = 0.04
KEPT_PROBABILITY = 0.7
SWEEP_KINDS = (RequestKind.STREAM, *RequestKind)
OK = 200
_REQUEST_NUMBERS = itertools.count()


class StopOutcome(msgspec.Struct):
    """A request and how it ended, as its caller saw it.

    ``last_byte_s`` is when its last byte was sent, on the clock of the loop. Status 0
    means that there was no response; ``limit_s`` is its time limit.
    """

    id: str
    kind: RequestKind
    daemon: int
    events: int
    limit_s: float
    last_byte_s: float
    ended_s: float = math.inf
    status: int = 0
    outcome: str = ""
    body: bytes = b""
    is_whole: bool = False

    @property
    def has_whole_answer(self) -> bool:
        """Whether it got its complete response."""
        if self.status != OK or not self.is_whole:
            return False
        is_stream = self.kind is RequestKind.STREAM
        return not is_stream or self.body.count(b"id: ") == self.events

    @property
    def end(self) -> str:
        """How it ended, in a word."""
        if self.has_whole_answer:
            return "whole"
        if not self.status:
            return "closed"
        return "at its limit" if self.ended_at_limit else self.outcome or "cut"

    @property
    def ended_at_limit(self) -> bool:
        """Whether it lasted until its own time limit, which ends it in any case."""
        return self.ended_s - self.last_byte_s >= self.limit_s - LIMIT_TOLERANCE_S


LIMIT_TOLERANCE_S = 0.3
"""Daemons end requests somewhat earlier, so that the response arrives in time."""


class StopConnection(ClientConnection):
    """A keep-alive connection that reads complete and partial responses."""

    is_open = True

    async def async_exchange(
        self, request: bytes, pause_s: float, outcome: StopOutcome
    ) -> None:
        """Send a request and fill in its outcome."""
        loop = asyncio.get_running_loop()
        try:
            self._writer.write(request[:-1])
            await asyncio.sleep(pause_s)
            outcome.last_byte_s = loop.time()
            self._writer.write(request[-1:])
            async with asyncio.timeout(MAX_WAIT_S):
                await self._async_read(outcome)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            self.is_open = False
        outcome.ended_s = loop.time()
        if not self.is_open:
            self.close()

    async def _async_read(self, outcome: StopOutcome) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        status_line, *lines = head.split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        outcome.status = int(status_line.split()[1])
        outcome.outcome = headers.get("chutelink-outcome", "")
        if headers.get("transfer-encoding") == "chunked":
            await self._async_read_chunks(outcome)
        else:
            length = int(headers.get("content-length", "0"))
            outcome.body = await self._reader.readexactly(length)
        outcome.is_whole = True
        self.is_open = headers.get("connection") != "close"

    async def _async_read_chunks(self, outcome: StopOutcome) -> None:
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            outcome.body += (await self._reader.readexactly(size + 2))[:-2]
        await self._reader.readuntil(b"\r\n")


class StopCaller:
    """Sends requests of one kind, one at a time.

    Parameters
    ----------
    deployment : EntryDeployment
        Deployment with the daemons.
    kind : RequestKind
        Kind of its requests.
    seed : int
        Seed of its random choices.
    daemons : int
        Number of daemons.
    listed : callable
        Returns the numbers of the daemons whose addresses callers know.
    """

    def __init__(
        self,
        deployment: EntryDeployment,
        kind: RequestKind,
        seed: int,
        daemons: int,
        listed: Callable[[], list[int]],
    ) -> None:
        self._deployment = deployment
        self._kind = kind
        self._rng = random.Random(seed)
        self._daemons = daemons
        self._listed = listed
        self._connections: dict[int, StopConnection] = {}
        self.outcomes: list[StopOutcome] = []
        self.is_stopping = False

    async def async_run(self) -> None:
        """Send requests until stopped."""
        while not self.is_stopping:
            await self._async_send()
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        for connection in self._connections.values():
            connection.close()

    def _choose_daemon(self) -> int:
        known = {*self._listed(), *self._connections}
        if not known or self._rng.random() < STALE_PROBABILITY:
            return self._rng.randrange(self._daemons)
        return self._rng.choice(sorted(known))

    async def _async_send(self) -> None:
        daemon = self._choose_daemon()
        request, outcome = make_request(self._rng, self._kind, daemon)
        pause_s = self._rng.choice(LAST_BYTE_PAUSES_S)
        connection = self._connections.get(daemon)
        try:
            if connection is None:
                address = self._deployment.address(daemon)
                connection = await StopConnection.async_open(address, BASE_PORT)
        except ConnectionError:
            return
        self._connections[daemon] = connection
        self.outcomes.append(outcome)
        await connection.async_exchange(request, pause_s, outcome)
        if not connection.is_open:
            del self._connections[daemon]


class StopSweep:
    """Sends requests to one daemon from its SIGTERM until its process is gone.

    Parameters
    ----------
    deployment : EntryDeployment
        Deployment with the daemon.
    daemon : int
        Number of the daemon.
    seed : int
        Seed of its random choices.
    """

    def __init__(self, deployment: EntryDeployment, daemon: int, seed: int) -> None:
        self._address = deployment.address(daemon)
        self._daemon = daemon
        self._rng = random.Random(seed)
        self._idle: list[StopConnection] = []
        self.outcomes: list[StopOutcome] = []

    async def async_open(self) -> None:
        """Open the connections that the daemon will find idle when it stops."""
        for _ in range(SWEEP_CONNECTIONS):
            self._idle.append(await StopConnection.async_open(self._address, BASE_PORT))

    async def async_run(self, is_running: Callable[[], bool]) -> None:
        """Send requests until the process has exited, and wait for all of them."""
        sent = []
        while is_running():
            sent.append(asyncio.ensure_future(self._async_send()))
            await asyncio.sleep(SWEEP_INTERVAL_S)
        await asyncio.gather(*sent)
        for connection in self._idle:
            connection.close()

    async def _async_send(self) -> None:
        kind = self._rng.choice(SWEEP_KINDS)
        request, outcome = make_request(self._rng, kind, self._daemon)
        pause_s = self._rng.choice(LAST_BYTE_PAUSES_S)
        is_kept = self._idle and self._rng.random() < KEPT_PROBABILITY
        try:
            if is_kept:
                connection = self._idle.pop()
            else:
                connection = await StopConnection.async_open(self._address, BASE_PORT)
        except ConnectionError:
            return
        self.outcomes.append(outcome)
        await connection.async_exchange(request, pause_s, outcome)
        connection.close()


def make_request(
    rng: random.Random, kind: RequestKind, daemon: int
) -> tuple[bytes, StopOutcome]:
    """Return an encoded request of random length and time limit, and its outcome."""
    request_id = f"{kind.value}-{next(_REQUEST_NUMBERS)}"
    mu = math.log(MEAN_EVENTS) - LENGTH_SIGMA**2 / 2
    events = min(MAX_EVENTS, max(1, round(rng.lognormvariate(mu, LENGTH_SIGMA))))
    limits = (rng.uniform(*SHORT_LIMIT_S), rng.uniform(*LONG_LIMIT_S), None)
    limit_s = rng.choice(limits)
    lines = [
        f"POST /{kind.value}/{request_id} HTTP/1.1",
        "Host: a.example",
        f"X-Request-Id: {request_id}",
        f"Content-Length: {len(request_id)}",
    ]
    if limit_s is not None:
        lines.append(f"X-Deadline-Ms: {round(limit_s * 1000)}")
    if kind is RequestKind.STREAM:
        lines += ["X-Model: m0", f"X-Token-Count: 10,{events}"]
    request = "\r\n".join([*lines, "", request_id]).encode()
    now_s = asyncio.get_running_loop().time()
    outcome = StopOutcome(
        request_id, kind, daemon, events, limit_s or DEFAULT_LIMIT_S, now_s
    )
    return request, outcome
