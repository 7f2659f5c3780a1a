"""A loopback proxy in front of the store that injects network faults."""

from __future__ import annotations

import asyncio

from tests.processes.blackhole_proxy import BlackholeProxy


class StoreProxy(BlackholeProxy):
    """Delays data, drops one direction, or resets open connections.

    Attributes
    ----------
    delay_s : float
        Delay of forwarded data.
    is_one_way : bool
        Whether the answers of the store are dropped.
    """

    def __init__(self, host: str, port: int, target: str) -> None:
        super().__init__(host, port, target)
        self.delay_s = 0.0
        self.is_one_way = False
        self._open_writers: set[asyncio.StreamWriter] = set()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._open_writers):
            writer.transport.abort()

    async def _async_forward_both(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open_writers.add(writer)
        try:
            await super()._async_forward_both(reader, writer)
        finally:
            self._open_writers.discard(writer)

    async def _async_forward(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.delay_s)
        is_answer = writer in self._open_writers
        if not (is_answer and self.is_one_way):
            await super()._async_forward(data, writer)
