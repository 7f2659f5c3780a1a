"""What is known of requests that were running where an endpoint ended."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import EndpointId, Fingerprint, Incarnation


class Evidence(Enum):
    """What proved that an endpoint has ended."""

    REFUSED = "connection_refused"
    RESTARTED = "restarted"
    VANISHED = "registration_lapsed"


class Verdict(Enum):
    """What may be done with a request."""

    FREE = "free"
    HELD = "held"
    TRIAL = "trial"
    """Its hold has run out: it may run once, if no other daemon tries it too."""


class BrokenRun(msgspec.Struct, frozen=True):
    """A run that was broken off, and the process of the endpoint that had it.

    ``about`` shows operators which request it was.
    """

    fingerprint: Fingerprint
    about: str
    endpoint: EndpointId
    incarnation: Incarnation
    address: str


class Hold(msgspec.Struct, frozen=True):
    """A request that is kept away, as it lies in the store.

    ``until_unix_s`` is time of day, which outlasts daemons; ``endings`` are the
    processes of endpoints that ended under it, ``trials`` how often it ran since.
    """

    about: str
    endings: tuple[Incarnation, ...]
    until_unix_s: float
    trials: int = 0


class Suspect(msgspec.Struct):
    """A request that was running where an endpoint ended.

    ``seen_s`` is when that was last learned, on this daemon's clock; ``held_s`` when
    it was first kept away.
    """

    about: str
    endings: tuple[Incarnation, ...] = ()
    seen_s: float = 0.0
    hold: Hold | None = None
    held_s: float = 0.0
