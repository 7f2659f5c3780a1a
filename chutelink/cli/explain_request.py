"""Trace a request through collected logs to the events that affected it."""

from __future__ import annotations

import re
from datetime import datetime, timedelta
from pathlib import Path

import msgspec

from .output import ExitCode, Result, make_failure

LOOKBACK_S = 5.0
"""How long before a request's first line events are considered related.

Cold loads take about 4 s; daemons learn of lease changes within about 3 s.
"""
LOOKAHEAD_S = 0.5
MAX_LINES = 200
"""Maximum number of related lines shown after the request's own."""
STATE_EVENTS = frozenset(
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
"""Events that change a daemon's view of endpoints and models."""
DEPENDENCY_EVENTS = frozenset(
    {
        "draining",
        "endpoints_partitioned",
        "endpoints_reachable",
        "member_down",
        "store_lost",
        "store_regained",
    }
)
"""Events of the store and the daemons, which may affect any request."""
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


class LogLine(msgspec.Struct, frozen=True):
    """A log line with its parsed key=value pairs."""

    at: datetime
    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event, or an empty string."""
        return self.fields.get("event", "")


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not in this project's format."""
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
    """Return the lines of all files, sorted by time.

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
    """Return the lines of the request and of its resumptions, and state events."""
    try:
        lines = read_logs(paths)
    except OSError as error:
        return make_failure(ExitCode.INVALID, str(error), "check the files' names")
    own = [
        line
        for line in lines
        if request_id in (line.fields.get("request"), line.fields.get("resumes"))
    ]
    if not own:
        message = f"no line names request {request_id}"
        advice = "good requests are thinned: see good_left_out in the log"
        return make_failure(ExitCode.FAILED, message, advice)
    related = _find_related(lines, own)
    shown = ["its own lines:", *(line.text for line in own)]
    shown += ["what daemons believed of its model and endpoints:"]
    shown += [line.text for line in related]
    shown += ["", _summary(own, request_id)]
    data = {
        "request": request_id,
        "own": [line.fields for line in own],
        "around": [line.fields for line in related],
    }
    return Result(ExitCode.OK, shown, data)


def _find_related(lines: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return the state events related to the request, and all dependency events.

    State events are related if they name the request's model, endpoint or
    fingerprint, or concern a lease.
    """
    start = own[0].at - timedelta(seconds=LOOKBACK_S)
    end = own[-1].at + timedelta(seconds=LOOKAHEAD_S)
    names = _collect_names(own)
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
        is_state = line.event in STATE_EVENTS and (is_named or "lease" in line.event)
        if is_state or line.event in DEPENDENCY_EVENTS:
            found.append(line)
    return found[:MAX_LINES]


def _collect_names(own: list[LogLine]) -> set[str]:
    names: set[str] = set()
    for line in own:
        names |= {line.fields.get("model", ""), line.fields.get("endpoint", "")}
        names |= set(line.fields.get("endpoints", "").split(","))
        names |= {line.fields.get(key, "") for key in ("fingerprint", "held_by")}
    return names - {""}


def _summary(own: list[LogLine], request_id: str) -> str:
    """Summarize the request's final line in a sentence."""
    final = [
        line
        for line in own
        if line.event == "request" and line.fields.get("request") == request_id
    ]
    if not final:
        return "it has no final line: still under way, or its daemon was killed"
    fields = final[-1].fields
    tried = fields.get("endpoints") or "none"
    return (
        f"ended {fields.get('outcome')} with status {fields.get('status')} after "
        f"{fields.get('took_s')} s; endpoints tried: {tried}; "
        f"reason: {fields.get('reason') or 'none given'}"
    )
