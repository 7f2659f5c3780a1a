"""Deterministic engine output, derived from the model's name and the prompt."""

from __future__ import annotations

import hashlib


def token_text(name: str, prompt: str, index: int) -> str:
    """Return the token of an answer at an index."""
    seed = hashlib.sha256(f"{name}\0{prompt}".encode()).hexdigest()
    return f"{seed[:6]}.{index} "


def expected_text(name: str, prompt: str, max_tokens: int) -> str:
    """Return the complete answer that a caller should receive."""
    return "".join(token_text(name, prompt, i) for i in range(max_tokens))


def extract_prompt(body: dict) -> str:
    """Return the prompt of a chat or text completion request."""
    if "messages" in body:
        return "\n".join(str(m.get("content", "")) for m in body["messages"])
    return str(body.get("prompt", ""))


def prefix_hashes(prompt: str, block: int = 256) -> list[str]:
    """Return a hash of each prefix of a prompt that ends at a block boundary."""
    count = len(prompt) // block
    return [
        hashlib.blake2b(prompt[: block * (i + 1)].encode(), digest_size=6).hexdigest()
        for i in range(count)
    ]
