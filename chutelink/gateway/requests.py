"""Parse and validate callers' requests: model name and body."""

from __future__ import annotations

import hashlib
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ..fleet import CallerSpec, FleetSpec
from ..systems.routing import CHARACTERS_PER_TOKEN
from .refusals import forbidden, malformed, not_found

PREFIX_BLOCK_CHARACTERS = 256
MAX_PREFIXES = 16
DEFAULT_MAX_TOKENS = 16


class ChatMessage(msgspec.Struct):
    """Message of a chat completion request."""

    role: Annotated[str, Meta(min_length=1, max_length=64)]
    content: str


class CompletionRequest(msgspec.Struct):
    """Fields that the gateway reads; the body is forwarded with all its fields."""

    model: Annotated[str, Meta(min_length=1, max_length=128)]
    messages: list[ChatMessage] | msgspec.UnsetType = msgspec.UNSET
    prompt: str | msgspec.UnsetType = msgspec.UNSET
    stream: bool = False
    max_tokens: Annotated[int, Meta(ge=1, le=1_000_000)] = DEFAULT_MAX_TOKENS

    def text(self) -> str:
        """Return the text of the prompt as the engine builds it."""
        if self.messages is not msgspec.UNSET:
            return "\n".join(message.content for message in self.messages)
        return "" if self.prompt is msgspec.UNSET else self.prompt


_DECODER = msgspec.json.Decoder(CompletionRequest)


def check_model(caller: CallerSpec, fleet: FleetSpec, name: str) -> None:
    """Refuse a model that the caller may not use or that is not declared.

    A name that the caller may not use gets the same response whether it is declared
    or not.
    """
    if not caller.may_use_model(name):
        raise forbidden()
    if fleet.base_model(name) is None:
        raise not_found(f"model {name}")


def decode_completion(body: bytes, *, is_chat: bool) -> CompletionRequest:
    """Return the completion request, or refuse it naming the error's position."""
    try:
        completion = _DECODER.decode(body)
    except msgspec.ValidationError as error:
        raise malformed(str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise malformed(f"not JSON: {error}") from error
    field: Any = completion.messages if is_chat else completion.prompt
    if field is msgspec.UNSET:
        name = "messages" if is_chat else "prompt"
        raise malformed(f"Object missing required field `{name}`")
    if is_chat and not completion.messages:
        raise malformed("Expected at least one message - at `$.messages`")
    return completion


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens in a prompt."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def hash_prefixes(text: str) -> tuple[str, ...]:
    """Return the hashes of a prompt's block-aligned prefixes, shortest first.

    Engines report the same hashes for the prefixes in their cache.
    """
    count = min(MAX_PREFIXES, len(text) // PREFIX_BLOCK_CHARACTERS)
    return tuple(
        hashlib.blake2b(
            text[: PREFIX_BLOCK_CHARACTERS * (i + 1)].encode(), digest_size=6
        ).hexdigest()
        for i in range(count)
    )
