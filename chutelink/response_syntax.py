"""Checks of received responses by the grammar of HTTP (RFC 9110 and RFC 9112).

The library's parser is lenient with responses, and what it accepts reaches callers. The
readers here see the received bytes first. They check each line as it arrives, so that
a connection on which something else is sent is closed at once.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Final

import aiohttp

from .const import MAX_HEADER_BYTES

FIRST_FINAL_STATUS: Final = 200
STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})
MAX_FIELDS: Final = 128
"""Limit of the fields of a head, as in the library's parser."""
_BLANKS: Final = b" \t"
_LINE_END: Final = b"\r\n"
_PROTOCOL: Final = b"HTTP/1."
_MINOR_VERSION_0: Final = b"0"
_NAME_LENGTH: Final = b"content-length"
_NAME_CODING: Final = b"transfer-encoding"
_CHUNKED: Final = b"chunked"
_TOKEN: Final = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT: Final = rb"[\t\x20-\x7e\x80-\xff]*"
"""A value or reason phrase, with the blanks around it."""
# Some servers leave out the blank before an empty reason phrase.
_REASON: Final = rb"(?: " + _TEXT + rb")?"
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.(\d) ([1-5]\d\d)" + _REASON)
_FIELD: Final = re.compile(rb"(" + _TOKEN + rb"):(" + _TEXT + rb")(\r?\n)")
_FOLDED_LINE: Final = re.compile(rb"[ \t]" + _TEXT)
_LENGTH: Final = re.compile(rb"0*(\d{1,19})")
"""A number below 2**64 - 1, by which the parser means that there is no length."""
_CHUNK_SIZE: Final = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;" + _TEXT + rb")?\r\n")
_USUAL_HEAD: Final = re.compile(
    rb"HTTP/1\.1 ([2-5]\d\d)" + _REASON + rb"\r\n"
    rb"(?:" + _TOKEN + rb":" + _TEXT + rb"\r\n)*+\r\n"
)
"""A final head without folded values, whose lines end in the usual way."""
_USUAL_LENGTH: Final = re.compile(rb"\r\ncontent-length:[ \t]*\d{1,19}[ \t]*\r\n")
_USUAL_CODING: Final = b"\r\ntransfer-encoding: chunked\r\n"
_MAX_QUOTED_BYTES: Final = 80


class MalformedResponse(aiohttp.ClientPayloadError):
    """Received data are not a valid response."""


def _make_error(reason: str, line: bytes) -> MalformedResponse:
    quoted = bytes(line[:_MAX_QUOTED_BYTES])
    return MalformedResponse(f"malformed response, {reason}: {quoted!r}")


def _split_line_end(line: bytes) -> tuple[bytes, bytes]:
    """Return a line without its end, and the end, which may be a single line feed."""
    size = len(_LINE_END) if line.endswith(_LINE_END) else 1
    return line[:-size], line[-size:]


class FieldReader:
    """Reads the fields of a head, or of the trailers of a body in chunks.

    Attributes
    ----------
    lengths, codings : list[bytes]
        Values of the fields ``Content-Length`` and ``Transfer-Encoding``.
    other_lines : bytearray
        The other fields, unfolded to a line each.
    """

    def __init__(self) -> None:
        self.lengths: list[bytes] = []
        self.codings: list[bytes] = []
        self.other_lines = bytearray()
        self._name = b""
        """Name of the last field, which the next line may continue."""
        self._value = b""
        self._folded: list[bytes] = []
        """Further lines of its value."""
        self._folded_bytes = 0
        self._last_line_end = _LINE_END
        self._count = 0

    def read(self, line: bytes) -> bool:
        """Check a line, and return whether it is the empty line after the fields.

        Raises
        ------
        MalformedResponse
            The line is neither a field nor the continuation of one, or there are more
            than the parser accepts.
        """
        field = _FIELD.fullmatch(line)
        if field is not None:
            self._finish_field()
            self._name, self._value, self._last_line_end = field.groups()
            self._count += 1
            if self._count > MAX_FIELDS:
                raise _make_error("too many fields", line)
            return False
        content, line_end = _split_line_end(line)
        if not content and line_end == self._last_line_end:
            self._finish_field()
            return True
        if not content:
            # A line feed in a name or value would end the fields too early.
            raise _make_error("empty line with another line end", line)
        if not self._name or not _FOLDED_LINE.fullmatch(content):
            raise _make_error("invalid field", content)
        self._folded.append(content.strip(_BLANKS))
        self._folded_bytes += len(line)
        if self._folded_bytes > MAX_HEADER_BYTES:
            raise _make_error("field too large", self._name)
        self._last_line_end = line_end
        return False

    def _finish_field(self) -> None:
        if self._folded:
            self._value = b" ".join([self._value, *self._folded])
            self._folded.clear()
            self._folded_bytes = 0
        name = self._name.lower()
        if name == _NAME_LENGTH:
            self.lengths.append(self._value)
        elif name == _NAME_CODING:
            self.codings.append(self._value)
        elif name:
            self.other_lines += self._name + b":" + self._value + _LINE_END


