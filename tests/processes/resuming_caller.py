"""Callers that resume broken streams, and see which software version wrote what."""

from __future__ import annotations

import asyncio
import itertools
import random
import re

import msgspec

from .deployment import CONNECTION_ERRORS
from .entry_deployment import EntryDeployment

EVENTS = 40
MAX_ATTEMPTS = 4
OK = 200
_EVENT = re.compile(rb"id: (\d+)\ndata: t(\d+)\nevent: (\S+)\n\n")


class StreamOutcome(msgspec.Struct):
    """What a caller received of one stream, over all its attempts.

    ``versions`` are the software versions that wrote its events. ``resumptions`` counts
    the attempts that resumed it, ``went_on`` those of them that brought an event or the
    end of the stream, ``refused`` the ids of those that were refused as not run, and
    ``refused_after_s`` how long each of these took.
    """

    id: str
    last_event: int = 0
    versions: set[str] = msgspec.field(default_factory=set)
    began_by: str = ""
    statuses: list[int] = []
    resumptions: int = 0
    went_on: int = 0
    refused: list[str] = []
    refused_after_s: list[float] = []
    is_complete: bool = False
    gaps: list[tuple[int, int]] = []


class ResumingCaller:
    """Sends streams to daemons, and resumes at others what breaks.

    Parameters
    ----------
    deployment : EntryDeployment
        Deployment with the daemons.
    rng : random.Random
        Chooses the daemons.
    """

    _numbers = itertools.count()

    def __init__(self, deployment: EntryDeployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self.daemons = [0]
        """The daemons to which attempts are sent."""
        self.prefix = "/stream"
        """Path of the route to which attempts are sent."""

    def begin(self, label: str) -> StreamOutcome:
        """Return a stream that has not been sent yet."""
        return StreamOutcome(f"{label}-{next(self._numbers)}")

    async def async_run(
        self, stream: StreamOutcome, *, close_after: tuple[int, ...] = ()
    ) -> StreamOutcome:
        """Send a stream, and resume it until it is complete or was tried too often.

        The connection is closed once the first, second, ... attempt has received as
        many events as ``close_after`` says.
        """
        for limit in itertools.islice(
            itertools.chain(close_after, itertools.repeat(EVENTS + 1)), MAX_ATTEMPTS
        ):
            await self.async_attempt(stream, self._rng.choice(self.daemons), limit)
            if stream.is_complete:
                break
        return stream

    async def async_attempt(
        self, stream: StreamOutcome, daemon: int, max_events: int = EVENTS + 1
    ) -> None:
        """Send one attempt, and close its connection after ``max_events`` events."""
        name = f"{stream.id}-{len(stream.statuses)}"
        headers = {"X_Model": "m0", "X_Token_Count": f"10,{EVENTS}"}
        is_resumption = stream.last_event > 0
        if is_resumption:
            stream.resumptions += 1
            headers |= {
                "Last_Event_Id": str(stream.last_event),
                "Resumes": stream.began_by,
            }
        before = stream.last_event
        status = 0
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            async with self._deployment.request(
                daemon, f"{self.prefix}/{stream.id}", name, **headers
            ) as answer:
                status = answer.status
                if status == OK:
                    await self._async_read(stream, name, answer, max_events)
        except CONNECTION_ERRORS:
            # The attempt broke; the stream is resumed after its last event.
            pass
        stream.statuses.append(status)
        if is_resumption:
            stream.went_on += stream.last_event > before or stream.is_complete
            if status == 503:
                stream.refused.append(name)
                stream.refused_after_s.append(loop.time() - sent_s)

    async def _async_read(
        self, stream: StreamOutcome, name: str, answer, max_events: int
    ) -> None:
        received = 0
        buffer = b""
        async for chunk in answer.content.iter_any():
            buffer += chunk
            for match in _EVENT.finditer(buffer):
                self._note_event(stream, name, int(match[1]), match[3].decode())
                received += 1
                if received >= max_events:
                    return
            buffer = (
                buffer[buffer.rfind(b"\n\n") + 2 :] if b"\n\n" in buffer else buffer
            )
        stream.is_complete = stream.last_event == EVENTS

    def _note_event(
        self, stream: StreamOutcome, name: str, number: int, version: str
    ) -> None:
        if number != stream.last_event + 1:
            stream.gaps.append((stream.last_event, number))
        if not stream.began_by:
            stream.began_by = name
        stream.last_event = number
        stream.versions.add(version)


def mixed(streams: list[StreamOutcome]) -> list[str]:
    """Return the streams that hold events of two software versions."""
    return [stream.id for stream in streams if len(stream.versions) > 1]
