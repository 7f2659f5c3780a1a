"""A loopback proxy before the store, whose connections can be disturbed."""

from __future__ import annotations

import asyncio

from tests.processes.silence import SilencingProxy


class StoreProxy(SilencingProxy):
    """Delays what it passes on, loses one direction, or resets what is open.

    Attributes
    ----------
    delay_s : float
        How long bytes are held back.
    is_one_way : bool
        Whether what the store answers is lost.
    """

    def __init__(self, host: str, port: int, target: str) -> None:
        super().__init__(host, port, target)
        self.delay_s = 0.0
        self.is_one_way = False
        self._open: set[asyncio.StreamWriter] = set()

    def reset(self) -> None:
        """Reset all connections that are open."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _async_pass_both(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            await super()._async_pass_both(reader, writer)
        finally:
            self._open.discard(writer)

    async def _async_forward(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.delay_s)
        is_answer = writer in self._open
        if not (is_answer and self.is_one_way):
            await super()._async_forward(data, writer)
