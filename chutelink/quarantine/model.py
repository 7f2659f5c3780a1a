"""What is known of requests that were running where an endpoint ended."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import EndpointId, Fingerprint, Incarnation, incarnation_of


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


class Ending(msgspec.Struct, frozen=True, array_like=True):
    """One end of an endpoint.

    ``born_ms`` is the start of the process that was registered then; ``number`` counts
    the endpoint's ends that were known by then, as the next process may end before it
    has registered.
    """

    endpoint: EndpointId
    born_ms: int
    number: int = 1

    @property
    def order(self) -> tuple[int, int]:
        """Which of an endpoint's ends is the later one."""
        return self.born_ms, self.number

    @property
    def label(self) -> str:
        """The name for logs and operators."""
        return f"{self.endpoint}@{self.born_ms}+{self.number}"


class BrokenRun(msgspec.Struct, frozen=True):
    """A run that was broken off, and the process of the endpoint that had it.

    ``about`` shows operators which request it was; ``sent_s`` is on this daemon's
    clock. ``is_new_connection`` says that no other request was sent before on the
    connection.
    """

    fingerprint: Fingerprint
    about: str
    endpoint: EndpointId
    born_ms: int
    address: str
    sent_s: float
    is_new_connection: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """The name of the process that was registered."""
        return incarnation_of(self.endpoint, self.born_ms)


class Hold(msgspec.Struct, frozen=True):
    """A request that is kept away, as it lies in the store.

    ``until_unix_s`` is time of day, which outlasts daemons; ``endings`` are
    the ends of endpoints under it, ``trials`` how often it ran since.
    """

    about: str
    endings: tuple[Ending, ...]
    until_unix_s: float
    trials: int = 0


class Suspect(msgspec.Struct):
    """A request that was running where an endpoint ended.

    ``seen_s`` is when that was last learned, on this daemon's clock; ``held_s`` when
    it was first kept away.
    """

    about: str
    endings: tuple[Ending, ...] = ()
    seen_s: float = 0.0
    hold: Hold | None = None
    held_s: float = 0.0
