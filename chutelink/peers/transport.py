"""Connections between peers: an abstract transport, and one over websockets."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Awaitable, Callable

import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve

from ..const import MAX_PEER_MESSAGE_BYTES

HEADER_PEER_KEY = "Chutelink-Peer-Key"


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
    """

    def __init__(
        self, address: str, port: int, peer_key: str, open_timeout_s: float
    ) -> None:
        self._address = address
        self._port = port
        self._peer_key = peer_key
        self._open_timeout_s = open_timeout_s
        self._server: Server | None = None

    async def async_listen(self, handler: ConnectionHandler) -> None:
        """Start the websocket server."""

        async def async_accept(connection: ServerConnection) -> None:
            await handler(WebsocketConnection(connection))

        self._server = await serve(
            async_accept,
            self._address,
            self._port,
            process_request=self._check_key,
            max_size=MAX_PEER_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
        )

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

    def _check_key(self, connection: ServerConnection, request):
        if request.headers.get(HEADER_PEER_KEY) != self._peer_key:
            return connection.respond(401, "peer key missing or wrong\n")
        return None
