"""Bounds of what clients' connections may take from a daemon."""

from __future__ import annotations

from typing import Final

HEAD_END: Final = b"\r\n\r\n"

RECEIVE_BYTES: Final = 16 * 1024
"""Largest part of the data of a connection that is received at once."""
READ_BUFFER_BYTES: Final = 8 * 1024
"""Part of a body that is buffered until its handler reads it, at most twice as much."""
WRITE_BUFFER_BYTES: Final = 16 * 1024
"""Unsent data of a connection above which its responses wait for the client."""
MAX_PIPELINED_BYTES: Final = 8 * 1024
"""Received data above which a connection isn't read until its request is answered."""

FIELD_BYTES: Final = 400
"""Memory that a parsed header field takes besides its text."""
LIST_ITEM_BYTES: Final = 200
"""Memory that an item of a field's list takes besides its text, such as a prompt part.
"""
TEXT_COPIES: Final = 3
"""Copies of a head's text: as received, as raw fields and as decoded ones."""
HEAD_MEMORY_SHARE: Final = 0.03125
"""Share of a daemon's memory that parsed heads may take."""
REQUEST_LINE_BYTES: Final = 8 * 1024
"""Part of a head that does not count as its fields."""
PARSER_LIMIT: Final = 2**20
"""Limit of the HTTP parser's own checks, which heads within their limit never reach."""
CHUNKED_PART_BYTES: Final = 2 * 1024
"""Largest part of a body in chunks that is parsed at once."""
FREE_FRAMING_BYTES: Final = 1024
"""Chunk extensions and trailers of a body that don't count as fields."""

FREE_HEAD_BYTES: Final = 16 * 1024
"""Memory of each parsed head that isn't limited, so that usual ones always fit."""
FREE_BODY_BYTES: Final = 16 * 1024
"""Part of each request's body that isn't limited."""

CONNECTION_BYTES: Final = 128 * 1024
"""Memory of a connection whose client sends what it may and reads nothing.

It includes the connection's objects, its buffers here and in the kernel, and the parts
of its request that are free.
"""
PROCESS_MB: Final = 64
"""Memory of a process without connections."""
CONNECTION_MEMORY_SHARE: Final = 0.3
"""Share of the rest of its memory that connections of callers may take."""
FILE_DESCRIPTORS: Final = 96
"""Descriptors kept for files, listeners, and connections that are being accepted."""
FILE_DESCRIPTOR_SHARE: Final = 0.05
"""The same as a share of all descriptors, where that is more."""
DEFAULT_DESCRIPTORS: Final = 65536
"""Descriptors that a process may have if neither settings nor system limit them."""
MIN_CONNECTIONS: Final = 8
"""Connections that each port accepts at least."""

CHEAP_LINES: Final = 100
"""Lines up to which received data are parsed at once."""
PARSE_SLICE_S: Final = 0.005
"""Time of an iteration of the event loop in which expensive data are parsed."""

ACCEPT_BATCH: Final = 8
"""Connections that a listener accepts in one iteration of the event loop.

They take descriptors before it is known whether there are too many.
"""
ACCEPT_QUEUE: Final = 512
"""Connections that the kernel holds until they are accepted."""

HEAD_RECHECK_S: Final = 1.0
"""Delay of the next check of a head that is late, but of which more has arrived."""
DEFAULT_HEAD_TIMEOUT_S: Final = 10.0
MIN_STALL_S: Final = 1.0
"""Time without received data after which an unfinished body counts as stalled."""
MIN_BODY_BYTES_PER_S: Final = 1024.0
"""Average rate below which an unfinished body counts as stalled."""
SLOW_READ_S: Final = 5.0
"""Period over which the rate at which a client reads is checked."""
MIN_READ_BYTES_PER_S: Final = 1024.0
"""Average rate below which a client that has a response to read counts as stalled."""
CLOSED_SHARE: Final = 1 / 32
"""Share of a port's connections that are closed at once to make room."""
RECHECK_S: Final = 0.05
"""Time for which no connections are checked again after none could be closed."""
