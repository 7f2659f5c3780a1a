"""Walk collected logs from a request's id to what decided its fate."""

from __future__ import annotations

import re
from datetime import datetime, timedelta
from pathlib import Path

import msgspec

from .output import ExitCode, Result, failed

BEFORE_S = 5.0
"""How long before a request's first line what bears on it may have begun.

Cold loads take about 4 s; leases are followed within some 3 s.
"""
AFTER_S = 0.5
MAX_LINES = 200
"""Most lines shown; the request's own come first."""
BELIEFS = frozenset(
    {
        "config_in_force",
        "config_refused",
        "endpoint_gone",
        "endpoint_lapsed",
        "endpoint_refused",
        "endpoint_restarted",
        "endpoint_seen",
        "lease_lost",
        "lease_taken",
        "lease_yielded",
        "placement_begun",
        "placement_failed",
        "report_failed",
        "suspect_cleared",
        "suspect_held",
        "suspect_trial",
    }
)
"""Events that change what daemons believe of endpoints and models."""
DEPENDENCIES = frozenset({"store_lost", "store_regained", "member_down", "draining"})
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log, as its pairs."""

    at: datetime
    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The event's name."""
        return self.fields.get("event", "")


def parse_line(text: str) -> LogLine | None:
    """Return a line's pairs; None for a line that is none of ours."""
    start = text.find("time=")
    if start < 0:
        return None
    fields = {key: value.strip('"') for key, value in _PAIR.findall(text[start:])}
    try:
        at = datetime.fromisoformat(fields["time"])
    except (KeyError, ValueError):
        return None
    return LogLine(at, text.rstrip("\n"), fields)


def read_logs(paths: list[Path]) -> list[LogLine]:
    """Return the lines of all files, in order of their time.

    Raises
    ------
    OSError
        A file can't be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as stream:
            parsed = (parse_line(text) for text in stream)
            lines += [line for line in parsed if line is not None]
    return sorted(lines, key=lambda line: line.at)


def explain_request(request_id: str, paths: list[Path]) -> Result:
    """Return the request's own lines, and what was believed around it."""
    try:
        lines = read_logs(paths)
    except OSError as error:
        return failed(ExitCode.INVALID, str(error), "check the files' names")
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        message = f"no line names request {request_id}"
        advice = "good requests are thinned: see good_left_out in the log"
        return failed(ExitCode.FAILED, message, advice)
    around = _bearing(lines, own)
    shown = ["its own lines:", *(line.text for line in own)]
    shown += ["what daemons believed of its model and endpoints:"]
    shown += [line.text for line in around]
    shown += ["", _summary(own)]
    data = {
        "request": request_id,
        "own": [line.fields for line in own],
        "around": [line.fields for line in around],
    }
    return Result(ExitCode.OK, shown, data)


def _bearing(lines: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return the lines on the request's model, its endpoints and dependencies."""
    start = own[0].at - timedelta(seconds=BEFORE_S)
    end = own[-1].at + timedelta(seconds=AFTER_S)
    names = _names(own)
    found = []
    for line in lines:
        if not start <= line.at <= end or "request" in line.fields:
            continue
        is_named = names & {
            line.fields.get("endpoint", ""),
            line.fields.get("model", ""),
            line.fields.get("fingerprint", ""),
            *line.fields.get("unload", "").split(","),
        }
        is_belief = line.event in BELIEFS and (is_named or "lease" in line.event)
        if is_belief or line.event in DEPENDENCIES:
            found.append(line)
    return found[:MAX_LINES]


def _names(own: list[LogLine]) -> set[str]:
    names: set[str] = set()
    for line in own:
        names |= {line.fields.get("model", ""), line.fields.get("endpoint", "")}
        names |= set(line.fields.get("endpoints", "").split(","))
        names.add(line.fields.get("fingerprint", ""))
    return names - {""}


def _summary(own: list[LogLine]) -> str:
    """Return what the last line says, in a sentence."""
    last = next((line for line in reversed(own) if line.event == "request"), None)
    if last is None:
        return "it has no final line: still under way, or its daemon was killed"
    fields = last.fields
    tried = fields.get("endpoints") or "none"
    return (
        f"ended {fields.get('outcome')} with status {fields.get('status')} after "
        f"{fields.get('took_s')} s; endpoints tried: {tried}; "
        f"reason: {fields.get('reason') or 'none given'}"
    )
