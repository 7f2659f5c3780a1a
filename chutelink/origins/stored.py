"""The rows about streams in the store, and what they say to a daemon that starts."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..const import TABLE_ORIGINS
from ..ids import (
    FIRST_ERA,
    BootId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)
from ..store import StorePosition
from .const import MAX_ROW_BYTES
from .messages import StreamOrigin

PREFIX_ORIGINS = f"{TABLE_ORIGINS}/"
KEY_VERSIONS = f"{PREFIX_ORIGINS}versions"
PREFIX_STREAMS = f"{PREFIX_ORIGINS}streams/"
ID_OVERHEAD_BYTES = 4
"""Quotes and separators of an id in a row."""


class StoredHistory(Enum):
    """What the store says about the versions that served before a daemon's start."""

    UNREAD = "unread"
    ABSENT = "absent"
    """No versions have been stored, as no daemon has served before."""
    CURRENT = "current"
    """All versions are known: those of the row, and of registrations since then."""
    UNPROVEN = "unproven"
    """Versions may have come and left since the row was written, if there is one."""
    OUTDATED = "outdated"
    """The row is from before a restore of the store, which may have lost versions."""


class VersionsRow(msgspec.Struct, frozen=True):
    """Versions that may have begun streams that can be resumed, by service.

    ``era`` is the store era in which they were known to be all of them, and
    ``covered_version`` the version of the store up to which registrations were known;
    0 in rows of releases that didn't record it.
    """

    services: dict[ServiceName, list[SoftwareVersion]]
    era: StoreEra
    covered_version: int = 0

    @property
    def position(self) -> StorePosition:
        """Up to where the row has the versions of all registrations."""
        return StorePosition(self.covered_version, self.era)


class StreamsRow(msgspec.Struct, frozen=True):
    """Ids of streams that may have to be resumed, by service and software version."""

    services: dict[ServiceName, dict[SoftwareVersion, list[RequestId]]]

    def origins(self) -> list[StreamOrigin]:
        """Return the streams."""
        return [
            StreamOrigin(request, service, version)
            for service, versions in self.services.items()
            for version, requests in versions.items()
            for request in requests
        ]


def make_stream_rows(
    boot_id: BootId, streams: list[StreamOrigin]
) -> dict[str, StreamsRow]:
    """Return the rows in which a daemon process stores streams, by key."""
    rows: list[StreamsRow] = []
    left_bytes = 0
    for origin in streams:
        size_bytes = len(origin.request.encode()) + ID_OVERHEAD_BYTES
        if size_bytes > left_bytes:
            rows.append(StreamsRow({}))
            left_bytes = MAX_ROW_BYTES
        left_bytes -= size_bytes
        versions = rows[-1].services.setdefault(origin.service, {})
        versions.setdefault(origin.version, []).append(origin.request)
    prefix = f"{PREFIX_STREAMS}{boot_id}/"
    return {f"{prefix}{number}": row for number, row in enumerate(rows)}


def state_of(row: VersionsRow | None, era: StoreEra) -> StoredHistory:
    """Return what a row, or its absence, says in an era of the store.

    Whether versions have come since then is not considered.
    """
    if (FIRST_ERA if row is None else row.era) < era:
        return StoredHistory.OUTDATED
    return StoredHistory.ABSENT if row is None else StoredHistory.CURRENT
