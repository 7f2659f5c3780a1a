"""Platform services over HTTP and JSON."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import msgspec

from ..clock import now_s
from ..decoding import decode_json
from ..exceptions import (
    PlatformUnavailable,
    TransactionConflict,
    WriteOutcomeUnknown,
)
from ..responses import MAX_STORE_BYTES, async_read_body
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
from .breaker import CircuitBreaker
from .connections import close_idle_connections

HTTP_OK = 200
FIRST_REDIRECT = 300
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
FIRST_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
HTTP_INSUFFICIENT_STORAGE = 507

DEFAULT_STATUSES = frozenset({HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT})
"""Statuses that a healthy service returns in the project's own protocol."""

READ_RETRY_FRACTION = 0.4
"""Fraction of the timeout after which a read is retried on a new connection.

Covers a pooled connection that no longer responds but was not reset, which only a
timeout detects. Most responses take about 10 ms; slow ones take half of the timeout,
so the first attempt is kept open during the retry.
"""
MIN_LOOP_LAG_S = 0.02
"""Timer delay above which the event loop is considered to have been blocked."""


class ServiceResponse(msgspec.Struct, frozen=True):
    """Status, body and headers of a response from a platform service."""

    status: int
    body: bytes
    headers: Mapping[str, str] = {}


_SendAttempt = Callable[[], Awaitable[ServiceResponse]]


class ReadRetry(msgspec.Struct, frozen=True):
    """A read that is retried because there was no response.

    ``waited_s`` is the time waited before the retry, ``lag_s`` the part of it during
    which the event loop was blocked, and ``closed`` the number of pooled connections
    that were closed.
    """

    step: str
    waited_s: float
    lag_s: float
    closed: int


class _CommitResponse(msgspec.Struct, frozen=True):
    """Response of the table service to a transaction that it has committed."""

    version: int


class _ConflictResponse(msgspec.Struct, frozen=True):
    """Response to a transaction of which a check failed."""

    conflict: str = ""


def _may_be_applied(status: int) -> bool:
    """Return whether a write with an unexpected status may have been applied."""
    if status >= FIRST_SERVER_ERROR:
        return status not in (HTTP_UNAVAILABLE, HTTP_INSUFFICIENT_STORAGE)
    return status < FIRST_REDIRECT


