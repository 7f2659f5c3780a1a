"""A buffered response that holds memory until it is written."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from ..memory import MemoryLease


class LeasedResponse(web.Response):
    """Response whose lease is closed once its body is written, or can't be.

    The connection is closed if the caller doesn't read the body in time, so that
    callers that stop reading don't keep memory from others.

    Parameters
    ----------
    lease : MemoryLease or None
        The memory of the body, None if it isn't limited.
    read_limit_s : float
        How long the caller may take to read the body.
    **options : object
        Those of the base class.
    """

    def __init__(
        self, lease: MemoryLease | None, read_limit_s: float, **options: Any
    ) -> None:
        super().__init__(**options)
        self._lease = lease
        self._read_limit_s = read_limit_s
        self._transport: asyncio.Transport | None = None

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the headers."""
        self._transport = request.transport
        try:
            return await super().prepare(request)
        except BaseException:
            self._close_lease()
            raise

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body.

        Raises
        ------
        ConnectionResetError
            The caller has not read the body in time; its connection is closed.
        """
        try:
            async with asyncio.timeout(self._read_limit_s):
                await super().write_eof(data)
        except TimeoutError as error:
            if self._transport is not None:
                self._transport.abort()
            raise ConnectionResetError("response not read in time") from error
        finally:
            self._close_lease()

    def _close_lease(self) -> None:
        if self._lease is not None:
            self._lease.close()
