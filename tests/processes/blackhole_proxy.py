"""A loopback proxy that can be cut, or blackhole its open connections."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 65_536


class BlackholeProxy:
    """Forwards bytes, and can blackhole the connections that are open.

    A blackholed connection stays open but forwards nothing any more. While the proxy is
    cut, it holds all bytes, those of new connections too.

    Parameters
    ----------
    host : str
        Address that the proxy listens on.
    port : int
        Port of both the proxy and the target.
    target : str
        Address of the target.
    """

    def __init__(self, host: str, port: int, target: str) -> None:
        self._host = host
        self._port = port
        self._target = target
        self._generation = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.connections = 0
        self._is_healed = asyncio.Event()
        self._is_healed.set()

    async def async_start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._async_serve, self._host, self._port
        )

    def blackhole(self) -> int:
        """Blackhole the open connections, and return how many there were."""
        self._generation += 1
        blackholed, self.connections = self.connections, 0
        return blackholed

    def cut(self) -> None:
        """Hold all bytes and ends of connections until ``heal`` is called."""
        self._is_healed.clear()

    def heal(self, *, loses_held: bool = False) -> None:
        """Forward again what was held, or close all connections without it."""
        if loses_held:
            for task in self._tasks:
                task.cancel()
        self._is_healed.set()

    async def async_close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(asyncio.CancelledError):
            await self._async_forward_both(reader, writer)

    async def _async_forward_both(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        generation = self._generation
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target, self._port
            )
        except OSError:
            # The target is down, and so the connection is reset.
            writer.transport.abort()
            return
        self.connections += 1
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._async_forward_one_way(reader, target_writer, generation)
                )
                group.create_task(
                    self._async_forward_one_way(target_reader, writer, generation)
                )
        finally:
            if generation == self._generation:
                self.connections -= 1
            target_writer.close()
            writer.close()

    async def _async_forward_one_way(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        """Forward bytes in one direction until its source ends or is blackholed."""
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                data = b""
            if generation != self._generation:
                # Forward neither data nor the end of the stream any more.
                await asyncio.Event().wait()
            await self._is_healed.wait()
            if not data:
                writer.close()
                return
            try:
                await self._async_forward(data, writer)
            except ConnectionError:
                # The other side has reset its connection.
                return

    async def _async_forward(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
