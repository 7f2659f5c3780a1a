"""A buffered response that holds memory until it is written."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from ..memory import MemoryLease

MIN_WRITE_S = 5.0
"""How long a caller may at least take to read its response."""


class LeasedResponse(web.Response):
    """Response whose lease is closed once its body is written, or can't be.

    Parameters
    ----------
    lease : MemoryLease or None
        The memory of the body, None if it isn't limited.
    limit_s : float
        The time left in which the caller may read the response.
    **options : object
        Those of the base class.
    """

    def __init__(
        self, lease: MemoryLease | None, limit_s: float, **options: Any
    ) -> None:
        super().__init__(**options)
        self._limit_s = max(limit_s, MIN_WRITE_S)
        self._lease = lease

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the headers."""
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
            The caller has not read it in time; its connection is closed.
        """
        transport = None if self._req is None else self._req.transport
        try:
            async with asyncio.timeout(self._limit_s):
                await super().write_eof(data)
        except TimeoutError as error:
            if transport is not None:
                transport.abort()
            raise ConnectionResetError("did not read in time") from error
        finally:
            self._close_lease()

    def _close_lease(self) -> None:
        if self._lease is not None:
            self._lease.close()
