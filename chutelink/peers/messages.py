"""Messages between daemons, as tagged arrays in CBOR."""

from __future__ import annotations

import cbor2
import msgspec

from ..const import MAX_PEER_MESSAGE_BYTES
from ..exceptions import PeerMessageInvalid
from ..ids import BootId, ConfigVersion, DaemonId, FailureDomainName
from ..tables.members import Member
from .packing import PLAIN, UNPACK_FAILURES, pack, unpack

_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    MemoryError,
    LookupError,
    *UNPACK_FAILURES,
)


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """First on each link: who is there and what it knows."""

    member: Member
    members: list[Member]
    config_version: ConfigVersion


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """Sign of life, with the version in force.

    ``linked`` are the members that the sender has links with: what comes from
    them need not be passed on to it. A link that neither side says it wants is closed.
    """

    config_version: ConfigVersion
    linked: list[DaemonId] = []
    is_wanted: bool = True


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """Changes of members, passed on to every peer that may not know them."""

    members: list[Member]


class QueueNews(msgspec.Struct, frozen=True, array_like=True, tag="queue"):
    """What waits in a gateway, by model, and who uses it; passed on once.

    ``callers_per_s`` has the callers that use much of their share of it.
    ``sequence`` rises with each message of one process.
    """

    gateway: DaemonId
    boot_id: BootId
    failure_domain: FailureDomainName
    sequence: int
    waiting: dict[str, int]
    callers_per_s: dict[str, float] = {}


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag="config_request"):
    """Asks for the configuration in force at the peer."""


class ConfigBody(msgspec.Struct, frozen=True, array_like=True, tag="config_body"):
    """A whole fleet file as it was committed."""

    version: ConfigVersion
    hash: str
    text: str


class Broadcast(msgspec.Struct, frozen=True, array_like=True, tag="broadcast"):
    """What one daemon tells all others; hubs forward it.

    ``sequence`` rises with each message of one process; ``body`` is decoded by
    the program that it is for, ``topic`` names its kind.
    """

    origin: DaemonId
    boot_id: BootId
    sequence: int
    body: bytes
    topic: str = ""


class Direct(msgspec.Struct, frozen=True, array_like=True, tag="direct"):
    """What one daemon tells a linked one, and nobody else."""

    body: bytes
    topic: str


Message = (
    Hello
    | Heartbeat
    | MemberUpdate
    | QueueNews
    | ConfigRequest
    | ConfigBody
    | Broadcast
    | Direct
)


def message_kind(message: Message) -> str:
    """Return the kind of a message, as metrics and logs name it."""
    if isinstance(message, Broadcast | Direct) and message.topic:
        return message.topic
    return message.__struct_config__.tag


def encode_message(message: Message) -> bytes:
    """Return a message as CBOR, compressed where that pays."""
    data = cbor2.dumps(msgspec.to_builtins(message))
    # Bodies of the others are compressed already, or too small.
    return pack(data) if isinstance(message, Hello | MemberUpdate) else PLAIN + data


def decode_message(data: bytes | str, peer: str) -> Message:
    """Return the message, checked at this edge.

    Raises
    ------
    PeerMessageInvalid
        The bytes are not a message that is known.
    """
    step = "peers.decode"
    if isinstance(data, str) or len(data) > MAX_PEER_MESSAGE_BYTES:
        raise PeerMessageInvalid("not a binary message in size", step=step, peer=peer)
    try:
        return msgspec.convert(cbor2.loads(unpack(data)), Message)
    except _DECODE_ERRORS as error:
        raise PeerMessageInvalid(str(error), step=step, peer=peer) from error
