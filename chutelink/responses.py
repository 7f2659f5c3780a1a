"""Limits on what is read of HTTP responses, whose senders may never stop.

Past a limit the connection is closed. The call counts as failed, with an unknown
outcome, as after any response that breaks off.
"""

from __future__ import annotations

from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDictProxy

from .memory import MemoryLease
from .response_syntax import (
    FIRST_FINAL_STATUS,
    STATUSES_WITHOUT_BODY,
    ChunkReader,
    HeadReader,
    MalformedResponse,
)

READ_BYTES: Final = 16 * 1024
"""Largest part of a body that is read at once."""
EVENTS_PER_ITERATION: Final = 16
"""Events of a stream that are forwarded in one iteration of the event loop."""
MAX_OVERHEAD_BYTES: Final = 256 * 1024
"""Limit of a head with its interim responses, and of what is sent without a body byte.

The library limits each header to 8 KB and their number to 128.
"""
MAX_CONTROL_BYTES: Final = 1024 * 1024
"""Limit of reports, answers to orders and health checks, which take some KB."""
MAX_STORE_BYTES: Final = 16 * 1024 * 1024
"""Limit of the table and object services' responses, whose pages take up to 1.4 MB."""
SWITCHING_STATUS: Final = 101
"""Status of a switch to another protocol, which no request asks for."""


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """A response exceeds its limit."""


def is_chunked(headers: CIMultiDictProxy[str]) -> bool:
    """Return whether a body is in chunks; other codings don't state where it ends."""
    codings = ",".join(headers.getall("Transfer-Encoding", ())).split(",")
    return codings[-1].strip().lower() == "chunked"


async def async_read_body(
    response: aiohttp.ClientResponse, max_bytes: int, lease: MemoryLease | None = None
) -> bytes:
    """Return the body of a response.

    With a lease, its memory is taken before it is read. The lease covers the body until
    it is closed.

    Raises
    ------
    ResponseTooLarge
        The body has more than ``max_bytes``.
    """
    parts: list[bytes] = []
    size_bytes = 0
    try:
        while True:
            if lease is not None:
                await lease.async_resize(size_bytes + READ_BYTES)
            part = await response.content.read(READ_BYTES)
            if not part:
                return b"".join(parts)
            size_bytes += len(part)
            if size_bytes > max_bytes:
                response.close()
                raise ResponseTooLarge(f"body has more than {max_bytes} bytes")
            parts.append(part)
    finally:
        # The traceback of an error may keep them until the next garbage collection.
        parts.clear()


class BoundedResponseHandler(ResponseHandler):
    """Closes a connection whose peer sends data, but no valid response.

    This covers data that are not HTTP (see `response_syntax`) or that no request asked
    for, and endless heads, interim responses, chunk extensions and trailers. Bodies are
    limited where they are read: the library stops receiving while nobody reads them.

    A body that ends with a connection reset is incomplete, also if it has no length:
    the library treats that as complete, however its connection ends.
    """

    _awaits_head = False
    _overhead_bytes = 0
    _head_reader: HeadReader | None = None
    _chunk_reader: ChunkReader | None = None
    """None unless the body of the response is in chunks."""

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to a request."""
        self._awaits_head = True
        self._overhead_bytes = 0
        self._head_reader = HeadReader()
        self._chunk_reader = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of a response, unless it switches the protocol."""
        message, _ = data
        if message.code == SWITCHING_STATUS:
            # The library would return it as the final response.
            self._fail(aiohttp.ClientPayloadError("protocol switched unasked"))
            return
        if message.code >= FIRST_FINAL_STATUS:
            self._awaits_head = False
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received data; without any, the parser resumes with what it has."""
        if not data:
            super().data_received(data)
            return
        if self._is_idle():
            self._fail(ResponseTooLarge("data without a request"))
            return
        before = self._progress()
        try:
            checked = self._check(data)
        except MalformedResponse as error:
            self._fail(error)
            return
        if checked:
            super().data_received(checked)
        else:
            # The parser would do it; it is not called without data.
            self._reschedule_timeout()
        if self._progress() != before:
            self._overhead_bytes = 0
            return
        self._overhead_bytes += len(data)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail(ResponseTooLarge("head or chunk framing too large"))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body before the parser can treat it as complete."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)

    def _check(self, data: bytes) -> bytes:
        """Return the data that may be parsed; an incomplete head is held back."""
        heads, body = b"", data
        if self._awaits_head:
            heads, body = self._head_reader.read(data)
            if self._head_reader.is_chunked and self._has_body():
                self._chunk_reader = ChunkReader()
        if self._chunk_reader is not None:
            self._chunk_reader.read(body)
        return heads + body

    def _has_body(self) -> bool:
        is_without = self._head_reader.status in STATUSES_WITHOUT_BODY
        return not self._skip_payload and not is_without

    def _is_idle(self) -> bool:
        """Return whether the response to the last request is complete."""
        if self._awaits_head:
            return False
        return self._payload is None or self._payload.is_eof()

    def _progress(self) -> tuple[bool, int]:
        """Return what changes with each final head and body byte."""
        payload = self._payload
        return self._awaits_head, 0 if payload is None else payload.total_bytes

    def _fail(self, error: aiohttp.ClientPayloadError) -> None:
        payload, transport = self._payload, self.transport
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if transport is not None:
            transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections are closed if their peers send without end."""

    def __init__(self, **options: Any) -> None:
        super().__init__(use_dns_cache=False, **options)
        self._factory = self.make_handler

    def make_handler(self) -> BoundedResponseHandler:
        """Return the handler of a new connection."""
        return BoundedResponseHandler(loop=self._loop)
