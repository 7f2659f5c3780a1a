"""Callers with persistent connections, and the outcomes of their requests."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from enum import Enum

import aiohttp
import msgspec

from tests.processes.entry_deployment import (
    BASE_PORT,
    CONNECTION_ERRORS,
    EntryDeployment,
)

from .plan import SilenceSetup

DEADLINE_S = 3.0
EVENTS_PER_STREAM = 20
MODELS = ("m0", "m1", "m2", "m3")
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 0.25


class RequestKind(Enum):
    """Kinds of requests, which differ in permitted repeats and in their answers."""

    ONCE = "once"
    AGAIN = "again"
    STREAM = "stream"


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of one request as its caller saw it; status 0 means no answer.

    ``is_whole`` is set if the answer ended as a complete answer does.
    """

    id: str
    kind: RequestKind
    daemon: int
    began_s: float
    ended_s: float
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    deadline_s: float = DEADLINE_S
    events: int = EVENTS_PER_STREAM


class Caller:
    """Sends requests of one kind to random daemons, one at a time.

    Parameters
    ----------
    deployment : EntryDeployment
        Deployment with the daemons.
    daemons : int
        Number of daemons.
    kind : RequestKind
        Kind of its requests.
    seed : int
        Seed of its random choices.
    silences : SilenceSetup or None
        Deadlines and lengths of streams, if the plan has silent endpoints.
    """

    _ids = itertools.count()

    def __init__(
        self,
        deployment: EntryDeployment,
        daemons: int,
        kind: RequestKind,
        seed: int,
        silences: SilenceSetup | None = None,
    ) -> None:
        self._deployment = deployment
        self._daemons = daemons
        self._kind = kind
        self._rng = random.Random(seed)
        self._silences = silences
        self.outcomes: list[Outcome] = []
        self.is_stopping = False

    async def async_run(self) -> None:
        """Send requests over persistent connections until stopped."""
        async with aiohttp.ClientSession() as session:
            while not self.is_stopping:
                daemon = self._rng.randrange(self._daemons)
                self.outcomes.append(await self.async_send(session, daemon))
                await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def async_send(self, session: aiohttp.ClientSession, daemon: int) -> Outcome:
        """Send one request and read its whole answer."""
        request_id = f"{self._kind.value}-{next(self._ids)}"
        loop = asyncio.get_running_loop()
        outcome = Outcome(
            request_id, self._kind, daemon, loop.time(), 0.0, **self._choose_lengths()
        )
        address = self._deployment.address(daemon)
        url = f"http://{address}:{BASE_PORT}/{self._kind.value}/{request_id}"
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(round(outcome.deadline_s * 1000)),
        }
        if self._kind is RequestKind.STREAM:
            headers["X-Model"] = self._rng.choice(MODELS)
            headers["X-Token-Count"] = f"10,{outcome.events}"
        status, body, is_whole = 0, b"", False
        try:
            async with session.post(
                url, data=request_id.encode(), headers=headers
            ) as answer:
                status = answer.status
                async for chunk in answer.content.iter_any():
                    body += chunk
                is_whole = True
        except CONNECTION_ERRORS:
            pass
        return msgspec.structs.replace(
            outcome, ended_s=loop.time(), status=status, body=body, is_whole=is_whole
        )

    def _choose_lengths(self) -> dict[str, float]:
        """Return the deadline and the number of events, if they vary."""
        if self._silences is None:
            return {}
        setup, rng = self._silences, self._rng
        return {
            "deadline_s": rng.uniform(setup.min_deadline_s, setup.max_deadline_s),
            "events": rng.randint(setup.min_events, setup.max_events),
        }


def count_statuses(outcomes: list[Outcome]) -> Counter[str]:
    """Count outcomes by kind of request and status."""
    return Counter(f"{outcome.kind.value} {outcome.status}" for outcome in outcomes)
