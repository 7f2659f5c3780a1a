"""The platform over HTTP and JSON."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import msgspec

from ..clock import now_s
from ..exceptions import (
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..settings import PlatformSection
from .base import (
    Commit,
    ObjectStore,
    Platform,
    RowPage,
    TableService,
    Transaction,
    Vm,
    VmList,
)
from .breaker import Breaker
from .connections import close_idle_connections

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


OWN_DIALECT_STATUSES = frozenset({HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT})
"""What the services of the project's own protocol answer when they are well."""


SECOND_TRY_SHARE = 0.4
"""Share of the time limit after which a read is sent again, on a new connection.

Guards against a kept connection that has fallen silent, which only a time limit shows.
Most answers take some 10 ms; slow ones take half of the limit and are waited for.
"""
MIN_LAG_S = 0.02
"""Timers that are later than this show that the event loop was blocked."""


class Answer(msgspec.Struct, frozen=True):
    """Status, body and headers of a platform's answer."""

    status: int
    body: bytes
    headers: Mapping[str, str] = {}


_Send = Callable[[], Awaitable[Answer]]


class ReadRetry(msgspec.Struct, frozen=True):
    """A read that is sent a second time because there was no answer.

    ``waited_s`` is how long, ``lag_s`` how much of it the event loop was blocked;
    ``closed`` is how many kept connections are not used again.
    """

    step: str
    waited_s: float
    lag_s: float
    closed: int


class _CommitAnswer(msgspec.Struct, frozen=True):
    """What the table service says of a transaction."""

    version: int = 0
    conflict: str = ""


