"""Typed messages that entry daemons exchange over the mesh."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec

from ..coldstart.messages import ColdEndpoint, ColdGrantAnswer, ColdGrantRequest
from ..customers.messages import Loan, LoanRequest
from ..exceptions import PeerMessageInvalid
from ..ids import (
    NO_ERA,
    AdapterName,
    DaemonId,
    EndpointId,
    ModelName,
    ModelRef,
    RegionName,
    StoreEra,
)
from ..limits.messages import EndpointLimit, PermitAnswer, PermitRequest
from ..origins.messages import OriginMessage
from ..peers.packing import UNPACK_ERRORS, pack, unpack
from ..quarantine.messages import (
    ClearedMessage,
    EndingsMessage,
    SoundPartsMessage,
)


class StoredRow(msgspec.Struct, frozen=True, array_like=True):
    """A row read from the store; the value None marks a removed row."""

    key: str
    version: int
    value: Any


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True, tag="store"):
    """Changes of a table since a version, as read by the sender.

    ``after`` is 0 for the complete table: rows that are not included have been removed.
    ``answered_s`` is the store's clock time of the response; both versions belong to
    the same ``era`` of the store. ``kept`` names the rows that the store lost when it
    was restored and that stay in force, with the time of its clock until which they do.
    """

    table: str
    after: int
    version: int
    answered_s: float
    rows: list[StoredRow] = []
    era: StoreEra = NO_ERA
    kept: dict[str, float] = {}

    @property
    def is_whole(self) -> bool:
        """Whether the message contains the complete table."""
        return not self.after


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="snapshot_request"
):
    """Requests a complete table; sent by a daemon that can't reach the store."""

    table: str
    daemon: DaemonId


class StoreTime(msgspec.Struct, frozen=True, array_like=True):
    """A time in seconds of the store's clock, in one era of the store."""

    time_s: float
    era: StoreEra


class PlacerHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="placer"):
    """Heartbeat of the placer, for daemons that don't need placement details.

    ``sent`` is the earliest time at which it may have been sent. It is None if the
    sender doesn't know the store's clock, or is of an earlier release.
    """

    daemon: DaemonId
    term: int
    sent: StoreTime | None = None


class ModelUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a model or adapter at one daemon.

    ``waiting`` counts requests whose model or adapter is not loaded, ``patient`` those
    of them with enough time left for a load from the weight store, and ``served`` the
    requests answered since the last message.
    """

    model: ModelName
    adapter: AdapterName
    arrivals: int
    work_s: float
    waiting: int
    patient: int = 0
    served: int = 0


class HomeUsage(msgspec.Struct, frozen=True, array_like=True):
    """Those requests of a `ModelUsage` that have the same home regions, sorted.

    ``waiting`` counts the requests whose model or adapter is not loaded there, and
    ``served`` the requests answered since the last message.
    """

    model: ModelName
    adapter: AdapterName
    regions: tuple[RegionName, ...]
    waiting: int
    served: int = 0


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one daemon in flight at an endpoint, in total and by model.

    ``reading_s`` is the time an average endpoint takes to process the pending prompts.
    """

    endpoint: EndpointId
    requests: int
    reading_s: float
    by_ref: dict[ModelRef, int] = {}


class StreamCount(msgspec.Struct, frozen=True, array_like=True):
    """Streams completed at an endpoint, and how many of them had too long a pause."""

    endpoint: EndpointId
    streams: int
    paused: int


class LeavingEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint process that announced its shutdown in a response."""

    endpoint: EndpointId
    born_ms: int


class PromptSizes(msgspec.Struct, frozen=True, array_like=True):
    """Token counts of a prompt: of its parts in order, and of all else.

    ``others`` counts tokens of the prompt outside of its parts and of the output.
    """

    ref: ModelRef
    parts: list[int]
    others: int = 0


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Load of one daemon, and its demand since the last message.

    ``unreachable`` lists endpoints that did not accept connections from it, ``limits``
    the endpoint limits received since the last message, and ``leaving`` the endpoints
    that announced their shutdown since then. ``is_partitioned`` says that it reaches no
    endpoint at all. ``prompt_sizes`` belongs to ``prefixes``, item by item; it is empty
    if the sender doesn't weigh prefixes. ``cold`` lists endpoints whose responses
    showed since then that they have become cold. ``homes`` repeats the usage by
    requests with home regions. Daemons of earlier releases ignore the last three.
    """

    daemon: DaemonId
    endpoints: list[EndpointLoad]
    uses: list[ModelUsage]
    prefixes: list[tuple[EndpointId, list[int]]] = []
    unreachable: list[EndpointId] = []
    streams: list[StreamCount] = []
    limits: list[EndpointLimit] = []
    leaving: list[LeavingEndpoint] = []
    is_partitioned: bool = False
    prompt_sizes: list[PromptSizes] = []
    cold: list[ColdEndpoint] = []
    homes: list[HomeUsage] = []


class PromptNotice(msgspec.Struct, frozen=True, array_like=True, tag="prompt"):
    """A prompt that one daemon has just sent.

    ``read_s`` is the time an average endpoint takes to process it.
    """

    daemon: DaemonId
    endpoint: EndpointId
    ref: ModelRef
    read_s: float


class EndpointPlacement(msgspec.Struct, frozen=True, array_like=True):
    """Resident models of an endpoint process as of an order sequence."""

    endpoint: EndpointId
    sequence: int
    models: dict[ModelName, list[AdapterName]]
    born_ms: int = 0


class PendingLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load that is ordered or planned, and its expected completion.

    ``is_cold`` marks a load from the weight store.
    """

    endpoint: EndpointId
    model: ModelName
    adapter: AdapterName
    ready_in_s: float
    is_cold: bool = False


class QueuedLoad(msgspec.Struct, frozen=True, array_like=True):
    """A model that requests wait for, and the earliest time it can be loaded."""

    model: ModelName
    ready_in_s: float


class PlacementUpdate(msgspec.Struct, frozen=True, array_like=True, tag="placement"):
    """Placements known to the placer, and the loads in progress.

    ``endpoints`` lists those that changed since the last message, ``queued`` the models
    that wait for an endpoint to load them. ``sent`` is as in `PlacerHeartbeat`.
    """

    daemon: DaemonId
    term: int
    endpoints: list[EndpointPlacement]
    loads: list[PendingLoad]
    queued: list[QueuedLoad] = []
    sent: StoreTime | None = None


class LeaseYield(msgspec.Struct, frozen=True, array_like=True, tag="yield"):
    """Notice that the lease holder issues no more orders.

    A holder that is currently unable to renew the lease resumes once it has renewed it.
    ``held_s`` is how long it has held the lease; ``number`` counts its yields in this
    term, so that a yield that arrives after the holder resumed can be recognized.
    """

    daemon: DaemonId
    term: int
    held_s: float
    number: int = 1


EntryMessage = (
    LeaseYield
    | StoreUpdate
    | SnapshotRequest
    | LoadReport
    | PromptNotice
    | PlacementUpdate
    | PlacerHeartbeat
    | EndingsMessage
    | ClearedMessage
    | SoundPartsMessage
    | LoanRequest
    | Loan
    | PermitRequest
    | PermitAnswer
    | OriginMessage
    | ColdGrantRequest
    | ColdGrantAnswer
)
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    LookupError,
    *UNPACK_ERRORS,
)


def topic_of(message: EntryMessage) -> str:
    """Return the kind of a message as used in metrics and logs."""
    return message.__struct_config__.tag


def encode_entry_message(message: EntryMessage) -> bytes:
    """Encode a message as CBOR, compressed if it is large enough."""
    return pack(cbor2.dumps(msgspec.to_builtins(message)))


def decode_entry_message(body: bytes, peer: str) -> EntryMessage:
    """Decode a message.

    Raises
    ------
    PeerMessageInvalid
        The bytes are not a known message.
    """
    try:
        return msgspec.convert(cbor2.loads(unpack(body)), EntryMessage)
    except _DECODE_ERRORS as error:
        raise PeerMessageInvalid(str(error), step="news.decode", peer=peer) from error
