"""What the relay must know of callers' and endpoints' headers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from ..ids import AdapterName, CustomerName, EndpointId, ModelName, RequestId


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that several requests may share."""

    id: str
    tokens: int


class RequestMeta(msgspec.Struct, frozen=True):
    """What a request says of itself.

    ``deadline_s`` is how long the caller waits from now on; ``resume_after`` the
    last event that it has; ``prompt`` the parts of the prompt in order;
    ``counted_tokens`` what it counts against a quota in tokens, None where it
    says nothing of tokens.
    """

    id: RequestId
    deadline_s: float | None = None
    model: ModelName = ModelName("")
    adapter: AdapterName = AdapterName("")
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    resume_after: int | None = None
    counted_tokens: int | None = None


class Dispatch(msgspec.Struct, frozen=True):
    """What the relay adds to a request for one endpoint.

    ``urgency`` is 0 for the first to be admitted, 9 for the last; ``customer`` who
    the caller is, None where nobody is told.
    """

    endpoint: EndpointId
    deadline_s: float
    urgency: int | None = None
    resume_after: int | None = None
    customer: CustomerName | None = None


class AnswerKind(Enum):
    """What an endpoint's answer means for the request."""

    ANSWERED = "answered"
    """The endpoint's own answer, to be passed on unchanged."""
    NOT_RUN = "not_run"
    """The request was not run there, and never will be."""
    FOREIGN = "foreign"
    """An answer to something else, or spoilt: nothing is known of the request."""


class EndpointSignals(msgspec.Struct, frozen=True):
    """What an endpoint's answer says of the endpoint itself.

    ``limit_per_s`` is the number of requests a second that it takes from all daemons
    together, None where it names no limit; ``is_leaving`` says that it will end soon;
    ``pause_s`` for how long it wants nothing more from this daemon, None where it does
    not say; ``unreadable`` names the headers whose values were ignored.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    unreadable: tuple[str, ...] = ()


class Dialect(ABC):
    """Reads and writes the headers of one family of callers and endpoints."""

    @abstractmethod
    def decode_request(self, headers: CIMultiDictProxy[str]) -> RequestMeta | None:
        """Return what a request says of itself, or None without an id."""

    @abstractmethod
    def remove_reserved(self, headers: CIMultiDict[str]) -> None:
        """Drop what only this system may ask of an endpoint, as a caller sent it."""

    @abstractmethod
    def encode_dispatch(self, headers: CIMultiDict[str], dispatch: Dispatch) -> None:
        """Put what the relay adds into the headers for an endpoint."""

    @abstractmethod
    def classify(
        self, status: int, headers: CIMultiDictProxy[str], request: RequestId
    ) -> AnswerKind:
        """Return what an answer means, from its status line and headers."""

    @abstractmethod
    def decode_signals(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> EndpointSignals:
        """Return what an endpoint's answer says of the endpoint."""