class PlatformServiceClient:
    """Calls a platform service with a timeout and a circuit breaker.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Pools the connections.
    settings : PlatformSection
        URL, key and limits.
    peer : str
        Name of the service, used in error messages.
    statuses : frozenset of int
        Statuses that a healthy service returns.
    on_retry : callable, optional
        Called with each retry of a read. Without it, reads are not retried.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSection,
        peer: str,
        statuses: frozenset[int] = DEFAULT_STATUSES,
        on_retry: Callable[[ReadRetry], None] | None = None,
    ) -> None:
        self._session = session
        self._on_retry = on_retry
        self._settings = settings
        self.peer = peer
        self._statuses = statuses
        self.breaker = CircuitBreaker(
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
    ) -> ServiceResponse:
        """Send a call and classify failures by whether it may have taken effect.

        ``wait_s`` is how long the service may hold back its response in a long poll;
        it is added to the timeout. A read without a response is retried
        once, with ``retry_params``, because the rest of the timeout leaves no time
        for a long poll. Reads are not retried while calls are failing: by then the
        unresponsive connections are closed.

        Raises
        ------
        PlatformUnavailable
            The service could not be reached, did not respond in time or returned an
            unexpected status.
        WriteOutcomeUnknown
            A conditional write was sent but its response was lost, or doesn't say
            whether the write was applied.
        """

        async def async_send(query: dict[str, str] | None) -> ServiceResponse:
            self.breaker.before_call(step)
            async with self._session.request(
                method,
                self._settings.url + path,
                params=query,
                data=body,
                headers=self._headers,
                allow_redirects=False,
            ) as response:
                received = await async_read_body(response, MAX_STORE_BYTES)
                return ServiceResponse(response.status, received, response.headers)

        try:
            async with asyncio.timeout(self._settings.timeout_s + wait_s):
                may_retry = is_read and self._on_retry is not None
                if may_retry and not self.breaker.is_failing:
                    attempts = (
                        functools.partial(async_send, params),
                        functools.partial(async_send, retry_params or params),
                    )
                    response = await self._async_send_with_retry(attempts, step, wait_s)
                else:
                    response = await async_send(params)
        except aiohttp.ClientConnectorError as error:
            self.breaker.note_failure()
            raise PlatformUnavailable(str(error), step=step, peer=self.peer) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            self.breaker.note_failure()
            kind = WriteOutcomeUnknown if is_conditional_write else PlatformUnavailable
            message = str(error) or type(error).__name__
            raise kind(message, step=step, peer=self.peer) from error
        if response.status in self._statuses:
            self.breaker.note_success()
            return response
        self.breaker.note_failure()
        is_unknown = is_conditional_write and _may_be_applied(response.status)
        kind = WriteOutcomeUnknown if is_unknown else PlatformUnavailable
        raise kind(f"status {response.status}", step=step, peer=self.peer)

    def check_ok(self, response: ServiceResponse, step: str) -> None:
        """Raise PlatformUnavailable if a response has another status than 200."""
        if response.status != HTTP_OK:
            message = f"status {response.status}"
            raise PlatformUnavailable(message, step=step, peer=self.peer)

    async def _async_send_with_retry(
        self,
        sends: tuple[_SendAttempt, _SendAttempt],
        step: str,
        wait_s: float,
    ) -> ServiceResponse:
        """Send a request, retry it if needed, and return the first response."""
        started_s = now_s()
        async_send, async_send_again = sends
        first = asyncio.ensure_future(async_send())
        attempts = {first}
        retry_after_s = wait_s + READ_RETRY_FRACTION * self._settings.timeout_s
        try:
            await asyncio.wait(attempts, timeout=retry_after_s)
            lag_s = now_s() - started_s - retry_after_s
            if not first.done() and lag_s > MIN_LOOP_LAG_S:
                # The response may have arrived while the event loop was blocked.
                await asyncio.wait(attempts, timeout=min(lag_s, retry_after_s))
            if first.done():
                return first.result()
            closed = close_idle_connections(self._session, self._settings.url)
            attempts.add(asyncio.ensure_future(async_send_again()))
            self._on_retry(ReadRetry(step, now_s() - started_s, lag_s, closed))
            return await _async_first_response(attempts)
        finally:
            for task in attempts:
                task.cancel()


async def _async_first_response(
    attempts: set[asyncio.Future[ServiceResponse]],
) -> ServiceResponse:
    """Return the first response, or raise the last error if all attempts fail."""
    pending = set(attempts)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        responses = [task.result() for task in done if task.exception() is None]
        if responses:
            return responses[0]
        if not pending:
            return done.pop().result()


class HttpTableService(TableService):
    """Table service over HTTP."""

    def __init__(self, client: PlatformServiceClient) -> None:
        self._client = client

    async def async_read(self, prefix: str, after_version: int = 0) -> RowPage:
        """Return the rows of a prefix that changed after a version."""
        step = "table.read"
        response = await self._client.async_call(
            "GET",
            "/v1/table/rows",
            step=step,
            params={"prefix": prefix, "after": str(after_version)},
        )
        self._client.check_ok(response, step)
        try:
            return decode_json(response.body, RowPage)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(
                str(error), step=step, peer=self._client.peer
            ) from error

    async def async_transact(self, transaction: Transaction) -> Commit:
        """Commit a transaction."""
        step = "table.transact"
        response = await self._client.async_call(
            "POST",
            "/v1/table/transactions",
            step=step,
            body=msgspec.json.encode(transaction),
            is_conditional_write=True,
        )
        is_conflict = response.status == HTTP_CONFLICT
        if not is_conflict:
            self._client.check_ok(response, step)
        try:
            if not is_conflict:
                return Commit(decode_json(response.body, _CommitResponse).version)
            failed = decode_json(response.body, _ConflictResponse).conflict
        except msgspec.MsgspecError as error:
            raise WriteOutcomeUnknown(
                str(error), step=step, peer=self._client.peer
            ) from error
        raise TransactionConflict(failed, step=step, peer=failed)


class HttpObjectStore(ObjectStore):
    """Object store over HTTP."""

    def __init__(self, client: PlatformServiceClient) -> None:
        self._client = client

    async def async_put(self, name: str, body: bytes) -> None:
        """Store an object under its hash."""
        step = "objects.put"
        response = await self._client.async_call(
            "PUT", f"/v1/objects/{name}", step=step, body=body
        )
        self._client.check_ok(response, step)

    async def async_get(self, name: str) -> bytes | None:
        """Return an object's body, or None if it does not exist."""
        step = "objects.get"
        response = await self._client.async_call(
            "GET", f"/v1/objects/{name}", step=step
        )
        if response.status == HTTP_NOT_FOUND:
            return None
        self._client.check_ok(response, step)
        return response.body


class HttpVmList(VmList):
    """VM list over HTTP."""

    def __init__(self, client: PlatformServiceClient) -> None:
        self._client = client

    async def async_list(self) -> list[Vm]:
        """Return the current content of the list."""
        response = await self._client.async_call("GET", "/v1/vms", step="vms.list")
        self._client.check_ok(response, "vms.list")
        try:
            return decode_json(response.body, list[Vm])
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(
                str(error), step="vms.list", peer=self._client.peer
            ) from error


def async_setup_platform(
    session: aiohttp.ClientSession, settings: PlatformSection
) -> Platform:
    """Return the platform services, each with its own circuit breaker."""
    return Platform(
        table=HttpTableService(PlatformServiceClient(session, settings, "table")),
        objects=HttpObjectStore(PlatformServiceClient(session, settings, "objects")),
        vms=HttpVmList(PlatformServiceClient(session, settings, "vms")),
    )
