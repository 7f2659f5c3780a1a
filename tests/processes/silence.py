"""A loopback proxy whose open connections fall silent for good, without a reset."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 65_536


class SilencingProxy:
    """Passes bytes on; what is open when it is silenced passes none any more.

    Parameters
    ----------
    host : str
        Where it listens.
    port : int
        The port that it listens on, and that of the target.
    target : str
        Where it connects.
    """

    def __init__(self, host: str, port: int, target: str) -> None:
        self._host = host
        self._port = port
        self._target = target
        self._generation = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.connections = 0

    async def async_start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._async_serve, self._host, self._port
        )

    def silence(self) -> int:
        """Silence what is open; return how many connections that are."""
        self._generation += 1
        silenced, self.connections = self.connections, 0
        return silenced

    async def async_close(self) -> None:
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(asyncio.CancelledError):
            await self._async_pass_both(reader, writer)

    async def _async_pass_both(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        generation = self._generation
        there, back = await asyncio.open_connection(self._target, self._port)
        self.connections += 1
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._async_pass(reader, back, generation))
                group.create_task(self._async_pass(there, writer, generation))
        finally:
            if generation == self._generation:
                self.connections -= 1
            back.close()
            writer.close()

    async def _async_pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        """Pass bytes on in one direction, until its side ends or is silenced."""
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                data = b""
            if generation != self._generation:
                # Neither bytes nor an end get through any more.
                await asyncio.Event().wait()
            if not data:
                writer.close()
                return
            try:
                await self._async_forward(data, writer)
            except ConnectionError:
                # The other side of a connection that was reset.
                return

    async def _async_forward(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
