"""Exit codes and output of the command line tool, as text or JSON."""

from __future__ import annotations

import os
import sys
from enum import IntEnum

import msgspec


class ExitCode(IntEnum):
    """Exit codes of the command line tool."""

    OK = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    NOT_IN_FORCE = 5


class Result(msgspec.Struct, frozen=True):
    """Result of a command: lines for text output, data for JSON output."""

    code: ExitCode
    lines: list[str]
    data: dict


def print_result(result: Result, *, is_json: bool) -> int:
    """Print a result and return the exit code."""
    if is_json:
        print(msgspec.json.encode({"exit_code": result.code, **result.data}).decode())
        return int(result.code)
    stream = sys.stdout if result.code in (ExitCode.OK,) else sys.stderr
    try:
        for line in result.lines:
            print(line, file=stream)
        stream.flush()
    except BrokenPipeError:
        # The reader, such as head, closed the pipe. The exit code is still that of
        # the command, and flushing at exit must not raise again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), stream.fileno())
    return int(result.code)


def make_failure(code: ExitCode, message: str, advice: str = "") -> Result:
    """Return a failure with a message and advice on how to proceed."""
    lines = [message] + ([advice] if advice else [])
    return Result(code, lines, {"error": message, "advice": advice})


def format_table(rows: list[tuple[str, ...]]) -> list[str]:
    """Format rows as a table with aligned columns."""
    if not rows:
        return []
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
