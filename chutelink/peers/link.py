"""One open connection to a peer."""

from __future__ import annotations

import asyncio

from ..ids import ConfigVersion, DaemonId
from ..tables.members import Member
from .messages import Message, encode_message, message_kind
from .traffic import Direction, TrafficMeter
from .transport import PeerConnection

MAX_QUEUED_MESSAGES = 256


class Link:
    """One open connection to a peer, whichever side opened it.

    Parameters
    ----------
    connection : PeerConnection
        What it is made of.
    own : Member
        This daemon.
    traffic : TrafficMeter
        Counts what this link carries.
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
        """Whether this side still needs it."""
        self.is_wanted_by_peer = True
        self.config_version = ConfigVersion(0)
        self.linked: frozenset[DaemonId] = frozenset()
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)

    def send(self, message: Message) -> None:
        """Queue a message; a peer that does not keep up loses the link."""
        self.send_encoded(encode_message(message), message_kind(message))

    def send_encoded(self, data: bytes, kind: str) -> None:
        """Queue a message that was encoded already."""
        self._note(kind, Direction.SENT, len(data))
        try:
            self._queue.put_nowait(data)
        except asyncio.QueueFull:
            self.connection.abort()

    def note_received(self, message: Message, size_bytes: int) -> None:
        """Count a message of the peer."""
        self._note(message_kind(message), Direction.RECEIVED, size_bytes)

    def _note(self, kind: str, direction: Direction, size_bytes: int) -> None:
        """Count a message; that of an unknown peer may have crossed domains."""
        is_remote = self.member is None or (
            self.member.failure_domain != self._own_domain
        )
        self._traffic.note(kind, direction, size_bytes, is_remote=is_remote)

    async def async_write_loop(self) -> None:
        """Send queued messages until the link ends."""
        while True:
            await self.connection.async_send(await self._queue.get())
