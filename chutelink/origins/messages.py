"""Messages between daemons about the software versions that began streams."""

from __future__ import annotations

import msgspec

from ..ids import BootId, DaemonId, RequestId, ServiceName, SoftwareVersion


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The software version of the endpoint that brought a stream's first event.

    ``version`` is None if it is unknown. ``sends`` counts the endpoints that the
    caller's attempt was sent to by then. Releases that also recorded endpoints that
    brought no event replaced each such record by the next one.
    """

    request: RequestId
    service: ServiceName
    version: SoftwareVersion | None
    sends: int = 1


class OriginUpdate(msgspec.Struct, frozen=True, array_like=True, tag="origins"):
    """Records for one of their owners."""

    origins: list[StreamOrigin]


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag="origin_query"):
    """Asks for a record; ``number`` identifies the query."""

    daemon: DaemonId
    number: int
    request: RequestId
    service: ServiceName


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True, tag="origin_answer"):
    """Answer to a query.

    ``origin`` is None if the daemon has no record; ``versions`` are those that the
    service's endpoints ran recently. ``is_complete`` is unset if the daemon may not
    know all of them, as it has just started or its registrations are old.
    """

    daemon: DaemonId
    number: int
    origin: StreamOrigin | None
    versions: list[SoftwareVersion | None]
    is_complete: bool


class HistoryRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="versions_query"
):
    """Asks for the versions that served recently; sent by a daemon that has started."""

    daemon: DaemonId


class HistoryAnswer(msgspec.Struct, frozen=True, array_like=True, tag="versions"):
    """Versions that the endpoints of each service run or ran recently.

    ``is_complete`` is unset if the sender has just started, too. ``age_s`` is the age
    of its registrations, ``served`` are the daemons that it knows to have served since
    streams began that can be resumed now, and ``up_s`` is how long its process has run.
    Releases that didn't send them left them at 0 and empty.
    """

    daemon: DaemonId
    versions: dict[ServiceName, list[SoftwareVersion]]
    is_complete: bool
    served: list[DaemonId] = []
    age_s: float = 0.0
    up_s: float = 0.0


class BegunStreams(msgspec.Struct, frozen=True, array_like=True, tag="begun_streams"):
    """Streams of one daemon process, for a daemon that stores them.

    ``begun`` have brought their first event to their callers; ``ended`` are complete
    and will not be resumed. With ``is_full``, all other streams of the process have
    ended.
    """

    boot_id: BootId
    begun: list[StreamOrigin]
    ended: list[RequestId]
    is_full: bool


OriginMessage = (
    OriginUpdate
    | OriginQuery
    | OriginAnswer
    | HistoryRequest
    | HistoryAnswer
    | BegunStreams
)
