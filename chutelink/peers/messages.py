"""Messages between daemons, encoded as tagged arrays in CBOR."""

from __future__ import annotations

import cbor2
import msgspec

from ..const import MAX_PEER_MESSAGE_BYTES
from ..exceptions import PeerMessageInvalid
from ..ids import BootId, ConfigVersion, DaemonId, FailureDomainName
from ..tables.members import Member
from .packing import PLAIN, UNPACK_ERRORS, pack, unpack

_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    MemoryError,
    LookupError,
    *UNPACK_ERRORS,
)


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first message on each link: the sender and the members it knows."""

    member: Member
    members: list[Member]
    config_version: ConfigVersion


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """Keeps a link alive and announces the configuration version in force.

    ``linked`` are the members that the sender has links with: their messages need not
    be forwarded to it. A link is closed once neither side has ``is_wanted`` set.
    """

    config_version: ConfigVersion
    linked: list[DaemonId] = []
    is_wanted: bool = True


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """Changes of members, forwarded to every peer that may not know them."""

    members: list[Member]


class QueueUpdate(msgspec.Struct, frozen=True, array_like=True, tag="queue"):
    """The queued requests of a gateway by model, and its request rates by caller.

    Each daemon forwards it once. ``callers_per_s`` lists only callers that use a large
    part of their share of the gateway. ``sequence`` increases with each message of a
    process.
    """

    gateway: DaemonId
    boot_id: BootId
    failure_domain: FailureDomainName
    sequence: int
    waiting: dict[str, int]
    callers_per_s: dict[str, float] = {}


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag="config_request"):
    """Requests the configuration in force at the peer."""


class ConfigBody(msgspec.Struct, frozen=True, array_like=True, tag="config_body"):
    """The complete fleet file of a version, as committed."""

    version: ConfigVersion
    hash: str
    text: str


class Broadcast(msgspec.Struct, frozen=True, array_like=True, tag="broadcast"):
    """A message from one daemon to all others, forwarded by hubs.

    ``sequence`` increases with each broadcast of a process. ``body`` is decoded by the
    component that handles it; ``topic`` names the kind of message.
    """

    origin: DaemonId
    boot_id: BootId
    sequence: int
    body: bytes
    topic: str = ""


class Direct(msgspec.Struct, frozen=True, array_like=True, tag="direct"):
    """A message to one linked daemon, which is not forwarded."""

    body: bytes
    topic: str


Message = (
    Hello
    | Heartbeat
    | MemberUpdate
    | QueueUpdate
    | ConfigRequest
    | ConfigBody
    | Broadcast
    | Direct
)


def message_kind(message: Message) -> str:
    """Return the kind of a message for metrics and logs: its topic or its tag."""
    if isinstance(message, Broadcast | Direct) and message.topic:
        return message.topic
    return message.__struct_config__.tag


def encode_message(message: Message) -> bytes:
    """Return a message as CBOR, compressed where that saves space."""
    data = cbor2.dumps(msgspec.to_builtins(message))
    # The other kinds are too small to compress, or their bodies are compressed already.
    return pack(data) if isinstance(message, Hello | MemberUpdate) else PLAIN + data


def decode_message(data: bytes | str, peer: str) -> Message:
    """Decode and validate a message received from a peer.

    Raises
    ------
    PeerMessageInvalid
        The data are not a valid message.
    """
    step = "peers.decode"
    if isinstance(data, str) or len(data) > MAX_PEER_MESSAGE_BYTES:
        raise PeerMessageInvalid(
            "not binary, or above the size limit", step=step, peer=peer
        )
    try:
        return msgspec.convert(cbor2.loads(unpack(data)), Message)
    except _DECODE_ERRORS as error:
        raise PeerMessageInvalid(str(error), step=step, peer=peer) from error
