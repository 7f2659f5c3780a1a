"""Parse and validate callers' requests: model name and body."""

from __future__ import annotations

import asyncio
import hashlib
from typing import Annotated, Any

import msgspec
from aiohttp import web
from msgspec import Meta

from ..fleet import CallerSpec, FleetSpec
from ..memory import NO_MEMORY_RETRY_S, MemoryLease
from ..systems.routing import CHARACTERS_PER_TOKEN
from .refusals import Refusal, forbidden, malformed, not_found, unavailable

PREFIX_BLOCK_CHARACTERS = 256
MAX_PREFIXES = 16
NO_BODY_MEMORY = "no memory for the body"
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


async def async_read_body(
    request: web.Request, max_bytes: int, timeout_s: float, lease: MemoryLease
) -> bytes:
    """Return the request body, whose memory the lease covers until it is closed.

    Raises
    ------
    Refusal
        The body is too large or too slow, or other bodies take the memory.
    """
    length = request.content_length or 0
    if length > max_bytes:
        raise Refusal(413, f"body above {max_bytes} bytes")
    if not lease.fits(length):
        raise unavailable(NO_BODY_MEMORY, NO_MEMORY_RETRY_S)
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            while part := await request.content.readany():
                size += len(part)
                if size > max_bytes:
                    raise Refusal(413, f"body above {max_bytes} bytes")
                if not lease.try_resize(size):
                    raise unavailable(NO_BODY_MEMORY, NO_MEMORY_RETRY_S)
                parts.append(part)
    except TimeoutError as error:
        raise Refusal(408, f"body not received within {timeout_s:g} s") from error
    return b"".join(parts)


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