class HeadReader:
    """Reads the head of a response, and those of interim responses before it.

    Attributes
    ----------
    is_complete : bool
        Whether the head of the final response has been read.
    is_chunked : bool
        Whether that head states that the body is in chunks.
    status : int
        Status of the head that was read last, 0 before the first.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self.is_chunked = False
        self.status = 0
        self._partial_line = bytearray()
        self._status_line = b""
        """Line of the head that is being read, empty before it is complete."""
        self._minor_version = b""
        self._fields = FieldReader()

    def read(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the heads that the data complete, and what follows the final head.

        In the returned heads, each field takes one line, and at most one field states
        how the body ends.

        Parameters
        ----------
        data : bytes
            Received data, before the head of the final response is complete.

        Raises
        ------
        MalformedResponse
            The data can't be a part of a response.
        """
        if not self.status and not self._partial_line:
            size_bytes = self._read_usual_head(data)
            if size_bytes:
                return data[:size_bytes], data[size_bytes:]
        heads = b""
        position = 0
        while not self.is_complete:
            end = data.find(b"\n", position) + 1
            if not end:
                self._keep_partial_line(data[position:])
                return heads, b""
            line = bytes(self._partial_line) + data[position:end]
            self._partial_line.clear()
            position = end
            if not self._status_line:
                self._read_status_line(line)
            elif self._fields.read(line):
                heads += self._finish_head()
        return heads, data[position:]

    def _read_usual_head(self, data: bytes) -> int:
        """Return the size of a final head that needs no change, 0 if there is none.

        Most heads are of this kind, and are checked much faster as a whole.
        """
        matched = _USUAL_HEAD.match(data)
        if matched is None:
            return 0
        head = matched[0].lower()
        lengths = head.count(b"\r\n" + _NAME_LENGTH + b":")
        codings = head.count(b"\r\n" + _NAME_CODING + b":")
        if lengths + codings > 1 or (lengths and not _USUAL_LENGTH.search(head)):
            return 0
        if codings and _USUAL_CODING not in head:
            return 0
        self.status = int(matched[1])
        self.is_chunked = codings > 0
        self.is_complete = True
        return len(head)

    def _keep_partial_line(self, data: bytes) -> None:
        self._partial_line += data
        beginning = self._partial_line[: len(_PROTOCOL)]
        if not self._status_line and not _PROTOCOL.startswith(beginning):
            raise _make_error("invalid status line", beginning)

    def _read_status_line(self, line: bytes) -> None:
        content, _ = _split_line_end(line)
        matched = _STATUS_LINE.fullmatch(content)
        if matched is None:
            raise _make_error("invalid status line", content)
        self._status_line = content + _LINE_END
        self._minor_version = matched[1]
        self.status = int(matched[2])

    def _finish_head(self) -> bytes:
        """Return the head that has been read, and prepare for the next one."""
        self.is_complete = self.status >= FIRST_FINAL_STATUS
        # An interim response has no body, whatever its fields say.
        framing = self._framing() if self.is_complete else b""
        head = self._status_line + self._fields.other_lines + framing + _LINE_END
        self._status_line = b""
        self._fields = FieldReader()
        return head

    def _framing(self) -> bytes:
        """Return the line that states how the body ends, empty if none does."""
        fields = self._fields
        length = _decode_length(fields.lengths)
        if not fields.codings:
            return length
        if length:
            raise _make_error("length and transfer coding", length)
        if self._minor_version == _MINOR_VERSION_0:
            raise _make_error("transfer coding in HTTP/1.0", fields.codings[0])
        listed = b",".join(fields.codings).lower().split(b",")
        codings = [coding for each in listed if (coding := each.strip(_BLANKS))]
        if not codings:
            return b""
        if codings != [_CHUNKED]:
            # No other coding is requested, and none is decoded.
            raise _make_error("transfer coding", b",".join(codings))
        self.is_chunked = True
        return b"Transfer-Encoding: chunked" + _LINE_END


