"""A proxy before a server that can cut its path to one machine, and heal it.

While the path is cut, nothing passes in either direction: neither data nor the end of a
connection. After it has healed, what the kernels hold passes: a kernel sends it again
until it is acknowledged, at intervals that double (RFC 6298), also after a process has
closed the connection. It is lost if the sender has reset the connection. A connection
that is opened during a cut is one whose first packets are lost.
"""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable

READ_BYTES = 65536
FIRST_RETRANSMISSION_S = 0.2
ANY = ""
"""Stands for the machine of every connection if they are not told apart."""


def time_of_retransmission(sent_s: float, healed_s: float) -> float:
    """Return when data are sent again first after a path has healed."""
    interval_s = FIRST_RETRANSMISSION_S
    again_s = sent_s + interval_s
    while again_s < healed_s:
        interval_s *= 2
        again_s += interval_s
    return again_s


class CuttableProxy:
    """Forwards the connections to one server.

    ``find_owner`` returns the machine of a connection by its address and port. Without
    it, the path to all machines is cut. ``retransmits`` is whether held data wait for
    their retransmission; otherwise they pass as soon as the path has healed.
    """

    def __init__(
        self,
        host: str,
        port: int,
        target: tuple[str, int],
        find_owner: Callable[[str, int], str] = lambda host, port: ANY,
        *,
        retransmits: bool = False,
    ) -> None:
        self._host, self._port = host, port
        self._target = target
        self._find_owner = find_owner
        self._retransmits = retransmits
        self._gates: dict[str, asyncio.Event] = defaultdict(_make_open_gate)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._async_accept, self._host, self._port
        )

    def stop(self) -> None:
        """Stop accepting, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def cut(self, owner: str = ANY) -> None:
        """Let nothing pass between the server and a machine."""
        self._gates[owner].clear()

    def heal(self, owner: str = ANY) -> None:
        """Let what was held pass, and all that follows."""
        self._gates[owner].set()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            gate = self._gates[self._find_owner(*writer.get_extra_info("peername"))]
            if not await self._async_connects(gate, reader):
                writer.transport.abort()
                return
            try:
                far_reader, far_writer = await asyncio.open_connection(*self._target)
            except OSError:
                # The kernel of the server's machine refuses it.
                writer.transport.abort()
                return
            await asyncio.gather(
                self._async_pass(gate, reader, far_writer),
                self._async_pass(gate, far_reader, writer),
            )
        except asyncio.CancelledError:
            # The proxy stops.
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    @staticmethod
    async def _async_connects(
        gate: asyncio.Event, reader: asyncio.StreamReader
    ) -> bool:
        """Return whether a connection is established, once its path is open."""
        if gate.is_set():
            return True
        await gate.wait()
        has_given_up = reader.exception() is not None or reader.at_eof()
        return not has_given_up

    async def _async_pass(
        self,
        gate: asyncio.Event,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward data and the end of one direction, a reset as a reset."""
        try:
            while True:
                data = await reader.read(READ_BYTES)
                if not gate.is_set():
                    await self._async_hold(gate)
                    if reader.exception() is not None:
                        # The sender has reset the connection: held data are lost.
                        raise reader.exception()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            await gate.wait()
            writer.transport.abort()

    async def _async_hold(self, gate: asyncio.Event) -> None:
        """Wait until data that were sent into a cut arrive."""
        sent_s = time.monotonic()
        await gate.wait()
        if self._retransmits:
            again_s = time_of_retransmission(sent_s, time.monotonic())
            await asyncio.sleep(again_s - time.monotonic())


def _make_open_gate() -> asyncio.Event:
    gate = asyncio.Event()
    gate.set()
    return gate
