"""Crowds of callers that send incomplete, oversized or very many requests."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

RECEIVE_BUFFER_BYTES = 4096
SEND_LIMIT_S = 2.0
"""Time after which callers stop sending what the daemon doesn't take."""
PIECE_BYTES = 100
BODY_LIMIT_BYTES = 1_000_000
HEADER_LIMIT_BYTES = 64 * 1024
"""The limits that the tests configure."""
CHUNKED_BYTES = 100_000
"""Size of bodies in chunks of one byte, which take six times as much on the wire."""
PIPELINED_REQUESTS = 5000
PIPELINED_FIELDS = 100


class Target(NamedTuple):
    """A path at a port of a daemon, and headers that it needs."""

    port: int
    path: str
    headers: str = "X-Request-Id: unruly\r\n"

    def head(self, method: str, headers: str = "") -> bytes:
        """Return the head of a request, without the empty line that ends it."""
        return (
            f"{method} {self.path} HTTP/1.1\r\nHost: a.example\r\n"
            f"{self.headers}{headers}"
        ).encode()


Crowd = Callable[[Target], Iterable[bytes]]
"""Returns what one caller sends, in separate writes."""


def send_body(target: Target) -> Iterator[bytes]:
    """Send a body of legal size at once, except for its last byte."""
    head = target.head("POST", f"Content-Length: {BODY_LIMIT_BYTES}\r\n")
    yield head + b"\r\n" + b"a" * (BODY_LIMIT_BYTES - 1)


def send_body_in_pieces(target: Target) -> Iterator[bytes]:
    """Send the first part of a body in small pieces."""
    head = target.head("POST", f"Content-Length: {CHUNKED_BYTES + 1}\r\n")
    yield head + b"\r\n"
    for _ in range(CHUNKED_BYTES // PIECE_BYTES):
        yield b"a" * PIECE_BYTES


def send_body_in_chunks(target: Target) -> Iterator[bytes]:
    """Send a body in chunks of one byte, without the last chunk."""
    head = target.head("POST", "Transfer-Encoding: chunked\r\n")
    yield head + b"\r\n" + b"1\r\na\r\n" * CHUNKED_BYTES


def send_announced_oversized_body(target: Target) -> Iterator[bytes]:
    """Announce a body far above the limit, and begin to send it."""
    head = target.head("POST", f"Content-Length: {1000 * BODY_LIMIT_BYTES}\r\n")
    yield head + b"\r\n" + b"a" * 2 * BODY_LIMIT_BYTES


def send_oversized_chunk(target: Target) -> Iterator[bytes]:
    """Begin to send a chunk far above the limit of a body."""
    head = target.head("POST", "Transfer-Encoding: chunked\r\n")
    size = f"{1000 * BODY_LIMIT_BYTES:x}\r\n".encode()
    yield head + b"\r\n" + size + b"a" * 2 * BODY_LIMIT_BYTES


def send_trailers(target: Target) -> Iterator[bytes]:
    """Send a body in chunks that ends with very many fields, without their end."""
    head = target.head("POST", "Transfer-Encoding: chunked\r\n")
    fields = make_short_fields(HEADER_LIMIT_BYTES - len(head) - 5).encode()
    yield head + b"\r\n1\r\na\r\n0\r\n" + fields


def send_complete_body(target: Target) -> Iterator[bytes]:
    """Send a body of legal size, which endpoints send back."""
    yield from send_body(target)
    yield b"a"


def make_short_fields(size_bytes: int) -> str:
    """Return header fields of four bytes and their line ends, without values."""
    return "ab:\r\n" * (size_bytes // 5)


def send_short_fields(target: Target) -> Iterator[bytes]:
    """Send a head of legal size with very many fields, without its end."""
    head = target.head("GET")
    yield head + make_short_fields(HEADER_LIMIT_BYTES - len(head) - 5).encode()


def send_short_fields_and_body(target: Target) -> Iterator[bytes]:
    """Send a complete head of very many fields, and a body without its last byte."""
    head = target.head("POST", "Content-Length: 2\r\n")
    fields = make_short_fields(HEADER_LIMIT_BYTES - len(head) - 5).encode()
    yield head + fields + b"\r\na"


def send_prompt_parts(target: Target) -> Iterator[bytes]:
    """Send a head of legal size with one field of very many parts, and half a body."""
    head = target.head("POST", "Content-Length: 2\r\n")
    size_bytes = HEADER_LIMIT_BYTES - len(head) - 100
    parts = "".join(f"{number:x}:1," for number in range(size_bytes // 7))
    yield head + f"X-Prompt-Prefix: {parts}1:1\r\n\r\na".encode()


def send_large_fields(target: Target) -> Iterator[bytes]:
    """Send a head far above the limit in many large fields, without its end."""
    yield target.head("GET")
    for _ in range(120):
        yield b"ab: " + b"a" * 8000 + b"\r\n"


def send_pipeline(target: Target) -> Iterator[bytes]:
    """Send very many complete requests ahead."""
    yield (target.head("GET") + b"\r\n") * PIPELINED_REQUESTS


def send_pipelined_fields(target: Target) -> Iterator[bytes]:
    """Send many requests ahead whose heads have many fields."""
    head = target.head("GET", make_short_fields(5 * PIPELINED_FIELDS))
    yield (head + b"\r\n") * (PIPELINED_REQUESTS // 10)


def send_pipelined_bodies(target: Target) -> Iterator[bytes]:
    """Send an unfinished request ahead of others with bodies of legal size."""
    head = target.head("POST", f"Content-Length: {BODY_LIMIT_BYTES}\r\n")
    first = target.head("GET") + b"\r\n"
    yield first + (head + b"\r\n" + b"a" * BODY_LIMIT_BYTES) * 4


def send_half_head(target: Target) -> Iterator[bytes]:
    """Send the first part of an ordinary head."""
    yield target.head("GET")


class UnrulyCaller:
    """A connection on which responses are not read until the crowd has ended."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def async_send(self, host: str, port: int, pieces: Iterable[bytes]) -> None:
        """Connect and send, as far as the daemon takes it."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_LIMIT_S):
                await loop.sock_connect(self._socket, (host, port))
                for piece in pieces:
                    await loop.sock_sendall(self._socket, piece)
                    await asyncio.sleep(0)

    def read_received(self) -> bytes:
        """Return what has arrived."""
        received = b""
        with contextlib.suppress(OSError):
            while part := self._socket.recv(65536):
                received += part
        return received

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


async def async_gather_crowd(
    host: str, target: Target, crowd: Crowd, count: int
) -> list[UnrulyCaller]:
    """Connect a crowd of callers, and return when they have sent what they can."""
    callers = [UnrulyCaller() for _ in range(count)]
    await asyncio.gather(
        *(caller.async_send(host, target.port, crowd(target)) for caller in callers)
    )
    return callers


def find_unproven_refusals(callers: list[UnrulyCaller]) -> list[bytes]:
    """Return the heads of error responses that don't state that nothing was run."""
    heads: list[bytes] = []
    for caller in callers:
        received = caller.read_received()
        heads += re.findall(rb"HTTP/1\.1 [45]\d\d .*?\r\n\r\n", received, re.DOTALL)
    return [head for head in heads if b"not-run" not in head]
