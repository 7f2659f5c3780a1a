"""Connections between peers: an abstract transport, and one over websockets."""

from __future__ import annotations

import asyncio
import functools
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve

from ..const import MAX_PEER_MESSAGE_BYTES
from ..serving.const import ACCEPT_BATCH, ACCEPT_QUEUE
from ..serving.listening import bind_socket
from ..serving.pool import ConnectionPool, PooledConnection, Standing

HEADER_PEER_KEY = "Chutelink-Peer-Key"
MAX_HANDSHAKE_BYTES = 16 * 1024
"""Limit of what is received before a peer has authenticated itself."""


class PeerConnection(ABC):
    """A connection to a peer, regardless of which side opened it."""

    @abstractmethod
    async def async_send(self, data: bytes) -> None:
        """Send one message; wait while the peer's receive buffer is full."""

    @abstractmethod
    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over received messages until the connection ends."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection after the data already sent have been transmitted."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""


ConnectionHandler = Callable[[PeerConnection], Awaitable[None]]


class PeerTransport(ABC):
    """Accepts and opens connections to peers."""

    @abstractmethod
    async def async_listen(self, handler: ConnectionHandler) -> None:
        """Accept connections and run a handler for each."""

    @abstractmethod
    async def async_stop(self) -> None:
        """Stop accepting connections and close the accepted ones."""

    @abstractmethod
    async def async_dial(self, address: str, handler: ConnectionHandler) -> None:
        """Open a connection, run a handler for it, and return when that returns.

        Raises
        ------
        OSError
            The peer is unreachable or did not answer in time.
        """


class WebsocketConnection(PeerConnection):
    """A websocket connection to a peer.

    Parameters
    ----------
    connection : Connection
        The open websocket.
    """

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    async def async_send(self, data: bytes) -> None:
        """Send one binary message."""
        await self._connection.send(data)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over messages; a lost connection ends the iteration without error."""
        try:
            async for data in self._connection:
                yield data
        except websockets.ConnectionClosed:
            return

    def close(self) -> None:
        """Close the TCP connection without a websocket closing handshake."""
        self._connection.transport.close()

    def abort(self) -> None:
        """Abort the TCP connection, discarding all queued data."""
        self._connection.transport.abort()


class HandshakingConnection(ServerConnection, PooledConnection):
    """An accepted connection, which counts towards a limit until it is authenticated.

    Parameters
    ----------
    pool : ConnectionPool
        The connections that are not authenticated.
    *arguments, **options : object
        Those of the base class.
    """

    def __init__(self, pool: ConnectionPool, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._pool = pool
        self._received_bytes = 0
        self._opened_s = self.loop.time()
        self._is_authenticated = False

    def note_authenticated(self) -> None:
        """Count the connection as that of a peer."""
        self._is_authenticated = True
        self._pool.remove(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, unless too many are not authenticated."""
        super().connection_made(transport)
        if not self._pool.try_add(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop to count the connection."""
        self._pool.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Process received data, of which a handshake takes little."""
        if not self._is_authenticated:
            self._received_bytes += len(data)
            if self._received_bytes > MAX_HANDSHAKE_BYTES:
                self.transport.abort()
                return
        super().data_received(data)

    def standing(self, now_s: float) -> tuple[Standing, float]:
        """Return what the connection is doing, and since when in seconds."""
        return Standing.INCOMPLETE, self._opened_s

    def close_for_room(self) -> bool:
        """Close the connection."""
        self.transport.abort()
        return True


class WebsocketTransport(PeerTransport):
    """Connects peers by websockets, authenticated by the key that a fleet shares.

    Parameters
    ----------
    address : str
        The address to listen on.
    port : int
        The port to listen on.
    peer_key : str
        Connections without this key are rejected.
    open_timeout_s : float
        Time limit for opening a connection.
    pool : ConnectionPool
        The accepted connections that are not authenticated.
    """

    def __init__(
        self,
        address: str,
        port: int,
        peer_key: str,
        open_timeout_s: float,
        pool: ConnectionPool,
    ) -> None:
        self._address = address
        self._port = port
        self._peer_key = peer_key
        self._open_timeout_s = open_timeout_s
        self._pool = pool
        self._server: Server | None = None

    async def async_listen(self, handler: ConnectionHandler) -> None:
        """Start the websocket server."""

        async def async_accept(connection: ServerConnection) -> None:
            await handler(WebsocketConnection(connection))

        bound = bind_socket(self._address, self._port, has_small_buffers=False)
        self._server = await serve(
            async_accept,
            sock=bound,
            backlog=ACCEPT_BATCH,
            create_connection=functools.partial(HandshakingConnection, self._pool),
            process_request=self._check_key,
            max_size=MAX_PEER_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
        )
        bound.listen(ACCEPT_QUEUE)

    async def async_stop(self) -> None:
        """Close the server and its connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def async_dial(self, address: str, handler: ConnectionHandler) -> None:
        """Open a websocket connection."""
        try:
            async with connect(
                f"ws://{address}/",
                additional_headers={HEADER_PEER_KEY: self._peer_key},
                max_size=MAX_PEER_MESSAGE_BYTES,
                compression=None,
                ping_interval=None,
                proxy=None,
                open_timeout=self._open_timeout_s,
            ) as connection:
                await handler(WebsocketConnection(connection))
        except websockets.WebSocketException as error:
            raise ConnectionError(str(error)) from error

    def _check_key(self, connection: HandshakingConnection, request):
        if request.headers.get(HEADER_PEER_KEY) != self._peer_key:
            return connection.respond(401, "peer key missing or wrong\n")
        connection.note_authenticated()
        return None