def _decode_length(values: list[bytes]) -> bytes:
    """Return the line that states a length; it may be stated several times.

    Raises
    ------
    MalformedResponse
        A value is not a length, or the lengths differ.
    """
    if not values:
        return b""
    listed = b",".join(values)
    lengths = set()
    for value in listed.split(b","):
        matched = _LENGTH.fullmatch(value.strip(_BLANKS))
        if matched is None:
            raise _make_error("invalid length", listed)
        lengths.add(int(matched[1]))
    if len(lengths) > 1:
        raise _make_error("different lengths", listed)
    return b"Content-Length: %d" % lengths.pop() + _LINE_END


class ChunkLine(Enum):
    """What the next line of a body in chunks has to be."""

    SIZE = "size"
    END_OF_DATA = "end_of_data"
    TRAILER = "trailer"
    """A trailer, or the empty line that ends the body."""
    NONE = "none"
    """The body has ended."""


class ChunkReader:
    """Checks the framing of a body in chunks, whose data are skipped."""

    def __init__(self) -> None:
        self._next_line = ChunkLine.SIZE
        self._left_bytes = 0
        """Part of the current chunk that has not been received."""
        self._partial_line = bytearray()
        self._trailers = FieldReader()

    def read(self, data: bytes) -> None:
        """Check received data, up to the end of the body.

        Raises
        ------
        MalformedResponse
            The data are not a part of a body in chunks.
        """
        position = self._skip_chunk(data, 0)
        while position < len(data) and self._next_line is not ChunkLine.NONE:
            chunk_end = self._find_chunk_end(data, position)
            if chunk_end:
                position = chunk_end
                continue
            end = data.find(b"\n", position) + 1
            if not end:
                self._partial_line += data[position:]
                return
            line = bytes(self._partial_line) + data[position:end]
            self._partial_line.clear()
            self._read_line(line)
            position = self._skip_chunk(data, end)

    def _find_chunk_end(self, data: bytes, position: int) -> int:
        """Return the end of the chunk at a position, 0 unless the data hold it whole.

        Most chunks arrive at once, and are checked much faster as a whole.
        """
        if self._next_line is not ChunkLine.SIZE or self._partial_line:
            return 0
        matched = _CHUNK_SIZE.match(data, position)
        if matched is None:
            return 0
        size_bytes = int(matched[1], 16)
        end = matched.end() + size_bytes
        if not size_bytes or not data.startswith(_LINE_END, end):
            return 0
        return end + len(_LINE_END)

    def _skip_chunk(self, data: bytes, position: int) -> int:
        """Return the position after what the data hold of the current chunk."""
        skipped_bytes = min(self._left_bytes, len(data) - position)
        self._left_bytes -= skipped_bytes
        return position + skipped_bytes

    def _read_line(self, line: bytes) -> None:
        if self._next_line is ChunkLine.SIZE:
            self._read_size(line)
        elif self._next_line is ChunkLine.END_OF_DATA:
            if line != _LINE_END:
                raise _make_error("chunk without end", line)
            self._next_line = ChunkLine.SIZE
        elif self._trailers.read(line):
            self._next_line = ChunkLine.NONE

    def _read_size(self, line: bytes) -> None:
        matched = _CHUNK_SIZE.fullmatch(line)
        if matched is None:
            raise _make_error("invalid chunk size", line)
        self._left_bytes = int(matched[1], 16)
        is_last = not self._left_bytes
        self._next_line = ChunkLine.TRAILER if is_last else ChunkLine.END_OF_DATA
