"""Bytes that are no HTTP response, and rare forms of responses that are.

All of them belong to the request ``q1``.
"""

from __future__ import annotations

from typing import NamedTuple

from .raw_server import HEAD

BODY = b"hello"
FRAMED = b"Content-Length: 5\r\n\r\n" + BODY
CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


def with_status(code: bytes) -> bytes:
    return HEAD.replace(b"200 OK", code) + FRAMED


def with_line(line: bytes) -> bytes:
    """Return a response with a further line in its head."""
    return HEAD + line + b"\r\n" + FRAMED


def with_coding(line: bytes, body: bytes = CHUNKS) -> bytes:
    return HEAD + line + b"\r\n\r\n" + body


def with_chunks(body: bytes) -> bytes:
    return with_coding(b"Transfer-Encoding: chunked", body)


STATUSES = {
    f"status_{code.decode()}": with_status(code + b" Odd")
    for code in (b"000", b"001", b"099", b"600", b"999", b"20", b"1000", b"2x0", b"")
}
INTERIM_STATUSES = {
    f"interim_{code.decode()}": b"HTTP/1.1 " + code + b" Odd\r\n\r\n" + HEAD + FRAMED
    for code in (b"000", b"099")
}
NAMES = {
    "name_blank": with_line(b"Odd Name: 1"),
    "name_leading_blank": STATUS_LINE + b" " + HEAD.removeprefix(STATUS_LINE) + FRAMED,
    "name_trailing_blank": with_line(b"Odd : 1"),
    "name_trailing_tab": with_line(b"Odd\t: 1"),
    "name_control": with_line(b"Odd\x01Name: 1"),
    "name_delete": with_line(b"Odd\x7fName: 1"),
    "name_null": with_line(b"Odd\0Name: 1"),
    "name_carriage_return": with_line(b"Odd\rName: 1"),
    "name_line_feed": with_line(b"Odd\nName: 1"),
    "name_leading_line_feed": with_line(b"\nOdd: 1"),
    "name_leading_carriage_return": with_line(b"\rOdd: 1"),
    "name_high_byte": with_line(b"Odd\xe9: 1"),
    "name_separator": with_line(b"Odd(Name): 1"),
    "name_empty": with_line(b": 1"),
    "no_colon": with_line(b"Odd"),
    "known_name_blank": HEAD + b"Content-Length : 5\r\n\r\nhello",
    "known_name_blank_and_more": HEAD + b"Content-Length : 5\r\n\r\nhello and more",
    "known_name_blank_beside_length": HEAD
    + b"Content-Length : 5\r\nContent-Length: 5\r\n\r\nhello",
    "known_name_tab": HEAD + b"Content-Length\t: 5\r\n\r\nhello and more",
    "known_name_null": HEAD + b"Content-Length\0: 5\r\n\r\nhello and more",
    "known_name_and_word": HEAD + b"Content-Length x: 5\r\n\r\nhello and more",
    "coding_name_blank": with_coding(b"Transfer-Encoding : chunked"),
    "connection_name_blank": with_line(b"Connection : close"),
    "upgrade_name_blank": with_line(b"Upgrade : none"),
}
VALUES = {
    "value_null": with_line(b"Odd: a\0b"),
    "value_control": with_line(b"Odd: a\x01b"),
    "value_escape": with_line(b"Odd: \x1b[1m"),
    "value_delete": with_line(b"Odd: a\x7fb"),
    "value_carriage_return": with_line(b"Odd: a\rb"),
    "value_trailing_line_feed": with_line(b"Odd: a\n"),
}
STATUS_LINES = {
    "reason_null": with_status(b"200 O\0K"),
    "reason_control": with_status(b"200 O\x01K"),
    "version_0.9": HEAD.replace(b"1.1", b"0.9") + FRAMED,
    "version_2.0": HEAD.replace(b"1.1", b"2.0") + FRAMED,
    "version_lower_case": HEAD.replace(b"HTTP", b"http") + FRAMED,
    "other_protocol": HEAD.replace(b"HTTP/1.1", b"RTSP/1.0") + FRAMED,
    "leading_line": b"\r\n" + HEAD + FRAMED,
    "leading_carriage_return": b"\r" + HEAD + FRAMED,
    "leading_text": b"none" + HEAD + FRAMED,
    "no_head": b"hello\r\n\r\n",
}
FRAMINGS = {
    "length_sign": HEAD + b"Content-Length: +5\r\n\r\nhello",
    "length_hex": HEAD + b"Content-Length: 0x5\r\n\r\nhello",
    "length_empty": HEAD + b"Content-Length: \r\n\r\nhello",
    "length_text": HEAD + b"Content-Length: 5 x\r\n\r\nhello",
    "length_none": HEAD + b"Content-Length: 18446744073709551615\r\n\r\nhello",
    "length_list": HEAD + b"Content-Length: 5, 6\r\n\r\nhello",
    "length_list_empty": HEAD + b"Content-Length: 5,\r\n\r\nhello",
    "length_overflow": HEAD + b"Content-Length: 18446744073709551621\r\n\r\nhello",
    "two_lengths": HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    "length_and_coding": HEAD
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    + CHUNKS,
    "coding_unknown": with_coding(b"Transfer-Encoding: xchunked"),
    "coding_not_requested": with_coding(b"Transfer-Encoding: gzip, chunked"),
    "coding_identity": with_coding(b"Transfer-Encoding: identity"),
    "coding_empty_and_length": with_coding(b"Transfer-Encoding:\r\nContent-Length: 5"),
    "coding_gzip": with_coding(b"Transfer-Encoding: gzip", b"\x1f\x8bhello"),
    "coding_parameter": with_coding(b"Transfer-Encoding: chunked;x=1"),
    "coding_twice": with_coding(b"Transfer-Encoding: chunked, chunked"),
    "coding_lines": with_coding(
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"
    ),
    "coding_in_http_1.0": with_coding(b"Transfer-Encoding: chunked").replace(
        b"HTTP/1.1", b"HTTP/1.0"
    ),
}
CHUNK_ERRORS = {
    "chunk_size_text": with_chunks(b"x\r\nhello\r\n"),
    "chunk_size_sign": with_chunks(b"+5\r\nhello\r\n0\r\n\r\n"),
    "chunk_size_missing": with_chunks(b"\r\nhello\r\n0\r\n\r\n"),
    "chunk_too_long": with_chunks(b"5\r\nhello!\r\n0\r\n\r\n"),
    "chunk_extension_control": with_chunks(b"5;a=\x01\r\nhello\r\n0\r\n\r\n"),
    "trailer_name_blank": with_chunks(b"5\r\nhello\r\n0\r\nOdd Name: 1\r\n\r\n"),
    "chunk_data_line_feed": with_chunks(b"5\r\nhello\n0\r\n\r\n"),
    "chunk_extension_line_feed": with_chunks(b"5;a\nhello\r\n0\r\n\r\n"),
    "trailer_known_name_blank": with_chunks(
        b"5\r\nhello\r\n0\r\nConnection : 1\r\n\r\n"
    ),
    "trailer_value_control": with_chunks(b"5\r\nhello\r\n0\r\nOdd: \x01\r\n\r\n"),
    "trailer_leading_blank": with_chunks(b"5\r\nhello\r\n0\r\n Odd: 1\r\n\r\n"),
    "trailer_no_colon": with_chunks(b"5\r\nhello\r\n0\r\nOdd\r\n\r\n"),
}
MALFORMED = (
    STATUSES
    | INTERIM_STATUSES
    | NAMES
    | VALUES
    | STATUS_LINES
    | FRAMINGS
    | CHUNK_ERRORS
)

