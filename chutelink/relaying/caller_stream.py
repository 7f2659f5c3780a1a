"""The caller-facing side of a streamed response."""

from __future__ import annotations

import asyncio
import socket
import struct

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from ..core import Application
from ..exceptions import CallerGone
from .sse import StreamEvent

MIN_DRAIN_S = 5.0
"""How long a caller may at least take to read its last events, or a response."""
CLOSE_RESETS = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which the close of a socket resets its connection."""
CLOSE_ENDS = struct.pack("ii", 0, 0)


class CallerStream:
    """Writes a streamed response; its headers are sent with the first event.

    Parameters
    ----------
    request : web.BaseRequest
        The caller's request.
    core : Application
        While it drains, connections are closed after their responses.
    """

    def __init__(self, request: web.BaseRequest, core: Application) -> None:
        self._request = request
        self._core = core
        self._response: web.StreamResponse | None = None
        self.events = 0
        self.last_event_s: float | None = None
        self.is_aborted = False
        self.is_sending = False
        """Whether the caller has yet to read events before more can be sent."""

    @property
    def has_sent_headers(self) -> bool:
        """Whether the status line and headers have been sent."""
        return self._response is not None

    async def async_send_headers(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status line and headers of the first endpoint; once only."""
        if self._response is not None:
            return
        response = web.StreamResponse(status=status, headers=headers)
        if self._core.is_draining or self._request.version < HttpVersion11:
            # Without chunks, only the end of the connection ends the response.
            response.force_close()
        self._response = response
        await response.prepare(self._request)
        self._set_linger(CLOSE_RESETS)

    async def async_send(self, event: StreamEvent) -> None:
        """Forward an event.

        Raises
        ------
        CallerGone
            The connection is closed.
        """
        self.events += 1
        self.is_sending = True
        try:
            await self._response.write(event.data)
        except ConnectionError as error:
            raise CallerGone(str(error), step="caller.send") from error
        self.is_sending = False

    async def async_finish(self, limit_s: float) -> web.StreamResponse:
        """End the response as complete.

        ``limit_s`` is the time left in which the caller may read its last events.

        Raises
        ------
        CallerGone
            The caller doesn't read.
        """
        if self._core.is_draining:
            # Headers sent before draining began promised a persistent connection.
            self._response.force_close()
        try:
            async with asyncio.timeout(max(limit_s, MIN_DRAIN_S)):
                await self._response.write_eof()
                await self._async_end_connection()
        except TimeoutError as error:
            self._discard_unsent()
            raise CallerGone("did not read in time", step="caller.finish") from error
        return self._response

    async def _async_end_connection(self) -> None:
        """Let the close of the connection end a whole response without chunks.

        Until all of it is sent, the end of this process has to reset the connection.
        """
        transport = self._request.transport
        if self._request.version >= HttpVersion11 or transport is None:
            return
        transport.set_write_buffer_limits(0)
        await self._request.writer.drain()
        self._set_linger(CLOSE_ENDS)

    def _set_linger(self, value: bytes) -> None:
        """Set what the close of a connection does whose end ends the response.

        A response to HTTP/1.0 has no chunks. After an error or at the end of this
        process, an ordinary close would make it appear complete.
        """
        transport = self._request.transport
        if self._request.version >= HttpVersion11 or transport is None:
            return
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def abort(self) -> web.StreamResponse:
        """Close the connection, so that the response can't appear complete."""
        self.is_aborted = True
        if self._request.transport is not None:
            self._request.transport.close()
            loop = asyncio.get_running_loop()
            loop.call_later(MIN_DRAIN_S, self._discard_unsent)
        return self._response

    def _discard_unsent(self) -> None:
        if self._request.transport is not None:
            self._request.transport.abort()
