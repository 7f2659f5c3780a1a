"""Exit codes and output, as text for people or JSON for programs."""

from __future__ import annotations

import os
import sys
from enum import IntEnum

import msgspec


class ExitCode(IntEnum):
    """What the command line returns."""

    OK = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    NOT_IN_FORCE = 5


class Result(msgspec.Struct, frozen=True):
    """What a command found: lines for people, data for programs."""

    code: ExitCode
    lines: list[str]
    data: dict


def show(result: Result, *, is_json: bool) -> int:
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
        # The reader, such as head, has seen enough; what was done stays done.
        os.dup2(os.open(os.devnull, os.O_WRONLY), stream.fileno())
    return int(result.code)


def failed(code: ExitCode, message: str, advice: str = "") -> Result:
    """Return a failure with what to do about it."""
    lines = [message] + ([advice] if advice else [])
    return Result(code, lines, {"error": message, "advice": advice})


def columns(rows: list[tuple[str, ...]]) -> list[str]:
    """Return rows as aligned columns."""
    if not rows:
        return []
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