BROKEN_ON_ALL_PATHS = {
    name: MALFORMED[name]
    for name in (
        "status_000",
        "status_600",
        "interim_000",
        "name_control",
        "name_leading_line_feed",
        "known_name_blank",
        "known_name_and_word",
        "value_control",
        "other_protocol",
        "length_none",
        "coding_unknown",
        "coding_in_http_1.0",
        "trailer_known_name_blank",
    )
}
"""One or two of each kind, for the tests of a whole path to a caller."""


def make_malformed(status: bytes, body: bytes) -> dict[str, bytes]:
    """Return responses that would be valid but for one error in their heads."""
    head = b"HTTP/1.1 " + status + b"\r\nStore-Era: 12\r\n"
    length = b"Content-Length: %d\r\n" % len(body)
    whole = head + length + b"\r\n" + body
    return {
        "name_blank": whole.replace(b"Length:", b"Length :"),
        "name_control": whole.replace(b"Store-Era", b"Store\x01Era"),
        "value_control": whole.replace(b"Era: 12", b"Era: 12\r\nOdd: \x01"),
        "other_protocol": whole.replace(b"HTTP/1.1", b"RTSP/1.0"),
        "leading_line": b"\r\n" + whole,
        "status_000_first": b"HTTP/1.1 000 Odd\r\n\r\n" + whole,
        "coding_unknown": head + b"Transfer-Encoding: xnone\r\n\r\n" + body,
        "coding_in_http_1.0": head.replace(b"1.1", b"1.0")
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
        % (len(body), body),
    }


class RareResponse(NamedTuple):
    """A response of a rare form, and what a caller has to get of it."""

    data: bytes
    status: int = 200
    body: bytes = BODY


