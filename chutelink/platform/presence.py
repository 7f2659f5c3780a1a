"""Presence checks over HTTP, by calls that only the expected process accepts."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
from multidict import CIMultiDictProxy

from ..entry.config import ServiceSpec
from ..entry.endpoints import EndpointRecord
from ..exceptions import EndpointFailed
from ..ids import ServiceName
from ..presence.check import Presence, PresenceCheck
from ..responses import MAX_CONTROL_BYTES, async_read_body
from .endpoints import PATH_REPORT, decode_report
from .headers import HEADER_EXPECT_INSTANCE

CHECK_TIMEOUT_S = 1.0
HEADER_INSTANCE = "X-Instance-Id"
HTTP_OK = 200
HTTP_OTHER_INSTANCE = 421


class HttpPresenceCheck(PresenceCheck):
    """Requests the report of an engine, or the health of another endpoint.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session whose connections are reused between calls.
    find_service : callable
        Returns the specification of a service, None if it is not configured.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        find_service: Callable[[ServiceName], ServiceSpec | None],
    ) -> None:
        self._session = session
        self._find_service = find_service
        self._timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)

    async def async_check(self, record: EndpointRecord) -> Presence:
        """Return whether the process of a registration responds at its address."""
        service = self._find_service(record.service)
        if service is None:
            return Presence.UNKNOWN
        has_report = service.engine is not None
        path = PATH_REPORT if has_report else service.health_path
        try:
            async with self._session.get(
                f"http://{record.address}{path}",
                headers={HEADER_EXPECT_INSTANCE: record.id},
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                body = await async_read_body(response, MAX_CONTROL_BYTES)
        except aiohttp.ClientConnectorError as error:
            is_refused = isinstance(error.os_error, ConnectionRefusedError)
            return Presence.REFUSED if is_refused else Presence.UNKNOWN
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            # The state of the process is unknown; the caller logs the result.
            return Presence.UNKNOWN
        if response.status == HTTP_OTHER_INSTANCE:
            return Presence.REPLACED
        if has_report and response.status == HTTP_OK:
            return _compare_report(record, body)
        return _compare_instance(record, response.headers)


def _compare_report(record: EndpointRecord, body: bytes) -> Presence:
    """Return whether a report is of the registered process, by its start."""
    try:
        born_ms = decode_report(record.id, body).born_ms
    except EndpointFailed:
        return Presence.UNKNOWN
    if born_ms and born_ms != record.born_ms:
        return Presence.REPLACED
    return Presence.SAME


def _compare_instance(
    record: EndpointRecord, headers: CIMultiDictProxy[str]
) -> Presence:
    """Return whether a response names the registered process.

    One that names none may be of a proxy, or of a process that is not ready yet. A
    process that was started again under its id isn't told from the former one.
    """
    instance = headers.get(HEADER_INSTANCE)
    if instance is None:
        return Presence.UNKNOWN
    return Presence.SAME if instance == record.id else Presence.REPLACED
