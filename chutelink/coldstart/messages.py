"""Messages between daemons about grants for cold endpoints."""

from __future__ import annotations

import msgspec

from ..ids import DaemonId, EndpointId
from .model import GrantVerdict


class ColdEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """A process that stated in a response how long it will still be cold."""

    endpoint: EndpointId
    born_ms: int
    left_s: float


class ColdGrantRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="cold_grant_request"
):
    """Requests a grant for one request; ``number`` identifies the message.

    ``cold_per_s`` is the limit in the configuration that the requesting daemon knows.
    """

    daemon: DaemonId
    number: int
    endpoint: EndpointId
    born_ms: int
    cold_per_s: float


class ColdGrantAnswer(msgspec.Struct, frozen=True, array_like=True, tag="cold_grant"):
    """The answer to a request for a grant; see ``Grant``."""

    daemon: DaemonId
    number: int
    verdict: GrantVerdict
    retry_in_s: float
