"""A buffered response that holds memory until it is written."""

from __future__ import annotations

from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from ..memory import MemoryLease


class LeasedResponse(web.Response):
    """Response whose lease is closed once its body is written, or can't be.

    Parameters
    ----------
    lease : MemoryLease or None
        The memory of the body, None if it isn't limited.
    **options : object
        Those of the base class.
    """

    def __init__(self, lease: MemoryLease | None, **options: Any) -> None:
        super().__init__(**options)
        self._lease = lease

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the headers."""
        try:
            return await super().prepare(request)
        except BaseException:
            self._close_lease()
            raise

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body."""
        try:
            await super().write_eof(data)
        finally:
            self._close_lease()

    def _close_lease(self) -> None:
        if self._lease is not None:
            self._lease.close()
