"""What entry daemons tell each other over the mesh, as typed messages."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec

from ..customers.news import Loan, LoanRequest
from ..exceptions import PeerMessageInvalid
from ..ids import (
    NO_ERA,
    AdapterName,
    DaemonId,
    EndpointId,
    ModelName,
    ModelRef,
    StoreEra,
)
from ..limits.news import EndpointLimit, PermitAnswer, PermitRequest
from ..peers.packing import UNPACK_FAILURES, pack, unpack
from ..quarantine.news import ClearedNews, EndingNews


class StoredRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the store as it was read; the value None marks a removal."""

    key: str
    version: int
    value: Any


class StoreNews(msgspec.Struct, frozen=True, array_like=True, tag="store"):
    """The changes of one table after a version, as the sender read them.

    ``after`` is 0 for the whole table: rows that it does not have are gone.
    ``answered_s`` is what the store's clock showed when it answered; both versions
    are of one ``era`` of the store.
    """

    table: str
    after: int
    version: int
    answered_s: float
    rows: list[StoredRow] = []
    era: StoreEra = NO_ERA

    @property
    def is_whole(self) -> bool:
        """Whether all rows are here."""
        return not self.after


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="snapshot_request"
):
    """Asks for a whole table; sent by a daemon that can't reach the store."""

    table: str
    daemon: DaemonId


class PlacerBeacon(msgspec.Struct, frozen=True, array_like=True, tag="placer"):
    """The placer's sign of life, for those that need to know no more."""

    daemon: DaemonId
    term: int


class ModelUse(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a model or adapter that arrived at one daemon.

    ``waiting`` ask for what is not loaded; ``patient`` of them have time enough
    for a load from the weight store. ``served`` have been answered since.
    """

    model: ModelName
    adapter: AdapterName
    arrivals: int
    work_s: float
    waiting: int
    patient: int = 0
    served: int = 0


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon has under way at an endpoint, in all and by what is asked.

    ``reading_s`` is how long an ordinary endpoint reads the prompts that wait.
    """

    endpoint: EndpointId
    requests: int
    reading_s: float
    by_ref: dict[ModelRef, int] = {}


class StreamCount(msgspec.Struct, frozen=True, array_like=True):
    """Streams that ended at an endpoint, and those with a pause that is too long."""

    endpoint: EndpointId
    streams: int
    paused: int


class LeavingEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """A process of an endpoint whose answer said that it leaves."""

    endpoint: EndpointId
    born_ms: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """What one daemon has under way and was asked for since its last message.

    ``unreachable`` are endpoints that took no connection from it, ``limits`` what
    answers said since then of the limits of endpoints, ``leaving`` the endpoints whose
    answers said since then that they leave.
    """

    daemon: DaemonId
    endpoints: list[EndpointLoad]
    uses: list[ModelUse]
    prefixes: list[tuple[EndpointId, list[int]]] = []
    unreachable: list[EndpointId] = []
    streams: list[StreamCount] = []
    limits: list[EndpointLimit] = []
    leaving: list[LeavingEndpoint] = []


class PromptNews(msgspec.Struct, frozen=True, array_like=True, tag="prompt"):
    """A prompt that one daemon has just sent.

    ``read_s`` is how long an ordinary endpoint reads it.
    """

    daemon: DaemonId
    endpoint: EndpointId
    ref: ModelRef
    read_s: float


class EndpointPlacement(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint holds after a number of orders to one of its processes."""

    endpoint: EndpointId
    sequence: int
    models: dict[ModelName, list[AdapterName]]
    born_ms: int = 0


class PendingLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load that was ordered or is decided, and when it should be done.

    ``is_cold`` says that it comes from the weight store.
    """

    endpoint: EndpointId
    model: ModelName
    adapter: AdapterName
    ready_in_s: float
    is_cold: bool = False


class QueuedLoad(msgspec.Struct, frozen=True, array_like=True):
    """A model that requests wait for, and when it should be there at the earliest."""

    model: ModelName
    ready_in_s: float


class PlacementNews(msgspec.Struct, frozen=True, array_like=True, tag="placement"):
    """What the placer knows of endpoints, and what it is changing.

    ``endpoints`` has those that changed since its last message, ``queued`` the models
    that wait for an endpoint to load them.
    """

    daemon: DaemonId
    term: int
    endpoints: list[EndpointPlacement]
    loads: list[PendingLoad]
    queued: list[QueuedLoad] = []


class LeaseYield(msgspec.Struct, frozen=True, array_like=True, tag="yield"):
    """The holder orders nothing more, until it has renewed the lease if it can't now.

    ``held_s`` is how long it has held the lease; ``number`` counts its yields of this
    term, so that one that arrives after the holder has gone on can be told.
    """

    daemon: DaemonId
    term: int
    held_s: float
    number: int = 1


EntryMessage = (
    LeaseYield
    | StoreNews
    | SnapshotRequest
    | LoadReport
    | PromptNews
    | PlacementNews
    | PlacerBeacon
    | EndingNews
    | ClearedNews
    | LoanRequest
    | Loan
    | PermitRequest
    | PermitAnswer
)
_DECODE_FAILURES = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    LookupError,
    *UNPACK_FAILURES,
)


def topic_of(news: EntryMessage) -> str:
    """Return the kind of a message, as metrics and logs name it."""
    return news.__struct_config__.tag


def encode_news(news: EntryMessage) -> bytes:
    """Return a message as CBOR, compressed where that pays."""
    return pack(cbor2.dumps(msgspec.to_builtins(news)))


def decode_news(body: bytes, peer: str) -> EntryMessage:
    """Return the message.

    Raises
    ------
    PeerMessageInvalid
        The bytes are not a message that is known.
    """
    try:
        return msgspec.convert(cbor2.loads(unpack(body)), EntryMessage)
    except _DECODE_FAILURES as error:
        raise PeerMessageInvalid(str(error), step="news.decode", peer=peer) from error
