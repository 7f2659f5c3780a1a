"""Data model of endpoint terminations and the requests that may cause them."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import EndpointId, Fingerprint, Incarnation, incarnation_of


class Evidence(Enum):
    """Evidence that an endpoint has terminated."""

    REFUSED = "connection_refused"
    RESTARTED = "restarted"
    REGISTRATION_LAPSED = "registration_lapsed"


class Verdict(Enum):
    """Whether a request may run."""

    FREE = "free"
    HELD = "held"
    TRIAL = "trial"
    """Its hold has expired: it may run once, if no other daemon runs the trial."""


class Ending(msgspec.Struct, frozen=True, array_like=True):
    """One termination of an endpoint.

    ``born_ms`` is the start time of the process that was registered at that time.
    ``number`` counts the endpoint's terminations known by then, since the next process
    may terminate before it has registered.
    """

    endpoint: EndpointId
    born_ms: int
    number: int = 1

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of an endpoint's endings, the earliest first."""
        return self.born_ms, self.number

    @property
    def label(self) -> str:
        """Identifier shown in logs and to operators."""
        return f"{self.endpoint}@{self.born_ms}+{self.number}"


class BrokenRun(msgspec.Struct, frozen=True):
    """A run whose connection broke, and the endpoint process that received it.

    ``about`` describes the request to operators; ``sent_s`` is on this daemon's
    clock. ``is_new_connection`` is true if this was the first request on the
    connection. ``parts`` are the prompt parts that other requests may share.
    """

    fingerprint: Fingerprint
    about: str
    endpoint: EndpointId
    born_ms: int
    address: str
    sent_s: float
    is_new_connection: bool = False
    parts: tuple[Fingerprint, ...] = ()

    @property
    def incarnation(self) -> Incarnation:
        """Identifier of the process that was registered."""
        return incarnation_of(self.endpoint, self.born_ms)


class Hold(msgspec.Struct, frozen=True):
    """The hold of a request, as stored.

    ``until_unix_s`` is in Unix time, which stays valid across daemon restarts;
    ``endings`` are the endpoint terminations during its runs, ``trials`` the number of
    trials since. ``rivals`` are prompt parts that may have caused the terminations of a
    part instead; there are none once the cause is certain.
    """

    about: str
    endings: tuple[Ending, ...]
    until_unix_s: float
    trials: int = 0
    rivals: tuple[Fingerprint, ...] = ()


class EndingCount(msgspec.Struct, frozen=True):
    """The endpoint terminations during a request that is not held yet, as stored."""

    about: str
    endings: tuple[Ending, ...]


class Suspect(msgspec.Struct):
    """A request, or a part of prompts, that was running when an endpoint terminated.

    ``seen_s`` is when this was last reported, on this daemon's clock; ``held_s`` is
    when its hold began. ``contents`` are some of the requests that shared a part, none
    for a request; ``companions`` counts the runs that it shared with other parts.
    ``tests`` counts the terminations since its hold, in runs without other suspects.
    """

    about: str
    endings: tuple[Ending, ...] = ()
    contents: tuple[Fingerprint, ...] = ()
    companions: dict[Fingerprint, int] = {}
    tests: int = 0
    seen_s: float = 0.0
    hold: Hold | None = None
    held_s: float = 0.0