SOUND = {
    "http_1.0": RareResponse(HEAD.replace(b"1.1", b"1.0") + FRAMED),
    "status_299": RareResponse(with_status(b"299 Rare"), 299),
    "status_499": RareResponse(with_status(b"499 Rare"), 499),
    "no_reason": RareResponse(with_status(b"200 ")),
    "no_reason_and_blank": RareResponse(with_status(b"200")),
    "reason_latin_1": RareResponse(with_status(b"200 S\xfc\xdf\tgut")),
    "name_symbols": RareResponse(with_line(b"!#$%&'*+-.^_`|~09aZ: 1")),
    "name_lower_case": RareResponse(
        HEAD.lower().replace(b"http/1.1 200 ok", b"HTTP/1.1 200 OK") + FRAMED.lower()
    ),
    "value_empty": RareResponse(with_line(b"Rare:")),
    "value_without_blank": RareResponse(with_line(b"Rare:1")),
    "value_with_blanks": RareResponse(with_line(b"Rare: \t a \t b \t ")),
    "value_latin_1": RareResponse(with_line(b"Rare: S\xfc\xdf")),
    "value_utf_8": RareResponse(with_line("Rare: ä€𝄞".encode())),
    "value_colons": RareResponse(with_line(b"Rare: a:b: c")),
    "value_folded": RareResponse(with_line(b"Rare: a\r\n b\r\n\tc")),
    "field_twice": RareResponse(with_line(b"Rare: a\r\nRare: b")),
    "line_feeds": RareResponse((HEAD + FRAMED).replace(b"\r\n", b"\n")),
    "one_line_feed": RareResponse(with_line(b"Rare: a\nOther: b")),
    "length_zeros": RareResponse(HEAD + b"Content-Length: 0005\r\n\r\nhello"),
    "length_blanks": RareResponse(HEAD + b"Content-Length:\t5\t\r\n\r\nhello"),
    "length_folded": RareResponse(
        HEAD + b"Content-Length:\r\n\t5\r\nRare: 1\r\n\r\nhello"
    ),
    "lengths_in_lines": RareResponse(
        HEAD + b"Content-Length: 5\r\nRare: 1\r\nContent-Length: 05\r\n\r\nhello"
    ),
    "lengths_in_list": RareResponse(HEAD + b"Content-Length: 5, 5\r\n\r\nhello"),
    "length_zero": RareResponse(HEAD + b"Content-Length: 0\r\n\r\n", body=b""),
    "coding_case": RareResponse(with_coding(b"TRANSFER-ENCODING: Chunked")),
    "coding_trailing_comma": RareResponse(
        with_coding(b"Transfer-Encoding: chunked , ,")
    ),
    "coding_folded": RareResponse(with_coding(b"Transfer-Encoding:\r\n chunked")),
    "coding_leading_comma": RareResponse(with_coding(b"Transfer-Encoding: , chunked")),
    "chunk_extension": RareResponse(with_chunks(b'5;a="b c";d\r\nhello\r\n0\r\n\r\n')),
    "chunk_size_zeros": RareResponse(with_chunks(b"005\r\nhello\r\n000\r\n\r\n")),
    "chunk_size_blank": RareResponse(with_chunks(b"5 \r\nhello\r\n0 \r\n\r\n")),
    "chunks_with_line_ends": RareResponse(
        with_chunks(
            b"4\r\n\r\n\r\n\r\n5\r\n0\r\n\r\n\r\n0\r\n\r\n",
        ),
        body=b"\r\n\r\n0\r\n\r\n",
    ),
    "chunk_size_hex": RareResponse(
        with_chunks(b"A\r\nhellohello\r\n0\r\n\r\n"),
        body=b"hellohello",
    ),
    "trailers": RareResponse(
        with_chunks(
            b"5\r\nhello\r\n0\r\nRare: 1\r\nOther: 2\r\n\r\n",
        )
    ),
    "interim": RareResponse(
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n"
        b"HTTP/1.1 199 Rare\r\nTransfer-Encoding: chunked\r\n\r\n" + HEAD + FRAMED
    ),
    "unframed": RareResponse(HEAD + b"\r\n" + BODY),
    "coding_empty": RareResponse(with_coding(b"Transfer-Encoding:", BODY)),
    "upgrade_offered": RareResponse(with_line(b"Upgrade: h2c\r\nConnection: upgrade")),
    "status_204_with_length": RareResponse(
        HEAD.replace(b"200 OK", b"204 No Content") + b"Content-Length: 0\r\n\r\n",
        204,
        b"",
    ),
    "status_204": RareResponse(
        HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n", 204, b""
    ),
}
UNFRAMED_RARE = ("unframed", "coding_empty")
"""Names of those whose body ends with their connection."""
