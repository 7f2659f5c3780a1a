"""A client's HTTP connection whose received data, heads and responses are bounded.

The library parses whatever it receives: parts of an unfinished head, and many requests
ahead of the one that is being served. As objects they take up to a hundred times the
memory of the data. This class holds data back until a head is complete and the request
before it is answered, so that at most one request of a connection is parsed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from ..connections import count_unread_bytes
from ..gateway.refusals import Refusal, unavailable
from ..memory import NO_MEMORY_RETRY_S, MemoryBudget
from .const import (
    CHEAP_LINES,
    CHUNKED_PART_BYTES,
    FIELD_BYTES,
    FREE_FRAMING_BYTES,
    HEAD_END,
    HEAD_RECHECK_S,
    LIST_ITEM_BYTES,
    MAX_PIPELINED_BYTES,
    PARSER_LIMIT,
    READ_BUFFER_BYTES,
    RECEIVE_BYTES,
    REQUEST_LINE_BYTES,
    TEXT_COPIES,
    WRITE_BUFFER_BYTES,
)
from .parse_queue import ParseQueue, QueuedParser

HTTP_BAD_REQUEST = 400
HTTP_TIMEOUT = 408
HTTP_HEADERS_TOO_LARGE = 431
NO_HEAD_MEMORY = "no memory for the headers"
MAX_DETAIL_CHARACTERS = 200


class HeadLimits(msgspec.Struct, frozen=True):
    """Limits of a request's head: size of its fields, and time to send it."""

    size_bytes: int
    timeout_s: float

    @property
    def received_bytes(self) -> int:
        """Maximum size of a head as received, with spaces that don't count."""
        return 2 * self.size_bytes + REQUEST_LINE_BYTES


