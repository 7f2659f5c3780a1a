"""Messages between daemons about the limits of endpoints."""

from __future__ import annotations

import msgspec

from ..ids import DaemonId, EndpointId


class EndpointLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit announced by one process of an endpoint, None if there is none."""

    endpoint: EndpointId
    born_ms: int
    limit_per_s: float | None


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="permit_request"):
    """Requests a permit to send to an endpoint; ``number`` identifies the request.

    ``limit_per_s`` is the limit that the requesting daemon knows.
    """

    daemon: DaemonId
    number: int
    endpoint: EndpointId
    born_ms: int
    limit_per_s: float
    max_delay_s: float


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True, tag="permit"):
    """The answer to a permit request; see ``Permit``."""

    daemon: DaemonId
    number: int
    is_granted: bool
    delay_s: float