class HttpCaller:
    """Calls one of the platform's services with a time limit and a breaker.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Keeps connections.
    settings : PlatformSection
        Where the service is, and the limits.
    peer : str
        Its name, for errors.
    statuses : frozenset of int
        What it answers when it is well.
    on_retry : callable, optional
        Called with each second try of a read. Without it reads are sent once.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSection,
        peer: str,
        statuses: frozenset[int] = OWN_DIALECT_STATUSES,
        on_retry: Callable[[ReadRetry], None] | None = None,
    ) -> None:
        self._session = session
        self._on_retry = on_retry
        self._settings = settings
        self.peer = peer
        self._statuses = statuses
        self.breaker = Breaker(
            peer,
            settings.calls_per_s,
            now_s,
            random.Random(),
            settings.max_pause_s,
        )
        self._headers = {"Authorization": f"Bearer {settings.key}"}

    async def async_call(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
        retry_params: dict[str, str] | None = None,
        is_conditional_write: bool = False,
        is_read: bool = False,
        wait_s: float = 0.0,
    ) -> Answer:
        """Send one call; classify what goes wrong by whether it can matter.

        ``wait_s`` is how much longer the answer may be held back by the service. A
        read is sent a second time when there is no answer for long, then with
        ``retry_params``: what is left of the time limit allows no wait. While calls
        fail it is sent once: the connections that fell silent are closed by then.
        """

        async def async_send(query: dict[str, str] | None) -> Answer:
            self.breaker.before_call(step)
            async with self._session.request(
                method,
                self._settings.url + path,
                params=query,
                data=body,
                headers=self._headers,
            ) as response:
                received = await response.read()
                return Answer(response.status, received, response.headers)

        try:
            async with asyncio.timeout(self._settings.timeout_s + wait_s):
                may_repeat = is_read and self._on_retry is not None
                if may_repeat and not self.breaker.is_failing:
                    tries = (
                        functools.partial(async_send, params),
                        functools.partial(async_send, retry_params or params),
                    )
                    answer = await self._async_twice(tries, step, wait_s)
                else:
                    answer = await async_send(params)
        except aiohttp.ClientConnectorError as error:
            self.breaker.note_failure()
            raise PlatformUnavailable(str(error), step=step, peer=self.peer) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            self.breaker.note_failure()
            kind = WriteOutcomeUnknown if is_conditional_write else PlatformUnavailable
            message = str(error) or type(error).__name__
            raise kind(message, step=step, peer=self.peer) from error
        if answer.status in self._statuses:
            self.breaker.note_success()
            return answer
        self.breaker.note_failure()
        raise PlatformUnavailable(f"status {answer.status}", step=step, peer=self.peer)

    async def _async_twice(
        self,
        sends: tuple[_Send, _Send],
        step: str,
        wait_s: float,
    ) -> Answer:
        """Return the answer of whichever try is answered first."""
        started_s = now_s()
        async_send, async_send_again = sends
        first = asyncio.ensure_future(async_send())
        tries = {first}
        patience_s = wait_s + SECOND_TRY_SHARE * self._settings.timeout_s
        try:
            await asyncio.wait(tries, timeout=patience_s)
            lag_s = now_s() - started_s - patience_s
            if not first.done() and lag_s > MIN_LAG_S:
                # The answer may have arrived while the loop was blocked.
                await asyncio.wait(tries, timeout=min(lag_s, patience_s))
            if first.done():
                return first.result()
            closed = close_idle_connections(self._session, self._settings.url)
            tries.add(asyncio.ensure_future(async_send_again()))
            self._on_retry(ReadRetry(step, now_s() - started_s, lag_s, closed))
            return await _async_first_answer(tries)
        finally:
            for task in tries:
                task.cancel()


async def _async_first_answer(tries: set[asyncio.Future[Answer]]) -> Answer:
    """Return the first answer, or raise the last error when no try is answered."""
    open_tries = set(tries)
    while True:
        done, open_tries = await asyncio.wait(
            open_tries, return_when=asyncio.FIRST_COMPLETED
        )
        answers = [task.result() for task in done if task.exception() is None]
        if answers:
            return answers[0]
        if not open_tries:
            return done.pop().result()


class HttpTableService(TableService):
    """The table service over HTTP."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller
        self._page_decoder = msgspec.json.Decoder(RowPage)

    async def async_read(self, prefix: str, after_version: int = 0) -> RowPage:
        """Return rows of a prefix that changed after a version."""
        step = "table.read"
        answer = await self._caller.async_call(
            "GET",
            "/v1/table/rows",
            step=step,
            params={"prefix": prefix, "after": str(after_version)},
        )
        try:
            return self._page_decoder.decode(answer.body)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(
                str(error), step=step, peer=self._caller.peer
            ) from error

    async def async_transact(self, transaction: Transaction) -> Commit:
        """Commit a transaction."""
        step = "table.transact"
        answer = await self._caller.async_call(
            "POST",
            "/v1/table/transactions",
            step=step,
            body=msgspec.json.encode(transaction),
            is_conditional_write=True,
        )
        try:
            result = msgspec.json.decode(answer.body, type=_CommitAnswer)
        except msgspec.MsgspecError as error:
            raise WriteOutcomeUnknown(
                str(error), step=step, peer=self._caller.peer
            ) from error
        if answer.status == HTTP_CONFLICT:
            raise TransactionConflict(result.conflict, step=step, peer=result.conflict)
        return Commit(result.version)


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def async_put(self, name: str, body: bytes) -> None:
        """Store a body under its hash."""
        await self._caller.async_call(
            "PUT", f"/v1/objects/{name}", step="objects.put", body=body
        )

    async def async_get(self, name: str) -> bytes | None:
        """Return a body, or None."""
        answer = await self._caller.async_call(
            "GET", f"/v1/objects/{name}", step="objects.get"
        )
        return None if answer.status == HTTP_NOT_FOUND else answer.body


class HttpVmList(VmList):
    """The VM list over HTTP."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def async_list(self) -> list[Vm]:
        """Return the VMs as the list has them now."""
        answer = await self._caller.async_call("GET", "/v1/vms", step="vms.list")
        try:
            return msgspec.json.decode(answer.body, type=list[Vm])
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(
                str(error), step="vms.list", peer=self._caller.peer
            ) from error


def async_setup_platform(
    session: aiohttp.ClientSession, settings: PlatformSection
) -> Platform:
    """Return the platform's parts, each behind a breaker of its own."""
    return Platform(
        table=HttpTableService(HttpCaller(session, settings, "table")),
        objects=HttpObjectStore(HttpCaller(session, settings, "objects")),
        vms=HttpVmList(HttpCaller(session, settings, "vms")),
    )