class BoundedRequestHandler(RequestHandler, QueuedParser):
    """A connection that parses one request at a time.

    Parameters
    ----------
    server : web.Server
        Handles its requests.
    parse_queue : ParseQueue
        Parses data that take much time.
    limits : callable
        Returns the limits of heads.
    head_memory : MemoryBudget
        Memory that parsed heads share.
    **options : object
        Those of the base class.
    """

    def __init__(
        self,
        server: web.Server,
        parse_queue: ParseQueue,
        limits: Callable[[], HeadLimits],
        head_memory: MemoryBudget,
        **options: Any,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(server, loop=loop, read_bufsize=READ_BUFFER_BYTES, **options)
        self._parser = HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=PARSER_LIMIT,
            max_field_size=PARSER_LIMIT,
            max_headers=PARSER_LIMIT,
            payload_exception=RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
        )
        self._parse_queue = parse_queue
        self._is_queued = False
        """Whether received data wait to be parsed."""
        self._limits = limits
        self._head_lease = head_memory.open()
        self._input = bytearray()
        """Received data that has not been parsed."""
        self._searched_bytes = 0
        """Part of it that contains no end of a head."""
        self._head_timer: asyncio.TimerHandle | None = None
        self._unfinished = 0
        """Requests that have been parsed, and not answered."""
        self._body: StreamReader = EMPTY_PAYLOAD
        self._body_left_bytes: int | None = None
        """Part of the body that has not been parsed; None if it is in chunks."""
        self._framing_bytes = 0
        """Data since the last byte of the body: chunk extensions or trailers."""
        self._has_failed = False
        self._since_s = loop.time()
        """When the connection was opened, or its last request was answered."""
        self._input_since_s = self._since_s
        """When the first of the received data that has not been parsed came."""
        self._body_since_s = 0.0
        """When the last head was complete."""
        self._received_s = 0.0
        """When data was received last."""

    @property
    def has_request(self) -> bool:
        """Whether a request has been received that is still to be answered."""
        return self._unfinished > 0 or HEAD_END in self._input

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection."""
        super().connection_made(transport)
        transport.max_size = RECEIVE_BYTES
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._cancel_head_timer()
        self._input.clear()
        self._head_lease.close()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received data as far as possible; without any, parse what is held."""
        if self._force_close or self._close or self._has_failed:
            return
        if data:
            self._received_s = self._loop.time()
            if not self._input:
                self._input_since_s = self._received_s
            self._input += data
        else:
            self._parse(b"")
        self._feed()

    def parse_next(self) -> None:
        """Parse one part of the data that waits in the queue."""
        self._is_queued = False
        self._feed(has_turn=True)

    def _feed(self, *, has_turn: bool = False) -> None:
        """Parse received data until a part is incomplete or has to wait its turn."""
        while self._can_parse():
            size_bytes = self._next_part_bytes()
            if not size_bytes:
                break
            if not has_turn and self._is_expensive(size_bytes):
                self._is_queued = True
                self._parse_queue.add(self)
                break
            has_turn = False
            self._parse_part(size_bytes)
        self._apply_backpressure()

    def _can_parse(self) -> bool:
        is_ended = self._force_close or self._close or self._has_failed
        return bool(self._input) and not is_ended and not self._is_queued

    def _is_expensive(self, size_bytes: int) -> bool:
        """Return whether data have many fields or chunks, rather than long ones."""
        is_plain_body = not self._body.is_eof() and self._body_left_bytes is not None
        if is_plain_body:
            return False
        return self._input.count(b"\n", 0, size_bytes) > CHEAP_LINES

    def _next_part_bytes(self) -> int:
        """Return the size of the data to parse next, 0 if they are incomplete."""
        if not self._body.is_eof():
            return self._next_body_bytes()
        return 0 if self._unfinished else self._next_head_bytes()

    def _next_head_bytes(self) -> int:
        """Return the size of the next head; a head above its limit is refused."""
        limits = self._limits()
        end = self._input.find(HEAD_END, max(0, self._searched_bytes - 3))
        size_bytes = len(self._input) if end < 0 else end + len(HEAD_END)
        if size_bytes > limits.received_bytes:
            self._refuse(Refusal(HTTP_HEADERS_TOO_LARGE, "headers too large"))
            return 0
        if end >= 0:
            self._cancel_head_timer()
            return size_bytes
        self._searched_bytes = size_bytes
        if self._head_timer is None:
            self._head_timer = self._loop.call_later(
                limits.timeout_s, self._handle_head_timeout
            )
        return 0

    def _next_body_bytes(self) -> int:
        """Return the size of the next part of a body, 0 if its reader is behind."""
        if self._reading_paused or self._upgraded:
            return 0
        if self._body_left_bytes is not None:
            return min(self._body_left_bytes, len(self._input))
        # The last chunk ends like a head. What follows it is another request.
        end = self._input.find(HEAD_END, 0, CHUNKED_PART_BYTES)
        if end >= 0:
            return end + len(HEAD_END)
        if len(self._input) > CHUNKED_PART_BYTES:
            return CHUNKED_PART_BYTES - len(HEAD_END)
        return len(self._input) - _partial_end_bytes(self._input)

    def _parse_part(self, size_bytes: int) -> None:
        data = bytes(memoryview(self._input)[:size_bytes])
        del self._input[:size_bytes]
        self._searched_bytes = 0
        if self._body.is_eof():
            self._parse_head(data)
        elif self._body_left_bytes is not None:
            self._body_left_bytes -= size_bytes
            self._parse(data)
        else:
            before_bytes = self._body.total_bytes
            self._parse(data)
            has_progress = self._body.total_bytes > before_bytes
            self._check_framing(data, has_progress=has_progress)

    def _parse_head(self, head: bytes) -> None:
        """Parse a head if there is memory for it."""
        memory_bytes = (
            TEXT_COPIES * len(head)
            + FIELD_BYTES * head.count(b"\n")
            + LIST_ITEM_BYTES * head.count(b",")
        )
        if self._head_lease.try_resize(memory_bytes):
            self._parse(head)
        else:
            self._refuse(unavailable(NO_HEAD_MEMORY, NO_MEMORY_RETRY_S))
            self.make_room()

    def make_room(self) -> bool:
        """Close connections whose clients stall; return whether there were any.

        Their memory is released in later iterations of the event loop.
        """
        return False

    def _check_framing(self, piece: bytes, *, has_progress: bool) -> None:
        """Limit chunk extensions and trailers like the fields of a head."""
        if has_progress or self._body.is_eof():
            self._framing_bytes = 0
            return
        self._framing_bytes += len(piece)
        if self._framing_bytes <= FREE_FRAMING_BYTES:
            return
        more_bytes = TEXT_COPIES * len(piece) + FIELD_BYTES * piece.count(b"\n")
        is_too_large = self._framing_bytes > self._limits().received_bytes
        if is_too_large or not self._head_lease.try_grow(more_bytes):
            self._has_failed = True
            self.transport.abort()

    def _parse(self, data: bytes) -> None:
        """Pass data to the parser, and note the request whose head it completes."""
        count = len(self._messages)
        super().data_received(data)
        if len(self._messages) > count:
            self._note_request(*self._messages[-1])

    def _note_request(self, message: RawRequestMessage, body: StreamReader) -> None:
        self._unfinished += 1
        self._body = body
        self._body_since_s = self._received_s
        self._framing_bytes = 0
        self._body_left_bytes = None
        if isinstance(message, _ErrInfo):
            self._has_failed = True
        elif not message.chunked and "Content-Length" in message.headers:
            self._body_left_bytes = int(message.headers["Content-Length"])

    def _refuse(self, refusal: Refusal) -> None:
        """Respond with a refusal, and close the connection."""
        self._cancel_head_timer()
        self._input.clear()
        self._messages.append(
            (_ErrInfo(refusal.status, refusal, refusal.title), EMPTY_PAYLOAD)
        )
        self._note_request(*self._messages[-1])
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _make_error_handler(
        self, err_info: _ErrInfo
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        """Return a handler that refuses a request which can't be parsed."""
        refusal = err_info.exc
        if not isinstance(refusal, Refusal):
            detail = err_info.message[:MAX_DETAIL_CHARACTERS]
            refusal = Refusal(HTTP_BAD_REQUEST, "malformed request", detail=detail)

        async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
            response = refusal.to_response()
            response.force_close()
            return response

        return async_handle

    async def _handle_request(
        self, request: web.BaseRequest, *arguments: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request, then parse the next one."""
        try:
            return await super()._handle_request(request, *arguments)
        finally:
            self._unfinished -= 1
            self._since_s = self._loop.time()
            self._head_lease.close()
            self._loop.call_soon(self._feed)

    def _apply_backpressure(self) -> None:
        """Receive no more while data that can't be parsed yet take too much."""
        is_held = self._is_queued or (self._unfinished > 0 and self._body.is_eof())
        if is_held and len(self._input) > MAX_PIPELINED_BYTES:
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
        elif self._buffer_paused:
            self._resume_reading_for_buffer()

    def _resume_reading_if_drained(self) -> None:
        """Parse what is held back; called by the library for each request."""
        self._feed()

    def _handle_head_timeout(self) -> None:
        """Refuse a head that was not sent in time, unless more of it has arrived."""
        self._head_timer = None
        if self.transport is None or self._unfinished or not self._input:
            return
        if self._count_unread_bytes():
            self._head_timer = self._loop.call_later(
                HEAD_RECHECK_S, self._handle_head_timeout
            )
            return
        self._refuse(Refusal(HTTP_TIMEOUT, "headers not sent in time"))

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _count_unread_bytes(self) -> int:
        return count_unread_bytes(self.transport.get_extra_info("socket").fileno())


def _partial_end_bytes(data: bytearray) -> int:
    """Return how many bytes at the end of the data may begin the end of a head."""
    for size_bytes in range(len(HEAD_END) - 1, 0, -1):
        if data.endswith(HEAD_END[:size_bytes]):
            return size_bytes
    return 0
