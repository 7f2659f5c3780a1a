"""Interface for the headers that callers and endpoints use."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from ..ids import AdapterName, CustomerName, EndpointId, ModelName, RequestId


class PromptPart(msgspec.Struct, frozen=True):
    """Part of a prompt that several requests may share."""

    id: str
    tokens: int


class RequestMeta(msgspec.Struct, frozen=True):
    """Metadata from the headers of a request.

    ``deadline_s`` is how long the caller waits from now on; ``resume_after`` the last
    event that it received; ``resumes`` the attempt that brought the first event of a
    stream that it resumes; ``prompt`` the parts of the prompt in order;
    ``counted_tokens`` the tokens charged to a quota, None if the request states none.
    """

    id: RequestId
    deadline_s: float | None = None
    model: ModelName = ModelName("")
    adapter: AdapterName = AdapterName("")
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    resume_after: int | None = None
    resumes: RequestId | None = None
    counted_tokens: int | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may share: all but the last."""
        return tuple(part.id for part in self.prompt[:-1])


class Dispatch(msgspec.Struct, frozen=True):
    """Metadata that the relay adds to a request for one endpoint.

    ``urgency`` ranges from 0 (admitted first) to 9 (admitted last); ``customer`` is
    the caller's customer, None if the endpoint isn't told.
    """

    endpoint: EndpointId
    deadline_s: float
    urgency: int | None = None
    resume_after: int | None = None
    customer: CustomerName | None = None


class AnswerKind(Enum):
    """Meaning of an endpoint's response for the request."""

    ANSWERED = "answered"
    """The endpoint's own response, to be relayed unchanged."""
    NOT_RUN = "not_run"
    """The request was not run on the endpoint and never will be."""
    FOREIGN = "foreign"
    """A response to another request or a corrupt one; the outcome is unknown."""


class EndpointSignals(msgspec.Struct, frozen=True):
    """State of an endpoint that it signals in a response.

    ``limit_per_s`` is the number of requests per second that it accepts from all
    daemons together, None if it sets no limit; ``is_leaving`` says that it will
    terminate soon; ``pause_s`` how long this daemon should send it no requests, None if
    it does not ask for a pause; ``max_rejections_per_s`` is how many requests it can
    reject for want of room without crashing, None if it states nothing; ``cold_left_s``
    is how long it will still be cold, 0 if it is warm, None if it states nothing;
    ``unreadable`` names the headers whose values were ignored as invalid.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    max_rejections_per_s: float | None = None
    cold_left_s: float | None = None
    unreadable: tuple[str, ...] = ()


class HeaderCodec(ABC):
    """Reads and writes the headers of one family of callers and endpoints."""

    @abstractmethod
    def decode_request(self, headers: CIMultiDictProxy[str]) -> RequestMeta | None:
        """Return the metadata of a request, or None if it has no id."""

    @abstractmethod
    def remove_reserved(self, headers: CIMultiDict[str]) -> None:
        """Remove headers from callers that only this system may send to endpoints."""

    @abstractmethod
    def encode_dispatch(self, headers: CIMultiDict[str], dispatch: Dispatch) -> None:
        """Add the dispatch metadata to the headers for an endpoint."""

    @abstractmethod
    def classify(
        self, status: int, headers: CIMultiDictProxy[str], request: RequestId
    ) -> AnswerKind:
        """Return the meaning of a response, from its status and headers."""

    @abstractmethod
    def decode_signals(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> EndpointSignals:
        """Return the state that an endpoint signals in a response."""
