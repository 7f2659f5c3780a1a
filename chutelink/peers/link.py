"""An open connection to a peer, with its send queue and the peer's state."""

from __future__ import annotations

import asyncio

from ..ids import ConfigVersion, DaemonId
from ..tables.members import Member
from .messages import Message, encode_message, message_kind
from .traffic import Direction, TrafficMeter
from .transport import PeerConnection

MAX_QUEUED_MESSAGES = 256


class Link:
    """An open connection to a peer, regardless of which side opened it.

    Parameters
    ----------
    connection : PeerConnection
        The underlying connection.
    own : Member
        This daemon.
    traffic : TrafficMeter
        Counts the messages of this link.
    """

    def __init__(
        self, connection: PeerConnection, own: Member, traffic: TrafficMeter
    ) -> None:
        self.connection = connection
        self._own_domain = own.failure_domain
        self._traffic = traffic
        self.member: Member | None = None
        self.last_received_s = 0.0
        self.opened_s = 0.0
        self.is_wanted = True
        """Whether this daemon still needs the link."""
        self.is_wanted_by_peer = True
        self.config_version = ConfigVersion(0)
        self.linked: frozenset[DaemonId] = frozenset()
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)

    def send(self, message: Message) -> None:
        """Queue a message.

        The link is aborted if the peer reads too slowly and the queue is full.
        """
        self.send_encoded(encode_message(message), message_kind(message))

    def send_encoded(self, data: bytes, kind: str) -> None:
        """Queue a message that is already encoded; see ``send``."""
        self._note(kind, Direction.SENT, len(data))
        try:
            self._queue.put_nowait(data)
        except asyncio.QueueFull:
            self.connection.abort()

    def note_received(self, message: Message, size_bytes: int) -> None:
        """Count a message received from the peer."""
        self._note(message_kind(message), Direction.RECEIVED, size_bytes)

    def _note(self, kind: str, direction: Direction, size_bytes: int) -> None:
        """Count a message.

        It counts as remote while the peer is unknown, as it may be in another domain.
        """
        is_remote = self.member is None or (
            self.member.failure_domain != self._own_domain
        )
        self._traffic.note(kind, direction, size_bytes, is_remote=is_remote)

    async def async_write_loop(self) -> None:
        """Send queued messages until this task is cancelled."""
        while True:
            await self.connection.async_send(await self._queue.get())
